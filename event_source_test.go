package flaxshelf

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// randomConfig returns valid random settings with one class for each idempotency and a second class that is IdempotentByKey.
func randomConfig(random *rand.Rand) Config {
	randomBool := func() bool { return random.IntN(2) == 0 }
	cfg := testConfig()
	cfg.Schedulers = 1 + random.IntN(4)
	cfg.Kinds = []MachineKind{{"small", 16, 50}, {"big", 64, 200}}
	cfg.SlowStartBudget = float64(5 + random.IntN(30))
	cfg.DiscoveryOnRequest, cfg.ListsFreeCapacity, cfg.CanCancel = randomBool(), randomBool(), randomBool()
	cfg.Prices = Prices{CrossZone: float64(random.IntN(2)), MachinesInUse: float64(random.IntN(2))}
	cfg.Classes = nil
	for _, idempotency := range []Idempotency{Idempotent, IdempotentByKey, IdempotentByKey, NonIdempotent} {
		cfg.Classes = append(cfg.Classes, TaskClass{
			Name:             fmt.Sprint(len(cfg.Classes)),
			Idempotency:      idempotency,
			KeyDomain:        MachineDomain + TopologyDomain(random.IntN(4)),
			KeyTTL:           time.Duration(1+random.IntN(4)) * 500 * millisecond,
			LatencyObjective: 300 * millisecond,
			Kind:             random.IntN(3) - 1,
			Priority:         random.IntN(3),
			SpreadDomain:     TopologyDomain(random.IntN(4)),
			MaxPerDomain:     1 + random.IntN(3),
		})
	}
	return cfg
}

// eventSource generates random events that a real deployment could send: answers to offers, changes of the machine list and
// submissions.
type eventSource struct {
	random    *rand.Rand
	checker   *ruleChecker
	pending   []pendingAttempt
	taskCount int
}

// pendingAttempt is an attempt that has not ended.
type pendingAttempt struct {
	task        string
	machine     string
	attempt     int
	nextEventAt Time // when it is placed or ends
	placed      bool
}

// nextEvents returns the events of the next step.
func (s *eventSource) nextEvents() []Event {
	events := s.dueAttemptEvents()
	for range s.random.IntN(4) {
		events = append(events, s.randomSubmission())
	}
	if s.random.IntN(6) == 0 {
		events = append(events, s.randomMachineChange())
	}
	if s.random.IntN(40) == 0 {
		events = append(events, DiscoveryFailed{})
	}
	return events
}

// dueAttemptEvents returns the events that place or end the pending attempts whose time has come.
func (s *eventSource) dueAttemptEvents() (events []Event) {
	remaining := s.pending[:0]
	for _, p := range s.pending {
		if s.checker.now >= p.nextEventAt {
			answered := s.checker.tasks[p.task].answered
			if p.placed || answered || s.random.IntN(3) == 0 {
				events = append(events, s.randomEnd(p, answered))
				continue
			}
			events = append(events,
				AttemptPlaced{Task: p.task, Machine: p.machine, Attempt: p.attempt, Latency: 20 * millisecond})
			p.placed, p.nextEventAt = true, s.checker.now+time.Duration(s.random.IntN(4000))*millisecond
		}
		remaining = append(remaining, p)
	}
	s.pending = remaining
	return events
}

// randomEnd returns the event that ends an attempt with a random outcome: Completed or Lost if the attempt was placed, any but
// Completed if not. answered tells whether its task has a final answer.
func (s *eventSource) randomEnd(p pendingAttempt, answered bool) Event {
	outcome := Outcome(1 + s.random.IntN(7))
	if p.placed {
		outcome = []Outcome{Completed, Lost}[s.random.IntN(2)]
	}
	return AttemptEnded{Task: p.task, Machine: p.machine, Attempt: p.attempt, Outcome: outcome,
		Final: answered || p.placed, Reason: Reason(s.random.IntN(5)),
		Load: LoadReport{Present: s.random.IntN(2) == 0, HasCores: true, FreeCores: float64(s.random.IntN(20))}}
}

// randomSubmission returns the submission of a random task.
func (s *eventSource) randomSubmission() Event {
	s.taskCount++
	return TaskSubmitted{Task{ID: fmt.Sprint("t", s.taskCount), Service: fmt.Sprint("s", s.random.IntN(3)),
		Class: s.random.IntN(4), Cores: 1, Memory: 2, Tenant: -1,
		Deadline: s.checker.now + time.Duration(1+s.random.IntN(3000))*millisecond}}
}

// randomMachineChange returns an event that adds, updates, restarts, drains or removes one machine. A complete list also
// removes all others.
func (s *eventSource) randomMachineChange() Event {
	m := Machine{ID: fmt.Sprint("m", s.random.IntN(8)), Kind: s.random.IntN(2), State: MachineState(s.random.IntN(3))}
	m.Zone, m.Cell = "z"+m.ID[1:2], int(m.ID[1])%3
	if old, ok := s.checker.machines[m.ID]; ok {
		m.Kind, m.Started = old.Kind, old.Started
	}
	if m.State == Active && s.random.IntN(2) == 0 {
		m.Started = s.checker.now
	}
	return MachinesUpdated{Machines: []Machine{m}, Complete: s.random.IntN(30) == 0}
}

// recordOffer adds a pending attempt, which is placed or ends at a random time within the offer's time-out.
func (s *eventSource) recordOffer(offer Offer) {
	delay := time.Duration(s.random.IntN(int(offer.Timeout/millisecond)+1)) * millisecond
	s.pending = append(s.pending, pendingAttempt{task: offer.Task, machine: offer.Machine,
		attempt: len(s.checker.tasks[offer.Task].attempts) - 1, nextEventAt: s.checker.now + delay})
}
