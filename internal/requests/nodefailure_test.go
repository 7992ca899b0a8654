package requests

import (
	"fmt"
	"testing"
	"time"

	"flaxshelf.example/flaxshelf"
)

// A link without traffic is renewed before its node closes it: the next offer is sent on the newer link, and the close of
// the old one ends no attempt. A link with traffic in either direction is retained.
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

// A link that receives nothing after an offer is replaced by a new one, and closed after linkRetirementDelay.
func TestSilentLinkIsReplaced(t *testing.T) {
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
	expectEffect(h, CloseLink{offer.Link})
}

// The default timeouts are ordered so that a silent node's link is replaced, and the newer link has time to fail, before the
// node counts as unreachable; and so that the check that finds it unreachable meets the protocol's deadline.
func TestNodeFailureTimeoutsAreOrdered(t *testing.T) {
	unusedBeforeEviction := DefaultNodeUnreachableTimeout / evictionIdleDivisor
	for _, test := range []struct {
		name           string
		shorter, limit time.Duration
	}{
		{"a silent node is found by a check", nodeCheckInterval, nodeUnresponsiveThreshold},
		{"a silent node's link is replaced before the node is unreachable", nodeUnresponsiveThreshold + nodeCheckInterval +
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

// The tasks of a silent machine count as lost by the protocol's deadline, for any time that each newer link takes to fail.
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
			silentSince := h.now
			failAt := map[LinkID]Time{}
			noteDials := func() {
				for _, dial := range effectsOf[Dial](h) {
					failAt[dial.Link] = h.now + delay
				}
			}
			notified := func() bool { return len(effectsOf[Terminated](h)) > 0 }
			for !notified() {
				if silence := h.now - silentSince; silence > LossNotificationDeadline {
					t.Fatalf("the owner is not notified after %v, want within %v", silence, LossNotificationDeadline)
				}
				for link, at := range failAt {
					if h.now >= at {
						delete(failAt, link)
						h.step(LinkDown{Link: link})
					}
				}
				noteDials()
				if !notified() {
					h.advance(10 * time.Millisecond)
					noteDials()
				}
			}
		})
	}
}

// A link that was replaced is closed once a newer one is up, even if that takes long.
func TestReplacedLinkIsClosedOnceNewerIsUp(t *testing.T) {
	h := newHarness(t, func(c *Config) { c.Placer.MaxAttempts = 1 })
	h.connect(1)
	h.addNodes("n")
	h.now += time.Second
	h.step(h.newSubmit(1, 7))
	old := oneEffect[Offer](h).Link
	h.advance(3500 * time.Millisecond) // the offer times out and its link is suspected; the next link is slow
	h.advance(linkRetirementDelay)
	noEffect[CloseLink](h)
	h.step(LinkUp{h.core.nodes["n"].currentLink.id})
	h.advance(linkRetirementDelay)
	expectEffect(h, CloseLink{old})
}

// A released task on a partitioned node still runs there: it counts as running until the node is responsive after the
// release, until the release was sent on a new link, or until the node counts as unreachable. Its owner is never notified.
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
			h.advance(3 * time.Second) // silent for long enough that a newer link is dialed
			if got := h.core.Stats().Running; got != 1 {
				t.Errorf("got %d running tasks while the node is silent, want 1", got)
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

// The link of an offer that times out is replaced if it has received nothing since the offer, even before the node counts as
// silent and without another attempt there.
func TestOfferTimeoutReplacesSilentLink(t *testing.T) {
	for _, test := range []struct {
		name      string
		silent    bool
		wantDials int
	}{
		{"a silent link is replaced", true, 1},
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
			if !test.silent {
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
