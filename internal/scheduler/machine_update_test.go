package scheduler

import (
	"testing"

	"flaxshelf.example/flaxshelf"
	"flaxshelf.example/flaxshelf/internal/machinetest"
)

// A machine in an update from discovery reaches the module and the answer to Machines with all its fields.
func TestUpdateKeepsEveryFieldOfMachine(t *testing.T) {
	const requestID = 7
	var updates []flaxshelf.MachinesUpdated
	config := testConfig()
	config.RecordStep = func(_ Time, events []flaxshelf.Event, _ []flaxshelf.Action) {
		for _, event := range events {
			if update, ok := event.(flaxshelf.MachinesUpdated); ok {
				updates = append(updates, update)
			}
		}
	}
	core, err := New(config)
	if err != nil {
		t.Fatal(err)
	}
	want := machinetest.Filled(t)
	out := core.Step(0, []Input{NodesUpdated{Machines: []flaxshelf.Machine{want}}, Machines{RequestID: requestID}})
	if len(updates) != 1 || len(updates[0].Machines) != 1 {
		t.Fatalf("updates of the module: got %+v, want one with one machine", updates)
	}
	machinetest.Expect(t, updates[0].Machines[0], want)
	answer := answerTo(t, out, requestID)
	if len(answer.Machines) != 1 {
		t.Fatalf("answer: got %+v, want one machine", answer)
	}
	machinetest.Expect(t, answer.Machines[0].Machine, want)
}
