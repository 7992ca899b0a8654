package requests

import (
	"testing"
	"time"

	"flaxshelf.example/flaxshelf"
	"flaxshelf.example/flaxshelf/internal/machinetest"
)

// An update passes every field of a machine to the placer, and the core stores all of them.
func TestUpdateKeepsEveryFieldOfMachine(t *testing.T) {
	h := newHarness(t)
	want := machinetest.Filled(t)
	h.step(nodeUpdated(want, "x"))
	updates := placerEventsOf[flaxshelf.MachinesUpdated](h)
	if len(updates) != 1 || len(updates[0].Machines) != 1 {
		t.Fatalf("got %+v, want one update of one machine", updates)
	}
	machinetest.Expect(t, updates[0].Machines[0], want)
	machinetest.Expect(t, h.core.getOrAddNode(want.ID).machine, want)
}

// A node is identified by its ID, not by its address: if another node takes over its address, its tasks are lost.
func TestReusedAddressLosesTasksOfPreviousNode(t *testing.T) {
	h := newHarness(t)
	h.connect(1)
	h.addNodes("old@x")
	h.placeTask(1, 7)
	h.updateNodes(flaxshelf.Active, "new@x")
	expectEffect(h, Terminated{Conn: 1, Task: taskID(7), Cause: CauseLost})
	dial := oneEffect[Dial](h)
	if dial.Node != "new" {
		t.Errorf("got dial of node %s, want new", dial.Node)
	}
	oneEffect[CloseLink](h)
	h.step(LinkUp{dial.Link})
	h.step(h.newSubmit(1, 8))
	if offer := oneEffect[Offer](h); offer.Node != "new" || offer.Link != dial.Link {
		t.Errorf("got offer %+v, want one to node new on link %d", offer, dial.Link)
	}
}

// An update that drains a node ends the attempts that are waiting for a link to it.
func TestDrainBeforeOfferIsSent(t *testing.T) {
	h := newHarness(t)
	h.connect(1)
	h.updateNodes(flaxshelf.Active, "n")
	dial := oneEffect[Dial](h)
	h.step(h.newSubmit(1, 7))
	noEffect[Offer](h)
	h.updateNodes(flaxshelf.Draining, "n")
	h.step(LinkUp{dial.Link})
	noEffect[Offer](h)
	if got := placerEventsOf[flaxshelf.AttemptEnded](h); len(got) == 0 || got[0].Outcome != flaxshelf.NotSent {
		t.Errorf("got ended attempts %+v, want the first with outcome %v", got, flaxshelf.NotSent)
	}
}

// The tasks that ran on a node before it restarted are lost, even if its link did not break.
func TestNodeRestartLosesItsTasks(t *testing.T) {
	h := newHarness(t)
	h.connect(1)
	h.addNodes("n")
	h.placeTask(1, 7)
	h.now += time.Second
	h.step(nodeUpdated(machine("n", flaxshelf.Active, h.now), "n"))
	expectEffect(h, Terminated{Conn: 1, Task: taskID(7), Cause: CauseLost})
}
