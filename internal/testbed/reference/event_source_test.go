package reference_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"pgregory.net/rapid"

	"flaxshelf.example/flaxshelf"
)

const millisecond = time.Millisecond

// randomConfig draws a deployment: priced machines and listed free capacity, discovery on request, or neither, as the
// deployments that the module was made for.
func randomConfig(t *rapid.T) flaxshelf.Config {
	upTo := func(most int, name string) int { return rapid.IntRange(0, most).Draw(t, name) }
	yes := func(name string) bool { return rapid.Bool().Draw(t, name) }
	cfg := flaxshelf.Config{
		Schedulers:            1 + upTo(40, "schedulers"),
		Zone:                  "z0",
		Kinds:                 []flaxshelf.Kind{{Name: "small", Cores: 16, Memory: 50}, {Name: "big", Cores: 64, Memory: 200}},
		Tenants:               []flaxshelf.Tenant{{Name: "a", QuotaFraction: 1, QuotaCores: 4}, {Name: "b", QuotaFraction: 1}},
		CoreOvercommit:        1 + float64(upTo(4, "core overcommit"))/4,
		MemoryOvercommit:      1.1,
		PlacedWhenRunning:     yes("placed when running"),
		ListsFreeCapacity:     yes("lists free capacity"),
		DiscoveryOnRequest:    yes("discovery on request"),
		CanCancel:             yes("can cancel"),
		MaxAttempts:           upTo(3, "attempts"),
		Tick:                  2 * millisecond,
		ConnectTimeout:        100 * millisecond,
		DrainGrace:            time.Second,
		DiscoveryPollDeadline: time.Second,
		SlowStartDuration:     2 * time.Second,
		OverloadWindow:        time.Second,
		SlowStartBudget:       float64(1 + upTo(40, "slow start budget")),
		OverQuotaWeight:       0.3,
	}
	cfg.Prices.Fleet = float64(upTo(1, "fleet priced"))
	for i, idempotency := range []flaxshelf.Idempotency{
		flaxshelf.Idempotent, flaxshelf.Idempotent, flaxshelf.IdempotentByKey, flaxshelf.NonIdempotent,
	} {
		cfg.Classes = append(cfg.Classes, flaxshelf.Class{
			Name:             fmt.Sprint(i),
			Idempotency:      idempotency,
			KeyDomain:        flaxshelf.MachineDomain + flaxshelf.TopologyDomain(upTo(3, "key domain")),
			KeyTTL:           time.Duration(1+upTo(3, "key TTL")) * 500 * millisecond,
			LatencyObjective: 300 * millisecond,
			Kind:             upTo(2, "kind") - 1,
			SpreadDomain:     flaxshelf.TopologyDomain(upTo(3, "spread domain")),
			MaxPerDomain:     1 + upTo(12, "tasks per domain"),
		})
	}
	return cfg
}

// pendingAttempt is an offer that has not ended.
type pendingAttempt struct {
	task    string
	machine string
	number  int
	due     flaxshelf.Time // when something happens to it next
	placed  bool
}

// eventSource draws legal events: it answers a module's offers, changes the machine list and submits tasks.
type eventSource struct {
	random       *rand.Rand
	cfg          flaxshelf.Config
	now          flaxshelf.Time
	machines     []flaxshelf.Machine
	pending      []pendingAttempt
	attempts     map[string]int  // offers of each task
	answered     map[string]bool // tasks
	taskCount    int
	machineCount int // ever

	// How busy it is.
	submissionsPerStep int           // at most
	maxWait            time.Duration // of a task's owner, beyond 20 ms
	maxLifetime        time.Duration // of a task
	services           int
}

// newEventSource draws how busy it is and the first machines.
func newEventSource(cfg flaxshelf.Config, random *rand.Rand) *eventSource {
	s := &eventSource{
		random:             random,
		cfg:                cfg,
		now:                time.Second,
		attempts:           map[string]int{},
		answered:           map[string]bool{},
		submissionsPerStep: 1 + random.IntN(8),
		maxWait:            time.Duration(1+random.IntN(4000)) * millisecond,
		maxLifetime:        time.Duration(1+random.IntN(8000)) * millisecond,
		services:           1 + random.IntN(20),
	}
	for range 2 + random.IntN(150) {
		s.machines = append(s.machines, s.newMachine())
	}
	return s
}

// below draws a whole number of milliseconds.
func (s *eventSource) below(limit time.Duration) time.Duration {
	return time.Duration(s.random.IntN(int(limit/millisecond))) * millisecond
}

func (s *eventSource) newMachine() flaxshelf.Machine {
	s.machineCount++
	m := flaxshelf.Machine{
		ID:   fmt.Sprintf("m%d", (s.machineCount*7919)%100003),
		Kind: s.random.IntN(2),
		Zone: fmt.Sprint("z", s.random.IntN(3)),
		Cell: s.random.IntN(5),
	}
	s.setFreeCapacity(&m)
	return m
}

func (s *eventSource) setFreeCapacity(m *flaxshelf.Machine) {
	if s.cfg.ListsFreeCapacity {
		kind := s.cfg.Kinds[max(m.Kind, 0)]
		m.FreeCores, m.FreeMemory = kind.Cores*s.random.Float64(), kind.Memory*s.random.Float64()
	}
}

// completeList is the machine list as a whole.
func (s *eventSource) completeList() flaxshelf.Event {
	return flaxshelf.MachinesUpdated{Complete: true, Machines: slices.Clone(s.machines)}
}

// discoveryEvent changes some machines, repeats the complete list, or is a failure of discovery.
func (s *eventSource) discoveryEvent() flaxshelf.Event {
	if s.random.IntN(12) == 0 {
		return flaxshelf.DiscoveryFailed{}
	}
	if s.random.IntN(20) == 0 {
		return s.completeList()
	}
	var changed []flaxshelf.Machine
	for range 1 + s.random.IntN(4) {
		changed = append(changed, s.changeMachine(&s.machines[s.random.IntN(len(s.machines))])...)
	}
	return flaxshelf.MachinesUpdated{Machines: changed}
}

// changeMachine changes one machine and returns its entries for the list.
func (s *eventSource) changeMachine(m *flaxshelf.Machine) (entries []flaxshelf.Machine) {
	switch s.random.IntN(12) {
	case 0:
		m.State = flaxshelf.Draining
	case 1:
		m.State = flaxshelf.Removed
	case 2:
		m.Started, m.State = s.now, flaxshelf.Active
	case 3: // replaced
		removed := *m
		removed.State = flaxshelf.Removed
		entries = append(entries, removed)
		*m = s.newMachine()
		m.Started = s.now
	case 4:
		m.Kind = s.random.IntN(3) - 1
	case 5:
		m.Zone, m.Cell = fmt.Sprint("z", s.random.IntN(3)), s.random.IntN(5)
	default:
		m.State = flaxshelf.Active
		s.setFreeCapacity(m)
	}
	return append(entries, *m)
}

// attemptEvents places or ends the pending attempts that are due, and reports the usage of some others.
func (s *eventSource) attemptEvents() (events []flaxshelf.Event) {
	kept := s.pending[:0]
	for _, p := range s.pending {
		switch {
		case s.now < p.due:
			if p.placed && s.random.IntN(50) == 0 {
				events = append(events, flaxshelf.UsageReport{Task: p.task, Machine: p.machine, Attempt: p.number,
					Kind: flaxshelf.UsageKind(1 + s.random.IntN(5)), Amount: s.random.Float64()})
			}
		case !p.placed && s.random.IntN(4) > 0:
			events = append(events, flaxshelf.AttemptPlaced{Task: p.task, Machine: p.machine, Attempt: p.number,
				Latency: 20 * millisecond})
			p.placed, p.due = true, s.now+s.below(s.maxLifetime)
			s.answered[p.task] = true
		default:
			events = append(events, s.end(p))
			continue
		}
		kept = append(kept, p)
	}
	s.pending = kept
	return events
}

// end draws how an attempt ends.
func (s *eventSource) end(p pendingAttempt) flaxshelf.Event {
	outcome := flaxshelf.Outcome(1 + s.random.IntN(7))
	if p.placed {
		outcome = []flaxshelf.Outcome{flaxshelf.Completed, flaxshelf.Completed, flaxshelf.Lost}[s.random.IntN(3)]
	}
	return flaxshelf.AttemptEnded{Task: p.task, Machine: p.machine, Attempt: p.number, Outcome: outcome,
		Final: s.answered[p.task], Reason: flaxshelf.Reason(s.random.IntN(8)),
		Load: flaxshelf.LoadReport{Present: s.random.IntN(2) == 0, HasCores: true, HasMemory: s.random.IntN(2) == 0,
			FreeCores: 16 * s.random.Float64(), FreeMemory: 50 * s.random.Float64()}}
}

func (s *eventSource) newTask() flaxshelf.Task {
	s.taskCount++
	task := flaxshelf.Task{
		ID:       fmt.Sprint("t", s.taskCount),
		Service:  fmt.Sprint("s", s.random.IntN(s.services)),
		Class:    s.random.IntN(4),
		Cores:    []float64{0.1, 1, 2.3, 2.8, 9}[s.random.IntN(5)],
		Memory:   3 * s.random.Float64(),
		Tenant:   s.random.IntN(3) - 1,
		Deadline: s.now + 20*millisecond + s.below(s.maxWait),
	}
	if s.random.IntN(3) == 0 {
		task.ExpectedRuntime = s.below(5 * time.Second)
	}
	return task
}

func (s *eventSource) anyMachine() string { return s.machines[s.random.IntN(len(s.machines))].ID }

// events draws those of one step.
func (s *eventSource) events() []flaxshelf.Event {
	events := s.attemptEvents()
	for range s.random.IntN(s.submissionsPerStep + 1) {
		events = append(events, flaxshelf.TaskSubmitted{Task: s.newTask()})
	}
	if s.random.IntN(30) == 0 {
		events = append(events, flaxshelf.TaskAdopted{Task: s.newTask(), Machine: s.anyMachine()})
	}
	if s.random.IntN(8) == 0 {
		events = append(events, s.discoveryEvent())
	}
	if s.random.IntN(40) == 0 {
		events = append(events, flaxshelf.HealthChecked{Machine: s.anyMachine(),
			Load: flaxshelf.LoadReport{Present: true, HasCores: true, FreeCores: 8}})
	}
	if s.taskCount > 0 && s.random.IntN(40) == 0 {
		events = append(events, flaxshelf.TaskCanceled{Task: fmt.Sprint("t", 1+s.random.IntN(s.taskCount))})
	}
	return append(events, flaxshelf.TimerFired{})
}

// follow remembers what an action asks for.
func (s *eventSource) follow(action flaxshelf.Action) {
	switch action := action.(type) {
	case flaxshelf.Offer:
		s.pending = append(s.pending, pendingAttempt{task: action.Task, machine: action.Machine,
			number: s.attempts[action.Task],
			due:    s.now + time.Duration(s.random.Int64N(int64(action.Timeout)+1))})
		s.attempts[action.Task]++
	case flaxshelf.Reject:
		s.answered[action.Task] = true
	case flaxshelf.Fail:
		s.answered[action.Task] = true
	}
}
