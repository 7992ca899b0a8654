package scheduler

import (
	"cmp"
	"slices"

	"flaxshelf.example/flaxshelf"
)

// node is the core's state of a machine and its node process: the entry in the endpoint list, the connection and the
// attempts.
type node struct {
	machine          flaxshelf.Machine
	connected        bool
	hasReported      bool                // the node has reported its attempts to this incarnation
	connectRequested bool                // a Connect was emitted, and no Disconnect since
	startedAt        Time                // start of its process, as reported by the node
	coldStartedAt    Time                // latest start that the node reported before the endpoint list showed it
	attempts         map[string]*attempt // by ID: the attempts that have not ended
}

func (n *node) removed() bool { return n.machine.State == flaxshelf.Removed }

// sortedAttempts returns the attempts in the order of their creation.
func (n *node) sortedAttempts() []*attempt {
	all := make([]*attempt, 0, len(n.attempts))
	for _, attempt := range n.attempts {
		all = append(all, attempt)
	}
	slices.SortFunc(all, func(a, b *attempt) int { return cmp.Compare(a.serial, b.serial) })
	return all
}

// hasUnansweredOffer reports whether the node was sent an offer to which it has not replied.
func (n *node) hasUnansweredOffer() bool {
	for _, attempt := range n.attempts {
		if attempt.phase == phaseOffered {
			return true
		}
	}
	return false
}

// ensureNode returns the node with the ID. An unknown node is added in the state Removed, until an endpoint list names it.
func (c *Core) ensureNode(id string) *node {
	if known := c.nodes[id]; known != nil {
		return known
	}
	added := &node{
		machine:  flaxshelf.Machine{ID: id, Kind: -1, State: flaxshelf.Removed},
		attempts: map[string]*attempt{},
	}
	c.nodes[id] = added
	position, _ := slices.BinarySearchFunc(c.sortedNodes, id,
		func(other *node, id string) int { return cmp.Compare(other.machine.ID, id) })
	c.sortedNodes = slices.Insert(c.sortedNodes, position, added)
	return added
}

// apply applies an endpoint list or changes to it. Offers that have become invalid are ended before the module is notified
// of the machines.
func (in NodesUpdated) apply(c *Core) {
	listed := map[string]bool{}
	for i, machine := range in.Machines {
		listed[machine.ID] = true
		node := c.ensureNode(machine.ID)
		if machine.Started < node.coldStartedAt { // the list is older than the node's own report
			machine.Started = node.coldStartedAt
			in.Machines[i] = machine
		}
		restarted := machine.Started > node.machine.Started
		node.machine = machine
		if restarted { // the module chose the node by its capacity before the restart
			c.cancelUnsentOffers(node)
		}
		c.applyMachineChange(node)
	}
	if in.Complete {
		c.removeUnlistedNodes(listed)
		c.startRecoveryTimer()
	}
	c.notifyModule(flaxshelf.MachinesUpdated{Machines: in.Machines, Complete: in.Complete})
}

// removeUnlistedNodes marks the nodes that a complete list does not name as removed.
func (c *Core) removeUnlistedNodes(listed map[string]bool) {
	for _, node := range c.sortedNodes {
		if !listed[node.machine.ID] && !node.removed() {
			node.machine.State = flaxshelf.Removed
			c.applyMachineChange(node)
		}
	}
}

// applyMachineChange applies a node's new entry in the endpoint list. If the node drains or was removed, offers that wait
// for a connection are canceled: they must not be sent after the drain was announced.
func (c *Core) applyMachineChange(node *node) {
	if node.machine.State != flaxshelf.Active {
		c.cancelUnsentOffers(node)
	}
	switch {
	case !node.removed() && !node.connectRequested:
		node.connectRequested = true
		c.emit(Connect{node.machine.ID})
	case node.removed() && node.connectRequested:
		c.scheduleNodeExpiry(node)
	}
}

// cancelUnsentOffers ends the offers that wait for a connection to the node.
func (c *Core) cancelUnsentOffers(node *node) {
	for _, attempt := range node.sortedAttempts() {
		if attempt.phase == phaseConnecting {
			c.endAttempt(attempt, attemptEnd{outcome: flaxshelf.NotSent})
		}
	}
}

// scheduleNodeExpiry expires the node after the settle time if, at that time, it is removed and not connected.
func (c *Core) scheduleNodeExpiry(node *node) {
	c.timers.Schedule(c.now+c.cfg.Limits.SettleTime, func() {
		if node.removed() && !node.connected {
			c.expireNode(node)
		}
	})
}

// expireNode ends all attempts of a node as lost and disconnects it.
func (c *Core) expireNode(node *node) {
	for _, attempt := range node.sortedAttempts() {
		c.endAsLost(attempt)
	}
	if node.connectRequested {
		node.connectRequested = false
		c.emit(Disconnect{node.machine.ID})
	}
}

// apply ends the offers to the node as lost, since the node may have accepted them, or as unreachable if they were not sent.
// Accepted attempts are retained until the node connects again or expires.
func (in NodeDisconnected) apply(c *Core) {
	node := c.nodes[in.Node]
	if node == nil {
		return
	}
	node.connected = false
	c.barrier.nodeDisconnected(in.Node)
	for _, attempt := range node.sortedAttempts() {
		attempt.stopSent = false // the stop may have been lost
		switch attempt.phase {
		case phaseConnecting:
			c.endAttempt(attempt, attemptEnd{outcome: flaxshelf.Unreachable})
		case phaseOffered:
			c.endAsLost(attempt)
		default:
			attempt.job.subState = SubStateUnreachable
			c.publishChange(attempt.job)
		}
	}
	c.scheduleNodeExpiry(node)
}

// checkHealth sends a health check to a node. If the node is not connected, the module is notified that it is unreachable.
func (c *Core) checkHealth(check flaxshelf.HealthCheck) {
	if node := c.nodes[check.Machine]; node != nil && node.connected {
		c.emit(SendHealthCheck{check.Machine})
		return
	}
	c.notifyModule(flaxshelf.HealthChecked{Machine: check.Machine, Outcome: flaxshelf.Unreachable})
}

func (in HealthChecked) apply(c *Core) {
	result := flaxshelf.HealthChecked{Machine: in.Node, Load: in.Load}
	if in.NoReply {
		result.Outcome = flaxshelf.Lost
	}
	c.notifyModule(result)
}
