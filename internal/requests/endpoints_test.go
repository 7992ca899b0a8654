package requests

import (
	"testing"
	"time"

	"flaxshelf.example/flaxshelf"
	"flaxshelf.example/flaxshelf/internal/machinetest"
)

func TestUpdateKeepsEveryFieldOfMachine(t *testing.T) {
	h := newHarness(t)
	want := machinetest.Filled(t)
	h.step(nodeUpdated(want, "x"))
	updates := moduleEventsOf[flaxshelf.MachinesUpdated](h)
	if len(updates) != 1 || len(updates[0].Machines) != 1 {
		t.Fatalf("got %+v, want one update of one machine", updates)
	}
	machinetest.Expect(t, updates[0].Machines[0], want)
	machinetest.Expect(t, h.core.nodeFor(want.ID).entry, want)
}

// A node is identified by its ID: another one at its address ends the tasks that ran on it.
func TestAddressReused(t *testing.T) {
	h := newHarness(t)
	h.connect(1)
	h.addNodes("old@x")
	h.placeTask(1, 7)
	h.updateNodes(flaxshelf.Active, "new@x")
	if e := oneEffect[Terminated](h); e.Task != taskID(7) {
		t.Errorf("%+v", e)
	}
	dial := oneEffect[Dial](h)
	if dial.Node != "new" {
		t.Errorf("%+v", dial)
	}
	oneEffect[CloseLink](h)
	h.step(LinkUp{dial.Link})
	h.step(h.newSubmit(1, 8))
	if offer := oneEffect[Offer](h); offer.Node != "new" || offer.Link != dial.Link {
		t.Errorf("%+v", offer)
	}
}

// An update that drains a node ends the attempts that wait for a link to it.
func TestDrainBeforeOfferIsWritten(t *testing.T) {
	h := newHarness(t)
	h.connect(1)
	h.updateNodes(flaxshelf.Active, "n")
	dial := oneEffect[Dial](h)
	h.step(h.newSubmit(1, 7))
	noEffect[Offer](h)
	h.updateNodes(flaxshelf.Draining, "n")
	h.step(LinkUp{dial.Link})
	noEffect[Offer](h)
	if e := moduleEventsOf[flaxshelf.AttemptEnded](h); len(e) == 0 || e[0].Outcome != flaxshelf.NotSent {
		t.Errorf("%+v", e)
	}
}

// A node that has restarted has lost the tasks that ran before, whether or not its link broke.
func TestNodeRestart(t *testing.T) {
	h := newHarness(t)
	h.connect(1)
	h.addNodes("n")
	h.placeTask(1, 7)
	h.now += time.Second
	h.step(nodeUpdated(machine("n", flaxshelf.Active, h.now), "n"))
	if e := oneEffect[Terminated](h); e.Task != taskID(7) || e.Cause != CauseLost {
		t.Errorf("%+v", e)
	}
}
