package reference_test

import (
	"fmt"
	"testing"
	"time"

	"flaxshelf.example/flaxshelf"
	"flaxshelf.example/flaxshelf/internal/lab/reference"
)

// stepper is the module or its reference.
type stepper interface {
	Step(now flaxshelf.Time, events []flaxshelf.Event) []flaxshelf.Action
}

// cell is a fleet with 20 tasks running on each machine, in a steady state: each step brings one task to place and the
// word that the one before was placed, and another ends.
type cell struct {
	p    stepper
	now  flaxshelf.Time
	ids  int
	runs []string // in order of their starts
	at   map[string]string
	news []flaxshelf.Event
	sent int
}

type shape struct {
	machines, held int
	spread, room   bool
}

func (s shape) String() string {
	return fmt.Sprintf("machines=%d/spread=%v/room=%v/held=%d", s.machines, s.spread, s.room, s.held)
}

func newCell(b testing.TB, s shape, make func(flaxshelf.Config, uint64) (stepper, error)) *cell {
	c := flaxshelf.Config{Schedulers: 1, CoreOvercommit: 1, MemoryOvercommit: 1, Tick: 2 * ms, DiscoveryPollDeadline: time.Second,
		ConnectTimeout: 100 * ms, DrainGrace: time.Second, CanCancel: true, ListsFreeCapacity: s.room,
		Kinds: []flaxshelf.Kind{{Name: "small", Cores: 32, Memory: 128}, {Name: "big", Cores: 64, Memory: 256}},
		Classes: []flaxshelf.Class{{Name: "a", Kind: -1, LatencyObjective: time.Second},
			{Name: "large", Kind: -1, LatencyObjective: time.Second, Idempotency: flaxshelf.Idempotent}}}
	if s.room {
		c.Prices.Fleet = 0.1
	}
	if s.spread {
		c.Classes[0].SpreadDomain, c.Classes[0].MaxPerDomain = flaxshelf.ZoneDomain, 8*20
	}
	p, err := make(c, 7)
	if err != nil {
		b.Fatal(err)
	}
	x := &cell{p: p, now: time.Second, at: map[string]string{}}
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
		x.runs, x.at[t.ID] = append(x.runs, t.ID), list[i%s.machines].ID
	}
	x.now += ms
	p.Step(x.now, es)
	es = nil
	for i := range s.held { // none has room for these
		es = append(es, flaxshelf.TaskSubmitted{Task: flaxshelf.Task{ID: fmt.Sprint("h", i), Service: fmt.Sprint("h", i%50), Class: 1,
			Cores: 100 + float64(i%5), Memory: 1, Tenant: -1, Deadline: time.Hour}})
	}
	x.news = es
	for range 200 {
		x.step()
	}
	return x
}

// task is of one of as many services as the fleet has machines.
func (x *cell) task() flaxshelf.Task {
	x.ids++
	return flaxshelf.Task{ID: fmt.Sprint("t", x.ids), Service: fmt.Sprint("s", (x.ids*7919)%(1+len(x.runs)/20%20000)), Class: 0,
		Cores: 0.5, Memory: 1, Tenant: -1, Deadline: x.now + 5*time.Second}
}

func (x *cell) step() {
	x.now += 500 * time.Microsecond
	x.news = append(x.news, flaxshelf.TaskSubmitted{Task: x.task()})
	if len(x.runs) > 0 {
		x.news = append(x.news, flaxshelf.AttemptEnded{Task: x.runs[0], Machine: x.at[x.runs[0]], Outcome: flaxshelf.Completed, Final: true})
		delete(x.at, x.runs[0])
		x.runs = x.runs[1:]
	}
	as := x.p.Step(x.now, x.news)
	x.news = nil
	for _, a := range as {
		if o, ok := a.(flaxshelf.Offer); ok {
			x.sent++
			x.news = append(x.news, flaxshelf.AttemptPlaced{Task: o.Task, Machine: o.Machine, Latency: ms})
			x.runs, x.at[o.Task] = append(x.runs, o.Task), o.Machine
		}
	}
}

// BenchmarkStep is one task to place, one placed and one ended a step, by both texts. The former one at 10,000
// machines with a bounded spread takes minutes and is left out.
func BenchmarkStep(b *testing.B) {
	texts := map[string]func(flaxshelf.Config, uint64) (stepper, error){
		"now":    func(c flaxshelf.Config, s uint64) (stepper, error) { return flaxshelf.New(c, s) },
		"former": func(c flaxshelf.Config, s uint64) (stepper, error) { return reference.New(c, s) },
	}
	for _, n := range []int{33, 130, 1000, 10000} {
		for _, kind := range []shape{{}, {spread: true}, {room: true}, {spread: true, room: true}, {held: 100}, {held: 10000}} {
			s := kind
			s.machines = n
			for _, text := range []string{"now", "former"} {
				b.Run(s.String()+"/"+text, func(b *testing.B) {
					if text == "former" && (n == 10000 && (s.spread || s.held > 0) || s.held > 100) {
						b.Skip("takes minutes")
					}
					x := newCell(b, s, texts[text])
					x.sent = 0
					n := 0
					for b.Loop() {
						x.step()
						n++
					}
					b.StopTimer()
					if x.sent < n*9/10 {
						b.Errorf("%d offers in %d steps", x.sent, n)
					}
					b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(n), "us/step")
				})
			}
		}
	}
}
