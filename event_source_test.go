package flaxshelf

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// randomConfig draws a deployment.
func randomConfig(r *rand.Rand) Config {
	c := testConfig()
	c.Schedulers = 1 + r.IntN(4)
	c.Kinds = []Kind{{"small", 16, 50}, {"big", 64, 200}}
	c.SlowStartBudget = float64(5 + r.IntN(30))
	c.DiscoveryOnRequest, c.ListsFreeCapacity, c.CanCancel = r.IntN(2) == 0, r.IntN(2) == 0, r.IntN(2) == 0
	c.Prices = Prices{CrossZone: float64(r.IntN(2)), Fleet: float64(r.IntN(2))}
	c.Classes = nil
	for _, e := range []Idempotency{Idempotent, IdempotentByKey, IdempotentByKey, NonIdempotent} {
		c.Classes = append(c.Classes, Class{Name: fmt.Sprint(len(c.Classes)), Idempotency: e,
			KeyDomain: MachineDomain + TopologyDomain(r.IntN(4)), KeyTTL: time.Duration(1+r.IntN(4)) * 500 * millisecond,
			LatencyObjective: 300 * millisecond, Kind: r.IntN(3) - 1, Priority: r.IntN(3),
			SpreadDomain: TopologyDomain(r.IntN(4)), MaxPerDomain: 1 + r.IntN(3)})
	}
	return c
}

// eventSource draws legal events: it answers offers, moves the machine list and asks for tasks.
type eventSource struct {
	random    *rand.Rand
	checker   *ruleChecker
	pending   []pendingAttempt
	taskCount int
}

type pendingAttempt struct {
	task, machine string
	attempt       int
	due           Time
	placed        bool
}

func (w *eventSource) events() (es []Event) {
	k, r := w.checker, w.random
	for i := 0; i < len(w.pending); i++ {
		if p := &w.pending[i]; k.now >= p.due {
			a := k.tasks[p.task]
			if !p.placed && !a.answered && r.IntN(3) > 0 {
				es = append(es, AttemptPlaced{Task: p.task, Machine: p.machine, Attempt: p.attempt, Latency: 20 * millisecond})
				p.placed, p.due = true, k.now+time.Duration(r.IntN(4000))*millisecond
				continue
			}
			v := Outcome(1 + r.IntN(7))
			if p.placed {
				v = []Outcome{Completed, Lost}[r.IntN(2)]
			}
			es = append(es, AttemptEnded{Task: p.task, Machine: p.machine, Attempt: p.attempt, Outcome: v,
				Final: a.answered || p.placed, Reason: Reason(r.IntN(5)),
				Load: LoadReport{Present: r.IntN(2) == 0, HasCores: true, FreeCores: float64(r.IntN(20))}})
			w.pending = append(w.pending[:i], w.pending[i+1:]...)
			i--
		}
	}
	for range r.IntN(4) {
		w.taskCount++
		es = append(es, TaskSubmitted{Task{ID: fmt.Sprint("t", w.taskCount), Service: fmt.Sprint("s", r.IntN(3)),
			Class: r.IntN(4), Cores: 1, Memory: 2, Tenant: -1,
			Deadline: k.now + time.Duration(1+r.IntN(3000))*millisecond}})
	}
	if r.IntN(6) == 0 {
		m := Machine{ID: fmt.Sprint("m", r.IntN(8)), Kind: r.IntN(2), State: MachineState(r.IntN(3))}
		m.Zone, m.Cell = "z"+m.ID[1:2], int(m.ID[1])%3
		if old, ok := k.machines[m.ID]; ok {
			m.Kind, m.Started = old.Kind, old.Started
		}
		if m.State == Active && r.IntN(2) == 0 {
			m.Started = k.now
		}
		es = append(es, MachinesUpdated{Machines: []Machine{m}, Complete: r.IntN(30) == 0})
	}
	if r.IntN(40) == 0 {
		es = append(es, DiscoveryFailed{})
	}
	return es
}
