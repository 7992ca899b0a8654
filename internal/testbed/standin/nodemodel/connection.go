package nodemodel

import (
	"slices"

	"flaxshelf.example/flaxshelf/internal/codec/nodeframe/nodepb"
)

// schedulerState is the state that the node has for a scheduler.
type schedulerState struct {
	incarnation int64
	connected   bool
	unacked     []*nodepb.Ended // outcomes that the scheduler has not acknowledged, the oldest first
}

// Connect handles the connection of a scheduler and returns the Welcome frames that answer it. incarnation is the Unix
// time in nanoseconds at which the scheduler started; Connect returns false if a later one has connected before, or if
// the node is dead. Each frame lists at most perFrame tasks and as many outcomes.
//
// Offers of an earlier connection that wait for review are dropped: the Welcome lists the tasks that the node has, and no
// other may start after it.
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

// welcome sends the tasks and the outcomes of a scheduler, in at least one frame.
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

// Disconnect handles the end of a scheduler's connection. Its offers that wait for review are dropped; its accepted tasks
// run on.
func (n *Node) Disconnect(now Time, scheduler string) {
	n.outgoing = nil
	n.advance(now)
	n.schedulerByName(scheduler).connected = false
	n.dropWaitingOffers(scheduler)
}

// acknowledge discards an outcome that its scheduler has received.
func (n *Node) acknowledge(scheduler, attempt string) {
	s := n.schedulerByName(scheduler)
	s.unacked = slices.DeleteFunc(s.unacked, func(e *nodepb.Ended) bool { return e.Attempt == attempt })
}

// retainOutcome keeps an outcome until its scheduler acknowledges it, and discards the oldest beyond the limit.
func (n *Node) retainOutcome(scheduler string, outcome *nodepb.Ended) {
	s := n.schedulerByName(scheduler)
	s.unacked = append(s.unacked, outcome)
	if len(s.unacked) > n.cfg.MaxUnackedOutcomes {
		s.unacked = s.unacked[1:]
	}
}

// scheduler returns the state of the named scheduler.
func (n *Node) schedulerByName(name string) *schedulerState {
	s := n.schedulers[name]
	if s == nil {
		s = &schedulerState{}
		n.schedulers[name] = s
	}
	return s
}

// send adds a frame to those that the call in progress returns. It drops the frame if the scheduler is not connected.
func (n *Node) send(to string, f *nodepb.Frame) {
	if s := n.schedulers[to]; s != nil && s.connected && !n.dead {
		n.outgoing = append(n.outgoing, Envelope{to, f})
	}
}

// loadReport returns the free resources, or nil if the node does not report them.
func (n *Node) loadReport() *nodepb.Load {
	if !n.cfg.SendsLoadReports {
		return nil
	}
	cores, memory := n.FreeResources()
	return &nodepb.Load{FreeCores: cores, FreeMemory: memory}
}
