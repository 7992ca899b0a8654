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
		t.Errorf("class is ejected until %v during the trial placement, want a time after %v", h.ejectedUntil, p.now)
	}
	if p.recordSuccess(h); p.now < h.ejectedUntil {
		t.Errorf("class is ejected until %v after a success at %v, want no ejection", h.ejectedUntil, p.now)
	}
}

// One class fails on most machines, where another class succeeds: only the failing class is ejected there. A machine where
// no class has succeeded is ejected for all classes.
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
	usableMachines := func(t *task) (ids []string) {
		for _, m := range p.sortedMachines {
			if p.now >= m.health.ejectedUntil && p.now >= m.healthOf(t.Class).ejectedUntil {
				ids = append(ids, m.ID)
			}
		}
		return ids
	}
	if got := usableMachines(failing); !slices.Equal(got, []string{"m6", "m7"}) {
		t.Errorf("machines not ejected for the failing class: got %v, want [m6 m7]", got)
	}
	if got := usableMachines(other); len(got) != 8 {
		t.Errorf("machines not ejected for the other class: got %v, want all 8", got)
	}
	for range 20 {
		if m := p.chooseMachine(failing); m.ID != "m6" && m.ID != "m7" {
			t.Errorf("got %s for a task of the failing class, want m6 or m7", m.ID)
		}
	}
	p.recordTaskFailure(failing, p.sortedMachines[7])
	if got := usableMachines(other); len(got) != 7 {
		t.Errorf("machines not ejected for the other class: got %v, want 7: m7 failed and no class succeeded there", got)
	}
}

// An error counts as a failure of the machine once another machine has placed the task, or when the task ends with this
// error as its only one. A malformed task, which several machines answer with an error and none places, ejects none of them. The
// machine is ejected at once where the class has not succeeded there recently or the task may not be retried.
func TestTaskFaultEjectsNoMachine(t *testing.T) {
	for _, c := range []struct {
		name            string
		idempotency     Idempotency
		succeededBefore bool // the class has succeeded on all machines
		failedAttempts  int
		placedLast      bool
		wantEjected     int
	}{
		{"error in every attempt", Idempotent, true, 3, false, 0},
		{"placed in the second attempt", Idempotent, true, 1, true, 1},
		{"placed in the third attempt", Idempotent, true, 2, true, 2},
		{"no earlier success", Idempotent, false, 3, false, 3},
		{"no retry allowed", NonIdempotent, true, 1, false, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			cfg := testConfig()
			cfg.Classes[0].Idempotency = c.idempotency
			p := startPlacer(t, cfg, testMachines(6))
			if c.succeededBefore {
				for _, m := range p.sortedMachines {
					p.recordSuccess(m.healthOf(0))
				}
			}
			invalidateAll(p)
			actions := p.Step(time.Second+millisecond, []Event{newSubmission("t", 0, 9*time.Second)})
			for n := range c.failedAttempts {
				offer := onlyOffer(t, actions)
				ended := firstAttemptEnded(offer, Failed)
				ended.Attempt = n
				actions = p.Step(time.Second+Time(n+2)*millisecond, []Event{ended})
			}
			if c.placedLast {
				offer := onlyOffer(t, actions)
				p.Step(time.Second+9*millisecond, []Event{
					AttemptPlaced{Task: "t", Machine: offer.Machine, Attempt: c.failedAttempts}})
			} else if len(offersOf(actions)) > 0 {
				t.Errorf("got actions %+v after %d errors, want no further offer", actions, c.failedAttempts)
			}
			ejected := 0
			for _, m := range p.sortedMachines {
				if p.now < m.healthOf(0).ejectedUntil {
					ejected++
				}
			}
			if ejected != c.wantEjected {
				t.Errorf("got %d machines ejected for the class, want %d", ejected, c.wantEjected)
			}
		})
	}
}

// Where there are far fewer placements than machines, an ejection lasts for at least the mean time between this scheduler's
// offers to one machine, and that time is limited to outcomeRetention.
func TestEjectionLastsTrialInterval(t *testing.T) {
	p := startPlacer(t, testConfig(), testMachines(10))
	for i := range 4 {
		p.Step(time.Second+Time(i+1)*400*millisecond, []Event{newSubmission(fmt.Sprint("t", i), 0, time.Minute)})
	}
	if h := &p.sortedMachines[0].health; h.ejectedUntil == 0 {
		p.recordFailure(h)
		if h.ejectedUntil-p.now < 2*time.Second {
			t.Errorf("got an ejection of %v, want at least 2s", h.ejectedUntil-p.now)
		}
	}
	if p.trialInterval() > outcomeRetention {
		t.Errorf("got a trial interval of %v, want at most %v", p.trialInterval(), outcomeRetention)
	}
}

// Each acceptance after a rejection allows one more pending offer. The limit ends when maxOfferLimit offers are allowed.
func TestAcceptancesEndOfferLimit(t *testing.T) {
	p := startPlacer(t, testConfig(), testMachines(1))
	m, accepted := p.sortedMachines[0], p.addTask(newSubmission("t", 0, 0).Task)
	p.recordRejection(accepted, m, InsufficientCores)
	for want := 2; want < maxOfferLimit; want++ {
		p.recordAcceptance(accepted, m)
		if m.offerLimit != want {
			t.Fatalf("got an offer limit of %d after %d acceptances, want %d", m.offerLimit, want-1, want)
		}
	}
	p.recordAcceptance(accepted, m)
	if m.offerLimit != 0 {
		t.Errorf("got an offer limit of %d after %d acceptances, want 0: no limit", m.offerLimit, maxOfferLimit-1)
	}
}
