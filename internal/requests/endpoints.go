package requests

import "flaxshelf.example/flaxshelf"

// updateNodes applies an update of the endpoint list. The module gets it before it decides anything else in this step.
func (c *Core) updateNodes(in NodesUpdated) {
	c.notifyModule(flaxshelf.MachinesUpdated{Machines: in.Machines, Complete: in.Complete, Stale: in.FromConfig})
	for i, machine := range in.Machines {
		c.updateNode(machine, in.Addrs[i])
	}
	if in.Complete {
		c.removeUnnamed(in.Machines)
	}
	c.removeReplacedNodes(in)
}

// updateNode applies an entry of the endpoint list. Links to a former address are closed, and tasks that ran before the node
// restarted are lost.
func (c *Core) updateNode(machine flaxshelf.Machine, addr string) {
	n := c.nodeFor(machine.ID)
	restarted := n.listed && machine.Started > n.entry.Started && machine.State != flaxshelf.Removed
	addrChanged := addr != "" && addr != n.addr
	n.entry, n.listed = machine, true
	if addrChanged {
		n.addr = addr
		c.closeLinksOf(n)
	}
	if restarted {
		beforeRestart := func(a *attempt) bool { return a.startedAt < machine.Started }
		c.stats.LostToRemoval += c.loseRunning(n, beforeRestart)
	}
	c.applyNodeState(n)
}

// removeUnnamed removes the nodes that a complete endpoint list does not name.
func (c *Core) removeUnnamed(machines []flaxshelf.Machine) {
	named := make(map[string]bool, len(machines))
	for _, machine := range machines {
		named[machine.ID] = true
	}
	for _, n := range c.sortedNodes() {
		if !named[n.entry.ID] && n.entry.State != flaxshelf.Removed {
			n.entry.State = flaxshelf.Removed
			c.applyNodeState(n)
		}
	}
}

// removeReplacedNodes removes the nodes whose address the update gives to another node: that proves that they are gone.
func (c *Core) removeReplacedNodes(in NodesUpdated) {
	idByAddr := make(map[string]string, len(in.Machines))
	for i, machine := range in.Machines {
		if machine.State != flaxshelf.Removed && in.Addrs[i] != "" {
			idByAddr[in.Addrs[i]] = machine.ID
		}
	}
	for _, n := range c.sortedNodes() {
		if id, used := idByAddr[n.addr]; used && id != n.entry.ID {
			c.removeNode(n)
		}
	}
}

// applyNodeState acts on the state that the endpoint list gives a node. Attempts that wait for a link are ended when the node
// drains: the update arrived before their offers were written.
func (c *Core) applyNodeState(n *node) {
	if n.entry.State != flaxshelf.Active {
		c.endConnecting(n, flaxshelf.NotSent)
	}
	if n.entry.State == flaxshelf.Removed {
		c.removeNode(n)
		return
	}
	c.ensureLink(n)
}
