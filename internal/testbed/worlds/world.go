package worlds

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"flaxshelf.example/flaxshelf"
)

// World is the random environment of a flaxshelf.Placer. It responds to the placer's offers, changes the machine list and
// submits tasks, all with valid events. It is not safe for concurrent use.
type World struct {
	random          *rand.Rand
	cfg             flaxshelf.Config
	now             flaxshelf.Time
	machines        []flaxshelf.Machine
	pendingAttempts []pendingAttempt
	offerCounts     map[string]int  // number of offers, by task
	answeredTasks   map[string]bool // tasks that are placed or have an answer
	taskCount       int
	machineCount    int // machines created so far

	// Load and failures, drawn once for the world.
	submissionsPerStep  int           // largest number in a step
	maxWait             time.Duration // limit of a task's deadline, in addition to 20 ms
	maxLifetime         time.Duration // limit of a placed task's lifetime
	serviceCount        int
	usageReportInterval int     // expected number of steps between usage reports of an attempt
	maxUsedFraction     float64 // largest fraction of a machine that the machine list shows as used
	failureFree         bool    // no attempt is rejected or fails, but some machines have a poor service level
}

// longStepInterval exceeds the retention of removed machines and of evidence of failures.
const longStepInterval = 61 * time.Second

// pendingAttempt is an attempt that has not ended.
type pendingAttempt struct {
	task        string
	machine     string
	attempt     int
	nextEventAt flaxshelf.Time // when it is placed or ends
	placed      bool
}

// New draws the load and the initial machines of a world with the given deployment.
func New(cfg flaxshelf.Config, random *rand.Rand) *World {
	w := &World{
		random:              random,
		cfg:                 cfg,
		now:                 time.Second,
		offerCounts:         map[string]int{},
		answeredTasks:       map[string]bool{},
		submissionsPerStep:  1 + random.IntN(8),
		maxWait:             time.Duration(1+random.IntN(4000)) * millisecond,
		maxLifetime:         time.Duration(1+random.IntN(8000)) * millisecond,
		serviceCount:        1 + random.IntN(20),
		usageReportInterval: 50,
		maxUsedFraction:     1,
		failureFree:         random.IntN(4) == 0,
	}
	if random.IntN(8) == 0 {
		w.submissionsPerStep = 24 // enough to fill the history of placements
	}
	if random.IntN(2) == 0 {
		w.maxUsedFraction = 1.0 / 8
	}
	maxMachines := 151
	if w.failureFree {
		maxMachines = 12 // so that most machines have tasks
		w.usageReportInterval = 5
	}
	for range 2 + random.IntN(maxMachines-1) {
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

// stepInterval draws the time between two steps. One in a hundred is long enough for removed machines to be forgotten and for
// evidence to expire.
func (w *World) stepInterval() time.Duration {
	if w.random.IntN(100) == 0 {
		return longStepInterval
	}
	return time.Duration(1+w.random.IntN(30)) * 2 * millisecond
}

// events draws the events of one step.
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

// adoption draws the adoption of a running task. The task later ends like one that the placer has placed.
func (w *World) adoption() flaxshelf.Event {
	adopted := flaxshelf.TaskAdopted{Task: w.newTask(), Machine: w.randomMachineID()}
	w.pendingAttempts = append(w.pendingAttempts, pendingAttempt{task: adopted.Task.ID, machine: adopted.Machine, placed: true,
		nextEventAt: w.now + w.randomDuration(w.maxLifetime)})
	w.answeredTasks[adopted.Task.ID] = true
	return adopted
}

// handleAction records an offer, to which the world responds later, or the answer for a task that is not placed.
func (w *World) handleAction(action flaxshelf.Action) {
	switch action := action.(type) {
	case flaxshelf.Offer:
		w.pendingAttempts = append(w.pendingAttempts, pendingAttempt{
			task:        action.Task,
			machine:     action.Machine,
			attempt:     w.offerCounts[action.Task],
			nextEventAt: w.now + time.Duration(w.random.Int64N(int64(action.Timeout)+1)),
		})
		w.offerCounts[action.Task]++
	case flaxshelf.Reject:
		w.answeredTasks[action.Task] = true
	case flaxshelf.Fail:
		w.answeredTasks[action.Task] = true
	}
}

// attemptEvents places or ends the pending attempts that are due, and draws usage reports for some of the others.
func (w *World) attemptEvents() (events []flaxshelf.Event) {
	stillPending := w.pendingAttempts[:0]
	for _, p := range w.pendingAttempts {
		switch {
		case w.now < p.nextEventAt:
			if p.placed && w.random.IntN(w.usageReportInterval) == 0 {
				events = append(events, w.usageReport(p))
			}
		case !p.placed && (w.failureFree || w.random.IntN(4) > 0):
			events = append(events, flaxshelf.AttemptPlaced{Task: p.task, Machine: p.machine, Attempt: p.attempt,
				Latency: 20 * millisecond})
			p.placed, p.nextEventAt = true, w.now+w.randomDuration(w.maxLifetime)
			w.answeredTasks[p.task] = true
		default:
			events = append(events, w.attemptEnded(p))
			continue
		}
		stillPending = append(stillPending, p)
	}
	w.pendingAttempts = stillPending
	return events
}

// usageReport draws a usage report of a running attempt. In a world without failures it is the service level, which depends on
// the machine.
func (w *World) usageReport(p pendingAttempt) flaxshelf.Event {
	report := flaxshelf.UsageReport{Task: p.task, Machine: p.machine, Attempt: p.attempt,
		Kind: flaxshelf.UsageKind(1 + w.random.IntN(5)), Amount: w.random.Float64()}
	if w.failureFree {
		report.Kind, report.Amount = flaxshelf.ServiceLevel, 1
		if lastDigit := p.machine[len(p.machine)-1]; lastDigit == '1' || lastDigit == '8' {
			report.Amount = float64(w.random.IntN(8)) / 16
		}
	}
	return report
}

// attemptEnded draws the end of an attempt.
func (w *World) attemptEnded(p pendingAttempt) flaxshelf.Event {
	outcome := flaxshelf.Outcome(1 + w.random.IntN(7))
	switch {
	case w.failureFree:
		outcome = flaxshelf.Completed
	case p.placed:
		outcome = []flaxshelf.Outcome{flaxshelf.Completed, flaxshelf.Completed, flaxshelf.Lost}[w.random.IntN(3)]
	}
	return flaxshelf.AttemptEnded{Task: p.task, Machine: p.machine, Attempt: p.attempt, Outcome: outcome,
		Final: w.answeredTasks[p.task], Reason: flaxshelf.Reason(w.random.IntN(8)),
		Load: flaxshelf.LoadReport{Present: w.random.IntN(2) == 0, HasCores: true, HasMemory: w.random.IntN(2) == 0,
			FreeCores: 16 * w.random.Float64(), FreeMemory: 50 * w.random.Float64()}}
}

// newTask draws a task. One in sixty has a class that the configuration does not define, and as many may request more cores or
// more memory than any machine has.
func (w *World) newTask() flaxshelf.Task {
	w.taskCount++
	task := flaxshelf.Task{
		ID:       fmt.Sprint("t", w.taskCount),
		Service:  fmt.Sprint("s", w.random.IntN(w.serviceCount)),
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

// randomDuration draws a whole number of milliseconds below the limit.
func (w *World) randomDuration(limit time.Duration) time.Duration {
	return time.Duration(w.random.IntN(int(limit/millisecond))) * millisecond
}

// randomMachineID returns the ID of a machine of the list, drawn at random.
func (w *World) randomMachineID() string { return w.machines[w.random.IntN(len(w.machines))].ID }

// completeMachineList returns an event with the complete machine list.
func (w *World) completeMachineList() flaxshelf.Event {
	return flaxshelf.MachinesUpdated{Complete: true, Machines: slices.Clone(w.machines)}
}
