package requests

import (
	"testing"
	"time"

	"flaxshelf.example/flaxshelf"
)

// A running task is adopted once, and its owner is notified of its end like any other's.
func TestAdoption(t *testing.T) {
	h := newHarness(t)
	h.connect(1)
	h.addNodes("n")
	adopt := h.newAdopt(1, "n", 7)
	h.step(adopt)
	noEffect[Accepted](h)
	h.step(adopt)
	if adopted := moduleEventsOf[flaxshelf.TaskAdopted](h); len(adopted) != 1 || adopted[0].Machine != "n" {
		t.Errorf("%+v", adopted)
	}
	h.step(NodeMessage{Link: h.links["n"], Kind: NodeReleased, Task: taskID(7), Cause: CauseLost, Reason: flaxshelf.Evicted})
	if e := oneEffect[Terminated](h); e != (Terminated{1, taskID(7), CauseLost, false}) {
		t.Errorf("%+v", e)
	}
}

// After a start, the end of a task may arrive before the Adopt of that task: its owner is notified all the same. The release
// of another node, and that of a task that was known and ended here, is no such end.
func TestTerminationBeforeAdoption(t *testing.T) {
	h := newHarness(t)
	h.addNodes("n", "m")
	h.connect(1)
	h.step(nodeReleased(h.links["n"], 7, CauseLost))
	h.step(h.newAdopt(1, "m", 7))
	noEffect[Terminated](h)
	h.step(nodeReleased(h.links["m"], 7, CauseNormal))
	h.step(nodeReleased(h.links["n"], 8, CauseLost))
	h.step(h.newAdopt(1, "n", 8))
	if e := oneEffect[Terminated](h); e != (Terminated{Conn: 1, Task: taskID(8), Cause: CauseLost}) {
		t.Errorf("%+v", e)
	}
	h.step(h.newAdopt(1, "n", 8), nodeReleased(h.links["n"], 8, CauseLost), h.newAdopt(1, "n", 8))
	noEffect[Terminated](h) // the Adopt and the node's release may both arrive again
	if stats := h.core.Stats(); stats.Running != 0 {
		t.Errorf("%d tasks run", stats.Running)
	}
	for i := range 2 * maxPreAdoptionTerminations {
		h.step(nodeReleased(h.links["n"], 100+i, CauseLost))
	}
	if n := len(h.core.preAdoption.byTask); n > maxPreAdoptionTerminations || n != len(h.core.preAdoption.order) {
		t.Errorf("%d terminations are recorded", n)
	}
}

// A scheduler that has just started adopts a task on a draining node that does not listen any more: the refusal proves no
// death, and the task is lost when the endpoint list says that the node has left.
func TestAdoptionOnDrainingNode(t *testing.T) {
	h := newHarness(t)
	h.connectPinged(1)
	h.updateNodes(flaxshelf.Draining, "n")
	dial := oneEffect[Dial](h)
	h.step(h.newAdopt(1, "n", 7))
	for range 30 {
		h.step(LinkDown{Link: dial.Link, ConnectionRefused: true})
		noEffect[Terminated](h)
		h.advance(maxRedialBackoff)
		noEffect[Terminated](h)
		dial = oneEffect[Dial](h)
	}
	h.updateNodes(flaxshelf.Removed, "n")
	if e := oneEffect[Terminated](h); e.Task != taskID(7) {
		t.Errorf("%+v", e)
	}
}

// Tasks adopted on nodes that no endpoint list names are bounded, count as lost after a while, and verify no owner.
func TestAdoptionOnUnlistedNodes(t *testing.T) {
	h := newHarness(t)
	h.connect(1)
	for n := range 3 * maxRunningUnlisted {
		h.step(h.newAdopt(1, "x"+taskID(n), n))
	}
	if stats := h.core.Stats(); stats.Running != maxRunningUnlisted || stats.Nodes != maxRunningUnlisted {
		t.Errorf("%+v", stats)
	}
	h.advance(3 * time.Second)
	if stats := h.core.Stats(); stats.OwnersClosed != 1 {
		t.Errorf("%+v", stats)
	}
	h.advance(5 * time.Second)
	if stats := h.core.Stats(); stats.Running+stats.RunningUnlisted+stats.Nodes != 0 {
		t.Errorf("%+v", stats)
	}
}

// A task adopted on a node whose address belongs to another by now: the other is not dialed for it, and the owner is
// notified in time.
func TestAdoptionOnReplacedNode(t *testing.T) {
	h := newHarness(t)
	h.connectPinged(1)
	h.addNodes("old@a")
	h.updateNodes(flaxshelf.Active, "new@a")
	for _, dial := range effectsOf[Dial](h) {
		h.step(LinkUp{dial.Link})
	}
	h.step(h.newAdopt(1, "old", 7))
	noEffect[Dial](h)
	h.advance(8 * time.Second)
	if e := oneEffect[Terminated](h); e != (Terminated{Conn: 1, Task: taskID(7), Cause: CauseLost}) {
		t.Errorf("%+v", e)
	}
	if stats := h.core.Stats(); stats.Running != 0 || stats.RunningUnlisted != 0 || stats.Nodes != 1 {
		t.Errorf("%+v", stats)
	}
}
