package nodemodel

import (
	"slices"

	"flaxshelf.example/flaxshelf/internal/codec/nodeframe/nodepb"
)

// schedulerState is what the node stores about a scheduler across its connections.
type schedulerState struct {
	incarnation int64
	connected   bool
	unacked     []*nodepb.Ended // outcomes that the scheduler has not acknowledged, oldest first
}

// Connect handles a new connection of a scheduler and returns the Welcome frames that answer it, after the frames of events
// that are due. incarnation is the Unix time in nanoseconds at which the scheduler process started. Connect rejects the
// connection and returns false if a later incarnation has connected before, or if the node is dead. Each Welcome lists at
// most maxPerFrame tasks and as many outcomes.
//
// Waiting offers of an earlier connection are dropped: the Welcome lists all tasks that the scheduler has on the node, so no
// task of an earlier offer may be accepted after it.
func (n *Node) Connect(now Time, scheduler string, incarnation int64, maxPerFrame int) ([]Envelope, bool) {
	n.outgoing = nil
	n.advance(now)
	s := n.schedulerByName(scheduler)
	if n.dead || incarnation < s.incarnation {
		return nil, false
	}
	s.incarnation, s.connected = incarnation, true
	n.dropWaitingOffers(scheduler)
	n.sendWelcome(scheduler, s.unacked, maxPerFrame)
	return n.outgoing, true
}

// sendWelcome sends a scheduler its tasks and its unacknowledged outcomes, in at least one frame.
func (n *Node) sendWelcome(scheduler string, unacked []*nodepb.Ended, maxPerFrame int) {
	var held []*nodepb.Held
	for _, t := range n.tasksInAcceptanceOrder {
		if t.scheduler == scheduler {
			held = append(held, &nodepb.Held{Attempt: t.attempt, Task: t.spec, Running: t.running})
		}
	}
	for first := true; first || len(held) > 0 || len(unacked) > 0; first = false {
		tasks, outcomes := min(maxPerFrame, len(held)), min(maxPerFrame, len(unacked))
		n.send(scheduler, &nodepb.Frame{Body: &nodepb.Frame_Welcome{Welcome: &nodepb.Welcome{Node: n.cfg.Name,
			StartedUnixNs: int64(n.bootTime), Held: held[:tasks], Ended: unacked[:outcomes],
			More: tasks < len(held) || outcomes < len(unacked), Fresh: n.inSlowStart()}}})
		held, unacked = held[tasks:], unacked[outcomes:]
	}
}

// Disconnect handles the end of a scheduler's connection. The waiting offers of the scheduler are dropped; its accepted tasks
// continue.
func (n *Node) Disconnect(now Time, scheduler string) {
	n.outgoing = nil
	n.advance(now)
	n.schedulerByName(scheduler).connected = false
	n.dropWaitingOffers(scheduler)
}

// acknowledge discards the outcome of an attempt, which the scheduler has received.
func (n *Node) acknowledge(scheduler, attempt string) {
	s := n.schedulerByName(scheduler)
	s.unacked = slices.DeleteFunc(s.unacked, func(e *nodepb.Ended) bool { return e.Attempt == attempt })
}

// retainOutcome stores an outcome until its scheduler acknowledges it. Beyond MaxUnackedOutcomes, the oldest is discarded.
func (n *Node) retainOutcome(scheduler string, outcome *nodepb.Ended) {
	s := n.schedulerByName(scheduler)
	s.unacked = append(s.unacked, outcome)
	if len(s.unacked) > n.cfg.MaxUnackedOutcomes {
		s.unacked = s.unacked[1:]
	}
}

// schedulerByName returns the state of a scheduler, which is created if the node has none.
func (n *Node) schedulerByName(name string) *schedulerState {
	s := n.schedulers[name]
	if s == nil {
		s = &schedulerState{}
		n.schedulers[name] = s
	}
	return s
}

// send adds a frame to those that the current call returns. The frame is dropped if the scheduler is not connected or the
// node is dead.
func (n *Node) send(to string, f *nodepb.Frame) {
	if s := n.schedulers[to]; s != nil && s.connected && !n.dead {
		n.outgoing = append(n.outgoing, Envelope{to, f})
	}
}

// loadReport returns the free resources of the node, or nil if load reports are disabled.
func (n *Node) loadReport() *nodepb.Load {
	if !n.cfg.SendsLoadReports {
		return nil
	}
	cores, memory := n.FreeResources()
	return &nodepb.Load{FreeCores: cores, FreeMemory: memory}
}
