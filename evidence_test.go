package flaxshelf

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

func TestTrialPlacementEjectsUntilAnswered(t *testing.T) {
	p := startPlacer(t, testConfig(), testMachines(4))
	h := p.sortedMachines[2].healthOf(0)
	p.recordFailure(h)
	p.now = h.ejectedUntil
	p.startTrial(h)
	if p.now >= h.ejectedUntil {
		t.Errorf("ejected until %v during the trial placement, want it after %v", h.ejectedUntil, p.now)
	}
	if p.recordSuccess(h); p.now < h.ejectedUntil {
		t.Errorf("ejected until %v after a success, want no ejection", h.ejectedUntil)
	}
}

// One class fails on most machines where another succeeds: only the first is ejected there. Where no class has succeeded,
// the machine itself is ejected.
func TestClassFailureEjectsClassAlone(t *testing.T) {
	cfg := testConfig()
	cfg.Classes = append(cfg.Classes, cfg.Classes[0])
	p := startPlacer(t, cfg, testMachines(8))
	failing, other := &task{Task: Task{Class: 0}}, &task{Task: Task{Class: 1}}
	failing.class, other.class = &p.cfg.Classes[0], &p.cfg.Classes[1]
	for _, m := range p.sortedMachines[:6] {
		p.recordSuccess(m.healthOf(1))
		p.recordTaskFailure(failing, m)
	}
	invalidateAll(p)
	usable := func(t *task) (ids []string) {
		for _, m := range p.sortedMachines {
			if p.now >= m.health.ejectedUntil && p.now >= m.healthOf(t.Class).ejectedUntil {
				ids = append(ids, m.ID)
			}
		}
		return ids
	}
	if got := usable(failing); !slices.Equal(got, []string{"m6", "m7"}) {
		t.Errorf("the failing class may use %v, want m6 and m7", got)
	}
	if got := usable(other); len(got) != 8 {
		t.Errorf("the other class may use %v, want all 8", got)
	}
	for range 20 {
		if m := p.chooseMachine(failing); m.ID != "m6" && m.ID != "m7" {
			t.Errorf("the failing class was placed on %s, want m6 or m7", m.ID)
		}
	}
	p.recordTaskFailure(failing, p.sortedMachines[7])
	if got := usable(other); len(got) != 7 {
		t.Errorf("the other class may use %v, want 7: m7 failed without any success", got)
	}
}

// An error is attributed to its machine once another has placed the task, or when the task ends with it alone. A malformed
// task, which several machines answer with an error and none places, ejects none of them. Where the class has not
// succeeded recently, or there is no second attempt, the machine is ejected at once.
func TestTaskFaultEjectsNoMachine(t *testing.T) {
	for _, c := range []struct {
		name        string
		idempotency Idempotency
		succeeded   bool // the class, on all machines
		errors      int
		placed      bool
		ejected     int
	}{
		{"errors everywhere", Idempotent, true, 3, false, 0},
		{"placed by the second", Idempotent, true, 1, true, 1},
		{"placed by the third", Idempotent, true, 2, true, 2},
		{"no success there", Idempotent, false, 3, false, 3},
		{"no second attempt", NonIdempotent, true, 1, false, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			cfg := testConfig()
			cfg.Classes[0].Idempotency = c.idempotency
			p := startPlacer(t, cfg, testMachines(6))
			if c.succeeded {
				for _, m := range p.sortedMachines {
					p.recordSuccess(m.healthOf(0))
				}
			}
			invalidateAll(p)
			actions := p.Step(time.Second+millisecond, []Event{submit("t", 0, 9*time.Second)})
			for n := range c.errors {
				offer := onlyOffer(t, actions)
				ended := endOf(offer, Failed)
				ended.Attempt = n
				actions = p.Step(time.Second+Time(n+2)*millisecond, []Event{ended})
			}
			if c.placed {
				offer := onlyOffer(t, actions)
				p.Step(time.Second+9*millisecond, []Event{AttemptPlaced{Task: "t", Machine: offer.Machine, Attempt: c.errors}})
			} else if len(offersOf(actions)) > 0 {
				t.Errorf("got %v, want no further offer", actions)
			}
			ejected := 0
			for _, m := range p.sortedMachines {
				if p.now < m.healthOf(0).ejectedUntil {
					ejected++
				}
			}
			if ejected != c.ejected {
				t.Errorf("%d machines ejected, want %d", ejected, c.ejected)
			}
		})
	}
}

// Where there are far fewer placements than machines, an ejection lasts for the mean time between offers to one machine.
func TestEjectionLastsTrialInterval(t *testing.T) {
	p := startPlacer(t, testConfig(), testMachines(10))
	for i := range 4 {
		p.Step(time.Second+Time(i+1)*400*millisecond, []Event{submit(fmt.Sprint("t", i), 0, time.Minute)})
	}
	if h := &p.sortedMachines[0].health; h.ejectedUntil == 0 {
		p.recordFailure(h)
		if h.ejectedUntil-p.now < 2*time.Second {
			t.Errorf("ejected for %v, want at least 2 s", h.ejectedUntil-p.now)
		}
	}
	if p.trialInterval() > outcomeRetention {
		t.Errorf("trial interval %v, want at most %v", p.trialInterval(), outcomeRetention)
	}
}

// Each acceptance after a rejection allows one more pending offer, until so many are allowed that the limit ends.
func TestAcceptancesEndOfferLimit(t *testing.T) {
	p := startPlacer(t, testConfig(), testMachines(1))
	m, accepted := p.sortedMachines[0], p.addTask(submit("t", 0, 0).Task)
	p.recordRejection(accepted, m, InsufficientCores)
	for want := 2; want < maxOfferLimit; want++ {
		p.recordAcceptance(accepted, m)
		if m.offerLimit != want {
			t.Fatalf("got %d pending offers allowed after %d acceptances, want %d", m.offerLimit, want-1, want)
		}
	}
	p.recordAcceptance(accepted, m)
	if m.offerLimit != 0 {
		t.Errorf("got %d pending offers allowed after %d acceptances, want no limit", m.offerLimit, maxOfferLimit-1)
	}
}
