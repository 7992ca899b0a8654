package requests

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"flaxshelf.example/flaxshelf"
)

// The feed is called where changes come unasked, and called again within a second after it broke off; where changes
// must be asked for, the module's word is the only call.
func TestFeedIsFollowed(t *testing.T) {
	w := newWorld(t)
	w.step()
	one[Subscribe](w)
	w.step(WatchFailed{})
	none[Subscribe](w)
	w.pass(time.Second)
	one[Subscribe](w)

	w = newWorld(t, func(c *Config) { c.Module.DiscoveryOnRequest = true })
	w.step(NodesUpdated{Machines: []flaxshelf.Machine{machine("n", flaxshelf.Active, 0)}, Addrs: []string{"n"}, Complete: true, FromConfig: true})
	one[Subscribe](w)
	w.step(WatchEstablished{})
	w.pass(time.Minute)
	none[Subscribe](w)
	w.step(WatchFailed{})
	w.pass(time.Second)
	one[Subscribe](w)
}

// A set-up is answered with the node's description, and its end is told once.
func TestPlacedAndOver(t *testing.T) {
	w := newWorld(t)
	w.step(OwnerConnected{Conn: 1, Host: "h"})
	w.nodes("n")
	w.step(w.ask(1, 7, 0))
	o := one[Offer](w)
	if o.Node != "n" || o.Task != id(7) || o.Description != "owner's" || o.TimeLeft <= 0 {
		t.Errorf("%+v", o)
	}
	w.step(NodeMessage{Link: o.Link, Kind: NodeAccepted, Task: id(7), Description: "node's"})
	if a := one[Accepted](w); a != (Accepted{1, id(7), "node's"}) {
		t.Errorf("%+v", a)
	}
	w.step(NodeMessage{Link: o.Link, Kind: NodeAccepted, Task: id(7), Description: "second"})
	none[Accepted](w)
	none[SendRelease](w)
	w.step(NodeMessage{Link: o.Link, Kind: NodeReleased, Task: id(7), Cause: CauseNormal})
	if e := one[Terminated](w); e != (Terminated{1, id(7), CauseNormal, false}) {
		t.Errorf("%+v", e)
	}
	w.step(NodeMessage{Link: o.Link, Kind: NodeReleased, Task: id(7), Cause: CauseNormal})
	none[Terminated](w)
	if f := w.c.Stats(); f.Running != 0 || f.Pending != 0 || len(w.c.tasks) != 0 {
		t.Errorf("%+v", f)
	}
}

// A node's refusal before the answer goes to the module as what it proves; the owner hears once, at once.
func TestOutcomes(t *testing.T) {
	for cause, want := range map[int]flaxshelf.Outcome{CauseRejected: flaxshelf.Rejected, CauseError: flaxshelf.Failed,
		CauseObsolete: flaxshelf.NotSent, CauseLost: flaxshelf.Lost, 99: flaxshelf.Lost} {
		w := newWorld(t)
		w.step(OwnerConnected{Conn: 1, Host: "h"})
		w.nodes("a", "b")
		w.step(w.ask(1, 7, 0))
		o := one[Offer](w)
		w.step(NodeMessage{Link: o.Link, Kind: NodeReleased, Task: id(7), Cause: cause, Reason: flaxshelf.InsufficientCores})
		e := told[flaxshelf.AttemptEnded](w)
		if len(e) != 1 || e[0].Outcome != want || e[0].Machine != o.Node || e[0].Reason != flaxshelf.InsufficientCores || e[0].Final {
			t.Errorf("cause %d: %+v", cause, e)
		}
		none[Terminated](w)
		if next := one[Offer](w); next.Node == o.Node {
			t.Errorf("cause %d: the next offer goes to the same node", cause)
		}
	}
}

// Once the module has given up, the owner hears in the same step; where something may have run and a repeat could do
// harm it hears a failure, else a refusal.
func TestFinalAnswerAtOnce(t *testing.T) {
	for _, c := range []struct {
		class, cause, want int
	}{{0, CauseError, CauseRejected}, {1, CauseRejected, CauseRejected}, {1, CauseError, CauseLost}} {
		w := newWorld(t)
		w.step(OwnerConnected{Conn: 1, Host: "h"})
		w.nodes("a", "b", "c", "d")
		w.step(w.ask(1, 7, c.class))
		for range 3 {
			o := one[Offer](w)
			none[Terminated](w)
			w.step(NodeMessage{Link: o.Link, Kind: NodeReleased, Task: id(7), Cause: c.cause})
		}
		none[Offer](w)
		if e := one[Terminated](w); e != (Terminated{1, id(7), c.want, false}) {
			t.Errorf("class %d, cause %d: %+v", c.class, c.cause, e)
		}
		if f := w.c.Stats(); f.Pending != 0 || len(w.c.tasks) != 0 {
			t.Errorf("%+v", f)
		}
	}
}

// A set-up that its owner gives up is released at the node, no answer is owed any more, and an answer that crosses is
// released too.
func TestGiveUp(t *testing.T) {
	for _, by := range []Input{Release{1, id(7)}, OwnerDisconnected{1}} {
		w := newWorld(t)
		w.step(OwnerConnected{Conn: 1, Host: "h"})
		w.nodes("n")
		w.step(w.ask(1, 7, 0))
		o := one[Offer](w)
		w.step(by)
		if cut := one[SendRelease](w); cut.Link != o.Link || cut.Task != id(7) {
			t.Errorf("%+v", cut)
		}
		none[Terminated](w)
		w.step(NodeMessage{Link: o.Link, Kind: NodeAccepted, Task: id(7), Description: "late"})
		none[Accepted](w)
		one[SendRelease](w)
		if f := w.c.Stats(); f.Pending != 0 || f.Running != 0 || len(w.c.tasks) != 0 {
			t.Errorf("%+v", f)
		}
	}
}

// An owner's release of a standing task, on any connection, cuts it at its node; nobody is owed a release.
func TestOwnerEnds(t *testing.T) {
	for _, by := range []Input{Release{2, id(7)}, Migrated{2, id(7)}} {
		w := newWorld(t)
		w.step(OwnerConnected{Conn: 1, Host: "h"}, OwnerConnected{Conn: 2, Host: "h"})
		w.nodes("n")
		o := w.place(1, 7, 0)
		w.step(by)
		if cut := one[SendRelease](w); cut != (SendRelease{o.Link, id(7), CauseCanceled}) {
			t.Errorf("%+v", cut)
		}
		w.step(NodeMessage{Link: o.Link, Kind: NodeReleased, Task: id(7), Cause: CauseCanceled})
		none[Terminated](w)
		if e := told[flaxshelf.AttemptEnded](w); len(e) != 1 || e[0].Outcome != flaxshelf.Canceled || !e[0].Final {
			t.Errorf("%+v", e)
		}
	}
}

// The same id while it is open: the first keeps its one answer, another connection is told a failure.
func TestSameIDTwice(t *testing.T) {
	w := newWorld(t)
	w.step(OwnerConnected{Conn: 1, Host: "h"}, OwnerConnected{Conn: 2, Host: "h"})
	w.nodes("n")
	w.step(w.ask(1, 7, 0), w.ask(1, 7, 0), w.ask(2, 7, 0))
	o := one[Offer](w)
	if e := one[Terminated](w); e != (Terminated{2, id(7), CauseLost, false}) {
		t.Errorf("%+v", e)
	}
	w.step(NodeMessage{Link: o.Link, Kind: NodeAccepted, Task: id(7), Description: "d"})
	if a := one[Accepted](w); a.Conn != 1 {
		t.Errorf("%+v", a)
	}
}

// What stands is handed over, once; its end reaches the owner like any other's.
func TestHeld(t *testing.T) {
	w := newWorld(t)
	w.step(OwnerConnected{Conn: 1, Host: "h"})
	w.nodes("n")
	h := Adopt{Conn: 1, Node: "n", Task: w.ask(1, 7, 0).Task}
	w.step(h)
	none[Accepted](w)
	w.step(h)
	if r := told[flaxshelf.TaskAdopted](w); len(r) != 1 || r[0].Machine != "n" {
		t.Errorf("%+v", r)
	}
	w.step(NodeMessage{Link: w.up["n"], Kind: NodeReleased, Task: id(7), Cause: CauseLost, Reason: flaxshelf.Evicted})
	if e := one[Terminated](w); e != (Terminated{1, id(7), CauseLost, false}) {
		t.Errorf("%+v", e)
	}
}

// What an owner ends after its link broke is released on the newer link.
func TestOwnerEndsAfterBreak(t *testing.T) {
	w := newWorld(t)
	w.step(OwnerConnected{Conn: 1, Host: "h"})
	w.nodes("n")
	first := w.place(1, 7, 0)
	w.step(LinkDown{Link: first.Link})
	d := one[Dial](w)
	w.step(LinkUp{d.Link})
	w.step(Release{1, id(7)})
	if cut := one[SendRelease](w); cut != (SendRelease{d.Link, id(7), CauseCanceled}) {
		t.Errorf("%+v", cut)
	}
}

// A task that the module moves is cut at its node, and its owner is told by a move: a release would have it take the task
// for lost, and wait before it asks again. The node's word ends it; the owner hears nothing more.
func TestMoves(t *testing.T) {
	w := newWorld(t)
	w.step(OwnerConnected{Conn: 1, Host: "h"})
	w.nodes("n1", "n2", "n3", "n4")
	for i, n := range []string{"n1", "n2", "n3", "n4"} { // all are known to serve something well
		w.step(Adopt{Conn: 1, Node: n, Task: w.ask(1, 20+i, 0).Task})
	}
	o := w.place(1, 7, 0)
	for range 3 {
		w.now += time.Second
		w.step(NodeMessage{Link: o.Link, Kind: NodeUsage, Task: id(7), UsageKind: flaxshelf.ServiceLevel, Amount: 0.1})
		if len(find[Terminated](w)) > 0 {
			break
		}
	}
	if e := one[Terminated](w); e != (Terminated{Conn: 1, Task: id(7), Migrate: true}) {
		t.Errorf("%+v", e)
	}
	if cut := one[SendRelease](w); cut != (SendRelease{o.Link, id(7), CauseCanceled}) {
		t.Errorf("%+v", cut)
	}
	w.step(NodeMessage{Link: o.Link, Kind: NodeReleased, Task: id(7), Cause: CauseCanceled})
	none[Terminated](w)
	if e := told[flaxshelf.AttemptEnded](w); len(e) != 1 || e[0].Outcome != flaxshelf.Canceled {
		t.Errorf("%+v", e)
	}
}

// A hand-over proves no owner: an end is told where a task was placed, and the connection goes like any that says nothing.
func TestHandOverProvesNothing(t *testing.T) {
	w := newWorld(t)
	w.step(OwnerConnected{Conn: 1, Host: "h"}, OwnerConnected{Conn: 2, Host: "h"}, OwnerConnected{Conn: 3, Host: "h"})
	w.nodes("n")
	w.place(1, 7, 0)
	w.place(2, 8, 0)
	w.step(Adopt{Conn: 3, Node: "n", Task: w.ask(3, 9, 0).Task})
	w.step(OwnerDisconnected{Conn: 1})
	w.step(NodeMessage{Link: w.up["n"], Kind: NodeReleased, Task: id(7), Cause: CauseNormal})
	if e := one[Terminated](w); e.Conn != 2 {
		t.Errorf("%+v", e)
	}
	w.pass(3 * time.Second)
	if e := one[CloseOwner](w); e.Conn != 3 {
		t.Errorf("%+v", e)
	}
}

// A scheduler started anew has only connections that handed tasks over. They stay, though bad clients may be among them,
// until one is known to be an owner's: else nobody would be there to tell of an end.
func TestHandOversKeepTheOnlyConnections(t *testing.T) {
	w := newWorld(t)
	w.nodes("n")
	w.step(OwnerConnected{Conn: 1, Host: "h"}, OwnerConnected{Conn: 2, Host: "h"}, OwnerConnected{Conn: 3, Host: "h"})
	w.step(Adopt{Conn: 1, Node: "n", Task: w.ask(1, 7, 0).Task}, Adopt{Conn: 2, Node: "n", Task: w.ask(2, 8, 0).Task})
	w.pass(3 * time.Second)
	if e := one[CloseOwner](w); e.Conn != 3 {
		t.Errorf("%+v", e)
	}
	w.step(NodeMessage{Link: w.up["n"], Kind: NodeReleased, Task: id(7), Cause: CauseNormal})
	if e := one[Terminated](w); e.Conn != 1 {
		t.Errorf("%+v", e)
	}
	w.pass(time.Second) // a node has spoken of what 1 handed over, and of nothing else
	if e := one[CloseOwner](w); e.Conn != 2 {
		t.Errorf("%+v", e)
	}
	w.step(OwnerConnected{Conn: 4, Host: "h"}, Adopt{Conn: 4, Node: "n", Task: w.ask(4, 9, 0).Task}, Adopt{Conn: 4, Node: "n", Task: w.ask(4, 10, 0).Task})
	w.step(NodeMessage{Link: w.up["n"], Kind: NodeReleased, Task: id(8), Cause: CauseNormal})
	if e := one[Terminated](w); e.Conn != 1 {
		t.Errorf("the end of what a closed connection handed over: %+v", e)
	}
}

// Where no connection has proved to be an owner's, an end goes where most was handed over.
func TestMostHandOversAreAnOwners(t *testing.T) {
	w := newWorld(t)
	w.nodes("n")
	w.step(OwnerConnected{Conn: 1, Host: "h"}, OwnerConnected{Conn: 2, Host: "h"}, OwnerConnected{Conn: 3, Host: "h"}, OwnerConnected{Conn: 4, Host: "h"})
	for i, conn := range []Conn{1, 2, 3, 3, 4, 4} {
		w.step(Adopt{Conn: conn, Node: "n", Task: w.ask(conn, 7+i, 0).Task})
	}
	w.step(OwnerDisconnected{Conn: 1})
	w.step(NodeMessage{Link: w.up["n"], Kind: NodeReleased, Task: id(7), Cause: CauseNormal})
	if e := one[Terminated](w); e.Conn != 3 {
		t.Errorf("%+v", e)
	}
}

// The end of a task may come before the hand-over of that task, when both cross a start: its owner hears it all the same.
// The word of another node, and of a task that was known and ended here, is no such end.
func TestEndBeforeItsHandOver(t *testing.T) {
	w := newWorld(t)
	w.nodes("n", "m")
	w.step(OwnerConnected{Conn: 1, Host: "h"})
	w.step(NodeMessage{Link: w.up["n"], Kind: NodeReleased, Task: id(7), Cause: CauseLost})
	w.step(Adopt{Conn: 1, Node: "m", Task: w.ask(1, 7, 0).Task})
	none[Terminated](w)
	w.step(NodeMessage{Link: w.up["m"], Kind: NodeReleased, Task: id(7), Cause: CauseNormal})
	w.step(NodeMessage{Link: w.up["n"], Kind: NodeReleased, Task: id(8), Cause: CauseLost})
	w.step(Adopt{Conn: 1, Node: "n", Task: w.ask(1, 8, 0).Task})
	if e := one[Terminated](w); e != (Terminated{Conn: 1, Task: id(8), Cause: CauseLost}) {
		t.Errorf("%+v", e)
	}
	w.step(Adopt{Conn: 1, Node: "n", Task: w.ask(1, 8, 0).Task}, NodeMessage{Link: w.up["n"], Kind: NodeReleased, Task: id(8), Cause: CauseLost},
		Adopt{Conn: 1, Node: "n", Task: w.ask(1, 8, 0).Task})
	none[Terminated](w) // the hand-over and the node's word may both come again
	if f := w.c.Stats(); f.Running != 0 {
		t.Errorf("%d stand", f.Running)
	}
	for i := range 2 * maxPreAdoptionTerminations {
		w.step(NodeMessage{Link: w.up["n"], Kind: NodeReleased, Task: id(100 + i), Cause: CauseLost})
	}
	if n := len(w.c.preAdoption.byTask); n > maxPreAdoptionTerminations || n != len(w.c.preAdoption.order) {
		t.Errorf("%d ends are kept", n)
	}
}

// Tests are passed until the scheduler is asked to leave, and what comes then is served all the same.
func TestStop(t *testing.T) {
	w := newWorld(t)
	w.step(OwnerConnected{Conn: 1, Host: "h"}, Ping{1, id(1)})
	if p := one[Pong](w); !p.Passed {
		t.Error("not passed")
	}
	w.nodes("n")
	w.step(Shutdown{}, Ping{1, id(1)})
	if p := one[Pong](w); p.Passed {
		t.Error("passed while leaving")
	}
	w.place(1, 7, 0)
}

// A link that breaks proves nothing of the set-ups on it; what stands outlives it and is told on the next one.
func TestLinkBreaks(t *testing.T) {
	w := newWorld(t)
	w.step(OwnerConnected{Conn: 1, Host: "h"})
	w.nodes("n")
	first := w.place(1, 7, 0)
	w.step(w.ask(1, 8, 1))
	w.step(LinkDown{Link: first.Link})
	if e := told[flaxshelf.AttemptEnded](w); len(e) != 1 || e[0].Task != id(8) || e[0].Outcome != flaxshelf.Lost {
		t.Errorf("%+v", e)
	}
	d := one[Dial](w)
	w.step(LinkUp{d.Link})
	w.step(NodeMessage{Link: d.Link, Kind: NodeReleased, Task: id(7), Cause: CauseNormal})
	if e := one[Terminated](w); e.Task != id(7) {
		t.Errorf("%+v", e)
	}
}

// A refused connection proves that nothing ran and that what stood there is cut; one that never comes up proves that
// nothing was sent, and only after a while that the machine is gone.
func TestDialFails(t *testing.T) {
	for _, refused := range []bool{true, false} {
		w := newWorld(t)
		w.step(OwnerConnected{Conn: 1, Host: "h"})
		w.nodes("n")
		o := w.place(1, 7, 0)
		w.step(LinkDown{Link: o.Link})
		d := one[Dial](w)
		w.step(w.ask(1, 8, 0))
		none[Offer](w)
		w.step(LinkDown{Link: d.Link, ConnectionRefused: refused})
		e := told[flaxshelf.AttemptEnded](w)
		if len(e) == 0 || e[0].Outcome == flaxshelf.Lost && e[0].Task == id(8) {
			t.Fatalf("%+v", e)
		}
		if refused {
			if e := one[Terminated](w); e.Task != id(7) || e.Cause != CauseLost {
				t.Errorf("%+v", e)
			}
			continue
		}
		none[Terminated](w)
		cut := 0
		for range 100 {
			w.pass(100 * time.Millisecond)
			for _, e := range find[Terminated](w) {
				if e.Task == id(7) {
					cut++
				}
			}
			for _, d := range find[Dial](w) {
				w.step(LinkDown{Link: d.Link})
			}
		}
		if cut != 1 || w.c.Stats().LostToUnreachable != 1 {
			t.Errorf("the owner of what stood on a silent machine heard %d times", cut)
		}
	}
}

// A node that drains listens no more and keeps what stands, on the link that it has: a newer link that is refused beside
// one that is up proves no death. The old link goes on, and its break with a refusal after it is a death.
func TestRefusedBesideALinkThatIsUp(t *testing.T) {
	w := newWorld(t)
	w.step(OwnerConnected{Conn: 1, Host: "h"})
	w.nodes("n")
	o := w.place(1, 7, 0)
	w.list(flaxshelf.Draining, "n")
	for range 5 {
		w.pass(nodeSilenceThreshold + silenceCheckInterval)
		d := find[Dial](w)
		if len(d) == 0 {
			t.Fatalf("no newer link: %+v", w.out)
		}
		none[Terminated](w)
		w.step(LinkDown{Link: d[0].Link, ConnectionRefused: true})
		none[Terminated](w)
		none[CloseLink](w)
	}
	w.step(NodeMessage{Link: o.Link, Kind: NodeUsage, Task: id(7), UsageKind: flaxshelf.ServiceLevel, Amount: 1})
	w.step(LinkDown{Link: o.Link})
	w.step(LinkDown{Link: one[Dial](w).Link, ConnectionRefused: true})
	if e := one[Terminated](w); e.Task != id(7) {
		t.Errorf("%+v", e)
	}
}

// A scheduler that starts anew is handed what stands on a node that drains and listens no more: the refusal is no death,
// and what stands there is cut when the list says that the node has left.
func TestHandedOverOnADrainingNode(t *testing.T) {
	w := newWorld(t)
	w.step(OwnerConnected{Conn: 1, Host: "h"}, Ping{1, id(1)})
	w.list(flaxshelf.Draining, "n")
	d := one[Dial](w)
	w.step(Adopt{Conn: 1, Node: "n", Task: w.ask(1, 7, 0).Task})
	for range 30 {
		w.step(LinkDown{Link: d.Link, ConnectionRefused: true})
		none[Terminated](w)
		w.pass(maxRedialBackoff)
		none[Terminated](w)
		d = one[Dial](w)
	}
	w.list(flaxshelf.Removed, "n")
	if e := one[Terminated](w); e.Task != id(7) {
		t.Errorf("%+v", e)
	}
}

// A link without traffic is renewed before its node closes it: the next set-up goes on the newer one, and one that crosses
// the close of the old loses nothing. Traffic either way keeps a link.
func TestIdleLinkIsRenewed(t *testing.T) {
	w := newWorld(t, func(c *Config) { c.NodeIdleTimeout = 30 * time.Second })
	w.step(OwnerConnected{Conn: 1, Host: "h"}, Ping{1, id(1)})
	w.nodes("n")
	w.pass(20 * time.Second)
	w.place(1, 7, 0)
	w.step(NodeMessage{Link: w.up["n"], Kind: NodeReleased, Task: id(7), Cause: CauseNormal})
	w.pass(20 * time.Second)
	none[Dial](w)
	w.pass(5 * time.Second)
	d := one[Dial](w)
	w.step(LinkUp{d.Link})
	w.step(w.ask(1, 8, 0))
	if o := one[Offer](w); o.Link != d.Link {
		t.Errorf("offered on link %d, want %d", o.Link, d.Link)
	}
	w.step(LinkDown{Link: w.up["n"]})
	if e := told[flaxshelf.AttemptEnded](w); len(e) != 1 {
		t.Errorf("%+v", e)
	}
	w.step(NodeMessage{Link: d.Link, Kind: NodeAccepted, Task: id(8), Description: "d"})
	one[Accepted](w)
}

// A node is known by its id: another one at its address cuts what stood on it, and its words end nothing of it.
func TestAddressUsedAgain(t *testing.T) {
	w := newWorld(t)
	w.step(OwnerConnected{Conn: 1, Host: "h"})
	w.nodes("old@x")
	w.place(1, 7, 0)
	w.list(flaxshelf.Active, "new@x")
	if e := one[Terminated](w); e.Task != id(7) {
		t.Errorf("%+v", e)
	}
	d := one[Dial](w)
	if d.Node != "new" {
		t.Errorf("%+v", d)
	}
	one[CloseLink](w)
	w.step(LinkUp{d.Link})
	w.step(w.ask(1, 8, 0))
	if o := one[Offer](w); o.Node != "new" || o.Link != d.Link {
		t.Errorf("%+v", o)
	}
}

// Word of a drain acts before offers that wait for a link are written.
func TestDrainBeforeWrite(t *testing.T) {
	w := newWorld(t)
	w.step(OwnerConnected{Conn: 1, Host: "h"})
	w.list(flaxshelf.Active, "n")
	d := one[Dial](w)
	w.step(w.ask(1, 7, 0))
	none[Offer](w)
	w.list(flaxshelf.Draining, "n")
	w.step(LinkUp{d.Link})
	none[Offer](w)
	if e := told[flaxshelf.AttemptEnded](w); len(e) == 0 || e[0].Outcome != flaxshelf.NotSent {
		t.Errorf("%+v", e)
	}
}

// A node that started anew has cut what stood before, whether or not its connection told.
func TestRestart(t *testing.T) {
	w := newWorld(t)
	w.step(OwnerConnected{Conn: 1, Host: "h"})
	w.nodes("n")
	w.place(1, 7, 0)
	w.now += time.Second
	w.step(NodesUpdated{Machines: []flaxshelf.Machine{machine("n", flaxshelf.Active, w.now)}, Addrs: []string{"n"}})
	if e := one[Terminated](w); e.Task != id(7) || e.Cause != CauseLost {
		t.Errorf("%+v", e)
	}
}

// A link that tells nothing after a set-up is replaced by a new one; the old is let go after a while.
func TestSilentLinkIsReplaced(t *testing.T) {
	w := newWorld(t, func(c *Config) { c.Module.MaxAttempts = 2 })
	w.step(OwnerConnected{Conn: 1, Host: "h"})
	w.nodes("n")
	w.now += time.Second
	w.step(w.ask(1, 7, 0))
	o := one[Offer](w)
	w.pass(o.TimeLeft + time.Millisecond)
	d := find[Dial](w)
	if len(find[SendRelease](w)) == 0 || len(d) == 0 {
		t.Fatalf("%+v", w.out)
	}
	w.step(LinkUp{d[len(d)-1].Link})
	w.pass(linkRetireDelay)
	if h := find[CloseLink](w); len(h) != 1 || h[0].Link != o.Link {
		t.Errorf("%+v", h)
	}
}

// However its links come and go, what stands on a machine that fell silent counts as cut within the time in which its owner has
// to hear, also where each newer link takes its time to fail.
func TestSilentMachineIsFoundInTime(t *testing.T) {
	for wait := 50 * time.Millisecond; wait <= time.Second; wait += 50 * time.Millisecond {
		w := newWorld(t, func(c *Config) { c.MaxLinks = 10 })
		w.step(OwnerConnected{Conn: 1, Host: "h"})
		w.nodes("n")
		w.place(1, 7, 0)
		began := w.now
		dials := map[Link]Time{}
		for len(find[Terminated](w)) == 0 {
			if w.now-began > 8*time.Second {
				t.Fatalf("dials that fail after %v: the owner has not heard after 8 s", wait)
			}
			for l, at := range dials {
				if w.now >= at {
					delete(dials, l)
					w.step(LinkDown{Link: l})
				}
			}
			for _, d := range find[Dial](w) {
				dials[d.Link] = w.now + wait
			}
			if len(find[Terminated](w)) == 0 {
				w.pass(10 * time.Millisecond)
				for _, d := range find[Dial](w) {
					dials[d.Link] = w.now + wait
				}
			}
		}
	}
}

// A link that was replaced goes once a newer one is up, though that takes long.
func TestReplacedLinkGoesInTheEnd(t *testing.T) {
	w := newWorld(t, func(c *Config) { c.Module.MaxAttempts = 1 })
	w.step(OwnerConnected{Conn: 1, Host: "h"})
	w.nodes("n")
	w.now += time.Second
	w.step(w.ask(1, 7, 0))
	old := one[Offer](w).Link
	w.pass(3500 * time.Millisecond) // the set-up and its link are given up; the next link is slow
	w.pass(linkRetireDelay)
	none[CloseLink](w)
	w.step(LinkUp{w.c.nodes["n"].current.id})
	w.pass(linkRetireDelay)
	if h := one[CloseLink](w); h.Link != old {
		t.Errorf("%+v", h)
	}
}

// A task may be offered to the same node again, where no other is left. What the node says of the first attempt is not taken
// for its word on the second: that one goes on a link of its own.
func TestSameNodeTwice(t *testing.T) {
	w := newWorld(t)
	w.step(OwnerConnected{Conn: 1, Host: "h"})
	w.nodes("n")
	w.now += time.Second
	w.step(w.ask(1, 7, 0))
	first := one[Offer](w)
	w.step(NodeMessage{Link: first.Link, Kind: NodeReleased, Task: id(99), Cause: CauseRejected}) // the link is alive
	w.pass(first.TimeLeft + time.Millisecond)
	none[Offer](w)
	w.step(LinkUp{one[Dial](w).Link})
	second := one[Offer](w)
	if second.Link == first.Link || second.Attempt != 1 {
		t.Errorf("%+v after %+v", second, first)
	}
	w.step(NodeMessage{Link: first.Link, Kind: NodeAccepted, Task: id(7), Description: "late"},
		NodeMessage{Link: first.Link, Kind: NodeReleased, Task: id(7), Cause: CauseCanceled})
	none[Accepted](w)
	none[Offer](w)
	w.step(SendFailed{Link: second.Link, Task: id(7), Attempt: 0})
	none[Offer](w)
	w.step(NodeMessage{Link: second.Link, Kind: NodeAccepted, Task: id(7), Description: "node's"})
	if a := one[Accepted](w); a.Description != "node's" {
		t.Errorf("%+v", a)
	}
}

// A process that was stopped for a while finds answers that came in time, and their time-out behind them: they stand.
func TestAnswerBeforeItsTimeOut(t *testing.T) {
	w := newWorld(t)
	w.step(OwnerConnected{Conn: 1, Host: "h"})
	w.nodes("n")
	w.step(w.ask(1, 7, 0))
	o := one[Offer](w)
	w.now += o.TimeLeft + time.Second
	w.step(NodeMessage{Link: o.Link, Kind: NodeAccepted, Task: id(7), Description: "node's"})
	one[Accepted](w)
	none[SendRelease](w)
}

// The long day in small: nodes, connections and ids that are always new. The heap of the core and its module is no larger
// at the end than half way.
func TestLongDayKeepsItsHeap(t *testing.T) {
	w := newWorld(t)
	w.c.config.RecordStep = nil // the test's own memory must not grow
	conn, n := Conn(0), 0
	half := func() uint64 {
		for round := range 2000 {
			name := "n" + id(n+round)
			effects, _ := w.c.Step(w.now, []Input{NodesUpdated{Machines: []flaxshelf.Machine{machine(name, flaxshelf.Active, 0)}, Addrs: []string{"x"}}})
			for _, e := range append([]Effect(nil), effects...) {
				if d, ok := e.(Dial); ok {
					w.c.Step(w.now, []Input{LinkUp{d.Link}})
				}
			}
			for range 5 {
				conn++
				n++
				effects, _ = w.c.Step(w.now, []Input{OwnerConnected{Conn: conn, Host: "h"}, w.ask(conn, n, 0)})
				for _, e := range append([]Effect(nil), effects...) {
					if o, ok := e.(Offer); ok {
						w.c.Step(w.now, []Input{NodeMessage{Link: o.Link, Kind: NodeAccepted, Task: o.Task, Description: "d"}})
					}
				}
				w.now += 200 * time.Millisecond
			}
			w.c.Step(w.now, []Input{NodesUpdated{Machines: []flaxshelf.Machine{machine(name, flaxshelf.Removed, 0)}, Addrs: []string{"x"}}})
		}
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	first, second := half(), half()
	if w.c.Stats().Placed < 15000 {
		t.Fatalf("%+v", w.c.Stats())
	}
	w.pass(5 * time.Minute)
	f := w.c.Stats()
	if f.Pending+f.Running+f.Nodes+f.Links != 0 || len(w.c.tasks) != 0 || f.Owners > 10 || w.c.timers.Len() > 3 {
		t.Errorf("%+v, %d tasks, %d timers", f, len(w.c.tasks), w.c.timers.Len())
	}
	if second > first+256<<10 {
		t.Errorf("the heap has grown from %d to %d KiB in the second half", first>>10, second>>10)
	}
	runtime.KeepAlive(w)
}

// Set-ups over a bound, of all or of one connection, are refused at once, and nothing of them reaches the module.
func TestTooManyAreRefused(t *testing.T) {
	for name, change := range map[string]func(*Config){
		"of all": func(c *Config) { c.MaxPending = 2 }, "of one connection": func(c *Config) { c.Admission.MaxPendingPerConnection = 2 }} {
		w := newWorld(t, change)
		w.step(OwnerConnected{Conn: 1, Host: "h"})
		w.nodes("n")
		w.step(w.ask(1, 7, 0), w.ask(1, 8, 0), w.ask(1, 9, 0))
		if e := one[Terminated](w); e != (Terminated{1, id(9), CauseRejected, false}) || len(told[flaxshelf.TaskSubmitted](w)) != 2 {
			t.Errorf("%s: %+v", name, e)
		}
	}
}

// A connection that goes on sending what makes no sense is closed.
func TestWrongOnesAreClosed(t *testing.T) {
	w := newWorld(t)
	w.step(OwnerConnected{Conn: 1, Host: "h"}, ProtocolError{1}, ProtocolError{1})
	none[CloseOwner](w)
	w.step(ProtocolError{1})
	one[CloseOwner](w)
}

// A cut whose link broke under it is said again on the next one.
func TestCutIsSaidAgain(t *testing.T) {
	w := newWorld(t)
	w.step(OwnerConnected{Conn: 1, Host: "h"})
	w.nodes("n")
	o := w.place(1, 7, 0)
	w.step(Release{1, id(7)})
	w.step(LinkDown{Link: o.Link})
	w.step(LinkUp{one[Dial](w).Link})
	if cut := one[SendRelease](w); cut.Task != id(7) || cut.Link == o.Link {
		t.Errorf("%+v", cut)
	}
}

// What an owner ends on a node that is cut off still runs there: it counts until a sign of life after its release, until a new
// link has taken the release, or until the node counts as gone. It is never told.
func TestEndedOnANodeThatIsCutOff(t *testing.T) {
	for name, c := range map[string]struct {
		then  func(w *world, o Offer)
		after time.Duration
	}{
		"a sign of life":  {func(w *world, o Offer) { w.step(NodeMessage{Link: o.Link, Kind: NodeConfirmedRelease, Task: id(99)}) }, releaseConfirmationTimeout},
		"a new link":      {func(w *world, _ Offer) { w.step(LinkUp{w.c.nodes["n"].current.id}) }, releaseConfirmationTimeout},
		"nothing further": {func(*world, Offer) {}, 6 * time.Second},
	} {
		w := newWorld(t)
		w.step(OwnerConnected{Conn: 1, Host: "h"})
		w.nodes("n")
		o := w.place(1, 7, 0)
		w.step(Release{1, id(7)})
		one[SendRelease](w)
		w.pass(3 * time.Second) // silent for long enough that a newer link is made
		if f := w.c.Stats(); f.Running != 1 {
			t.Errorf("%s: it counts as over while its node is silent", name)
		}
		w.now++
		c.then(w, o)
		w.pass(c.after)
		if f := w.c.Stats(); f.Running != 0 || len(w.c.tasks) != 0 {
			t.Errorf("%s: %d stand", name, f.Running)
		}
		for _, e := range w.all {
			if over, ok := e.(Terminated); ok {
				t.Errorf("%s: %+v", name, over)
			}
		}
	}
}

// Tasks handed over on nodes that no list names are bounded, count as cut after a while, and prove no owner.
func TestHandedOverOnNodesThatAreNone(t *testing.T) {
	w := newWorld(t)
	w.step(OwnerConnected{Conn: 1, Host: "h"})
	for n := range 3 * maxRunningUnlisted {
		w.step(Adopt{Conn: 1, Node: "x" + id(n), Task: w.ask(1, n, 0).Task})
	}
	if f := w.c.Stats(); f.Running != maxRunningUnlisted || f.Nodes != maxRunningUnlisted {
		t.Errorf("%+v", f)
	}
	w.pass(3 * time.Second)
	if f := w.c.Stats(); f.OwnersClosed != 1 {
		t.Errorf("%+v", f)
	}
	w.pass(5 * time.Second)
	if f := w.c.Stats(); f.Running+f.RunningUnlisted+f.Nodes != 0 {
		t.Errorf("%+v", f)
	}
}

// With more nodes than links: never more than the bound, a node that is asked gets one, and one with tasks of ours is linked
// often enough to be heard, so that none counts as cut while it lives.
func TestLinksAreBounded(t *testing.T) {
	const nodes, most = 24, 10
	w := newWorld(t, func(c *Config) { c.MaxLinks = most })
	w.step(OwnerConnected{Conn: 1, Host: "h"})
	var names []string
	for i := range nodes {
		names = append(names, fmt.Sprintf("n%02d", i))
	}
	w.list(flaxshelf.Active, names...)
	open, seen := map[Link]string{}, map[string]Time{}
	follow := func() {
		for len(w.out) > 0 {
			out := w.out
			w.out = nil
			for _, e := range out {
				switch e := e.(type) {
				case Dial:
					open[e.Link], seen[e.Node] = e.Node, w.now
					w.step(LinkUp{e.Link})
				case CloseLink:
					delete(open, e.Link)
				case Offer:
					w.step(NodeMessage{Link: e.Link, Kind: NodeAccepted, Task: e.Task, Description: "d"})
				}
			}
		}
		if len(w.c.links) > most {
			t.Fatalf("%d links", len(w.c.links))
		}
	}
	follow()
	if n := len(open); n != most*7/8 {
		t.Errorf("%d links before anything is asked", n)
	}
	for i := range 120 {
		in := w.ask(1, i, 0)
		in.Task.Service = fmt.Sprint(i)
		w.step(in)
		follow()
		w.pass(20 * time.Millisecond)
		follow()
	}
	standing := map[string]bool{}
	for _, n := range w.c.nodes {
		if len(n.attempts) > 0 {
			standing[n.entry.ID] = true
		}
	}
	if f := w.c.Stats(); f.Placed != 120 || len(standing) <= most {
		t.Fatalf("%+v, tasks stand on %d nodes", f, len(standing))
	}
	for range 200 {
		w.pass(100 * time.Millisecond)
		follow()
		for name := range standing {
			linked := false
			for _, at := range open {
				linked = linked || at == name
			}
			if !linked && w.now-seen[name] > 6*time.Second {
				t.Fatalf("%s: without a link since %v", name, w.now-seen[name])
			}
		}
	}
	if f := w.c.Stats(); f.LostToUnreachable > 0 || f.Running != 120 {
		t.Errorf("%+v", f)
	}
}

// A connection to a node that comes up a second late: the set-up that waited for it has gone elsewhere and is not written on it;
// the link serves what comes next. One that never comes up costs its own set-up's wait alone.
func TestLinkComesUpLate(t *testing.T) {
	w := newWorld(t)
	w.step(OwnerConnected{Conn: 1, Host: "h"})
	w.list(flaxshelf.Active, "n1", "n2")
	dials := find[Dial](w)
	w.step(w.ask(1, 7, 0))
	none[Offer](w)
	w.pass(300 * time.Millisecond) // both are out of reach by now
	w.step(LinkUp{dials[1].Link})
	w.pass(200 * time.Millisecond)
	if o := one[Offer](w); o.Node != dials[1].Node || o.Task != id(7) {
		t.Errorf("%+v", o)
	}
	w.step(NodeMessage{Link: dials[1].Link, Kind: NodeAccepted, Task: id(7), Description: "node's"})
	one[Accepted](w)
	w.pass(500 * time.Millisecond)
	w.step(LinkUp{dials[0].Link})
	none[Offer](w)
	none[SendRelease](w)
	if f := w.c.Stats(); f.Links != 2 || f.Running != 1 || f.Placed != 1 {
		t.Errorf("%+v", f)
	}
}

// A task handed over on a node whose address another has by now: nobody there is asked of it, and its owner hears in time.
func TestHandedOverOnANodeThatWasReplaced(t *testing.T) {
	w := newWorld(t)
	w.step(OwnerConnected{Conn: 1, Host: "h"}, Ping{1, id(1)})
	w.nodes("old@a")
	w.list(flaxshelf.Active, "new@a")
	for _, d := range find[Dial](w) {
		w.step(LinkUp{d.Link})
	}
	w.step(Adopt{Conn: 1, Node: "old", Task: w.ask(1, 7, 0).Task})
	none[Dial](w)
	w.pass(8 * time.Second)
	if e := one[Terminated](w); e != (Terminated{Conn: 1, Task: id(7), Cause: CauseLost}) {
		t.Errorf("%+v", e)
	}
	if f := w.c.Stats(); f.Running != 0 || f.RunningUnlisted != 0 || f.Nodes != 1 {
		t.Errorf("%+v", f)
	}
}
