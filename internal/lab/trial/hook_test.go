package trial

import (
	"strings"

	"flaxshelf.example/flaxshelf/internal/daemon"
	"flaxshelf.example/flaxshelf/internal/scheduler"
)

// hooks are hosts that err, each against one rule. Where they send an offer elsewhere, the core hears the answers
// as from the node that it had chosen.
var hooks = map[string]daemon.Hook{
	"":             nil,
	"two answers":  &twoAnswers{},
	"second start": &secondStart{},
	"drained node": &elsewhere{since: map[string]string{}, pick: func(e *scheduler.SendOffer, now scheduler.Time, first scheduler.Time) string {
		if now-first > 3e9 && e.Spec.Class == 0 && strings.HasSuffix(e.Job, "7") {
			return "a"
		}
		return ""
	}},
	"cold node": &elsewhere{since: map[string]string{}, pick: func(e *scheduler.SendOffer, now scheduler.Time, first scheduler.Time) string {
		if now-first > 1500e6 && e.Spec.Class == 0 {
			return "a"
		}
		return ""
	}},
	"one room": &elsewhere{since: map[string]string{}, pick: func(e *scheduler.SendOffer, _ scheduler.Time, _ scheduler.Time) string {
		if e.Spec.Class == 0 && e.Spec.Service == "sensor-0" {
			return "c0"
		}
		return ""
	}},
}

// twoAnswers tells of some jobs that were placed that they have failed, later.
type twoAnswers struct{ n int }

func (*twoAnswers) In(in scheduler.Input) scheduler.Input { return in }

func (h *twoAnswers) Out(_ scheduler.Time, effects []scheduler.Effect) []scheduler.Effect {
	var out []scheduler.Effect
	for _, e := range effects {
		out = append(out, e)
		if p, ok := e.(scheduler.Publish); ok && p.Info.State == scheduler.Running && p.Info.SubState == scheduler.SubRunning {
			if h.n++; h.n%20 == 0 {
				p.Info.Outcome = scheduler.OutcomeFailed
				out = append(out, p)
			}
		}
	}
	return out
}

// secondStart offers some safe jobs to a second node at once.
type secondStart struct{ n int }

func (*secondStart) In(in scheduler.Input) scheduler.Input { return in }

func (h *secondStart) Out(_ scheduler.Time, effects []scheduler.Effect) []scheduler.Effect {
	var out []scheduler.Effect
	for _, e := range effects {
		out = append(out, e)
		if o, ok := e.(scheduler.SendOffer); ok && o.Spec.Class == 1 {
			o.Attempt += "x"
			// The same node, so that spread and rooms stay as they were.
			out = append(out, o)
			h.n++
		}
	}
	return out
}

// elsewhere sends offers that pick names a node for to that node; a name that ends in no digit stands for the
// first node of the group that the troubles have been put upon, which the test finds by its standing.
type elsewhere struct {
	pick  func(e *scheduler.SendOffer, now, first scheduler.Time) string
	since map[string]string // attempt to the node that the core had chosen
	node  string            // drained or started anew
	first scheduler.Time
}

func (h *elsewhere) In(in scheduler.Input) scheduler.Input {
	switch in := in.(type) {
	case scheduler.NodesUpdated:
		for _, m := range in.Machines {
			if m.State != 0 || m.Started > 0 {
				h.node = m.ID
			}
		}
	case scheduler.AttemptAccepted:
		in.Node = h.chosen(in.Attempt, in.Node)
		return in
	case scheduler.AttemptRejected:
		in.Node = h.chosen(in.Attempt, in.Node)
		return in
	case scheduler.AttemptFailed:
		in.Node = h.chosen(in.Attempt, in.Node)
		return in
	case scheduler.AttemptStarted:
		in.Node = h.chosen(in.Attempt, in.Node)
		return in
	case scheduler.UsageReport:
		in.Node = h.chosen(in.Attempt, in.Node)
		return in
	case scheduler.AttemptEnded:
		in.Node = h.chosen(in.Attempt, in.Node)
		return in
	}
	return in
}

func (h *elsewhere) chosen(attempt, node string) string {
	if n := h.since[attempt]; n != "" {
		return n
	}
	return node
}

func (h *elsewhere) Out(now scheduler.Time, effects []scheduler.Effect) []scheduler.Effect {
	if h.first == 0 {
		h.first = now
	}
	sentTo := map[string]string{}
	for a, n := range h.since {
		sentTo[a] = n
	}
	var out []scheduler.Effect
	for _, e := range effects {
		switch x := e.(type) {
		case scheduler.SendOffer:
			if to := h.pick(&x, now, h.first); to != "" {
				if to == "a" {
					to = h.node
				}
				if to != "" {
					h.since[x.Attempt] = x.Node
					x.Node = to
				}
			}
			e = x
		case scheduler.SendStop:
			if h.since[x.Attempt] != "" && h.target() != "" {
				x.Node = h.target()
			}
			e = x
		case scheduler.SendAck:
			if h.since[x.Attempt] != "" && h.target() != "" {
				x.Node = h.target()
			}
			e = x
		}
		out = append(out, e)
	}
	return out
}

func (h *elsewhere) target() string {
	if h.node != "" {
		return h.node
	}
	return "c0"
}
