package requests

import (
	"fmt"
	"testing"
	"time"

	"flaxshelf.example/flaxshelf"
)

// A link without traffic is renewed before its node closes it: the next offer goes on the newer link, and the close of the
// old one ends no attempt. Traffic either way keeps a link.
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
		t.Errorf("offered on link %d, want %d", offer.Link, dial.Link)
	}
	h.step(LinkDown{Link: h.links["n"]})
	if e := moduleEventsOf[flaxshelf.AttemptEnded](h); len(e) != 1 {
		t.Errorf("%+v", e)
	}
	h.step(nodeAccepted(dial.Link, 8, "d"))
	oneEffect[Accepted](h)
}

// A link that receives nothing after an offer is replaced by a new one, and closed after a while.
func TestSilentLinkIsReplaced(t *testing.T) {
	h := newHarness(t, func(c *Config) { c.Module.MaxAttempts = 2 })
	h.connect(1)
	h.addNodes("n")
	h.now += time.Second
	h.step(h.newSubmit(1, 7))
	offer := oneEffect[Offer](h)
	h.advance(offer.TimeLeft + time.Millisecond)
	dials := effectsOf[Dial](h)
	if len(effectsOf[SendRelease](h)) == 0 || len(dials) == 0 {
		t.Fatalf("%+v", h.effects)
	}
	h.step(LinkUp{dials[len(dials)-1].Link})
	h.advance(linkRetireDelay)
	if closed := effectsOf[CloseLink](h); len(closed) != 1 || closed[0].Link != offer.Link {
		t.Errorf("%+v", closed)
	}
}

// The default timeouts are ordered so that a silent node's link is replaced, and the newer link has time to fail, before the
// node counts as unreachable; and so that the check that finds it unreachable meets the protocol's deadline.
func TestSilenceTimeoutsOrder(t *testing.T) {
	unusedBeforeEviction := DefaultNodeUnreachableTimeout / minIdleDivisor
	for _, test := range []struct {
		name           string
		shorter, limit time.Duration
	}{
		{"a silent node is found by a check", silenceCheckInterval, nodeSilenceThreshold},
		{"a silent node's link is replaced before the node is unreachable", nodeSilenceThreshold + silenceCheckInterval +
			linkRetireDelay, DefaultNodeUnreachableTimeout},
		{"a link for running tasks is reused before the next node is suspected", unusedBeforeEviction, nodeSilenceThreshold},
		{"the owner is notified in time", DefaultNodeUnreachableTimeout + silenceCheckInterval, LossNotificationDeadline},
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

// However the links of a silent machine come and go, its tasks count as lost within the time in which their owners are to be
// notified, also where each newer link takes its time to fail.
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
			failAt := map[Link]Time{}
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

// A link that was replaced is closed once a newer one is up, though that takes long.
func TestReplacedLinkIsClosedOnceNewerIsUp(t *testing.T) {
	h := newHarness(t, func(c *Config) { c.Module.MaxAttempts = 1 })
	h.connect(1)
	h.addNodes("n")
	h.now += time.Second
	h.step(h.newSubmit(1, 7))
	old := oneEffect[Offer](h).Link
	h.advance(3500 * time.Millisecond) // the offer times out and its link is suspected; the next link is slow
	h.advance(linkRetireDelay)
	noEffect[CloseLink](h)
	h.step(LinkUp{h.core.nodes["n"].current.id})
	h.advance(linkRetireDelay)
	if closed := oneEffect[CloseLink](h); closed.Link != old {
		t.Errorf("%+v", closed)
	}
}

// A released task on a node that is cut off still runs there: it counts until a sign of life after its release, until a new
// link has taken the release, or until the node counts as unreachable. Its owner is never notified.
func TestReleaseOnUnreachableNode(t *testing.T) {
	for _, test := range []struct {
		name  string
		event func(h *harness, offer Offer)
		after time.Duration
	}{
		{"a sign of life", func(h *harness, offer Offer) {
			h.step(NodeMessage{Link: offer.Link, Kind: NodeConfirmedRelease, Task: taskID(99)})
		}, releaseConfirmationTimeout},
		{"a new link", func(h *harness, _ Offer) {
			h.step(LinkUp{h.core.nodes["n"].current.id})
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
			if stats := h.core.Stats(); stats.Running != 1 {
				t.Error("it counts as ended while its node is silent")
			}
			h.now++
			test.event(h, offer)
			h.advance(test.after)
			if stats := h.core.Stats(); stats.Running != 0 || len(h.core.tasks) != 0 {
				t.Errorf("%d tasks run", stats.Running)
			}
			for _, effect := range h.allEffects {
				if terminated, ok := effect.(Terminated); ok {
					t.Errorf("%+v", terminated)
				}
			}
		})
	}
}

// An offer that times out has its link replaced where the link has received nothing since, also before the node counts as
// silent and without another attempt there. A link that has received something is kept.
func TestTimeoutOnSilentLink(t *testing.T) {
	for _, silent := range []bool{true, false} {
		t.Run(fmt.Sprintf("silent %v", silent), func(t *testing.T) {
			h := newHarness(t, func(c *Config) { c.Module.MaxAttempts = 1 })
			h.connect(1)
			h.addNodes("n")
			h.now += time.Second
			submit := h.newSubmit(1, 7)
			submit.Task.Deadline = h.now + time.Second // sooner than nodeSilenceThreshold
			h.step(submit)
			offer := oneEffect[Offer](h)
			if !silent {
				h.now++
				h.step(nodeReleased(offer.Link, 99, CauseNormal))
			}
			h.advance(offer.TimeLeft)
			if release := oneEffect[SendRelease](h); release.Link != offer.Link || release.Task != taskID(7) {
				t.Errorf("%+v", release)
			}
			if dials := effectsOf[Dial](h); (len(dials) == 1) != silent {
				t.Errorf("%+v", dials)
			}
		})
	}
}
