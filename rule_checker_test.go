package flaxshelf

import (
	"fmt"
	"testing"
)

// ruleChecker follows a run from the outside, by events and actions alone, and checks the five rules of placement. It
// shares no bookkeeping with the Placer.
type ruleChecker struct {
	t            *testing.T
	cfg          Config
	now          Time
	startedAt    Time // of the scheduler
	machines     map[string]Machine
	stoppedSince map[string]Time // since when a machine is known to drain or to be removed
	tasks        map[string]*checkedTask
	offeredAt    map[string][]Time // offers to each machine in slow start
}

type checkedTask struct {
	task     Task
	answered bool
	attempts []checkedAttempt
}

type checkedAttempt struct {
	machine    string
	sentAt     Time
	active     bool
	mayHaveRun bool
}

// newRuleChecker checks a scheduler that starts at now.
func newRuleChecker(t *testing.T, cfg Config, now Time) *ruleChecker {
	return &ruleChecker{t: t, cfg: cfg, now: now, startedAt: now, machines: map[string]Machine{},
		stoppedSince: map[string]Time{}, tasks: map[string]*checkedTask{}, offeredAt: map[string][]Time{}}
}

// event follows an event that the scheduler is given.
func (k *ruleChecker) event(e Event) {
	switch e := e.(type) {
	case MachinesUpdated:
		k.machinesUpdated(e)
	case TaskSubmitted:
		k.tasks[e.Task.ID] = &checkedTask{task: e.Task}
	case TaskAdopted:
		k.tasks[e.Task.ID] = &checkedTask{task: e.Task, answered: true,
			attempts: []checkedAttempt{{machine: e.Machine, sentAt: k.now, active: true, mayHaveRun: true}}}
	case AttemptPlaced:
		k.tasks[e.Task].answered = true
	case AttemptEnded:
		task := k.tasks[e.Task]
		attempt := &task.attempts[e.Attempt]
		attempt.active = false
		attempt.mayHaveRun = e.Outcome != Rejected && e.Outcome != Unreachable && e.Outcome != NotSent
		task.answered = task.answered || e.Final
	}
}

func (k *ruleChecker) machinesUpdated(e MachinesUpdated) {
	named := map[string]bool{}
	for _, m := range e.Machines {
		named[m.ID] = true
		k.machines[m.ID] = m
		if m.State == Active {
			delete(k.stoppedSince, m.ID)
		} else if _, ok := k.stoppedSince[m.ID]; !ok {
			k.stoppedSince[m.ID] = k.now
		}
	}
	for id := range k.machines {
		if _, ok := k.stoppedSince[id]; e.Complete && !named[id] && !ok {
			k.stoppedSince[id] = k.now
		}
	}
}

// action checks an action of the scheduler.
func (k *ruleChecker) action(action Action) {
	switch action := action.(type) {
	case Offer:
		k.offer(action)
	case Reject:
		k.checkRejection(action)
		k.answer(action.Task)
	case Fail:
		k.answer(action.Task)
	}
}

// checkRejection: a rejection promises that a retry does no harm.
func (k *ruleChecker) checkRejection(reject Reject) {
	task := k.tasks[reject.Task]
	class := k.cfg.Classes[task.task.Class]
	if class.Idempotency == Idempotent || class.Idempotency == IdempotentByKey && class.KeyDomain == FleetDomain {
		return
	}
	for _, attempt := range task.attempts {
		if attempt.mayHaveRun {
			k.t.Errorf("%v: rejected %s, which may have run", k.now, reject.Task)
		}
	}
}

// answer checks that each task has one final answer, before its deadline.
func (k *ruleChecker) answer(id string) {
	task := k.tasks[id]
	if task.answered {
		k.t.Errorf("%v: second answer for %s", k.now, id)
	}
	if k.now >= task.task.Deadline {
		k.t.Errorf("%v: %s answered after %v", k.now, id, task.task.Deadline)
	}
	task.answered = true
}

// checkAnswered fails where a task is open a while after its deadline.
func (k *ruleChecker) checkAnswered() {
	for id, task := range k.tasks {
		overdue := k.now-task.task.Deadline > 12*millisecond
		if !task.answered && overdue && task.task.Deadline > k.startedAt {
			k.t.Fatalf("%v: %s has no answer", k.now, id)
		}
	}
}

// domainOf names the domain of a machine.
func (k *ruleChecker) domainOf(reach TopologyDomain, machine string) string {
	switch reach {
	case MachineDomain:
		return machine
	case CellDomain:
		return fmt.Sprint("cell", k.machines[machine].Cell)
	case ZoneDomain:
		return "zone" + k.machines[machine].Zone
	}
	return ""
}

// offer checks all that holds of an offer.
func (k *ruleChecker) offer(offer Offer) {
	task := k.tasks[offer.Task]
	class := k.cfg.Classes[task.task.Class]
	k.checkTimes(offer, task)
	k.checkMachine(offer, class)
	k.checkRetry(offer, task, class)
	task.attempts = append(task.attempts,
		checkedAttempt{machine: offer.Machine, sentAt: k.now, active: true, mayHaveRun: true})
	k.checkSpread(offer, task, class)
	k.checkSlowStart(offer, k.machines[offer.Machine])
}

func (k *ruleChecker) checkTimes(offer Offer, task *checkedTask) {
	if task.answered || k.now >= task.task.Deadline {
		k.t.Errorf("%v: offer for %s after its end", k.now, offer.Task)
	}
	if k.now+offer.Timeout > task.task.Deadline {
		k.t.Errorf("%v: time-out of %s is after its deadline", k.now, offer.Task)
	}
}

func (k *ruleChecker) checkMachine(offer Offer, class Class) {
	machine, ok := k.machines[offer.Machine]
	if !ok {
		k.t.Errorf("%v: offer to unlisted %s", k.now, offer.Machine)
	}
	if since, ok := k.stoppedSince[offer.Machine]; ok && k.now-since >= 0 {
		k.t.Errorf("%v: offer to %s, draining or removed since %v", k.now, offer.Machine, since)
	}
	if class.Kind >= 0 && class.Kind != machine.Kind {
		k.t.Errorf("%v: wrong kind for %s", k.now, offer.Task)
	}
}

// checkRetry: a further attempt must do no harm.
func (k *ruleChecker) checkRetry(offer Offer, task *checkedTask, class Class) {
	if len(task.attempts) >= k.cfg.MaxAttempts {
		k.t.Errorf("%v: too many attempts of %s", k.now, offer.Task)
	}
	for _, attempt := range task.attempts {
		if attempt.active {
			k.t.Errorf("%v: two active attempts of %s", k.now, offer.Task)
		}
		if !attempt.mayHaveRun || class.Idempotency == Idempotent {
			continue
		}
		sameDomain := k.domainOf(class.KeyDomain, attempt.machine) == k.domainOf(class.KeyDomain, offer.Machine)
		if class.Idempotency == NonIdempotent || !sameDomain || k.now-attempt.sentAt >= class.KeyTTL {
			k.t.Errorf("%v: %s may have run, offered again to %s", k.now, offer.Task, offer.Machine)
		}
	}
}

func (k *ruleChecker) checkSpread(offer Offer, task *checkedTask, class Class) {
	if class.SpreadDomain == NoDomain {
		return
	}
	count, domain := 0, k.domainOf(class.SpreadDomain, offer.Machine)
	for _, other := range k.tasks {
		for _, attempt := range other.attempts {
			if attempt.active && other.task.Service == task.task.Service &&
				k.domainOf(class.SpreadDomain, attempt.machine) == domain {
				count++
			}
		}
	}
	if count > class.MaxPerDomain {
		k.t.Errorf("%v: %d tasks of %s together", k.now, count, task.task.Service)
	}
}

func (k *ruleChecker) checkSlowStart(offer Offer, machine Machine) {
	if machine.Started == 0 || k.now > machine.Started+k.cfg.SlowStartDuration {
		return
	}
	if k.startedAt > machine.Started && k.now < k.startedAt+k.cfg.OverloadWindow {
		k.t.Errorf("%v: offer to %s in slow start with an unknown budget", k.now, offer.Machine)
	}
	k.offeredAt[offer.Machine] = append(k.offeredAt[offer.Machine], k.now)
	count := 0
	for _, at := range k.offeredAt[offer.Machine] {
		if at >= machine.Started && k.now-at <= k.cfg.OverloadWindow {
			count++
		}
	}
	// An equal number of whole offers, and one more in a slot where these leave one over. That all schedulers together
	// stay within the budget is checked by TestSlowStartBudgetOfFleet.
	budget := int(k.cfg.SlowStartBudget / float64(k.cfg.Schedulers))
	if k.cfg.SlowStartBudget-float64(budget*k.cfg.Schedulers) >= 1 {
		budget++
	}
	if count > budget {
		k.t.Errorf("%v: %d offers to %s in slow start", k.now, count, offer.Machine)
	}
}
