package requests

import "flaxshelf.example/flaxshelf"

// updateNodes applies an update of the endpoint list. The placer receives it before it makes the decisions of this step.
func (c *Core) updateNodes(in NodesUpdated) {
	machines := make([]flaxshelf.Machine, len(in.Endpoints))
	for i, endpoint := range in.Endpoints {
		machines[i] = endpoint.Machine
	}
	c.notifyPlacer(flaxshelf.MachinesUpdated{Machines: machines, Complete: in.Complete, Stale: in.FromConfig})
	for _, endpoint := range in.Endpoints {
		c.updateNode(endpoint)
	}
	if in.Complete {
		c.removeUnlisted(in.Endpoints)
	}
	c.removeReplacedNodes(in.Endpoints)
}

// updateNode applies an entry of the endpoint list. If the address has changed, the links to the previous one are closed. If
// the node has restarted, the tasks that started before count as lost.
func (c *Core) updateNode(endpoint Endpoint) {
	machine, addr := endpoint.Machine, endpoint.Addr
	n := c.getOrAddNode(machine.ID)
	restarted := n.listed && machine.Started > n.machine.Started && machine.State != flaxshelf.Removed
	addrChanged := addr != "" && addr != n.addr
	n.machine, n.listed = machine, true
	if addrChanged {
		n.addr = addr
		c.closeLinksOf(n)
	}
	if restarted {
		beforeRestart := func(a *attempt) bool { return a.startedAt < machine.Started }
		c.stats.LostToRemoval += c.endLostTasks(n, beforeRestart)
	}
	c.applyNodeState(n)
}

// removeUnlisted removes the nodes that are not in a complete endpoint list.
func (c *Core) removeUnlisted(endpoints []Endpoint) {
	listed := make(map[string]bool, len(endpoints))
	for _, endpoint := range endpoints {
		listed[endpoint.Machine.ID] = true
	}
	for _, n := range c.sortedNodes() {
		if !listed[n.machine.ID] && n.machine.State != flaxshelf.Removed {
			n.machine.State = flaxshelf.Removed
			c.applyNodeState(n)
		}
	}
}

// removeReplacedNodes removes the nodes whose address the update assigns to another node: they have left the cluster.
func (c *Core) removeReplacedNodes(endpoints []Endpoint) {
	idByAddr := make(map[string]string, len(endpoints))
	for _, endpoint := range endpoints {
		if endpoint.Machine.State != flaxshelf.Removed && endpoint.Addr != "" {
			idByAddr[endpoint.Addr] = endpoint.Machine.ID
		}
	}
	for _, n := range c.sortedNodes() {
		if id, used := idByAddr[n.addr]; used && id != n.machine.ID {
			c.removeNode(n)
		}
	}
}

// applyNodeState applies the state of a node in the endpoint list. If the node is no longer active, the attempts that are
// waiting for a link end with the outcome NotSent, because the update arrived before their offers were sent.
func (c *Core) applyNodeState(n *node) {
	if n.machine.State != flaxshelf.Active {
		c.endConnecting(n, flaxshelf.NotSent)
	}
	if n.machine.State == flaxshelf.Removed {
		c.removeNode(n)
		return
	}
	c.ensureLink(n)
}
