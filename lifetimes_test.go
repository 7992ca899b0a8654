package flaxshelf

import (
	"math"
	"testing"
	"time"

	"flaxshelf.example/flaxshelf/internal/machineindex"
)

// A placement without an expected runtime still runs with probability exp(-age/mean lifetime).
func TestSurvivalIsExponential(t *testing.T) {
	p := startPlacer(t, testConfig(), testMachines(2))
	p.now = 70 * time.Second
	placed := addPlacement(p, 0, machineindex.Placement{OfferedAt: 10 * time.Second})
	if got := p.survivalProbability(placed); math.Abs(got-math.Exp(-1)) > 1e-9 {
		t.Errorf("got survival %v after %v, want %v", got, initialLifetime, math.Exp(-1))
	}
}

func TestMeanLifetimeIsObservedTimePerEndedTask(t *testing.T) {
	p := startPlacer(t, testConfig(), testMachines(2))
	p.now = 70 * time.Second
	p.lifetimes[0] = lifetimeStats{pastRuntime: 180 * time.Second, fullLifetimes: 3}
	if mean := p.meanLifetime(0); mean != 60*time.Second {
		t.Errorf("got mean lifetime %v, want 1m0s: (180+60)/4 seconds", mean)
	}
	// Two tasks that still run, since 40 s and 60 s ago, add to the time observed but not to the ended tasks.
	p.lifetimes[0].running, p.lifetimes[0].offerTimeSum = 2, 30*time.Second+10*time.Second
	if mean := p.meanLifetime(0); mean != 85*time.Second {
		t.Errorf("got mean lifetime %v, want 1m25s: (180+40+60+60)/4 seconds", mean)
	}
}
