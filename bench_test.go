package flaxshelf_test

import (
	"fmt"
	"testing"
	"time"

	"flaxshelf.example/flaxshelf"
)

// tasksPerMachine is the number of tasks that run on each machine of a benchFleet.
const tasksPerMachine = 20

// benchFleet is a fleet in a steady state. Each step submits one task, reports the task of the previous step as placed and
// completes the task that has run longest.
type benchFleet struct {
	placer    *flaxshelf.Placer
	now       flaxshelf.Time
	taskCount int
	running   []string          // task IDs, in the order of their starts
	machineOf map[string]string // by task ID
	events    []flaxshelf.Event // of the next step
	offers    int               // number of offers made so far
}

// fleetShape has the parameters on which the cost of a step depends.
type fleetShape struct {
	machines      int
	queued        int  // number of tasks that stay queued because they are too large for any machine
	boundedSpread bool // the number of a service's tasks in a zone is limited
	listsCapacity bool // the machine list has free capacity, and machines in use are priced
}

// String returns the name of the sub-benchmark.
func (s fleetShape) String() string {
	return fmt.Sprintf("machines=%d/spread=%v/capacity=%v/queued=%d", s.machines, s.boundedSpread, s.listsCapacity, s.queued)
}

func (s fleetShape) config() flaxshelf.Config {
	cfg := flaxshelf.Config{
		Schedulers:            1,
		CoreOvercommit:        1,
		MemoryOvercommit:      1,
		Tick:                  2 * time.Millisecond,
		DiscoveryPollDeadline: time.Second,
		ConnectTimeout:        100 * time.Millisecond,
		DrainGrace:            time.Second,
		CanCancel:             true,
		ListsFreeCapacity:     s.listsCapacity,
		Kinds:                 []flaxshelf.MachineKind{{Name: "small", Cores: 32, Memory: 128}, {Name: "big", Cores: 64, Memory: 256}},
		Classes: []flaxshelf.TaskClass{
			{Name: "a", Kind: -1, LatencyObjective: time.Second},
			{Name: "large", Kind: -1, LatencyObjective: time.Second, Idempotency: flaxshelf.Idempotent},
		},
	}
	if s.listsCapacity {
		cfg.Prices.MachinesInUse = 0.1
	}
	if s.boundedSpread {
		cfg.Classes[0].SpreadDomain, cfg.Classes[0].MaxPerDomain = flaxshelf.ZoneDomain, 8*tasksPerMachine
	}
	return cfg
}

// machineList returns machines of two kinds in three zones, 16 to a cell.
func (s fleetShape) machineList(kinds []flaxshelf.MachineKind) (list []flaxshelf.Machine) {
	for i := range s.machines {
		kind := kinds[i%2]
		list = append(list, flaxshelf.Machine{
			ID:         fmt.Sprintf("m%05d", i),
			Kind:       i % 2,
			Zone:       fmt.Sprint("z", i%3),
			Cell:       i / 16,
			FreeCores:  kind.Cores - 10 - float64(i%7),
			FreeMemory: kind.Memory - 20,
		})
	}
	return list
}

// newBenchFleet returns a fleet in its steady state, after 200 steps.
func newBenchFleet(b testing.TB, s fleetShape) *benchFleet {
	b.Helper()
	cfg := s.config()
	p, err := flaxshelf.New(cfg, 7)
	if err != nil {
		b.Fatal(err)
	}
	f := &benchFleet{placer: p, now: time.Second, machineOf: map[string]string{}}
	list := s.machineList(cfg.Kinds)
	p.Step(f.now, []flaxshelf.Event{flaxshelf.MachinesUpdated{Machines: list, Complete: true}})
	f.now += time.Millisecond
	p.Step(f.now, f.adopt(list))
	for i := range s.queued {
		f.events = append(f.events, flaxshelf.TaskSubmitted{Task: flaxshelf.Task{ID: fmt.Sprint("h", i),
			Service: fmt.Sprint("h", i%50), Class: 1, Cores: 100 + float64(i%5), Memory: 1, Tenant: -1, Deadline: time.Hour}})
	}
	for range 200 {
		f.step()
	}
	return f
}

// adopt records tasksPerMachine running tasks on each machine and returns the events that report them to the Placer.
func (f *benchFleet) adopt(list []flaxshelf.Machine) (events []flaxshelf.Event) {
	for i := range tasksPerMachine * len(list) {
		task, machine := f.newTask(), list[i%len(list)].ID
		events = append(events, flaxshelf.TaskAdopted{Task: task, Machine: machine})
		f.recordRunning(task.ID, machine)
	}
	return events
}

func (f *benchFleet) recordRunning(task, machine string) {
	f.running = append(f.running, task)
	f.machineOf[task] = machine
}

// newTask returns a task of class 0. There are about as many services as machines.
func (f *benchFleet) newTask() flaxshelf.Task {
	f.taskCount++
	services := 1 + len(f.running)/tasksPerMachine%20000
	return flaxshelf.Task{ID: fmt.Sprint("t", f.taskCount), Service: fmt.Sprint("s", (f.taskCount*7919)%services),
		Class: 0, Cores: 0.5, Memory: 1, Tenant: -1, Deadline: f.now + 5*time.Second}
}

func (f *benchFleet) step() {
	f.now += 500 * time.Microsecond
	f.events = append(f.events, flaxshelf.TaskSubmitted{Task: f.newTask()})
	if len(f.running) > 0 {
		ended := f.running[0]
		f.events = append(f.events, flaxshelf.AttemptEnded{Task: ended, Machine: f.machineOf[ended],
			Outcome: flaxshelf.Completed, Final: true})
		delete(f.machineOf, ended)
		f.running = f.running[1:]
	}
	actions := f.placer.Step(f.now, f.events)
	f.events = nil
	for _, action := range actions {
		if offer, ok := action.(flaxshelf.Offer); ok {
			f.offers++
			f.events = append(f.events, flaxshelf.AttemptPlaced{Task: offer.Task, Machine: offer.Machine, Latency: time.Millisecond})
			f.recordRunning(offer.Task, offer.Machine)
		}
	}
}

// BenchmarkStep measures a step in which one task is submitted, one reported as placed and one completed.
func BenchmarkStep(b *testing.B) {
	for _, machines := range []int{33, 130, 1000, 10000} {
		for _, shape := range []fleetShape{
			{}, {boundedSpread: true}, {listsCapacity: true}, {boundedSpread: true, listsCapacity: true},
			{queued: 100}, {queued: 10000},
		} {
			shape.machines = machines
			b.Run(shape.String(), func(b *testing.B) { benchmarkSteps(b, shape) })
		}
	}
}

func benchmarkSteps(b *testing.B, shape fleetShape) {
	f := newBenchFleet(b, shape)
	f.offers = 0
	steps := 0
	for b.Loop() {
		f.step()
		steps++
	}
	b.StopTimer()
	if f.offers < steps*9/10 {
		b.Errorf("got %d offers in %d steps, want at least %d", f.offers, steps, steps*9/10)
	}
	b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(steps), "us/step")
}
