package flaxshelf

import (
	"fmt"
	"testing"
)

// ruleChecker checks a scheduler against five rules, from its events and actions alone; it reads no records of the Placer. Each
// task gets one answer in time. An offer goes to a listed machine in service, of the right kind. A retry is made only where a
// second start is safe. Offers keep to the bounded spread and to the slow start budget.
type ruleChecker struct {
	t                *testing.T
	cfg              Config
	now              Time
	startedAt        Time // when the scheduler started
	machines         map[string]Machine
	unavailableSince map[string]Time // by machine ID, when the scheduler learned that the machine drains or was removed
	tasks            map[string]*checkedTask
	slowStartOffers  map[string][]Time // times of offers to each machine in slow start
}

// checkedTask is the checker's record of a task.
type checkedTask struct {
	task     Task
	answered bool
	attempts []checkedAttempt
}

// checkedAttempt is the checker's record of an attempt.
type checkedAttempt struct {
	machine    string
	sentAt     Time
	active     bool
	mayHaveRun bool // there is no outcome that proves that the attempt never ran
}

// newRuleChecker returns the checker of a scheduler that starts at the given time.
func newRuleChecker(t *testing.T, cfg Config, now Time) *ruleChecker {
	t.Helper()
	return &ruleChecker{t: t, cfg: cfg, now: now, startedAt: now, machines: map[string]Machine{},
		unavailableSince: map[string]Time{}, tasks: map[string]*checkedTask{}, slowStartOffers: map[string][]Time{}}
}

// observeEvent records an event. It is called before the scheduler processes the event.
func (c *ruleChecker) observeEvent(e Event) {
	switch e := e.(type) {
	case MachinesUpdated:
		c.observeMachineList(e)
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

func (c *ruleChecker) observeMachineList(e MachinesUpdated) {
	listed := map[string]bool{}
	for _, m := range e.Machines {
		listed[m.ID] = true
		c.machines[m.ID] = m
		if m.State == Active {
			delete(c.unavailableSince, m.ID)
		} else if _, ok := c.unavailableSince[m.ID]; !ok {
			c.unavailableSince[m.ID] = c.now
		}
	}
	for id := range c.machines {
		if _, ok := c.unavailableSince[id]; e.Complete && !listed[id] && !ok {
			c.unavailableSince[id] = c.now
		}
	}
}

// checkAction checks an action of the scheduler and records it.
func (c *ruleChecker) checkAction(action Action) {
	switch action := action.(type) {
	case Offer:
		c.checkOffer(action)
	case Reject:
		c.checkRejection(action)
		c.checkAnswer(action.Task)
	case Fail:
		c.checkAnswer(action.Task)
	}
}

// checkRejection checks that no attempt of a rejected task may have run, unless the task's idempotency makes a second start
// safe on any machine: after a rejection the owner may submit the task again.
func (c *ruleChecker) checkRejection(reject Reject) {
	task := c.tasks[reject.Task]
	class := c.cfg.Classes[task.task.Class]
	if class.Idempotency == Idempotent || class.Idempotency == IdempotentByKey && class.KeyDomain == FleetDomain {
		return
	}
	for _, attempt := range task.attempts {
		if attempt.mayHaveRun {
			c.t.Errorf("%v: task %s is rejected although its attempt on %s may have run, want Fail",
				c.now, reject.Task, attempt.machine)
		}
	}
}

// checkAnswer checks that a task had no final answer before and that its deadline has not passed, and records the answer.
func (c *ruleChecker) checkAnswer(id string) {
	task := c.tasks[id]
	if task.answered {
		c.t.Errorf("%v: task %s gets a second answer, want one", c.now, id)
	}
	if c.now >= task.task.Deadline {
		c.t.Errorf("%v: task %s gets its answer, want it before the deadline %v", c.now, id, task.task.Deadline)
	}
	task.answered = true
}

// checkNoneOverdue checks that no task is unanswered 12 ms after its deadline. Tasks with a deadline before the scheduler's
// start are exempt.
func (c *ruleChecker) checkNoneOverdue() {
	for id, task := range c.tasks {
		overdue := c.now-task.task.Deadline > 12*millisecond
		if !task.answered && overdue && task.task.Deadline > c.startedAt {
			c.t.Fatalf("%v: task %s has no answer, want one before the deadline %v", c.now, id, task.task.Deadline)
		}
	}
}

// domainOf returns a name for a machine's domain of the given scope, the same name for all machines of the domain.
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

// checkOffer checks an offer by all rules and records it.
func (c *ruleChecker) checkOffer(offer Offer) {
	task := c.tasks[offer.Task]
	class := c.cfg.Classes[task.task.Class]
	c.checkDeadline(offer, task)
	c.checkMachine(offer, class)
	c.checkRetry(offer, task, class)
	task.attempts = append(task.attempts,
		checkedAttempt{machine: offer.Machine, sentAt: c.now, active: true, mayHaveRun: true})
	c.checkSpread(offer, task, class)
	c.checkSlowStart(offer, c.machines[offer.Machine])
}

func (c *ruleChecker) checkDeadline(offer Offer, task *checkedTask) {
	if task.answered || c.now >= task.task.Deadline {
		c.t.Errorf("%v: got an offer of task %s (answered: %v), want none after its answer or its deadline %v",
			c.now, offer.Task, task.answered, task.task.Deadline)
	}
	if c.now+offer.Timeout > task.task.Deadline {
		c.t.Errorf("%v: offer of task %s times out at %v, want no later than the deadline %v",
			c.now, offer.Task, c.now+offer.Timeout, task.task.Deadline)
	}
}

func (c *ruleChecker) checkMachine(offer Offer, class TaskClass) {
	machine, ok := c.machines[offer.Machine]
	if !ok {
		c.t.Errorf("%v: got an offer to machine %s, want a listed machine", c.now, offer.Machine)
	}
	if since, ok := c.unavailableSince[offer.Machine]; ok && c.now-since >= 0 {
		c.t.Errorf("%v: got an offer to machine %s, which drains or was removed at %v; want a machine in service",
			c.now, offer.Machine, since)
	}
	if class.Kind >= 0 && class.Kind != machine.Kind {
		c.t.Errorf("%v: got an offer of task %s to a machine of kind %d, want kind %d",
			c.now, offer.Task, machine.Kind, class.Kind)
	}
}

// checkRetry checks that a further attempt is allowed: attempts remain, none is active, and a second start is safe.
func (c *ruleChecker) checkRetry(offer Offer, task *checkedTask, class TaskClass) {
	if len(task.attempts) >= c.cfg.MaxAttempts {
		c.t.Errorf("%v: task %s is offered after %d attempts, want at most %d in all",
			c.now, offer.Task, len(task.attempts), c.cfg.MaxAttempts)
	}
	for _, attempt := range task.attempts {
		if attempt.active {
			c.t.Errorf("%v: task %s is offered while its attempt on %s is active", c.now, offer.Task, attempt.machine)
		}
		if !attempt.mayHaveRun || class.Idempotency == Idempotent {
			continue
		}
		sameDomain := c.domainOf(class.KeyDomain, attempt.machine) == c.domainOf(class.KeyDomain, offer.Machine)
		if class.Idempotency == NonIdempotent || !sameDomain || c.now-attempt.sentAt >= class.KeyTTL {
			c.t.Errorf("%v: task %s is offered to %s although its attempt on %s may have run (sent at %v)",
				c.now, offer.Task, offer.Machine, attempt.machine, attempt.sentAt)
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
		c.t.Errorf("%v: service %s has %d active attempts in domain %s, want at most %d",
			c.now, task.task.Service, count, domain, class.MaxPerDomain)
	}
}

func (c *ruleChecker) checkSlowStart(offer Offer, machine Machine) {
	if machine.Started == 0 || c.now > machine.Started+c.cfg.SlowStartDuration {
		return
	}
	if c.startedAt > machine.Started && c.now < c.startedAt+c.cfg.OverloadWindow {
		c.t.Errorf("%v: got an offer to %s in slow start, want none within %v of the scheduler's start at %v",
			c.now, offer.Machine, c.cfg.OverloadWindow, c.startedAt)
	}
	c.slowStartOffers[offer.Machine] = append(c.slowStartOffers[offer.Machine], c.now)
	count := 0
	for _, at := range c.slowStartOffers[offer.Machine] {
		if at >= machine.Started && c.now-at <= c.cfg.OverloadWindow {
			count++
		}
	}
	// The scheduler may make its equal share of the budget, rounded down to whole offers. It may make one more in its slot if
	// these shares of all schedulers leave at least one offer of the budget. TestSlowStartBudgetOfFleet checks that all
	// schedulers together stay within the budget.
	budget := int(c.cfg.SlowStartBudget / float64(c.cfg.Schedulers))
	if c.cfg.SlowStartBudget-float64(budget*c.cfg.Schedulers) >= 1 {
		budget++
	}
	if count > budget {
		c.t.Errorf("%v: got %d offers to %s in slow start within %v, want at most %d",
			c.now, count, offer.Machine, c.cfg.OverloadWindow, budget)
	}
}
