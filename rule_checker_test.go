package flaxshelf

import (
	"fmt"
	"testing"
)

// ruleChecker follows a run by its events and actions alone and checks the five rules of placement. It shares no records
// with the Placer.
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

// checkedTask is a task as the checker has seen it.
type checkedTask struct {
	task     Task
	answered bool
	attempts []checkedAttempt
}

// checkedAttempt is an attempt as the checker has seen it.
type checkedAttempt struct {
	machine    string
	sentAt     Time
	active     bool
	mayHaveRun bool
}

// newRuleChecker makes the checker of a scheduler that starts at now.
func newRuleChecker(t *testing.T, cfg Config, now Time) *ruleChecker {
	t.Helper()
	return &ruleChecker{t: t, cfg: cfg, now: now, startedAt: now, machines: map[string]Machine{},
		stoppedSince: map[string]Time{}, tasks: map[string]*checkedTask{}, offeredAt: map[string][]Time{}}
}

// event records an event that the scheduler is about to process.
func (c *ruleChecker) event(e Event) {
	switch e := e.(type) {
	case MachinesUpdated:
		c.machinesUpdated(e)
	case TaskSubmitted:
		c.tasks[e.Task.ID] = &checkedTask{task: e.Task}
	case TaskAdopted:
		c.tasks[e.Task.ID] = &checkedTask{task: e.Task, answered: true,
			attempts: []checkedAttempt{{machine: e.Machine, sentAt: c.now, active: true, mayHaveRun: true}}}
	case AttemptPlaced:
		c.tasks[e.Task].answered = true
	case AttemptEnded:
		task := c.tasks[e.Task]
		attempt := &task.attempts[e.Attempt]
		attempt.active = false
		attempt.mayHaveRun = e.Outcome != Rejected && e.Outcome != Unreachable && e.Outcome != NotSent
		task.answered = task.answered || e.Final
	}
}

func (c *ruleChecker) machinesUpdated(e MachinesUpdated) {
	named := map[string]bool{}
	for _, m := range e.Machines {
		named[m.ID] = true
		c.machines[m.ID] = m
		if m.State == Active {
			delete(c.stoppedSince, m.ID)
		} else if _, ok := c.stoppedSince[m.ID]; !ok {
			c.stoppedSince[m.ID] = c.now
		}
	}
	for id := range c.machines {
		if _, ok := c.stoppedSince[id]; e.Complete && !named[id] && !ok {
			c.stoppedSince[id] = c.now
		}
	}
}

// action checks an action of the scheduler.
func (c *ruleChecker) action(action Action) {
	switch action := action.(type) {
	case Offer:
		c.offer(action)
	case Reject:
		c.checkRejection(action)
		c.answer(action.Task)
	case Fail:
		c.answer(action.Task)
	}
}

// checkRejection checks that a retry after a rejection does no harm.
func (c *ruleChecker) checkRejection(reject Reject) {
	task := c.tasks[reject.Task]
	class := c.cfg.Classes[task.task.Class]
	if class.Idempotency == Idempotent || class.Idempotency == IdempotentByKey && class.KeyDomain == FleetDomain {
		return
	}
	for _, attempt := range task.attempts {
		if attempt.mayHaveRun {
			c.t.Errorf("%v: rejected %s, which may have run", c.now, reject.Task)
		}
	}
}

// answer checks that a task has one final answer, before its deadline.
func (c *ruleChecker) answer(id string) {
	task := c.tasks[id]
	if task.answered {
		c.t.Errorf("%v: second answer for %s", c.now, id)
	}
	if c.now >= task.task.Deadline {
		c.t.Errorf("%v: %s answered after %v", c.now, id, task.task.Deadline)
	}
	task.answered = true
}

// checkAnswered checks that no task is open 12 ms after its deadline.
func (c *ruleChecker) checkAnswered() {
	for id, task := range c.tasks {
		overdue := c.now-task.task.Deadline > 12*millisecond
		if !task.answered && overdue && task.task.Deadline > c.startedAt {
			c.t.Fatalf("%v: %s has no answer", c.now, id)
		}
	}
}

// domainOf returns the name of the domain of a machine.
func (c *ruleChecker) domainOf(scope TopologyDomain, machine string) string {
	switch scope {
	case MachineDomain:
		return machine
	case CellDomain:
		return fmt.Sprint("cell", c.machines[machine].Cell)
	case ZoneDomain:
		return "zone" + c.machines[machine].Zone
	}
	return ""
}

// offer checks an offer by all rules.
func (c *ruleChecker) offer(offer Offer) {
	task := c.tasks[offer.Task]
	class := c.cfg.Classes[task.task.Class]
	c.checkTimes(offer, task)
	c.checkMachine(offer, class)
	c.checkRetry(offer, task, class)
	task.attempts = append(task.attempts,
		checkedAttempt{machine: offer.Machine, sentAt: c.now, active: true, mayHaveRun: true})
	c.checkSpread(offer, task, class)
	c.checkSlowStart(offer, c.machines[offer.Machine])
}

func (c *ruleChecker) checkTimes(offer Offer, task *checkedTask) {
	if task.answered || c.now >= task.task.Deadline {
		c.t.Errorf("%v: offer for %s after its end", c.now, offer.Task)
	}
	if c.now+offer.Timeout > task.task.Deadline {
		c.t.Errorf("%v: time-out of %s is after its deadline", c.now, offer.Task)
	}
}

func (c *ruleChecker) checkMachine(offer Offer, class TaskClass) {
	machine, ok := c.machines[offer.Machine]
	if !ok {
		c.t.Errorf("%v: offer to unlisted %s", c.now, offer.Machine)
	}
	if since, ok := c.stoppedSince[offer.Machine]; ok && c.now-since >= 0 {
		c.t.Errorf("%v: offer to %s, draining or removed since %v", c.now, offer.Machine, since)
	}
	if class.Kind >= 0 && class.Kind != machine.Kind {
		c.t.Errorf("%v: wrong kind for %s", c.now, offer.Task)
	}
}

// checkRetry checks that a further attempt does no harm.
func (c *ruleChecker) checkRetry(offer Offer, task *checkedTask, class TaskClass) {
	if len(task.attempts) >= c.cfg.MaxAttempts {
		c.t.Errorf("%v: too many attempts of %s", c.now, offer.Task)
	}
	for _, attempt := range task.attempts {
		if attempt.active {
			c.t.Errorf("%v: two active attempts of %s", c.now, offer.Task)
		}
		if !attempt.mayHaveRun || class.Idempotency == Idempotent {
			continue
		}
		sameDomain := c.domainOf(class.KeyDomain, attempt.machine) == c.domainOf(class.KeyDomain, offer.Machine)
		if class.Idempotency == NonIdempotent || !sameDomain || c.now-attempt.sentAt >= class.KeyTTL {
			c.t.Errorf("%v: %s may have run, offered again to %s", c.now, offer.Task, offer.Machine)
		}
	}
}

func (c *ruleChecker) checkSpread(offer Offer, task *checkedTask, class TaskClass) {
	if class.SpreadDomain == NoDomain {
		return
	}
	count, domain := 0, c.domainOf(class.SpreadDomain, offer.Machine)
	for _, other := range c.tasks {
		for _, attempt := range other.attempts {
			if attempt.active && other.task.Service == task.task.Service &&
				c.domainOf(class.SpreadDomain, attempt.machine) == domain {
				count++
			}
		}
	}
	if count > class.MaxPerDomain {
		c.t.Errorf("%v: %d tasks of %s together", c.now, count, task.task.Service)
	}
}

func (c *ruleChecker) checkSlowStart(offer Offer, machine Machine) {
	if machine.Started == 0 || c.now > machine.Started+c.cfg.SlowStartDuration {
		return
	}
	if c.startedAt > machine.Started && c.now < c.startedAt+c.cfg.OverloadWindow {
		c.t.Errorf("%v: offer to %s in slow start with an unknown budget", c.now, offer.Machine)
	}
	c.offeredAt[offer.Machine] = append(c.offeredAt[offer.Machine], c.now)
	count := 0
	for _, at := range c.offeredAt[offer.Machine] {
		if at >= machine.Started && c.now-at <= c.cfg.OverloadWindow {
			count++
		}
	}
	// An equal number of whole offers, and one more in a slot where these leave one over. That all schedulers together
	// stay within the budget is checked by TestSlowStartBudgetOfFleet.
	budget := int(c.cfg.SlowStartBudget / float64(c.cfg.Schedulers))
	if c.cfg.SlowStartBudget-float64(budget*c.cfg.Schedulers) >= 1 {
		budget++
	}
	if count > budget {
		c.t.Errorf("%v: %d offers to %s in slow start", c.now, count, offer.Machine)
	}
}
