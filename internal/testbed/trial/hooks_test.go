package trial

import (
	"strings"
	"time"

	"flaxshelf.example/flaxshelf/internal/daemon"
	"flaxshelf.example/flaxshelf/internal/scheduler"
)

// hooks change inputs and effects between a daemon and its core so that one rule is violated.
var hooks = map[string]daemon.Hook{
	"":                nil,
	"two outcomes":    &secondOutcome{},
	"duplicate start": &duplicateStart{},
	"draining node": newRedirection(func(offer *scheduler.SendOffer, age scheduler.Time) target {
		if age > 3*time.Second && offer.Spec.Class == 0 && strings.HasSuffix(offer.Job, "7") {
			return faultyNode
		}
		return chosenNode
	}),
	"node in slow start": newRedirection(func(offer *scheduler.SendOffer, age scheduler.Time) target {
		if age > 1500*time.Millisecond && offer.Spec.Class == 0 {
			return faultyNode
		}
		return chosenNode
	}),
	"one zone": newRedirection(func(offer *scheduler.SendOffer, _ scheduler.Time) target {
		if offer.Spec.Class == 0 && offer.Spec.Service == "sensor-0" {
			return fixedNode
		}
		return chosenNode
	}),
}

// secondOutcome reports a second outcome, a failure, for every twentieth placed job.
type secondOutcome struct{ placed int }

// outcomeInterval is the number of placed jobs of which one has two outcomes.
const outcomeInterval = 20

func (*secondOutcome) In(in scheduler.Input) scheduler.Input { return in }

func (h *secondOutcome) Out(_ scheduler.Time, effects []scheduler.Effect) []scheduler.Effect {
	var out []scheduler.Effect
	for _, effect := range effects {
		out = append(out, effect)
		publish, ok := effect.(scheduler.Publish)
		if !ok || publish.Job.State != scheduler.Running || publish.Job.SubState != scheduler.SubStateRunning {
			continue
		}
		if h.placed++; h.placed%outcomeInterval == 0 {
			publish.Job.Outcome = scheduler.OutcomeFailed
			out = append(out, publish)
		}
	}
	return out
}

// duplicateStart offers the jobs of one class twice to the same node, so that their spread does not change.
type duplicateStart struct{}

func (*duplicateStart) In(in scheduler.Input) scheduler.Input { return in }

func (*duplicateStart) Out(_ scheduler.Time, effects []scheduler.Effect) []scheduler.Effect {
	var out []scheduler.Effect
	for _, effect := range effects {
		out = append(out, effect)
		if offer, ok := effect.(scheduler.SendOffer); ok && offer.Spec.Class == 1 {
			offer.Attempt += "x"
			out = append(out, offer)
		}
	}
	return out
}

// target is where a redirection sends an offer.
type target int

const (
	chosenNode target = iota // by the core
	faultyNode               // the node of the day's fault, if it is known by then
	fixedNode                // always the same
)

// fixedNodeName is the node of fixedNode, and of stops and acknowledgements while the faulty node is not known.
const fixedNodeName = "c0"

// redirection sends offers to other nodes than the core has chosen. The core receives the replies as if they came from the
// chosen node.
type redirection struct {
	choose      func(offer *scheduler.SendOffer, age scheduler.Time) target // age is of the scheduler
	chosenNodes map[string]string                                           // by redirected attempt
	faultyNode  string                                                      // drained or restarted; empty if there is none yet
	startedAt   scheduler.Time
}

func newRedirection(choose func(offer *scheduler.SendOffer, age scheduler.Time) target) *redirection {
	return &redirection{choose: choose, chosenNodes: map[string]string{}}
}

func (h *redirection) In(in scheduler.Input) scheduler.Input {
	switch in := in.(type) {
	case scheduler.NodesUpdated:
		for _, machine := range in.Machines {
			if machine.State != 0 || machine.Started > 0 {
				h.faultyNode = machine.ID
			}
		}
	case scheduler.AttemptAccepted:
		in.Node = h.reportedNode(in.Attempt, in.Node)
		return in
	case scheduler.AttemptRejected:
		in.Node = h.reportedNode(in.Attempt, in.Node)
		return in
	case scheduler.AttemptFailed:
		in.Node = h.reportedNode(in.Attempt, in.Node)
		return in
	case scheduler.AttemptStarted:
		in.Node = h.reportedNode(in.Attempt, in.Node)
		return in
	case scheduler.UsageReport:
		in.Node = h.reportedNode(in.Attempt, in.Node)
		return in
	case scheduler.AttemptEnded:
		in.Node = h.reportedNode(in.Attempt, in.Node)
		return in
	}
	return in
}

// chosen returns the node that the core has chosen for an attempt; node is the one that the message came from.
func (h *redirection) reportedNode(attempt, node string) string {
	if chosen := h.chosenNodes[attempt]; chosen != "" {
		return chosen
	}
	return node
}

func (h *redirection) Out(now scheduler.Time, effects []scheduler.Effect) []scheduler.Effect {
	if h.startedAt == 0 {
		h.startedAt = now
	}
	var out []scheduler.Effect
	for _, effect := range effects {
		switch e := effect.(type) {
		case scheduler.SendOffer:
			if node := h.redirectionTarget(&e, now); node != "" {
				h.chosenNodes[e.Attempt] = e.Node
				e.Node = node
			}
			effect = e
		case scheduler.SendStop:
			e.Node = h.actualNode(e.Attempt, e.Node)
			effect = e
		case scheduler.SendAck:
			e.Node = h.actualNode(e.Attempt, e.Node)
			effect = e
		}
		out = append(out, effect)
	}
	return out
}

// node returns the node that an offer is redirected to, or an empty string for the chosen node.
func (h *redirection) redirectionTarget(offer *scheduler.SendOffer, now scheduler.Time) string {
	switch h.choose(offer, now-h.startedAt) {
	case faultyNode:
		return h.faultyNode
	case fixedNode:
		return fixedNodeName
	default:
		return ""
	}
}

// redirected returns the node that a later message of an attempt is sent to.
func (h *redirection) actualNode(attempt, node string) string {
	switch {
	case h.chosenNodes[attempt] == "":
		return node
	case h.faultyNode != "":
		return h.faultyNode
	default:
		return fixedNodeName
	}
}
