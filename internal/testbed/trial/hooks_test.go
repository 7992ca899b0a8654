package trial

import (
	"strings"
	"time"

	"flaxshelf.example/flaxshelf/internal/daemon"
	"flaxshelf.example/flaxshelf/internal/scheduler"
)

// hooks has, by name, the hooks that change what a daemon passes to or receives from its scheduler core, so that the scheduler
// violates one rule.
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

// secondOutcome reports a second outcome, a failure, for one of outcomeInterval placed jobs.
type secondOutcome struct{ placed int }

// outcomeInterval is the number of placed jobs of which one gets two outcomes.
const outcomeInterval = 20

func (*secondOutcome) InterceptInput(in scheduler.Input) scheduler.Input { return in }

func (h *secondOutcome) InterceptEffects(_ scheduler.Time, effects []scheduler.Effect) []scheduler.Effect {
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

// duplicateStart offers each job of one class twice to the same node, so that the spread of the jobs does not change and only one
// rule is violated.
type duplicateStart struct{}

func (*duplicateStart) InterceptInput(in scheduler.Input) scheduler.Input { return in }

func (*duplicateStart) InterceptEffects(_ scheduler.Time, effects []scheduler.Effect) []scheduler.Effect {
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

// target says to which node a redirection sends an offer.
type target int

const (
	chosenNode target = iota // the node that the scheduler core has chosen
	faultyNode               // the node that is drained or restarted; before one is known, the chosen node
	fixedNode                // the node of fixedNodeName
)

// fixedNodeName is the node of target fixedNode. Stops and acknowledgements of redirected attempts go to it while no faulty node
// is known.
const fixedNodeName = "c0"

// redirection sends offers to other nodes than those that the scheduler core has chosen. The core receives the replies as if
// they came from the chosen nodes.
type redirection struct {
	choose      func(offer *scheduler.SendOffer, age scheduler.Time) target // age: time since the first effects of the scheduler
	chosenNodes map[string]string                                           // as chosen by the core; by redirected attempt
	faultyNode  string                                                      // drained or restarted; empty if none yet
	startedAt   scheduler.Time
}

func newRedirection(choose func(offer *scheduler.SendOffer, age scheduler.Time) target) *redirection {
	return &redirection{choose: choose, chosenNodes: map[string]string{}}
}

func (h *redirection) InterceptInput(in scheduler.Input) scheduler.Input {
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

// reportedNode returns the node that the core is told for a message of an attempt: the chosen node for a redirected attempt, and
// otherwise node, which the message came from.
func (h *redirection) reportedNode(attempt, node string) string {
	if chosen := h.chosenNodes[attempt]; chosen != "" {
		return chosen
	}
	return node
}

func (h *redirection) InterceptEffects(now scheduler.Time, effects []scheduler.Effect) []scheduler.Effect {
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

// redirectionTarget returns the node that an offer is redirected to, or an empty string if it goes to the chosen node.
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

// actualNode returns the node that a later message of an attempt is sent to; node is the one that the core names.
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
