package reference_test

import (
	"fmt"
	"testing"
	"time"

	"flaxshelf.example/flaxshelf"
	"flaxshelf.example/flaxshelf/internal/lab/reference"
)

// placer is the module or its reference.
type placer interface {
	Step(now flaxshelf.Time, events []flaxshelf.Event) []flaxshelf.Action
}

// benchFleet is a fleet with 20 tasks running on each machine, in a steady state: each step brings one task to place and the
// word that the one before was placed, and another ends.
type benchFleet struct {
	placer    placer
	now       flaxshelf.Time
	taskCount int
	running   []string // in order of their starts
	machineOf map[string]string
	events    []flaxshelf.Event
	offers    int
}

type fleetShape struct {
	machines, queued             int
	boundedSpread, listsCapacity bool
}

func (s fleetShape) String() string {
	return fmt.Sprintf("machines=%d/spread=%v/room=%v/held=%d", s.machines, s.boundedSpread, s.listsCapacity, s.queued)
}

func newBenchFleet(b testing.TB, s fleetShape, make func(flaxshelf.Config, uint64) (placer, error)) *benchFleet {
	c := flaxshelf.Config{Schedulers: 1, CoreOvercommit: 1, MemoryOvercommit: 1, Tick: 2 * millisecond, DiscoveryPollDeadline: time.Second,
		ConnectTimeout: 100 * millisecond, DrainGrace: time.Second, CanCancel: true, ListsFreeCapacity: s.listsCapacity,
		Kinds: []flaxshelf.Kind{{Name: "small", Cores: 32, Memory: 128}, {Name: "big", Cores: 64, Memory: 256}},
		Classes: []flaxshelf.Class{{Name: "a", Kind: -1, LatencyObjective: time.Second},
			{Name: "large", Kind: -1, LatencyObjective: time.Second, Idempotency: flaxshelf.Idempotent}}}
	if s.listsCapacity {
		c.Prices.Fleet = 0.1
	}
	if s.boundedSpread {
		c.Classes[0].SpreadDomain, c.Classes[0].MaxPerDomain = flaxshelf.ZoneDomain, 8*20
	}
	p, err := make(c, 7)
	if err != nil {
		b.Fatal(err)
	}
	x := &benchFleet{placer: p, now: time.Second, machineOf: map[string]string{}}
	var list []flaxshelf.Machine
	for i := range s.machines {
		m := flaxshelf.Machine{ID: fmt.Sprintf("m%05d", i), Kind: i % 2, Zone: fmt.Sprint("z", i%3), Cell: i / 16}
		m.FreeCores, m.FreeMemory = c.Kinds[i%2].Cores-10-float64(i%7), c.Kinds[i%2].Memory-20
		list = append(list, m)
	}
	p.Step(x.now, []flaxshelf.Event{flaxshelf.MachinesUpdated{Machines: list, Complete: true}})
	var es []flaxshelf.Event
	for i := range 20 * s.machines {
		t := x.task()
		es = append(es, flaxshelf.TaskAdopted{Task: t, Machine: list[i%s.machines].ID})
		x.running, x.machineOf[t.ID] = append(x.running, t.ID), list[i%s.machines].ID
	}
	x.now += millisecond
	p.Step(x.now, es)
	es = nil
	for i := range s.queued { // none has room for these
		es = append(es, flaxshelf.TaskSubmitted{Task: flaxshelf.Task{ID: fmt.Sprint("h", i), Service: fmt.Sprint("h", i%50), Class: 1,
			Cores: 100 + float64(i%5), Memory: 1, Tenant: -1, Deadline: time.Hour}})
	}
	x.events = es
	for range 200 {
		x.step()
	}
	return x
}

// task is of one of as many services as the fleet has machines.
func (x *benchFleet) task() flaxshelf.Task {
	x.taskCount++
	return flaxshelf.Task{ID: fmt.Sprint("t", x.taskCount), Service: fmt.Sprint("s", (x.taskCount*7919)%(1+len(x.running)/20%20000)), Class: 0,
		Cores: 0.5, Memory: 1, Tenant: -1, Deadline: x.now + 5*time.Second}
}

func (x *benchFleet) step() {
	x.now += 500 * time.Microsecond
	x.events = append(x.events, flaxshelf.TaskSubmitted{Task: x.task()})
	if len(x.running) > 0 {
		x.events = append(x.events, flaxshelf.AttemptEnded{Task: x.running[0], Machine: x.machineOf[x.running[0]], Outcome: flaxshelf.Completed, Final: true})
		delete(x.machineOf, x.running[0])
		x.running = x.running[1:]
	}
	as := x.placer.Step(x.now, x.events)
	x.events = nil
	for _, a := range as {
		if o, ok := a.(flaxshelf.Offer); ok {
			x.offers++
			x.events = append(x.events, flaxshelf.AttemptPlaced{Task: o.Task, Machine: o.Machine, Latency: millisecond})
			x.running, x.machineOf[o.Task] = append(x.running, o.Task), o.Machine
		}
	}
}

// BenchmarkStep is one task to place, one placed and one ended a step, by both texts. The former one at 10,000
// machines with a bounded spread takes minutes and is left out.
func BenchmarkStep(b *testing.B) {
	texts := map[string]func(flaxshelf.Config, uint64) (placer, error){
		"now":    func(c flaxshelf.Config, s uint64) (placer, error) { return flaxshelf.New(c, s) },
		"former": func(c flaxshelf.Config, s uint64) (placer, error) { return reference.New(c, s) },
	}
	for _, n := range []int{33, 130, 1000, 10000} {
		for _, kind := range []fleetShape{{}, {boundedSpread: true}, {listsCapacity: true}, {boundedSpread: true, listsCapacity: true}, {queued: 100}, {queued: 10000}} {
			s := kind
			s.machines = n
			for _, text := range []string{"now", "former"} {
				b.Run(s.String()+"/"+text, func(b *testing.B) {
					if text == "former" && (n == 10000 && (s.boundedSpread || s.queued > 0) || s.queued > 100) {
						b.Skip("takes minutes")
					}
					x := newBenchFleet(b, s, texts[text])
					x.offers = 0
					n := 0
					for b.Loop() {
						x.step()
						n++
					}
					b.StopTimer()
					if x.offers < n*9/10 {
						b.Errorf("%d offers in %d steps", x.offers, n)
					}
					b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(n), "us/step")
				})
			}
		}
	}
}
