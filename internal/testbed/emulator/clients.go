package emulator

import (
	"time"

	"flaxshelf.example/flaxshelf/internal/scheduler"
	"flaxshelf.example/flaxshelf/internal/testbed/fault"
	"flaxshelf.example/flaxshelf/internal/testbed/scenario"
	"flaxshelf.example/flaxshelf/internal/timerqueue"
)

// outcomeGracePeriod is how long after the deadline of an outcome a client still waits for it, as in trials.
const outcomeGracePeriod = 2 * time.Second

// warmUpDuration is the simulated time between Epoch and the start of the day, in which the schedulers connect.
const warmUpDuration = 500 * time.Millisecond

// resubmitDelay is how long a client waits before it resubmits a job after its scheduler was killed or did not run.
const resubmitDelay = 200 * time.Millisecond

// clients is the entity of all clients. They submit the load and account for every submission: each is counted once, by its
// outcome or by the reason why it has none.
type clients struct {
	id          int32
	simulation  *simulation
	inbox       inbox
	latency     *latencyModel
	loads       []loadSource
	timers      timerqueue.Heap[timerFunc]
	submissions map[string]*submissionState // by idempotency key, while they are open
	stats       *clientStats
	measureFrom time.Duration       // since the start of the day; earlier submissions do not count in class reports
	loadState   fault.LoadModifiers // rate factors and hot services, as set by faults
}

// timerFunc is the callback of a timer. now is the time at which the timer fires.
type timerFunc func(now Time, out *outbox)

// loadSource is the source of the submissions of one load, with the next of them.
type loadSource struct {
	arrivals arrivalSource
	next     scenario.Arrival
	hasNext  bool
}

func newClients(s *simulation) *clients {
	c := &clients{simulation: s, latency: newLatencyModel(s.seed, 0), submissions: map[string]*submissionState{},
		stats: newClientStats(s.day)}
	var sources []arrivalSource
	for i := range s.day.Loads {
		sources = append(sources, s.day.Arrivals(i, s.seed))
	}
	if s.trace != nil {
		sources = []arrivalSource{s.trace}
	}
	for _, source := range sources {
		load := loadSource{arrivals: source}
		load.next, load.hasNext = source.Next(1, 0)
		c.loads = append(c.loads, load)
	}
	return c
}

func (c *clients) receive(m message) { c.inbox.put(m) }

func (c *clients) nextDue() Time {
	due := c.inbox.nextDue()
	if at, ok := c.timers.Next(); ok {
		due = min(due, at)
	}
	for i := range c.loads {
		if c.loads[i].hasNext {
			due = min(due, arrivalTime(&c.loads[i].next))
		}
	}
	return due
}

// arrivalTime returns the intended time of a submission.
func arrivalTime(arrival *scenario.Arrival) Time { return Epoch + warmUpDuration + arrival.At }

// setTimer sets a timer that calls fire at the given time. Timers of the same time fire in the order in which they were set.
func (c *clients) setTimer(at Time, fire timerFunc) {
	c.timers.Set(&timerqueue.Item[timerFunc]{Value: fire}, at)
}

func (c *clients) run(end Time, out *outbox) {
	for _, m := range c.inbox.due(end) {
		c.handle(m)
	}
	lastInWindow := end - 1
	for timer := c.timers.PopDue(lastInWindow); timer != nil; timer = c.timers.PopDue(lastInWindow) {
		timer.Value(timer.At(), out)
	}
	for i := range c.loads {
		load := &c.loads[i]
		for load.hasNext && arrivalTime(&load.next) < end {
			c.submit(load.next, out)
			load.next, load.hasNext = load.arrivals.Next(c.loadState.ForClass(load.next.Load.Class))
		}
	}
}

func (c *clients) submit(arrival scenario.Arrival, out *outbox) {
	now, load, rules := arrivalTime(&arrival), arrival.Load, &c.simulation.day.Rules
	s := &submissionState{arrival: arrival, spec: c.jobSpec(&arrival)}
	timeout := c.simulation.schedulers[arrival.Scheduler].settings.Classes[s.spec.Class].PlacementTimeout.Duration()
	s.closeAt = now + max(timeout+rules.AnswerSlack.Duration()+outcomeGracePeriod, load.RetryTimeout.Duration())
	c.submissions[arrival.Key] = s
	if arrival.At >= c.measureFrom {
		c.stats.countSubmitted(load.Class)
	}
	c.sendSubmission(s, now, out)
	c.setTimer(s.closeAt, func(Time, *outbox) { c.closeSubmission(s) })
}

// jobSpec returns the job that a client submits. Resources that the arrival does not set are those of its class.
func (c *clients) jobSpec(arrival *scenario.Arrival) scheduler.JobSpec {
	schedulerSettings, load := c.simulation.schedulers[arrival.Scheduler].settings, arrival.Load
	spec := scheduler.JobSpec{Key: arrival.Key, Session: "", Name: load.Class, Service: arrival.Service,
		Class: schedulerSettings.ClassIndex(load.Class), Tenant: schedulerSettings.TenantIndex(load.Tenant), Cores: arrival.Cores,
		Memory: arrival.Memory, ExpectedRuntime: arrival.Runtime, Rerunnable: load.Rerunnable}
	class := &schedulerSettings.Classes[spec.Class]
	spec.Priority = class.Priority
	if spec.Cores <= 0 {
		spec.Cores = class.Cores
	}
	if spec.Memory <= 0 {
		spec.Memory = class.Memory
	}
	return spec
}

func (c *clients) sendSubmission(s *submissionState, now Time, out *outbox) {
	to := c.simulation.schedulers[s.arrival.Scheduler].id
	out.send(c.latency.deliveryTime(now, to), to, submission{s.spec})
}

func (c *clients) handle(m message) {
	switch body := m.body.(type) {
	case submissionAnswer:
		c.handleAnswer(&body, m.deliverAt)
	case jobEvent:
		c.handleJobEvent(&body)
	case loadFactor:
		c.loadState.SetFactor(body.class, body.factor)
	case hotServiceFraction:
		c.loadState.SetHotServiceFraction(body.class, body.fraction)
	case schedulerKilled:
		c.handleSchedulerKilled(body.scheduler, m.deliverAt)
	}
}

// handleAnswer handles the answer to a submission. If the scheduler was killed or does not run, the job is resubmitted after
// any error code. Otherwise the client retries as the load sets.
func (c *clients) handleAnswer(a *submissionAnswer, now Time) {
	s := c.submissions[a.key]
	if s == nil {
		return
	}
	switch {
	case a.errorCode == errorCodeUnreachable && s.outcome == "":
		s.schedulerKilled = true
		c.scheduleResubmission(s, now)
	case a.errorCode != "" && s.schedulerKilled:
		c.scheduleResubmission(s, now)
	case a.errorCode != "":
		s.endReason = endRejected + a.errorCode
		if c.scheduleRetry(s, now) {
			s.endReason = ""
		}
	default:
		first := s.jobID == ""
		s.jobID = a.jobID
		if first {
			c.scheduleCommands(s, now)
		}
	}
}

func (c *clients) handleSchedulerKilled(index int, now Time) {
	for _, s := range c.openSubmissions() {
		if s.arrival.Scheduler == index && s.outcome == "" && s.endReason == "" {
			s.schedulerKilled = true
			c.scheduleResubmission(s, now)
		}
	}
}

// scheduleCommands schedules the commands for a job: the load sets which fraction of its jobs is terminated, and which is held
// and later released.
func (c *clients) scheduleCommands(s *submissionState, now Time) {
	load := s.arrival.Load
	later := now + s.arrival.ControlDelay
	switch {
	case s.arrival.ControlDraw < load.TerminateFraction:
		c.scheduleCommand(s, later, scheduler.Terminate)
	case s.arrival.ControlDraw < load.TerminateFraction+load.HoldFraction:
		c.scheduleCommand(s, now, scheduler.Hold)
		c.scheduleCommand(s, later, scheduler.Release)
	}
}

func (c *clients) scheduleCommand(s *submissionState, at Time, verb scheduler.Verb) {
	to := c.simulation.schedulers[s.arrival.Scheduler].id
	c.setTimer(at, func(now Time, out *outbox) {
		out.send(c.latency.deliveryTime(now, to), to, jobCommand{verb: verb, jobID: s.jobID})
	})
}

// handleJobEvent counts the end of a job or the outcome of a placement request. The first outcome that is not retried is that
// of the submission.
func (c *clients) handleJobEvent(notice *jobEvent) {
	info := &notice.info
	if info.State.Ended() {
		c.stats.jobEnds[info.SubState]++
		return
	}
	c.stats.countOutcome(c.simulation.day.Classes[info.Spec.Class].Name, info.Outcome)
	s := c.submissions[info.Spec.Key]
	if s == nil || s.outcome != "" {
		return
	}
	canceled, placed := info.Outcome == scheduler.OutcomeCanceled, info.Outcome == scheduler.OutcomePlaced
	if canceled && s.arrival.ControlDraw >= s.arrival.Load.TerminateFraction {
		return // a hold canceled the placement request; the release starts another
	}
	if !placed && !canceled && c.scheduleRetry(s, notice.at) {
		s.lastOutcome = string(info.Outcome)
		return
	}
	s.outcome = info.Outcome
	if placed && s.arrival.At >= c.measureFrom {
		class := c.simulation.day.Class(s.arrival.Load.Class)
		c.stats.countPlaced(class.Name, notice.at-arrivalTime(&s.arrival), class.LatencyObjective.Duration())
	}
}
