package replay

import (
	"fmt"
	"math/rand/v2"
	"time"

	"flaxshelf.example/flaxshelf"
)

// The simulated cluster from which the recording decisionsFile was made. These values and every random draw determine the
// recording, so that changing one of them needs a run with -update.
const (
	decisionSteps    = 400
	decisionStep     = 20 * time.Millisecond
	decisionSeed     = 7
	machineCount     = 12
	drainedMachine   = 3
	drainStep        = 120
	removeStep       = 200
	degradedFromStep = 150
	degradedSteps    = 150
	maxTasksPerStep  = 2
)

// cluster simulates machines and clients: it submits tasks and responds to a module's actions at random, from a fixed seed.
type cluster struct {
	rng       *rand.Rand
	now       flaxshelf.Time
	machines  []flaxshelf.Machine
	scheduled []scheduledEvent
	attempts  map[string][]attempt // by task ID
	tasks     int
}

type scheduledEvent struct {
	at    flaxshelf.Time
	event flaxshelf.Event
}

type attempt struct {
	machine string
	ended   bool
	placed  bool
}

func newCluster() *cluster {
	c := &cluster{rng: rand.New(rand.NewPCG(decisionSeed, 1)), attempts: map[string][]attempt{}}
	for i := range machineCount {
		c.machines = append(c.machines, flaxshelf.Machine{ID: fmt.Sprintf("m%d", i), Kind: i % 2,
			Zone: string("abc"[i%3:][:1]), Cell: i / 3, FreeCores: 8, FreeMemory: 32})
	}
	return c
}

func (c *cluster) schedule(wait time.Duration, e flaxshelf.Event) {
	c.scheduled = append(c.scheduled, scheduledEvent{c.now + wait, e})
}

func (c *cluster) duration(from, to time.Duration) time.Duration {
	return from + time.Duration(c.rng.Int64N(int64(to-from)))
}

func (c *cluster) newTask() flaxshelf.Task {
	c.tasks++
	return flaxshelf.Task{ID: fmt.Sprintf("t%d", c.tasks), Key: fmt.Sprintf("k%d", c.tasks),
		Service: fmt.Sprintf("s%d", c.rng.IntN(5)), Class: c.rng.IntN(3), Tenant: c.rng.IntN(3) - 1,
		Cores: 0.5 + c.rng.Float64(), Memory: 0.5 + c.rng.Float64(), ExpectedRuntime: c.duration(time.Second, 4*time.Second),
		Deadline: c.now + c.duration(500*time.Millisecond, 3*time.Second), Retry: c.rng.IntN(20) == 0}
}

// stepEvents returns the events of one step: the external events, and then the due responses in the order in which they were
// scheduled.
func (c *cluster) stepEvents(step int) []flaxshelf.Event {
	events := c.externalEvents(step)
	var pending []scheduledEvent
	for _, s := range c.scheduled {
		if s.at > c.now {
			pending = append(pending, s)
			continue
		}
		if c.apply(s.event) {
			events = append(events, s.event)
		}
	}
	c.scheduled = pending
	return events
}

// apply marks an event's attempt as placed or ended. It returns false for an event that must be dropped, because its attempt has
// ended already.
func (c *cluster) apply(e flaxshelf.Event) bool {
	switch e := e.(type) {
	case flaxshelf.AttemptPlaced:
		a := &c.attempts[e.Task][e.Attempt]
		a.placed = !a.ended
		return a.placed
	case flaxshelf.AttemptEnded:
		a := &c.attempts[e.Task][e.Attempt]
		if a.ended {
			return false
		}
		a.ended = true
	}
	return true
}

// externalEvents returns the events of one step that no action causes: changes to the machine list, new and canceled tasks, an
// adopted task, a health check, gossip and usage reports.
func (c *cluster) externalEvents(step int) []flaxshelf.Event {
	var events []flaxshelf.Event
	switch step {
	case 0:
		events = append(events, flaxshelf.MachinesUpdated{Complete: true, Stale: true, Machines: c.machines[:machineCount-1]})
	case 1:
		events = append(events, flaxshelf.DiscoveryFailed{})
	case 2:
		task := c.newTask()
		c.attempts[task.ID] = []attempt{{machine: "m1", placed: true}}
		events = append(events, flaxshelf.TaskAdopted{Task: task, Machine: "m1"}, flaxshelf.HealthChecked{Machine: "m2",
			Outcome: flaxshelf.Completed, Load: c.loadReport()}, flaxshelf.GossipReceived{From: 1, Data: []byte("from the other one")})
	case 5:
		events = append(events, flaxshelf.MachinesUpdated{Complete: true, Machines: c.machines})
	case drainStep:
		events = append(events, c.machineChanged(flaxshelf.Draining))
	case removeStep:
		events = append(events, c.machineChanged(flaxshelf.Removed), flaxshelf.DiscoveryFailed{})
	}
	for range c.rng.IntN(maxTasksPerStep + 1) {
		if step > 0 {
			events = append(events, flaxshelf.TaskSubmitted{Task: c.newTask()})
		}
	}
	if c.rng.IntN(50) == 0 && c.tasks > 0 {
		events = append(events, flaxshelf.TaskCanceled{Task: fmt.Sprintf("t%d", c.tasks)})
	}
	return append(events, c.usageReports(step)...)
}

// machineChanged returns a partial machine list with the new state of drainedMachine.
func (c *cluster) machineChanged(state flaxshelf.MachineState) flaxshelf.MachinesUpdated {
	m := c.machines[drainedMachine]
	m.State = state
	return flaxshelf.MachinesUpdated{Machines: []flaxshelf.Machine{m}}
}

// usageReports returns, in every fifth of degradedSteps steps, the service level of each running task: full on all machines but
// m1, whose tasks get a tenth.
func (c *cluster) usageReports(step int) []flaxshelf.Event {
	if step < degradedFromStep || step >= degradedFromStep+degradedSteps || step%5 != 0 {
		return nil
	}
	var events []flaxshelf.Event
	for i := 1; i <= c.tasks; i++ {
		id := fmt.Sprintf("t%d", i)
		for n, a := range c.attempts[id] {
			if !a.placed || a.ended {
				continue
			}
			serviceLevel := 1.0
			if a.machine == "m1" {
				serviceLevel = 0.1
			}
			events = append(events, flaxshelf.UsageReport{Task: id, Machine: a.machine, Attempt: n, Kind: flaxshelf.ServiceLevel,
				Amount: serviceLevel})
		}
	}
	return events
}

func (c *cluster) loadReport() flaxshelf.LoadReport {
	return flaxshelf.LoadReport{Present: true, FreeCores: 1 + c.rng.Float64(), FreeMemory: 5 + c.rng.Float64(), HasCores: true,
		HasMemory: true}
}

// execute schedules the cluster's responses to a module's actions.
func (c *cluster) execute(actions []flaxshelf.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case flaxshelf.Offer:
			c.respondToOffer(a)
		case flaxshelf.Cancel:
			c.schedule(0, flaxshelf.AttemptEnded{Task: a.Task, Machine: c.attempts[a.Task][a.Attempt].machine, Attempt: a.Attempt,
				Outcome: flaxshelf.Canceled, Final: true})
		case flaxshelf.Migrate:
			last := len(c.attempts[a.Task]) - 1
			c.schedule(decisionStep, flaxshelf.AttemptEnded{Task: a.Task, Machine: c.attempts[a.Task][last].machine, Attempt: last,
				Outcome: flaxshelf.Lost, Reason: flaxshelf.DrainedAway, Final: true, Load: c.loadReport()})
		case flaxshelf.Subscribe:
			c.schedule(decisionStep, flaxshelf.MachinesUpdated{Complete: true, Machines: c.machines})
		case flaxshelf.SetTimer:
			c.schedule(a.After, flaxshelf.TimerFired{})
		}
	}
}

// respondToOffer schedules the response to an offer at random: a rejection, a failure, a timeout, no response at all, or, most
// often, a placement and its end.
func (c *cluster) respondToOffer(o flaxshelf.Offer) {
	n := len(c.attempts[o.Task])
	c.attempts[o.Task] = append(c.attempts[o.Task], attempt{machine: o.Machine})
	latency := c.duration(time.Millisecond, 40*time.Millisecond)
	ended := flaxshelf.AttemptEnded{Task: o.Task, Machine: o.Machine, Attempt: n, Latency: latency, Load: c.loadReport()}
	switch percentile := c.rng.IntN(100); {
	case percentile < 10:
		ended.Outcome, ended.Reason = flaxshelf.Rejected, flaxshelf.InsufficientCores
	case percentile < 13:
		ended.Outcome = flaxshelf.Failed
	case percentile < 16:
		ended.Outcome, ended.Load = flaxshelf.Unreachable, flaxshelf.LoadReport{}
	case percentile < 18:
		ended.Outcome = flaxshelf.NotSent
	case percentile < 25:
		latency, ended.Outcome, ended.Load = o.Timeout, flaxshelf.TimedOut, flaxshelf.LoadReport{}
	case percentile < 29:
		return // no response
	default:
		c.schedule(latency, flaxshelf.AttemptPlaced{Task: o.Task, Machine: o.Machine, Attempt: n, Latency: latency})
		latency += c.duration(500*time.Millisecond, 4*time.Second)
		ended.Final = true
		if c.rng.IntN(20) == 0 {
			ended.Outcome, ended.Reason = flaxshelf.Lost, flaxshelf.Evicted
		}
	}
	c.schedule(latency, ended)
}
