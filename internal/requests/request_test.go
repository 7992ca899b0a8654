package requests

import (
	"strings"
	"testing"
	"time"

	"flaxshelf.example/flaxshelf"
)

// A request gets a single response, with the node's description, and its owner is notified once of the end of the task.
func TestRequestGetsOneResponseAndOneNotification(t *testing.T) {
	h := newHarness(t)
	h.connect(1)
	h.addNodes("n")
	h.step(h.newSubmit(1, 7))
	offer := oneEffect[Offer](h)
	if offer.Node != "n" || offer.Task != taskID(7) || offer.Description != "owner's" || offer.TimeLeft <= 0 {
		t.Errorf("got offer %+v, want task 7 on node n with the owner's description and time left", offer)
	}
	h.step(nodeAccepted(offer.Link, 7, "node's"))
	expectEffect(h, Accepted{1, taskID(7), "node's"})
	h.step(nodeAccepted(offer.Link, 7, "second"))
	noEffect[Accepted](h)
	noEffect[SendRelease](h)
	h.step(nodeReleased(offer.Link, 7, CauseNormal))
	expectEffect(h, Terminated{Conn: 1, Task: taskID(7), Cause: CauseNormal})
	h.step(nodeReleased(offer.Link, 7, CauseNormal))
	noEffect[Terminated](h)
	h.expectNoTasks()
}

// If a node releases an offer, the placer is passed the outcome that follows from the cause. The owner is not notified, and
// the next offer is sent to another node.
func TestReleasedOfferEndsWithOutcomeOfItsCause(t *testing.T) {
	for _, test := range []struct {
		name  string
		cause Cause
		want  flaxshelf.Outcome
	}{
		{"rejected", CauseRejected, flaxshelf.Rejected},
		{"error", CauseError, flaxshelf.Failed},
		{"obsolete", CauseObsolete, flaxshelf.NotSent},
		{"lost", CauseLost, flaxshelf.Lost},
		{"unknown cause", 99, flaxshelf.Lost},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t)
			h.connect(1)
			h.addNodes("a", "b")
			h.step(h.newSubmit(1, 7))
			offer := oneEffect[Offer](h)
			released := nodeReleased(offer.Link, 7, test.cause)
			released.Reason = flaxshelf.InsufficientCores
			h.step(released)
			h.expectEnded(flaxshelf.AttemptEnded{
				Task:    taskID(7),
				Machine: offer.Node,
				Outcome: test.want,
				Reason:  flaxshelf.InsufficientCores,
			})
			noEffect[Terminated](h)
			if next := oneEffect[Offer](h); next.Node == offer.Node {
				t.Errorf("got the next offer on node %s again, want it on another node", next.Node)
			}
		})
	}
}

// When the placer rejects or fails a request, its owner gets the response in the same step: a failure if the task may have
// run and is not idempotent, and a rejection otherwise.
func TestFinalResponseIsSentInSameStep(t *testing.T) {
	for _, test := range []struct {
		name        string
		class       int
		cause, want Cause
	}{
		{"idempotent, error", classIdempotent, CauseError, CauseRejected},
		{"keyed, rejected", classKeyed, CauseRejected, CauseRejected},
		{"keyed, error", classKeyed, CauseError, CauseLost},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t)
			h.connect(1)
			h.addNodes("a", "b", "c", "d")
			h.step(h.newSubmitOf(test.class, 1, 7))
			for range 3 {
				offer := oneEffect[Offer](h)
				noEffect[Terminated](h)
				h.step(nodeReleased(offer.Link, 7, test.cause))
			}
			noEffect[Offer](h)
			expectEffect(h, Terminated{Conn: 1, Task: taskID(7), Cause: test.want})
			h.expectNoTasks()
		})
	}
}

// If an owner cancels a pending request, the node is sent a release and the owner gets no response. If the node accepts the
// task before it has read the release, it is sent another one.
func TestCanceledRequestIsReleasedWithoutResponse(t *testing.T) {
	for _, test := range []struct {
		name  string
		input Input
	}{
		{"by a release", Release{1, taskID(7)}},
		{"by the end of its connection", OwnerDisconnected{1}},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t)
			h.connect(1)
			h.addNodes("n")
			h.step(h.newSubmit(1, 7))
			offer := oneEffect[Offer](h)
			h.step(test.input)
			expectEffect(h, SendRelease{Link: offer.Link, Task: taskID(7), Cause: CauseNormal})
			noEffect[Terminated](h)
			h.step(nodeAccepted(offer.Link, 7, "late"))
			noEffect[Accepted](h)
			expectEffect(h, SendRelease{Link: offer.Link, Task: taskID(7), Cause: CauseNormal})
			h.expectNoTasks()
		})
	}
}

// If an owner releases a running task, on any connection, its node is sent a release. The owner gets no notification.
func TestOwnerReleasesRunningTaskWithoutNotification(t *testing.T) {
	for _, test := range []struct {
		name  string
		input Input
	}{
		{"by a release", Release{2, taskID(7)}},
		{"by a migration", Migrated{2, taskID(7)}},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t)
			h.connect(1, 2)
			h.addNodes("n")
			offer := h.placeTask(1, 7)
			h.step(test.input)
			expectEffect(h, SendRelease{Link: offer.Link, Task: taskID(7), Cause: CauseCanceled})
			h.step(nodeReleased(offer.Link, 7, CauseCanceled))
			noEffect[Terminated](h)
			h.expectEnded(flaxshelf.AttemptEnded{Task: taskID(7), Machine: "n", Outcome: flaxshelf.Canceled, Final: true})
		})
	}
}

// A second request with the ID of a pending one fails if it is on another connection, and is ignored if it is on the same one.
// The first request still gets its single response.
func TestDuplicateTaskIDLeavesFirstRequestUnchanged(t *testing.T) {
	h := newHarness(t)
	h.connect(1, 2)
	h.addNodes("n")
	h.step(h.newSubmit(1, 7), h.newSubmit(1, 7), h.newSubmit(2, 7))
	offer := oneEffect[Offer](h)
	expectEffect(h, Terminated{Conn: 2, Task: taskID(7), Cause: CauseLost})
	h.step(nodeAccepted(offer.Link, 7, "d"))
	expectEffect(h, Accepted{Conn: 1, Task: taskID(7), Description: "d"})
}

// If the placer migrates a task, its node is sent a release, and its owner is notified of a migration: after a release, it
// would count the task as lost and wait before it submits the task again. The node's release causes no second notification.
func TestMigrationNotifiesOwnerOnce(t *testing.T) {
	h := newHarness(t)
	h.connect(1)
	h.addNodes("n1", "n2", "n3", "n4")
	for i, node := range []string{"n1", "n2", "n3", "n4"} { // so that the placer knows all nodes to be working
		h.step(h.newAdopt(1, node, 20+i))
	}
	offer := h.placeTask(1, 7)
	for range 3 {
		h.now += time.Second
		h.step(NodeMessage{Link: offer.Link, Kind: NodeUsage, Task: taskID(7), UsageKind: flaxshelf.ServiceLevel, Amount: 0.1})
		if len(effectsOf[Terminated](h)) > 0 {
			break
		}
	}
	expectEffect(h, Terminated{Conn: 1, Task: taskID(7), Migrate: true})
	expectEffect(h, SendRelease{Link: offer.Link, Task: taskID(7), Cause: CauseCanceled})
	h.step(nodeReleased(offer.Link, 7, CauseCanceled))
	noEffect[Terminated](h)
	h.expectEnded(flaxshelf.AttemptEnded{Task: taskID(7), Machine: offer.Node, Outcome: flaxshelf.Canceled, Final: true})
}

// A process that was stopped for a while may read a response that arrived in time when its timeout has already expired. The
// response must count.
func TestResponseBeforeTimeoutAfterPause(t *testing.T) {
	h := newHarness(t)
	h.connect(1)
	h.addNodes("n")
	h.step(h.newSubmit(1, 7))
	offer := oneEffect[Offer](h)
	h.now += offer.TimeLeft + time.Second
	h.step(nodeAccepted(offer.Link, 7, "node's"))
	oneEffect[Accepted](h)
	noEffect[SendRelease](h)
}

// Requests above a limit are rejected at once, and the placer is not notified of them.
func TestRejectsRequestsOverLimit(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(*Config)
	}{
		{"of all connections", func(c *Config) { c.MaxPending = 2 }},
		{"of one connection", func(c *Config) { c.Admission.MaxPendingPerConnection = 2 }},
		{"of bytes of one connection", func(c *Config) { c.MaxPendingBytes = 8 * 2 * (requestOverhead + 100) }},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, test.change)
			h.connect(1)
			h.addNodes("n")
			h.step(h.newSubmit(1, 7), h.newSubmit(1, 8), h.newSubmit(1, 9))
			expectEffect(h, Terminated{Conn: 1, Task: taskID(9), Cause: CauseRejected})
			if got := placerEventsOf[flaxshelf.TaskSubmitted](h); len(got) != 2 {
				t.Errorf("got submissions %+v, want 2", got)
			}
		})
	}
}

// Guards against a process over its memory limit: pending requests were limited by their number, whatever their sizes. Large
// requests of some connections leave room for those of another, and requests that have ended hold nothing.
func TestPendingRequestsAreLimitedByBytes(t *testing.T) {
	const large, conns, perConn = 16 << 10, 9, 20
	h := newHarness(t, func(c *Config) { c.MaxPendingBytes = 1 << 20; c.MaxPending = 1000 })
	h.connect(1, 2, 3, 4, 5, 6, 7, 8, 9, 10)
	h.addNodes("n")
	for conn := range ConnID(conns) {
		for i := range perConn {
			submit := h.newSubmit(conn+1, int(conn)*perConn+i+1)
			submit.Description = strings.Repeat("x", large)
			h.step(submit)
		}
	}
	stats := h.core.Stats()
	if stats.PendingBytes > h.core.config.MaxPendingBytes || stats.PendingBytes < large || stats.RejectedAtLimit == 0 {
		t.Errorf("got %d bytes pending and %d requests rejected, want at most %d bytes and more than none", stats.PendingBytes,
			stats.RejectedAtLimit, h.core.config.MaxPendingBytes)
	}
	h.step(h.newSubmit(10, 1000))
	noEffect[Terminated](h)
	for conn := range ConnID(conns + 1) {
		h.step(OwnerDisconnected{Conn: conn + 1})
	}
	if got := h.core.Stats().PendingBytes; got != 0 {
		t.Errorf("got %d bytes pending after all owners have disconnected, want 0", got)
	}
}

// A request whose time is over is rejected at once, since nothing was offered, and the placer is not notified of it.
func TestRequestWithoutTimeLeftIsRejected(t *testing.T) {
	h := newHarness(t)
	h.connect(1)
	h.addNodes("n")
	submit := h.newSubmit(1, 7)
	submit.Task.Deadline = h.now
	h.step(submit)
	expectEffect(h, Terminated{Conn: 1, Task: taskID(7), Cause: CauseRejected})
	noEffect[Offer](h)
	if got := placerEventsOf[flaxshelf.TaskSubmitted](h); len(got) != 0 {
		t.Errorf("got submissions %+v, want none", got)
	}
	h.expectNoTasks()
}
