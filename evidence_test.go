package flaxshelf

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// The same after a failure: the offer that probes keeps the others away until it is answered.
func TestTrialPlacementAfterFailure(t *testing.T) {
	p := startPlacer(t, testConfig(), testMachines(4))
	h := p.machinesByID[2].healthOf(0)
	p.recordFailure(h)
	p.now = h.ejectedUntil
	p.startTrial(h)
	if p.now >= h.ejectedUntil {
		t.Error("nothing keeps others from following the offer that probes")
	}
	if p.recordSuccess(h); p.now < h.ejectedUntil {
		t.Error("barred though it served")
	}
}

// One class fails on most machines, another is served there: the first keeps to those that serve it, the other
// goes on using all. Where nothing was served the machine itself is taken to fail.
func TestClassFailureOnMostMachines(t *testing.T) {
	c := testConfig()
	c.Classes = append(c.Classes, c.Classes[0])
	p := startPlacer(t, c, testMachines(8))
	failing, other := &task{Task: Task{Class: 0}}, &task{Task: Task{Class: 1}}
	failing.class, other.class = &p.cfg.Classes[0], &p.cfg.Classes[1]
	for _, m := range p.machinesByID[:6] {
		p.recordSuccess(m.healthOf(1))
		p.recordTaskFailure(failing, m)
	}
	reviewAll(p)
	names := func(t *task) (out []string) {
		for _, m := range p.machinesByID {
			if p.now >= m.health.ejectedUntil && p.now >= m.healthOf(t.Class).ejectedUntil {
				out = append(out, m.ID)
			}
		}
		return out
	}
	if got := names(failing); !slices.Equal(got, []string{"m6", "m7"}) {
		t.Errorf("the failing class is left %v", got)
	}
	if got := names(other); len(got) != 8 {
		t.Errorf("the other class is left %v", got)
	}
	for range 20 {
		if m := p.chooseMachine(failing); m.ID != "m6" && m.ID != "m7" {
			t.Errorf("the failing class went to %s", m.ID)
		}
	}
	p.recordTaskFailure(failing, p.machinesByID[7])
	if got := names(other); len(got) != 7 {
		t.Errorf("a machine that served nothing is not barred: %v", got)
	}
}

// An error is blamed on its machine once another has placed the task, or when the task ends with it alone; a task that
// several machines answer with an error and none places, as bad clients send, bars none of them. Where the class was
// not served lately, or there is no second attempt to tell, the machine is struck at once.
func TestTaskFaultEjectsNoMachine(t *testing.T) {
	for _, c := range []struct {
		name   string
		effect Idempotency
		served bool
		errors int
		placed bool
		barred int
	}{
		{"errors everywhere", Idempotent, true, 3, false, 0},
		{"placed by the second", Idempotent, true, 1, true, 1},
		{"placed by the third", Idempotent, true, 2, true, 2},
		{"nothing served there", Idempotent, false, 3, false, 3},
		{"no second attempt", NonIdempotent, true, 1, false, 1},
	} {
		cfg := testConfig()
		cfg.Classes[0].Idempotency = c.effect
		p := startPlacer(t, cfg, testMachines(6))
		if c.served {
			for _, m := range p.machinesByID {
				p.recordSuccess(m.healthOf(0))
			}
		}
		reviewAll(p)
		as := p.Step(time.Second+millisecond, []Event{submit("t", 0, 9*time.Second)})
		for n := range c.errors {
			o := onlyOffer(t, as)
			as = p.Step(time.Second+Time(n+2)*millisecond, []Event{AttemptEnded{Task: "t", Machine: o.Machine, Attempt: n, Outcome: Failed}})
		}
		if c.placed {
			o := onlyOffer(t, as)
			p.Step(time.Second+9*millisecond, []Event{AttemptPlaced{Task: "t", Machine: o.Machine, Attempt: c.errors}})
		} else if len(offersOf(as)) > 0 {
			t.Errorf("%s: offered once more: %v", c.name, as)
		}
		barred := 0
		for _, m := range p.machinesByID {
			if p.now < m.healthOf(0).ejectedUntil {
				barred++
			}
		}
		if barred != c.barred {
			t.Errorf("%s: %d machines barred, want %d", c.name, barred, c.barred)
		}
	}
}

// With few binds beside the machines a bar lasts until we would come by again.
func TestEjectionLastsTrialInterval(t *testing.T) {
	p := startPlacer(t, testConfig(), testMachines(10))
	for i := range 4 {
		p.Step(time.Second+Time(i+1)*400*millisecond, []Event{submit(fmt.Sprint("t", i), 0, time.Minute)})
	}
	if h := &p.machinesByID[0].health; h.ejectedUntil == 0 {
		p.recordFailure(h)
		if h.ejectedUntil-p.now < 2*time.Second {
			t.Errorf("barred for %v", h.ejectedUntil-p.now)
		}
	}
	if p.trialInterval() > failureMemory {
		t.Error("a visit is not bounded")
	}
}
