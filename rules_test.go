package flaxshelf

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// Many drawn event sequences keep the rules, and equal sequences give equal actions.
func TestRulesUnderRandomEvents(t *testing.T) {
	offered, failed := 0, 0
	for seed := range uint64(60) {
		var logs [2]string
		for again := range logs {
			r := rand.New(rand.NewPCG(seed, 5))
			c := randomConfig(r)
			k := &ruleChecker{t: t, cfg: c, machines: map[string]Machine{}, stoppedSince: map[string]Time{},
				tasks: map[string]*checkedTask{}, sends: map[string][]Time{}, now: time.Second, startedAt: time.Second}
			w := &eventSource{random: r, checker: k}
			p, err := New(c, seed)
			if err != nil {
				t.Fatal(err)
			}
			first := []Event{MachinesUpdated{Complete: true, Stale: true, Machines: []Machine{
				{ID: "m0", Zone: "z0"}, {ID: "m1", Zone: "z1", Cell: 1, Kind: 1}}}}
			for n := range 800 {
				es := first
				if n > 0 {
					es = append(w.events(), TimerFired{})
				}
				first = nil
				for _, e := range es {
					k.event(e)
				}
				for _, a := range p.Step(k.now, es) {
					logs[again] += fmt.Sprint(k.now, a)
					k.action(a)
					if o, ok := a.(Offer); ok {
						offered++
						tries := len(k.tasks[o.Task].attempts) - 1
						w.pending = append(w.pending, pendingAttempt{task: o.Task, machine: o.Machine, attempt: tries,
							due: k.now + time.Duration(r.IntN(int(o.Timeout/millisecond)+1))*millisecond})
					}
					if _, ok := a.(Fail); ok {
						failed++
					}
				}
				for id, a := range k.tasks {
					if !a.answered && k.now >= a.task.Deadline && a.task.Deadline > time.Second {
						if a.task.Deadline-k.now < -12*millisecond {
							t.Fatalf("seed %d: %s has no answer", seed, id)
						}
					}
				}
				k.now += time.Duration(1+r.IntN(4)) * 2 * millisecond
			}
		}
		if logs[0] != logs[1] {
			t.Fatalf("seed %d: equal events, different actions", seed)
		}
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
	if offered < 10000 || failed < 100 {
		t.Errorf("%d offers, %d failures: the drawn events exercise too little", offered, failed)
	}
}
