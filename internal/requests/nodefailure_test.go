package requests

import (
	"fmt"
	"testing"
	"time"

	"flaxshelf.example/flaxshelf"
)

// A link without traffic is renewed before its node closes it, so that the close ends no attempt: the next offer is sent on
// the newer link. A link with recent traffic in either direction is retained.
func TestIdleLinkIsRenewed(t *testing.T) {
	h := newHarness(t, func(c *Config) { c.NodeIdleTimeout = 30 * time.Second })
	h.connectPinged(1)
	h.addNodes("n")
	h.advance(20 * time.Second)
	h.placeTask(1, 7)
	h.step(nodeReleased(h.links["n"], 7, CauseNormal))
	h.advance(20 * time.Second)
	noEffect[Dial](h)
	h.advance(5 * time.Second)
	dial := oneEffect[Dial](h)
	h.step(LinkUp{dial.Link})
	h.step(h.newSubmit(1, 8))
	if offer := oneEffect[Offer](h); offer.Link != dial.Link {
		t.Errorf("got an offer on link %d, want link %d", offer.Link, dial.Link)
	}
	h.step(LinkDown{Link: h.links["n"]})
	h.expectEnded(flaxshelf.AttemptEnded{Task: taskID(7), Machine: "n", Outcome: flaxshelf.Completed, Final: true})
	h.step(nodeAccepted(dial.Link, 8, "d"))
	oneEffect[Accepted](h)
}

// A link that receives nothing after an offer is replaced by a new link. Its writing side is closed after linkRetirementDelay,
// and the link finishTimeout later if the node does not close it.
func TestUnresponsiveLinkIsReplaced(t *testing.T) {
	h := newHarness(t, func(c *Config) { c.Placer.MaxAttempts = 2 })
	h.connect(1)
	h.addNodes("n")
	h.now += time.Second
	h.step(h.newSubmit(1, 7))
	offer := oneEffect[Offer](h)
	h.advance(offer.TimeLeft + time.Millisecond)
	dials := effectsOf[Dial](h)
	if len(effectsOf[SendRelease](h)) == 0 || len(dials) == 0 {
		t.Fatalf("got effects %+v, want a release and a dial", h.effects)
	}
	h.step(LinkUp{dials[len(dials)-1].Link})
	h.advance(linkRetirementDelay)
	expectEffect(h, FinishLink{offer.Link})
	noEffect[CloseLink](h)
	h.advance(finishTimeout)
	expectEffect(h, CloseLink{offer.Link})
}

// The default timeouts must leave time to replace the link of an unresponsive node, and for the newer link to fail, before the
// node counts as unreachable. The check that finds it unreachable must meet the protocol's deadline.
func TestNodeFailureTimeoutsAreOrdered(t *testing.T) {
	unusedBeforeEviction := DefaultNodeUnreachableTimeout / linkTurnDivisor
	for _, test := range []struct {
		name           string
		shorter, limit time.Duration
	}{
		{"an unresponsive node is found by a check", nodeCheckInterval, nodeUnresponsiveThreshold},
		{"an unresponsive node's link is replaced before the node is unreachable", nodeUnresponsiveThreshold + nodeCheckInterval +
			linkRetirementDelay, DefaultNodeUnreachableTimeout},
		{"a link for running tasks is reused before the next node is suspected", unusedBeforeEviction, nodeUnresponsiveThreshold},
		{"the owner is notified in time", DefaultNodeUnreachableTimeout + nodeCheckInterval, LossNotificationDeadline},
	} {
		t.Run(test.name, func(t *testing.T) {
			if test.shorter >= test.limit {
				t.Errorf("got %v, want less than %v", test.shorter, test.limit)
			}
		})
	}
	if got, want := DefaultNodeUnreachableTimeout, 7200*time.Millisecond; got != want {
		t.Errorf("DefaultNodeUnreachableTimeout is %v, want %v", got, want)
	}
}

// The owner of a task on a machine that sends nothing is notified by the protocol's deadline, however long each new dial takes
// to fail.
func TestUnreachableNodeIsDetectedInTime(t *testing.T) {
	for delay := 50 * time.Millisecond; delay <= time.Second; delay += 50 * time.Millisecond {
		t.Run(fmt.Sprintf("dials fail after %v", delay), func(t *testing.T) {
			h := newHarness(t, func(c *Config) {
				c.MaxLinks = 10
				c.NodeUnreachableTimeout = DefaultNodeUnreachableTimeout
			})
			h.connect(1)
			h.addNodes("n")
			h.placeTask(1, 7)
			unresponsiveSince := h.now
			failAt := map[LinkID]Time{}
			recordDials := func() {
				for _, dial := range effectsOf[Dial](h) {
					failAt[dial.Link] = h.now + delay
				}
			}
			notified := func() bool { return len(effectsOf[Terminated](h)) > 0 }
			for !notified() {
				if unresponsiveFor := h.now - unresponsiveSince; unresponsiveFor > LossNotificationDeadline {
					t.Fatalf("the owner is not notified after %v, want within %v", unresponsiveFor, LossNotificationDeadline)
				}
				for link, at := range failAt {
					if h.now >= at {
						delete(failAt, link)
						h.step(LinkDown{Link: link})
					}
				}
				recordDials()
				if !notified() {
					h.advance(10 * time.Millisecond)
					recordDials()
				}
			}
		})
	}
}

// A suspected link is finished and closed only once a newer one is established, even if that takes long.
func TestReplacedLinkIsClosedOnceNewerIsUp(t *testing.T) {
	h := newHarness(t, func(c *Config) { c.Placer.MaxAttempts = 1 })
	h.connect(1)
	h.addNodes("n")
	h.now += time.Second
	h.step(h.newSubmit(1, 7))
	old := oneEffect[Offer](h).Link
	h.advance(3500 * time.Millisecond) // the offer times out and its link is suspected; the new link is not yet established
	h.advance(linkRetirementDelay)
	noEffect[FinishLink](h)
	noEffect[CloseLink](h)
	h.step(LinkUp{h.core.nodes["n"].currentLink.id})
	h.advance(linkRetirementDelay)
	expectEffect(h, FinishLink{old})
	noEffect[CloseLink](h)
	h.advance(finishTimeout)
	expectEffect(h, CloseLink{old})
}

// A released task on a partitioned node still runs there. It must count as running until the node responds after the release,
// the release was sent on a new link, or the node counts as unreachable. Its owner is never notified.
func TestReleaseOnUnreachableNode(t *testing.T) {
	for _, test := range []struct {
		name  string
		event func(h *harness, offer Offer)
		after time.Duration
	}{
		{"a message of the node", func(h *harness, offer Offer) {
			h.step(NodeMessage{Link: offer.Link, Kind: NodeConfirmedRelease, Task: taskID(99)})
		}, releaseConfirmationTimeout},
		{"a new link", func(h *harness, _ Offer) {
			h.step(LinkUp{h.core.nodes["n"].currentLink.id})
		}, releaseConfirmationTimeout},
		{"nothing further", func(*harness, Offer) {}, 6 * time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t)
			h.connect(1)
			h.addNodes("n")
			offer := h.placeTask(1, 7)
			h.step(Release{1, taskID(7)})
			oneEffect[SendRelease](h)
			h.advance(3 * time.Second) // without a message for long enough that a new link is dialed
			if got := h.core.Stats().Running; got != 1 {
				t.Errorf("got %d running tasks while the node is unresponsive, want 1", got)
			}
			h.now++
			test.event(h, offer)
			h.advance(test.after)
			h.expectNoTasks()
			for _, effect := range h.allEffects {
				if terminated, ok := effect.(Terminated); ok {
					t.Errorf("got notification %+v, want none", terminated)
				}
			}
		})
	}
}

// If an offer times out and its link has received nothing since, the link is replaced at once, even before
// nodeUnresponsiveThreshold has passed, and even if the node has no other attempt.
func TestOfferTimeoutReplacesUnresponsiveLink(t *testing.T) {
	for _, test := range []struct {
		name         string
		unresponsive bool
		wantDials    int
	}{
		{"a link that has received nothing is replaced", true, 1},
		{"a link that has received something is retained", false, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, func(c *Config) { c.Placer.MaxAttempts = 1 })
			h.connect(1)
			h.addNodes("n")
			h.now += time.Second
			submit := h.newSubmit(1, 7)
			submit.Task.Deadline = h.now + time.Second // sooner than nodeUnresponsiveThreshold
			h.step(submit)
			offer := oneEffect[Offer](h)
			if !test.unresponsive {
				h.now++
				h.step(nodeReleased(offer.Link, 99, CauseNormal))
			}
			h.advance(offer.TimeLeft)
			expectEffect(h, SendRelease{Link: offer.Link, Task: taskID(7), Cause: CauseNormal})
			if got := effectsOf[Dial](h); len(got) != test.wantDials {
				t.Errorf("got dials %+v, want %d", got, test.wantDials)
			}
		})
	}
}
