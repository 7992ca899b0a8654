package flaxshelf

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// ruleChecker follows a run from the outside, by events and actions alone, and checks the five rules. It shares
// no bookkeeping with the module.
type ruleChecker struct {
	t            *testing.T
	cfg          Config
	now          Time
	startedAt    Time
	machines     map[string]Machine
	stoppedSince map[string]Time // since when a machine is known to drain or be gone
	tasks        map[string]*checkedTask
	sends        map[string][]Time
}

type checkedTask struct {
	task     Task
	answered bool
	attempts []checkedAttempt
}

type checkedAttempt struct {
	machine            string
	sentAt             Time
	active, mayHaveRun bool
}

func (k *ruleChecker) event(e Event) {
	switch e := e.(type) {
	case MachinesUpdated:
		seen := map[string]bool{}
		for _, m := range e.Machines {
			seen[m.ID] = true
			k.machines[m.ID] = m
			if m.State == Active {
				delete(k.stoppedSince, m.ID)
			} else if _, ok := k.stoppedSince[m.ID]; !ok {
				k.stoppedSince[m.ID] = k.now
			}
		}
		for id := range k.machines {
			if _, ok := k.stoppedSince[id]; e.Complete && !seen[id] && !ok {
				k.stoppedSince[id] = k.now
			}
		}
	case TaskSubmitted:
		k.tasks[e.Task.ID] = &checkedTask{task: e.Task}
	case TaskAdopted:
		k.tasks[e.Task.ID] = &checkedTask{task: e.Task, answered: true,
			attempts: []checkedAttempt{{machine: e.Machine, sentAt: k.now, active: true, mayHaveRun: true}}}
	case AttemptPlaced:
		k.tasks[e.Task].answered = true
	case AttemptEnded:
		a := k.tasks[e.Task]
		tr := &a.attempts[e.Attempt]
		tr.active = false
		tr.mayHaveRun = e.Outcome != Rejected && e.Outcome != Unreachable && e.Outcome != NotSent
		a.answered = a.answered || e.Final
	}
}

func (k *ruleChecker) action(x Action) {
	switch x := x.(type) {
	case Offer:
		k.offer(x)
	case Reject:
		a := k.tasks[x.Task]
		cl := k.cfg.Classes[a.task.Class]
		for _, tr := range a.attempts {
			if tr.mayHaveRun && (cl.Idempotency == NonIdempotent || cl.Idempotency == IdempotentByKey && cl.KeyDomain != FleetDomain) {
				k.t.Errorf("%v: refused %s, which may have run", k.now, x.Task)
			}
		}
		k.answer(x.Task)
	case Fail:
		k.answer(x.Task)
	}
}

func (k *ruleChecker) answer(id string) {
	a := k.tasks[id]
	if a.answered {
		k.t.Errorf("%v: second answer for %s", k.now, id)
	}
	if k.now >= a.task.Deadline {
		k.t.Errorf("%v: %s answered after %v", k.now, id, a.task.Deadline)
	}
	a.answered = true
}

func (k *ruleChecker) domainOf(at TopologyDomain, m string) string {
	switch at {
	case MachineDomain:
		return m
	case CellDomain:
		return fmt.Sprint("cell", k.machines[m].Cell)
	case ZoneDomain:
		return "zone" + k.machines[m].Zone
	}
	return ""
}

func (k *ruleChecker) offer(o Offer) {
	a := k.tasks[o.Task]
	cl := k.cfg.Classes[a.task.Class]
	m, ok := k.machines[o.Machine]
	if !ok {
		k.t.Errorf("%v: offer to unlisted %s", k.now, o.Machine)
	}
	if a.answered || k.now >= a.task.Deadline {
		k.t.Errorf("%v: offer for %s after its end", k.now, o.Task)
	}
	if k.now+o.Timeout > a.task.Deadline {
		k.t.Errorf("%v: time-out of %s runs past its end", k.now, o.Task)
	}
	if since, ok := k.stoppedSince[o.Machine]; ok && k.now-since >= 0 {
		k.t.Errorf("%v: offer to %s, told as stopping at %v", k.now, o.Machine, since)
	}
	if cl.Kind >= 0 && cl.Kind != m.Kind {
		k.t.Errorf("%v: wrong kind for %s", k.now, o.Task)
	}
	if len(a.attempts) >= k.cfg.MaxAttempts {
		k.t.Errorf("%v: too many attempts of %s", k.now, o.Task)
	}
	for _, tr := range a.attempts {
		if tr.active {
			k.t.Errorf("%v: two attempts of %s out", k.now, o.Task)
		}
		if !tr.mayHaveRun || cl.Idempotency == Idempotent {
			continue
		}
		if cl.Idempotency == NonIdempotent || k.domainOf(cl.KeyDomain, tr.machine) != k.domainOf(cl.KeyDomain, o.Machine) ||
			k.now-tr.sentAt >= cl.KeyTTL {
			k.t.Errorf("%v: %s may have run, sent again to %s", k.now, o.Task, o.Machine)
		}
	}
	a.attempts = append(a.attempts, checkedAttempt{machine: o.Machine, sentAt: k.now, active: true, mayHaveRun: true})
	k.checkSpread(o, a, cl)
	k.checkSlowStart(o, m)
}

func (k *ruleChecker) checkSpread(o Offer, a *checkedTask, cl Class) {
	if cl.SpreadDomain == NoDomain {
		return
	}
	n := 0
	for _, b := range k.tasks {
		for _, tr := range b.attempts {
			if tr.active && b.task.Service == a.task.Service &&
				k.domainOf(cl.SpreadDomain, tr.machine) == k.domainOf(cl.SpreadDomain, o.Machine) {
				n++
			}
		}
	}
	if n > cl.MaxPerDomain {
		k.t.Errorf("%v: %d tasks of %s together", k.now, n, a.task.Service)
	}
}

func (k *ruleChecker) checkSlowStart(o Offer, m Machine) {
	if m.Started == 0 || k.now > m.Started+k.cfg.SlowStartDuration {
		return
	}
	if k.startedAt > m.Started && k.now < k.startedAt+k.cfg.OverloadWindow {
		k.t.Errorf("%v: offer to cold %s with an unknown budget", k.now, o.Machine)
	}
	k.sends[o.Machine] = append(k.sends[o.Machine], k.now)
	n := 0
	for _, at := range k.sends[o.Machine] {
		if at >= m.Started && k.now-at <= k.cfg.OverloadWindow {
			n++
		}
	}
	// A share of whole offers, and one more in a turn where the shares leave one over. That the sum of the fleet stays within
	// the budget is TestSlowStartBudgetOfFleet's.
	share := int(k.cfg.SlowStartBudget / float64(k.cfg.Schedulers))
	if k.cfg.SlowStartBudget-float64(share*k.cfg.Schedulers) >= 1 {
		share++
	}
	if n > share {
		k.t.Errorf("%v: %d offers to cold %s", k.now, n, o.Machine)
	}
}

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
