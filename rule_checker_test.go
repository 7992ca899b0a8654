package flaxshelf

import (
	"fmt"
	"testing"
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
