package flaxshelf_test

import (
	"fmt"
	"time"

	"flaxshelf.example/flaxshelf"
)

// A Placer with one machine gets a task and offers it to the machine.
func Example() {
	p, err := flaxshelf.New(flaxshelf.Config{
		Kinds:   []flaxshelf.MachineKind{{Name: "small", Cores: 16, Memory: 64}},
		Classes: []flaxshelf.TaskClass{{Name: "web", Idempotency: flaxshelf.Idempotent, LatencyObjective: time.Second, Kind: -1}},
	}, 1)
	if err != nil {
		panic(err)
	}
	actions := p.Step(time.Second, []flaxshelf.Event{
		flaxshelf.MachinesUpdated{Complete: true, Machines: []flaxshelf.Machine{{ID: "m1", Kind: 0}}},
		flaxshelf.TaskSubmitted{Task: flaxshelf.Task{
			ID: "t1", Service: "shop", Cores: 1, Memory: 2, Deadline: 6 * time.Second,
		}},
	})
	for _, a := range actions {
		if o, ok := a.(flaxshelf.Offer); ok {
			fmt.Println("offer", o.Task, "to", o.Machine)
		}
	}
	// Output: offer t1 to m1
}
