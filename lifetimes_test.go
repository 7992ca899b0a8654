package flaxshelf

import (
	"math"
	"testing"
	"time"

	"flaxshelf.example/flaxshelf/internal/machineindex"
)

// A placement survives with probability exp(-age/mean).
func TestSurvivalIsExponential(t *testing.T) {
	p := startPlacer(t, testConfig(), testMachines(2))
	p.now = 70 * time.Second
	placed := addPlacement(p, 0, machineindex.Placement{OfferedAt: 10 * time.Second})
	if got := p.survivalProbability(placed); math.Abs(got-math.Exp(-1)) > 1e-9 {
		t.Errorf("survival %v after one initial lifetime, want %v", got, math.Exp(-1))
	}
}

func TestMeanLifetimeIsTimeObservedOverEnds(t *testing.T) {
	p := startPlacer(t, testConfig(), testMachines(2))
	p.now = 70 * time.Second
	p.lifetimes[0] = lifetimeStats{pastRuntime: 180 * time.Second, fullLifetimes: 3}
	if mean := p.meanLifetime(0); mean != 60*time.Second {
		t.Errorf("mean lifetime %v, want (180+60)/4", mean)
	}
	// Two that still run, observed for 40 s and 60 s, count as time without an end.
	p.lifetimes[0].running, p.lifetimes[0].offerTimeSum = 2, 30*time.Second+10*time.Second
	if mean := p.meanLifetime(0); mean != 85*time.Second {
		t.Errorf("mean lifetime %v, want (180+40+60+60)/4", mean)
	}
}
