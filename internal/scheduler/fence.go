package scheduler

import "time"

// syncMost bounds how long a sync may take; a share of the drain grace may be less. After it a peer counts as
// silent, and the core goes on with what it knows.
const syncMost = time.Second

// fence holds the core back after a stall. Risk covered: a process that was stopped wakes with the word of a drain
// and the answers of nodes unread in its sockets, and with timers that are due. Were the module stepped at once it
// would offer to a node that it was told to leave; were time-outs taken at once, jobs that nodes have long accepted
// would be offered again.
//
// So the inventory and each node that owes an answer are asked for a sign. It comes behind all that they had said
// before. Until then no timer fires and the module is not stepped.
type fence struct {
	token uint64
	list  bool            // the inventory's sign is waited for
	nodes map[string]bool // and these nodes'
	until Time
}

func (f *fence) up() bool { return f.list || len(f.nodes) > 0 }

func (f *fence) synced(token uint64) {
	if token == f.token {
		f.list = false
	}
}

func (f *fence) nodeSynced(node string, token uint64) {
	if token == f.token {
		delete(f.nodes, node)
	}
}

// lost lets go of a peer: from a connection that is gone nothing more can be read.
func (f *fence) lost() { f.list = false }

func (f *fence) nodeLost(node string) { delete(f.nodes, node) }

func (c *Core) syncWait() time.Duration { return min(syncMost, c.cfg.Module.DrainGrace/4) }

func (c *Core) checkStall() {
	f := &c.fence
	if f.up() && c.now >= f.until {
		f.list = false
		clear(f.nodes)
	}
	if c.last == 0 || c.now-c.last < c.cfg.Limits.StallThreshold {
		return
	}
	f.token++
	f.list, f.until, f.nodes = true, c.now+c.syncWait(), map[string]bool{}
	c.emit(SyncDiscovery{c.fence.token})
	for _, n := range c.order {
		if n.up && n.owes() {
			f.nodes[n.entry.ID] = true
			c.emit(SyncNode{n.entry.ID, f.token})
		}
	}
}

// owes tells whether the node has an offer of ours without an answer.
func (n *node) owes() bool {
	for _, a := range n.live {
		if a.phase == offered {
			return true
		}
	}
	return false
}
