package requests

import (
	"slices"
	"testing"
	"time"

	"flaxshelf.example/flaxshelf"
)

// If the link of a running task has broken, its release is sent on the newer link.
func TestReleaseIsSentOnNewerLink(t *testing.T) {
	h := newHarness(t)
	h.connect(1)
	h.addNodes("n")
	first := h.placeTask(1, 7)
	h.step(LinkDown{Link: first.Link})
	dial := oneEffect[Dial](h)
	h.step(LinkUp{dial.Link})
	h.step(Release{1, taskID(7)})
	expectEffect(h, SendRelease{Link: dial.Link, Task: taskID(7), Cause: CauseCanceled})
}

// If a link breaks, the offers pending on it end as lost, because their outcome is unknown. Running tasks survive, and their
// ends are reported on the next link.
func TestBrokenLinkLosesOffersNotRunningTasks(t *testing.T) {
	h := newHarness(t)
	h.connect(1)
	h.addNodes("n")
	first := h.placeTask(1, 7)
	h.step(h.newSubmitOf(classKeyed, 1, 8))
	h.step(LinkDown{Link: first.Link})
	h.expectEnded(flaxshelf.AttemptEnded{Task: taskID(8), Machine: "n", Outcome: flaxshelf.Lost})
	dial := oneEffect[Dial](h)
	h.step(LinkUp{dial.Link})
	h.step(nodeReleased(dial.Link, 7, CauseNormal))
	expectEffect(h, Terminated{Conn: 1, Task: taskID(7), Cause: CauseNormal})
}

// A refused connection proves that the tasks on the node are lost. A dial that fails in another way proves only that nothing
// was sent; the tasks count as lost after NodeUnreachableTimeout.
func TestTasksAreLostAtOnceOnlyIfDialIsRefused(t *testing.T) {
	// failRedial breaks the link of a node with a running task, and lets the next dial fail while an offer is waiting for it.
	failRedial := func(t *testing.T, refused bool) *harness {
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
		ended := placerEventsOf[flaxshelf.AttemptEnded](h)
		if len(ended) == 0 || ended[0].Outcome == flaxshelf.Lost && ended[0].Task == taskID(8) {
			t.Fatalf("got ended attempts %+v, want one, and not that of task 8 as lost", ended)
		}
		return h
	}
	t.Run("refused", func(t *testing.T) {
		h := failRedial(t, true)
		expectEffect(h, Terminated{Conn: 1, Task: taskID(7), Cause: CauseLost})
	})
	t.Run("not refused", func(t *testing.T) {
		h := failRedial(t, false)
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
		if lost := h.core.Stats().LostToUnreachable; notified != 1 || lost != 1 {
			t.Errorf("got %d notifications and %d tasks lost to unreachable nodes, want 1 of each", notified, lost)
		}
	})
}

// A draining node no longer listens, but keeps its running tasks and its link. If the replacement of its link is refused, the
// node must not count as ended, and the old link is retained. If the old link then breaks and a dial is refused, it has ended.
func TestRefusedReplacementRetainsLinkThatIsUp(t *testing.T) {
	h := newHarness(t)
	h.connect(1)
	h.addNodes("n")
	offer := h.placeTask(1, 7)
	h.updateNodes(flaxshelf.Draining, "n")
	for range 5 {
		h.advance(nodeUnresponsiveThreshold + nodeCheckInterval)
		dials := effectsOf[Dial](h)
		if len(dials) == 0 {
			t.Fatalf("got effects %+v, want the dial of a newer link", h.effects)
		}
		noEffect[Terminated](h)
		h.step(LinkDown{Link: dials[0].Link, ConnectionRefused: true})
		noEffect[Terminated](h)
		noEffect[CloseLink](h)
	}
	h.step(NodeMessage{Link: offer.Link, Kind: NodeUsage, Task: taskID(7), UsageKind: flaxshelf.ServiceLevel, Amount: 1})
	h.step(LinkDown{Link: offer.Link})
	h.step(LinkDown{Link: oneEffect[Dial](h).Link, ConnectionRefused: true})
	expectEffect(h, Terminated{Conn: 1, Task: taskID(7), Cause: CauseLost})
}

// A task may be offered to the same node again if there is no other. The second offer is sent on a new link, so that a late
// message about the first attempt is not mistaken for one about the second.
func TestSecondAttemptOnSameNode(t *testing.T) {
	h := newHarness(t)
	h.connect(1)
	h.addNodes("n")
	h.now += time.Second
	h.step(h.newSubmit(1, 7))
	first := oneEffect[Offer](h)
	h.step(nodeReleased(first.Link, 99, CauseRejected)) // a message that shows that the link works
	h.advance(first.TimeLeft + time.Millisecond)
	noEffect[Offer](h)
	h.step(LinkUp{oneEffect[Dial](h).Link})
	noEffect[SendRelease](h) // of the first attempt: it would end the second one
	second := oneEffect[Offer](h)
	if second.Link == first.Link || second.Attempt != 1 {
		t.Errorf("got offer %+v after %+v, want attempt 1 on another link", second, first)
	}
	h.step(nodeAccepted(first.Link, 7, "late"), nodeReleased(first.Link, 7, CauseCanceled))
	noEffect[Accepted](h)
	noEffect[Offer](h)
	h.step(SendFailed{Link: second.Link, Task: taskID(7), Attempt: 0})
	noEffect[Offer](h)
	h.step(nodeAccepted(second.Link, 7, "node's"))
	expectEffect(h, Accepted{Conn: 1, Task: taskID(7), Description: "node's"})
}

// If a link breaks before a release that was sent on it is confirmed, the release is sent again on the next link.
func TestReleaseIsRepeatedOnNextLink(t *testing.T) {
	h := newHarness(t)
	h.connect(1)
	h.addNodes("n")
	offer := h.placeTask(1, 7)
	h.step(Release{1, taskID(7)})
	h.step(LinkDown{Link: offer.Link})
	h.step(LinkUp{oneEffect[Dial](h).Link})
	if release := oneEffect[SendRelease](h); release.Task != taskID(7) || release.Link == offer.Link {
		t.Errorf("got %+v, want the release of task 7 on a newer link than %d", release, offer.Link)
	}
}

// A link that is established after the connect timeout of an attempt is used for later attempts. A link to another node that
// takes even longer does not delay them.
func TestLinkEstablishedAfterConnectTimeout(t *testing.T) {
	h := newHarness(t)
	h.connect(1)
	h.updateNodes(flaxshelf.Active, "n1", "n2")
	dials := effectsOf[Dial](h)
	h.step(h.newSubmit(1, 7))
	noEffect[Offer](h)
	h.advance(300 * time.Millisecond) // both are unreachable by now
	h.step(LinkUp{dials[1].Link})
	h.advance(200 * time.Millisecond)
	if offer := oneEffect[Offer](h); offer.Node != dials[1].Node || offer.Task != taskID(7) {
		t.Errorf("got offer %+v, want task 7 on node %s", offer, dials[1].Node)
	}
	h.step(nodeAccepted(dials[1].Link, 7, "node's"))
	oneEffect[Accepted](h)
	h.advance(500 * time.Millisecond)
	h.step(LinkUp{dials[0].Link})
	noEffect[Offer](h)
	noEffect[SendRelease](h)
	if stats := h.core.Stats(); stats.Links != 2 || stats.Running != 1 || stats.Placed != 1 {
		t.Errorf("got %+v, want 2 links, 1 running task, 1 placed", stats)
	}
}

// Guards against a busy loop of dials: a node that accepts each connection and closes it at once was dialed again without a
// pause. After a message of the node, a broken link is replaced at once again.
func TestNodeThatClosesConnectionsIsDialedWithBackoff(t *testing.T) {
	h := newHarness(t)
	h.updateNodes(flaxshelf.Active, "n")
	limit := int(10*time.Second/(maxRedialBackoff/2)) + 10
	dials, end := 0, h.now+10*time.Second
	for h.now < end && dials <= limit {
		for _, dial := range effectsOf[Dial](h) {
			dials++
			h.links["n"] = dial.Link
			h.step(LinkUp{dial.Link}, LinkDown{Link: dial.Link})
		}
		if len(effectsOf[Dial](h)) == 0 {
			h.advance(10 * time.Millisecond)
		}
	}
	if dials > limit || dials < 10 {
		t.Fatalf("got %d dials in 10 s, want 10 to %d", dials, limit)
	}
	for len(effectsOf[Dial](h)) == 0 {
		h.advance(10 * time.Millisecond)
	}
	link := oneEffect[Dial](h).Link
	h.step(LinkUp{link}, nodeReleased(link, 99, CauseNormal), LinkDown{Link: link})
	oneEffect[Dial](h)
}

// Guards against ends that owners never learn of: a node reported the end of a task on a link that was being closed for a newer
// one. Until the node has closed its side, its messages are handled, and nothing is sent on the link.
func TestReportOnReplacedLinkIsHandled(t *testing.T) {
	h, former, newer := newReplacedLink(t)
	h.step(nodeReleased(newer, 99, CauseNormal)) // the node's process has accepted the newer link
	for end := h.now + linkRetirementDelay; h.now < end && len(effectsOf[FinishLink](h)) == 0; {
		h.advance(10 * time.Millisecond)
	}
	expectEffect(h, FinishLink{former})
	h.step(nodeReleased(former, 1, CauseNormal), nodeAccepted(former, 2, "late"))
	expectEffect(h, Terminated{Conn: 1, Task: taskID(1), Cause: CauseNormal})
	h.expectRelease(newer, 2)
	h.step(LinkDown{Link: former})
	noEffect[Dial](h)
	h.advance(2 * finishTimeout)
	noEffect[CloseLink](h)
}

// Guards against ends that owners never learn of: the kernel of a node that hung accepted newer links, and the link of its tasks,
// on which it reported their ends when it went on, was closed. It stays open until the node sends a message on a newer link.
func TestSilentNodeKeepsLinkOfItsTasks(t *testing.T) {
	const hang = 20 * time.Second
	h := newHarness(t)
	h.connect(1)
	h.addNodes("n")
	former := h.placeTask(1, 1).Link
	newest := former
	for end := h.now + hang; h.now < end; {
		h.advance(10 * time.Millisecond)
		for _, dial := range effectsOf[Dial](h) {
			newest = dial.Link
			h.step(LinkUp{dial.Link})
		}
	}
	for _, effect := range h.allEffects {
		if effect == (FinishLink{former}) || effect == (CloseLink{former}) {
			t.Fatalf("got %T for the link of a running task, though its node has sent nothing on a newer one", effect)
		}
	}
	if open := h.core.Stats().Links; newest == former || open > 4 {
		t.Errorf("got %d links and the newest is %d, want the link replaced, and at most 4 open", open, newest)
	}
	h.step(nodeReleased(former, 1, CauseNormal))
	expectEffect(h, Terminated{Conn: 1, Task: taskID(1), Cause: CauseNormal})
	h.step(nodeReleased(newest, 99, CauseNormal))
	h.advance(2 * linkRetirementDelay)
	if got := effectsOf[FinishLink](h); !slices.Contains(got, FinishLink{former}) {
		t.Errorf("got links %v finished after a message on the newest one, want %d among them", got, former)
	}
}

// Guards against ends that owners never learn of: a node that had hung sent them on links that were closed, which it did not know
// yet. It sends them again on the next link, which is opened once the node goes on.
func TestLinkIsRenewedAfterSilence(t *testing.T) {
	h := newHarness(t)
	h.connect(1)
	h.addNodes("n")
	former := h.placeTask(1, 1).Link
	newest := former
	for end := h.now + 10*time.Second; h.now < end; {
		h.advance(10 * time.Millisecond)
		for _, dial := range effectsOf[Dial](h) {
			newest = dial.Link
			h.step(LinkUp{dial.Link})
		}
	}
	usage := NodeMessage{Link: newest, Kind: NodeUsage, Task: taskID(1), Amount: 1}
	h.step(usage)
	h.advance(silenceRenewalDelay)
	renewed := oneEffect[Dial](h).Link
	h.step(LinkUp{renewed}, nodeReleased(renewed, 1, CauseNormal))
	expectEffect(h, Terminated{Conn: 1, Task: taskID(1), Cause: CauseNormal})
}

// A link is closed once: of the links of a node that are closed together, one may be closed by the end of another's attempts.
func TestLinkIsClosedOnce(t *testing.T) {
	h := newHarness(t)
	h.connect(1)
	h.addNodes("n")
	id := h.placeTask(1, 1).Link
	l := h.core.links[id]
	h.core.effects = nil
	h.core.closeLink(l)
	h.core.closeLink(l)
	if want := []Effect{CloseLink{id}}; !slices.Equal(h.core.effects, want) {
		t.Errorf("got effects %v, want %v", h.core.effects, want)
	}
}
