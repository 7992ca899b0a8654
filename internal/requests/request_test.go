package requests

import (
	"fmt"
	"testing"
	"time"

	"flaxshelf.example/flaxshelf"
)

// A request is responded to with the node's description, and the end of its task is notified once.
func TestPlacementAndTermination(t *testing.T) {
	h := newHarness(t)
	h.connect(1)
	h.addNodes("n")
	h.step(h.newSubmit(1, 7))
	offer := oneEffect[Offer](h)
	if offer.Node != "n" || offer.Task != taskID(7) || offer.Description != "owner's" || offer.TimeLeft <= 0 {
		t.Errorf("%+v", offer)
	}
	h.step(nodeAccepted(offer.Link, 7, "node's"))
	if a := oneEffect[Accepted](h); a != (Accepted{1, taskID(7), "node's"}) {
		t.Errorf("%+v", a)
	}
	h.step(nodeAccepted(offer.Link, 7, "second"))
	noEffect[Accepted](h)
	noEffect[SendRelease](h)
	h.step(nodeReleased(offer.Link, 7, CauseNormal))
	if e := oneEffect[Terminated](h); e != (Terminated{1, taskID(7), CauseNormal, false}) {
		t.Errorf("%+v", e)
	}
	h.step(nodeReleased(offer.Link, 7, CauseNormal))
	noEffect[Terminated](h)
	if stats := h.core.Stats(); stats.Running != 0 || stats.Pending != 0 || len(h.core.tasks) != 0 {
		t.Errorf("%+v", stats)
	}
}

// A node's release of an offer reaches the module as the outcome that its cause proves; the owner is not notified, and the
// next attempt goes to another node.
func TestOfferOutcomes(t *testing.T) {
	for _, test := range []struct {
		name  string
		cause int
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
			ended := moduleEventsOf[flaxshelf.AttemptEnded](h)
			if len(ended) != 1 || ended[0].Outcome != test.want || ended[0].Machine != offer.Node ||
				ended[0].Reason != flaxshelf.InsufficientCores || ended[0].Final {
				t.Errorf("%+v", ended)
			}
			noEffect[Terminated](h)
			if next := oneEffect[Offer](h); next.Node == offer.Node {
				t.Error("the next offer goes to the same node")
			}
		})
	}
}

// When the module gives up, the owner has its response in the same step: a failure where the task may have run and a repeat
// could do harm, else a rejection.
func TestFinalResponseInSameStep(t *testing.T) {
	for _, test := range []struct {
		name               string
		class, cause, want int
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
			if e := oneEffect[Terminated](h); e != (Terminated{1, taskID(7), test.want, false}) {
				t.Errorf("%+v", e)
			}
			if stats := h.core.Stats(); stats.Pending != 0 || len(h.core.tasks) != 0 {
				t.Errorf("%+v", stats)
			}
		})
	}
}

// A pending request that its owner cancels is released at the node and gets no response. A node's acceptance that crosses
// the release is released too.
func TestCancelPendingRequest(t *testing.T) {
	for _, input := range []Input{
		Release{1, taskID(7)},
		OwnerDisconnected{1},
	} {
		t.Run(fmt.Sprintf("%T", input), func(t *testing.T) {
			h := newHarness(t)
			h.connect(1)
			h.addNodes("n")
			h.step(h.newSubmit(1, 7))
			offer := oneEffect[Offer](h)
			h.step(input)
			if release := oneEffect[SendRelease](h); release.Link != offer.Link || release.Task != taskID(7) {
				t.Errorf("%+v", release)
			}
			noEffect[Terminated](h)
			h.step(nodeAccepted(offer.Link, 7, "late"))
			noEffect[Accepted](h)
			oneEffect[SendRelease](h)
			if stats := h.core.Stats(); stats.Pending != 0 || stats.Running != 0 || len(h.core.tasks) != 0 {
				t.Errorf("%+v", stats)
			}
		})
	}
}

// An owner's release of a running task, on any connection, releases it at its node; the owner gets no notification.
func TestOwnerReleasesRunningTask(t *testing.T) {
	for _, input := range []Input{
		Release{2, taskID(7)},
		Migrated{2, taskID(7)},
	} {
		t.Run(fmt.Sprintf("%T", input), func(t *testing.T) {
			h := newHarness(t)
			h.connect(1, 2)
			h.addNodes("n")
			offer := h.placeTask(1, 7)
			h.step(input)
			if release := oneEffect[SendRelease](h); release != (SendRelease{offer.Link, taskID(7), CauseCanceled}) {
				t.Errorf("%+v", release)
			}
			h.step(nodeReleased(offer.Link, 7, CauseCanceled))
			noEffect[Terminated](h)
			if e := moduleEventsOf[flaxshelf.AttemptEnded](h); len(e) != 1 || e[0].Outcome != flaxshelf.Canceled || !e[0].Final {
				t.Errorf("%+v", e)
			}
		})
	}
}

// A task ID that is in use: the first request keeps its single response, another connection's fails.
func TestDuplicateTaskID(t *testing.T) {
	h := newHarness(t)
	h.connect(1, 2)
	h.addNodes("n")
	h.step(h.newSubmit(1, 7), h.newSubmit(1, 7), h.newSubmit(2, 7))
	offer := oneEffect[Offer](h)
	if e := oneEffect[Terminated](h); e != (Terminated{2, taskID(7), CauseLost, false}) {
		t.Errorf("%+v", e)
	}
	h.step(nodeAccepted(offer.Link, 7, "d"))
	if a := oneEffect[Accepted](h); a.Conn != 1 {
		t.Errorf("%+v", a)
	}
}

// A task that the module migrates is released at its node, and its owner is notified of a migration: after a release it
// would count the task as lost, and wait before it submits again. The node's release ends the task without a second
// notification.
func TestMigration(t *testing.T) {
	h := newHarness(t)
	h.connect(1)
	h.addNodes("n1", "n2", "n3", "n4")
	for i, node := range []string{"n1", "n2", "n3", "n4"} { // the module knows all as working
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
	if e := oneEffect[Terminated](h); e != (Terminated{Conn: 1, Task: taskID(7), Migrate: true}) {
		t.Errorf("%+v", e)
	}
	if release := oneEffect[SendRelease](h); release != (SendRelease{offer.Link, taskID(7), CauseCanceled}) {
		t.Errorf("%+v", release)
	}
	h.step(nodeReleased(offer.Link, 7, CauseCanceled))
	noEffect[Terminated](h)
	if e := moduleEventsOf[flaxshelf.AttemptEnded](h); len(e) != 1 || e[0].Outcome != flaxshelf.Canceled {
		t.Errorf("%+v", e)
	}
}

// A process that was stopped for a while finds responses that arrived in time together with their timeouts: the responses
// count.
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

// Requests over a bound, of all connections or of one, are rejected at once, and the module is not notified of them.
func TestRejectsRequestsOverLimit(t *testing.T) {
	for name, change := range map[string]func(*Config){
		"of all connections": func(c *Config) { c.MaxPending = 2 },
		"of one connection":  func(c *Config) { c.Admission.MaxPendingPerConnection = 2 },
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, change)
			h.connect(1)
			h.addNodes("n")
			h.step(h.newSubmit(1, 7), h.newSubmit(1, 8), h.newSubmit(1, 9))
			if e := oneEffect[Terminated](h); e != (Terminated{1, taskID(9), CauseRejected, false}) {
				t.Errorf("%+v", e)
			}
			if submitted := moduleEventsOf[flaxshelf.TaskSubmitted](h); len(submitted) != 2 {
				t.Errorf("%+v", submitted)
			}
		})
	}
}
