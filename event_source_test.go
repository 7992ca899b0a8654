package flaxshelf

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// randomConfig returns the settings of a random deployment.
func randomConfig(random *rand.Rand) Config {
	yes := func() bool { return random.IntN(2) == 0 }
	cfg := testConfig()
	cfg.Schedulers = 1 + random.IntN(4)
	cfg.Kinds = []MachineKind{{"small", 16, 50}, {"big", 64, 200}}
	cfg.SlowStartBudget = float64(5 + random.IntN(30))
	cfg.DiscoveryOnRequest, cfg.ListsFreeCapacity, cfg.CanCancel = yes(), yes(), yes()
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

// eventSource generates random legal events: it answers offers, changes the machine list and submits tasks.
type eventSource struct {
	random    *rand.Rand
	checker   *ruleChecker
	pending   []pendingAttempt
	taskCount int
}

// pendingAttempt is an offer that has not ended.
type pendingAttempt struct {
	task    string
	machine string
	attempt int
	due     Time // when something happens to it next
	placed  bool
}

// events returns the events of one step.
func (s *eventSource) events() []Event {
	events := s.attemptEvents()
	for range s.random.IntN(4) {
		events = append(events, s.submission())
	}
	if s.random.IntN(6) == 0 {
		events = append(events, s.machineChange())
	}
	if s.random.IntN(40) == 0 {
		events = append(events, DiscoveryFailed{})
	}
	return events
}

// attemptEvents returns events that place or end the pending attempts that are due.
func (s *eventSource) attemptEvents() (events []Event) {
	kept := s.pending[:0]
	for _, p := range s.pending {
		if s.checker.now >= p.due {
			answered := s.checker.tasks[p.task].answered
			if p.placed || answered || s.random.IntN(3) == 0 {
				events = append(events, s.end(p, answered))
				continue
			}
			events = append(events,
				AttemptPlaced{Task: p.task, Machine: p.machine, Attempt: p.attempt, Latency: 20 * millisecond})
			p.placed, p.due = true, s.checker.now+time.Duration(s.random.IntN(4000))*millisecond
		}
		kept = append(kept, p)
	}
	s.pending = kept
	return events
}

// end returns the event of a random end of an attempt.
func (s *eventSource) end(p pendingAttempt, answered bool) Event {
	outcome := Outcome(1 + s.random.IntN(7))
	if p.placed {
		outcome = []Outcome{Completed, Lost}[s.random.IntN(2)]
	}
	return AttemptEnded{Task: p.task, Machine: p.machine, Attempt: p.attempt, Outcome: outcome,
		Final: answered || p.placed, Reason: Reason(s.random.IntN(5)),
		Load: LoadReport{Present: s.random.IntN(2) == 0, HasCores: true, FreeCores: float64(s.random.IntN(20))}}
}

// submission returns the event of a random task.
func (s *eventSource) submission() Event {
	s.taskCount++
	return TaskSubmitted{Task{ID: fmt.Sprint("t", s.taskCount), Service: fmt.Sprint("s", s.random.IntN(3)),
		Class: s.random.IntN(4), Cores: 1, Memory: 2, Tenant: -1,
		Deadline: s.checker.now + time.Duration(1+s.random.IntN(3000))*millisecond}}
}

// machineChange returns an event that adds, changes, restarts, drains or removes one machine.
func (s *eventSource) machineChange() Event {
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

// offered records an offer, which will be answered within its time-out.
func (s *eventSource) offered(offer Offer) {
	delay := time.Duration(s.random.IntN(int(offer.Timeout/millisecond)+1)) * millisecond
	s.pending = append(s.pending, pendingAttempt{task: offer.Task, machine: offer.Machine,
		attempt: len(s.checker.tasks[offer.Task].attempts) - 1, due: s.checker.now + delay})
}
