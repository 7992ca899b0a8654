package requests

import (
	"testing"
	"time"

	"flaxshelf.example/flaxshelf"
)

// The release of a running task whose link broke is written on the newer link.
func TestReleaseOnNewerLink(t *testing.T) {
	h := newHarness(t)
	h.connect(1)
	h.addNodes("n")
	first := h.placeTask(1, 7)
	h.step(LinkDown{Link: first.Link})
	dial := oneEffect[Dial](h)
	h.step(LinkUp{dial.Link})
	h.step(Release{1, taskID(7)})
	if release := oneEffect[SendRelease](h); release != (SendRelease{dial.Link, taskID(7), CauseCanceled}) {
		t.Errorf("%+v", release)
	}
}

// A link that breaks leaves the outcome of its pending offers unknown. Running tasks outlive it, and their ends are reported
// on the next one.
func TestLinkBreaks(t *testing.T) {
	h := newHarness(t)
	h.connect(1)
	h.addNodes("n")
	first := h.placeTask(1, 7)
	h.step(h.newSubmitOf(classKeyed, 1, 8))
	h.step(LinkDown{Link: first.Link})
	if e := moduleEventsOf[flaxshelf.AttemptEnded](h); len(e) != 1 || e[0].Task != taskID(8) || e[0].Outcome != flaxshelf.Lost {
		t.Errorf("%+v", e)
	}
	dial := oneEffect[Dial](h)
	h.step(LinkUp{dial.Link})
	h.step(nodeReleased(dial.Link, 7, CauseNormal))
	if e := oneEffect[Terminated](h); e.Task != taskID(7) {
		t.Errorf("%+v", e)
	}
}

// A refused connection proves that the tasks on the node are lost. A link that never comes up proves that nothing was sent,
// and only after a while that the machine is gone.
func TestDialFails(t *testing.T) {
	// dialAgain breaks the link of a node with a running task, and has the next dial fail while an offer waits for it.
	dialAgain := func(t *testing.T, refused bool) *harness {
		t.Helper()
		h := newHarness(t)
		h.connect(1)
		h.addNodes("n")
		offer := h.placeTask(1, 7)
		h.step(LinkDown{Link: offer.Link})
		dial := oneEffect[Dial](h)
		h.step(h.newSubmit(1, 8))
		noEffect[Offer](h)
		h.step(LinkDown{Link: dial.Link, ConnectionRefused: refused})
		ended := moduleEventsOf[flaxshelf.AttemptEnded](h)
		if len(ended) == 0 || ended[0].Outcome == flaxshelf.Lost && ended[0].Task == taskID(8) {
			t.Fatalf("%+v", ended)
		}
		return h
	}
	t.Run("refused", func(t *testing.T) {
		h := dialAgain(t, true)
		if e := oneEffect[Terminated](h); e.Task != taskID(7) || e.Cause != CauseLost {
			t.Errorf("%+v", e)
		}
	})
	t.Run("never up", func(t *testing.T) {
		h := dialAgain(t, false)
		noEffect[Terminated](h)
		notified := 0
		for range 100 {
			h.advance(100 * time.Millisecond)
			for _, e := range effectsOf[Terminated](h) {
				if e.Task == taskID(7) {
					notified++
				}
			}
			for _, dial := range effectsOf[Dial](h) {
				h.step(LinkDown{Link: dial.Link})
			}
		}
		if notified != 1 || h.core.Stats().LostToUnreachable != 1 {
			t.Errorf("the owner of a task on a silent machine was notified %d times", notified)
		}
	})
}

// A draining node does not listen any more and keeps its running tasks, on the link that it has: a refused replacement of a
// link that is up proves no death. The old link goes on; its break, followed by a refusal, is a death.
func TestRefusedReplacementOfLinkThatIsUp(t *testing.T) {
	h := newHarness(t)
	h.connect(1)
	h.addNodes("n")
	offer := h.placeTask(1, 7)
	h.updateNodes(flaxshelf.Draining, "n")
	for range 5 {
		h.advance(nodeSilenceThreshold + silenceCheckInterval)
		dials := effectsOf[Dial](h)
		if len(dials) == 0 {
			t.Fatalf("no newer link: %+v", h.effects)
		}
		noEffect[Terminated](h)
		h.step(LinkDown{Link: dials[0].Link, ConnectionRefused: true})
		noEffect[Terminated](h)
		noEffect[CloseLink](h)
	}
	h.step(NodeMessage{Link: offer.Link, Kind: NodeUsage, Task: taskID(7), UsageKind: flaxshelf.ServiceLevel, Amount: 1})
	h.step(LinkDown{Link: offer.Link})
	h.step(LinkDown{Link: oneEffect[Dial](h).Link, ConnectionRefused: true})
	if e := oneEffect[Terminated](h); e.Task != taskID(7) {
		t.Errorf("%+v", e)
	}
}

// A task may be offered to the same node again, where no other is left. The second offer goes on a link of its own, so that
// a message about the first attempt is not taken for one about the second.
func TestSecondAttemptOnSameNode(t *testing.T) {
	h := newHarness(t)
	h.connect(1)
	h.addNodes("n")
	h.now += time.Second
	h.step(h.newSubmit(1, 7))
	first := oneEffect[Offer](h)
	h.step(nodeReleased(first.Link, 99, CauseRejected)) // the link is alive
	h.advance(first.TimeLeft + time.Millisecond)
	noEffect[Offer](h)
	h.step(LinkUp{oneEffect[Dial](h).Link})
	second := oneEffect[Offer](h)
	if second.Link == first.Link || second.Attempt != 1 {
		t.Errorf("%+v after %+v", second, first)
	}
	h.step(nodeAccepted(first.Link, 7, "late"), nodeReleased(first.Link, 7, CauseCanceled))
	noEffect[Accepted](h)
	noEffect[Offer](h)
	h.step(SendFailed{Link: second.Link, Task: taskID(7), Attempt: 0})
	noEffect[Offer](h)
	h.step(nodeAccepted(second.Link, 7, "node's"))
	if a := oneEffect[Accepted](h); a.Description != "node's" {
		t.Errorf("%+v", a)
	}
}

// A release whose link broke under it is written again on the next link.
func TestReleaseIsRepeatedOnNextLink(t *testing.T) {
	h := newHarness(t)
	h.connect(1)
	h.addNodes("n")
	offer := h.placeTask(1, 7)
	h.step(Release{1, taskID(7)})
	h.step(LinkDown{Link: offer.Link})
	h.step(LinkUp{oneEffect[Dial](h).Link})
	if release := oneEffect[SendRelease](h); release.Task != taskID(7) || release.Link == offer.Link {
		t.Errorf("%+v", release)
	}
}

// A link that comes up late: the offer that waited for it has gone to another node and is not written on it; the link serves
// later offers. A link that never comes up delays only its own offer.
func TestLinkComesUpLate(t *testing.T) {
	h := newHarness(t)
	h.connect(1)
	h.updateNodes(flaxshelf.Active, "n1", "n2")
	dials := effectsOf[Dial](h)
	h.step(h.newSubmit(1, 7))
	noEffect[Offer](h)
	h.advance(300 * time.Millisecond) // both are out of reach by now
	h.step(LinkUp{dials[1].Link})
	h.advance(200 * time.Millisecond)
	if offer := oneEffect[Offer](h); offer.Node != dials[1].Node || offer.Task != taskID(7) {
		t.Errorf("%+v", offer)
	}
	h.step(nodeAccepted(dials[1].Link, 7, "node's"))
	oneEffect[Accepted](h)
	h.advance(500 * time.Millisecond)
	h.step(LinkUp{dials[0].Link})
	noEffect[Offer](h)
	noEffect[SendRelease](h)
	if stats := h.core.Stats(); stats.Links != 2 || stats.Running != 1 || stats.Placed != 1 {
		t.Errorf("%+v", stats)
	}
}
