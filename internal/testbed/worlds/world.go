package worlds

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"flaxshelf.example/flaxshelf"
)

// World draws legal events: it answers a module's offers, changes the machine list and submits tasks. It is not safe for
// concurrent use.
type World struct {
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
	reportInterval     int     // steps between usage reports of an attempt, in expectation
	maxUsedFraction    float64 // most that others request, as a fraction of a machine
	failureFree        bool    // nothing fails and no task is rejected, but some machines serve theirs poorly
}

// longPause is longer than a removed machine is remembered, and than failures count.
const longStepInterval = 61 * time.Second

// pendingAttempt is an offer that has not ended.
type pendingAttempt struct {
	task        string
	machine     string
	number      int
	nextEventAt flaxshelf.Time // when something happens to it next
	placed      bool
}

// New draws how busy a world of the given deployment is, and its first machines.
func New(cfg flaxshelf.Config, random *rand.Rand) *World {
	w := &World{
		random:             random,
		cfg:                cfg,
		now:                time.Second,
		attempts:           map[string]int{},
		answered:           map[string]bool{},
		submissionsPerStep: 1 + random.IntN(8),
		maxWait:            time.Duration(1+random.IntN(4000)) * millisecond,
		maxLifetime:        time.Duration(1+random.IntN(8000)) * millisecond,
		services:           1 + random.IntN(20),
		reportInterval:     50,
		maxUsedFraction:    1,
		failureFree:        random.IntN(4) == 0,
	}
	if random.IntN(8) == 0 {
		w.submissionsPerStep = 24 // so that the history is full
	}
	if random.IntN(2) == 0 {
		w.maxUsedFraction = 1.0 / 8
	}
	mostMachines := 151
	if w.failureFree {
		mostMachines = 12 // so that most have tasks
		w.reportInterval = 5
	}
	for range 2 + random.IntN(mostMachines-1) {
		w.machines = append(w.machines, w.newMachine())
	}
	return w
}

// Run calls step with the time and the events of each step, and responds to the returned actions with events of later steps.
// The first event is the complete machine list.
func (w *World) Run(steps int, step func(now flaxshelf.Time, events []flaxshelf.Event) []flaxshelf.Action) {
	events := []flaxshelf.Event{w.completeMachineList()}
	for range steps {
		for _, action := range step(w.now, events) {
			w.handleAction(action)
		}
		w.now += w.stepInterval()
		events = w.events()
	}
}

// pause draws the time between two steps. It is rarely long enough that removed machines are forgotten and evidence expires.
func (w *World) stepInterval() time.Duration {
	if w.random.IntN(100) == 0 {
		return longStepInterval
	}
	return time.Duration(1+w.random.IntN(30)) * 2 * millisecond
}

// events draws those of one step.
func (w *World) events() []flaxshelf.Event {
	events := w.attemptEvents()
	for range w.random.IntN(w.submissionsPerStep + 1) {
		events = append(events, flaxshelf.TaskSubmitted{Task: w.newTask()})
	}
	if w.random.IntN(30) == 0 {
		events = append(events, w.adoption())
	}
	if w.random.IntN(8) == 0 {
		events = append(events, w.discoveryEvent())
	}
	if w.random.IntN(40) == 0 {
		events = append(events, flaxshelf.HealthChecked{Machine: w.randomMachineID(),
			Load: flaxshelf.LoadReport{Present: true, HasCores: true, FreeCores: 16 * w.random.Float64()}})
	}
	if w.taskCount > 0 && w.random.IntN(40) == 0 {
		events = append(events, flaxshelf.TaskCanceled{Task: fmt.Sprint("t", 1+w.random.IntN(w.taskCount))})
	}
	return append(events, flaxshelf.TimerFired{})
}

// adoption draws a running task, which ends like one that the module placed.
func (w *World) adoption() flaxshelf.Event {
	adopted := flaxshelf.TaskAdopted{Task: w.newTask(), Machine: w.randomMachineID()}
	w.pending = append(w.pending, pendingAttempt{task: adopted.Task.ID, machine: adopted.Machine, placed: true,
		nextEventAt: w.now + w.randomDuration(w.maxLifetime)})
	w.answered[adopted.Task.ID] = true
	return adopted
}

// recordAction records an action that the world answers later.
func (w *World) handleAction(action flaxshelf.Action) {
	switch action := action.(type) {
	case flaxshelf.Offer:
		w.pending = append(w.pending, pendingAttempt{
			task:        action.Task,
			machine:     action.Machine,
			number:      w.attempts[action.Task],
			nextEventAt: w.now + time.Duration(w.random.Int64N(int64(action.Timeout)+1)),
		})
		w.attempts[action.Task]++
	case flaxshelf.Reject:
		w.answered[action.Task] = true
	case flaxshelf.Fail:
		w.answered[action.Task] = true
	}
}

// attemptEvents places or ends the pending attempts that are due, and reports the usage of some others.
func (w *World) attemptEvents() (events []flaxshelf.Event) {
	kept := w.pending[:0]
	for _, p := range w.pending {
		switch {
		case w.now < p.nextEventAt:
			if p.placed && w.random.IntN(w.reportInterval) == 0 {
				events = append(events, w.usageReport(p))
			}
		case !p.placed && (w.failureFree || w.random.IntN(4) > 0):
			events = append(events, flaxshelf.AttemptPlaced{Task: p.task, Machine: p.machine, Attempt: p.number,
				Latency: 20 * millisecond})
			p.placed, p.nextEventAt = true, w.now+w.randomDuration(w.maxLifetime)
			w.answered[p.task] = true
		default:
			events = append(events, w.attemptEnded(p))
			continue
		}
		kept = append(kept, p)
	}
	w.pending = kept
	return events
}

// usageReport draws a report of a running attempt. In a calm world the service level depends on the machine.
func (w *World) usageReport(p pendingAttempt) flaxshelf.Event {
	report := flaxshelf.UsageReport{Task: p.task, Machine: p.machine, Attempt: p.number,
		Kind: flaxshelf.UsageKind(1 + w.random.IntN(5)), Amount: w.random.Float64()}
	if w.failureFree {
		report.Kind, report.Amount = flaxshelf.ServiceLevel, 1
		if lastDigit := p.machine[len(p.machine)-1]; lastDigit == '1' || lastDigit == '8' {
			report.Amount = float64(w.random.IntN(8)) / 16
		}
	}
	return report
}

// end draws how an attempt ends.
func (w *World) attemptEnded(p pendingAttempt) flaxshelf.Event {
	outcome := flaxshelf.Outcome(1 + w.random.IntN(7))
	switch {
	case w.failureFree:
		outcome = flaxshelf.Completed
	case p.placed:
		outcome = []flaxshelf.Outcome{flaxshelf.Completed, flaxshelf.Completed, flaxshelf.Lost}[w.random.IntN(3)]
	}
	return flaxshelf.AttemptEnded{Task: p.task, Machine: p.machine, Attempt: p.number, Outcome: outcome,
		Final: w.answered[p.task], Reason: flaxshelf.Reason(w.random.IntN(8)),
		Load: flaxshelf.LoadReport{Present: w.random.IntN(2) == 0, HasCores: true, HasMemory: w.random.IntN(2) == 0,
			FreeCores: 16 * w.random.Float64(), FreeMemory: 50 * w.random.Float64()}}
}

// newTask draws a task; one in many is of a class that the settings don't name, or larger than any machine.
func (w *World) newTask() flaxshelf.Task {
	w.taskCount++
	task := flaxshelf.Task{
		ID:       fmt.Sprint("t", w.taskCount),
		Service:  fmt.Sprint("s", w.random.IntN(w.services)),
		Class:    w.random.IntN(4),
		Cores:    []float64{0.125, 1, 2.25, 2.75, 9}[w.random.IntN(5)],
		Memory:   float64(w.random.IntN(48)) / 16,
		Tenant:   w.random.IntN(3) - 1,
		Deadline: w.now + 20*millisecond + w.randomDuration(w.maxWait),
	}
	switch w.random.IntN(60) {
	case 0:
		task.Class = 4
	case 1:
		task.Memory = float64(1 + w.random.IntN(256))
	case 2:
		task.Cores = float64(1 + w.random.IntN(100))
	}
	if w.random.IntN(3) == 0 {
		task.ExpectedRuntime = w.randomDuration(5 * time.Second)
	}
	return task
}

// below draws a whole number of milliseconds.
func (w *World) randomDuration(limit time.Duration) time.Duration {
	return time.Duration(w.random.IntN(int(limit/millisecond))) * millisecond
}

func (w *World) randomMachineID() string { return w.machines[w.random.IntN(len(w.machines))].ID }

// completeList is the machine list as a whole.
func (w *World) completeMachineList() flaxshelf.Event {
	return flaxshelf.MachinesUpdated{Complete: true, Machines: slices.Clone(w.machines)}
}
