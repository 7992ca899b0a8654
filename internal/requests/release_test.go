package requests

import (
	"testing"
	"time"

	"flaxshelf.example/flaxshelf"
)

// nodeUsage returns a node's usage report of the n-th task.
func nodeUsage(link LinkID, n int) NodeMessage {
	return NodeMessage{Link: link, Kind: NodeUsage, Task: taskID(n), UsageKind: flaxshelf.ServiceLevel, Amount: 1}
}

// newReplacedLink runs the first task on node n, and lets the offer of the second one time out, so that a newer link replaces
// the one of the first task. It returns both links, of which the former one is still open.
func newReplacedLink(t *testing.T) (h *harness, former, newer LinkID) {
	t.Helper()
	h = newHarness(t, func(c *Config) { c.Placer.MaxAttempts = 1 })
	h.connect(1)
	h.addNodes("n")
	former = h.placeTask(1, 1).Link
	h.now += 100 * time.Millisecond
	h.step(h.newSubmit(1, 2))
	h.advance(oneEffect[Offer](h).TimeLeft)
	newer = oneEffect[Dial](h).Link
	h.step(LinkUp{newer})
	return h, former, newer
}

// expectRelease fails the test unless the only release of the last step is that of the n-th task on the given link.
func (h *harness) expectRelease(link LinkID, n int) {
	h.t.Helper()
	if got := oneEffect[SendRelease](h); got.Link != link || got.Task != taskID(n) {
		h.t.Errorf("got %+v, want the release of task %d on link %d", got, n, link)
	}
}

// Guards against a second copy of a running task: its release was sent on a link that the node no longer read.
func TestReleaseIsSentOnWorkingLink(t *testing.T) {
	for name, end := range map[string]func(h *harness){
		"released by its owner": func(h *harness) { h.step(Release{1, taskID(1)}) },
		"migrated": func(h *harness) {
			h.core.migrate(flaxshelf.Migrate{Task: taskID(1)})
			h.effects = h.core.effects
		},
	} {
		t.Run(name, func(t *testing.T) {
			h, _, newer := newReplacedLink(t)
			h.now++
			h.step(nodeUsage(newer, 1))
			end(h)
			h.expectRelease(newer, 1)
		})
	}
}

// Guards against a second copy of a running task: a message on another link was taken for a confirmation of its release.
func TestMessageOnAnotherLinkDoesNotConfirmRelease(t *testing.T) {
	h, former, newer := newReplacedLink(t)
	h.now++
	h.step(nodeUsage(newer, 1), Release{1, taskID(1)})
	h.expectRelease(newer, 1)
	h.now++
	h.step(nodeReleased(former, 99, CauseNormal))
	h.advance(releaseConfirmationTimeout)
	if got := h.core.Stats().Running; got != 1 {
		t.Errorf("after a message on another link: got %d running tasks, want 1", got)
	}
	h.step(nodeReleased(newer, 99, CauseNormal))
	h.advance(releaseConfirmationTimeout)
	h.expectNoTasks()
}

// Guards against a second copy of a running task: the node reported its usage after the release, and the report was ignored.
// The release is sent again on the link of the report, whether or not the release counts as confirmed already.
func TestReleaseIsRepeatedWhileTaskRuns(t *testing.T) {
	for _, test := range []struct {
		name      string
		after     time.Duration
		confirmed bool // whether a message of the node made the release count as received
		want      int
	}{
		{"the report may have crossed the release", releaseCrossingTime, false, 0},
		{"the task still runs", releaseCrossingTime + 1, false, 1},
		{"the task still runs after its release counted as received", releaseConfirmationTimeout + releaseCrossingTime + 1, true, 1},
		{"the report comes too late", releaseConfirmationTimeout + releaseRepeatWindow, true, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t)
			h.connect(1)
			h.addNodes("n")
			offer := h.placeTask(1, 1)
			h.step(Release{1, taskID(1)})
			if test.confirmed {
				h.now++
				h.step(nodeReleased(offer.Link, 99, CauseNormal))
				h.now--
			}
			h.advance(test.after)
			h.step(nodeUsage(offer.Link, 1))
			if got := len(effectsOf[SendRelease](h)); got != test.want {
				t.Errorf("got %d releases, want %d", got, test.want)
			}
			if got := h.core.Stats().RepeatedReleases; got != uint64(test.want) {
				t.Errorf("got RepeatedReleases %d, want %d", got, test.want)
			}
		})
	}
}

// Guards against a copy that nobody manages: the release of an offer without a response was sent only on the link that had
// failed. It is sent again on the next link, unless the task was adopted meanwhile or the owner may hand it over by then.
func TestOfferIsReleasedOnNextLink(t *testing.T) {
	for _, test := range []struct {
		name    string
		prepare func(h *harness)
		want    int
	}{
		{"the next link is established at once", func(*harness) {}, 1},
		{"the next link is established late", func(h *harness) { h.advance(releaseRepeatWindow) }, 0},
		{"the task was adopted", func(h *harness) { h.step(h.newAdopt(1, "n", 2)) }, 0},
		{"the node has released the task", func(h *harness) { h.step(nodeReleased(h.links["n"], 2, CauseNormal)) }, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, func(c *Config) { c.Placer.MaxAttempts = 1 })
			h.connectPinged(1)
			h.addNodes("n")
			h.now += time.Second
			h.step(h.newSubmit(1, 2))
			h.advance(oneEffect[Offer](h).TimeLeft)
			h.expectRelease(h.links["n"], 2)
			next := oneEffect[Dial](h).Link
			test.prepare(h)
			h.step(LinkUp{next})
			if got := len(effectsOf[SendRelease](h)); got != test.want {
				t.Errorf("got %d releases on the next link, want %d", got, test.want)
			}
		})
	}
}

// The recent releases of a node are bounded; the oldest ones are dropped.
func TestRecentReleasesAreBounded(t *testing.T) {
	c := &Core{now: Time(time.Hour)}
	n := &node{}
	for i := range 3 * maxRecentReleases {
		c.recordRecentRelease(&attempt{task: &task{id: taskID(i)}, node: n}, CauseNormal)
	}
	if got := len(n.recentReleases); got != maxRecentReleases {
		t.Errorf("got %d recent releases, want %d", got, maxRecentReleases)
	}
	if got, want := n.recentReleases[len(n.recentReleases)-1].taskID, taskID(3*maxRecentReleases-1); got != want {
		t.Errorf("got newest release of task %s, want %s", got, want)
	}
}

// Guards against ends that owners never learn of: a node read the release of an offer that had failed only after the owner had
// handed the task over, and the cause of its end counted as one that the owner knows of.
func TestReleaseReadAfterHandOverIsNotified(t *testing.T) {
	const handOverDelay = 3 * time.Second
	for _, test := range []struct {
		name          string
		endFirst      bool // the node's report arrives before the task is handed over
		releasedByUs  bool // an offer of the task has failed before
		wantNotified  bool
		ownerReleases bool // the owner ends the task itself
	}{
		{name: "read after the hand-over", releasedByUs: true, wantNotified: true},
		{name: "read before the hand-over", releasedByUs: true, endFirst: true, wantNotified: true},
		{name: "never offered here", wantNotified: false},
		{name: "ended by its owner", releasedByUs: true, ownerReleases: true, wantNotified: false},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, func(c *Config) { c.Placer.MaxAttempts = 1 })
			h.connect(1)
			h.addNodes("n")
			link := h.links["n"]
			if test.releasedByUs {
				h.step(h.newSubmit(1, 7))
				h.advance(oneEffect[Offer](h).TimeLeft)
				expectEffect(h, SendRelease{Link: link, Task: taskID(7), Cause: CauseNormal})
			}
			h.advance(handOverDelay)
			end, adopt := nodeReleased(link, 7, CauseCanceled), h.newAdopt(1, "n", 7)
			switch {
			case test.endFirst:
				h.step(end, adopt)
			case test.ownerReleases:
				h.step(adopt, Release{Conn: 1, Task: taskID(7)}, end)
			default:
				h.step(adopt, end)
			}
			if got := h.notificationsOf(7); len(got) > 0 != test.wantNotified {
				t.Errorf("got notifications on connections %v, want some %v", got, test.wantNotified)
			}
		})
	}
}
