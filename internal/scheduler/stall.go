package scheduler

import (
	"time"

	"flaxshelf.example/flaxshelf"
)

// maxSyncTimeout bounds how long the core waits for the answers to a sync. After it a peer counts as unreachable, and
// the core goes on with what it knows.
const maxSyncTimeout = time.Second

// syncGraceDivisor gives the part of the drain grace that a sync may take, so that the rest is left to drain.
const syncGraceDivisor = 4

// syncBarrier holds the core back after a stall. A process that was stopped resumes with drains and replies of nodes
// unread in its sockets, and with timers that are due. Were the module stepped at once, it would offer to a node that
// is draining; were timeouts applied at once, jobs that nodes have long accepted would be offered again.
//
// So discovery and each node with unresolved attempts are asked for a sync message, which arrives behind all that they
// had sent before. Until then no timer fires and the module is not stepped.
type syncBarrier struct {
	token            uint64          // of the last sync
	discoveryPending bool            // discovery has not answered
	pendingNodes     map[string]bool // nodes that have not answered
	deadline         Time
}

func (b *syncBarrier) active() bool { return b.discoveryPending || len(b.pendingNodes) > 0 }

// lift ends the wait for all peers.
func (b *syncBarrier) lift() {
	b.discoveryPending = false
	clear(b.pendingNodes)
}

// nodeLost ends the wait for a node: from a connection that is closed nothing more can be read.
func (b *syncBarrier) nodeLost(node string) { delete(b.pendingNodes, node) }

func (in DiscoverySynced) apply(c *Core) {
	if in.Token == c.barrier.token {
		c.barrier.discoveryPending = false
	}
}

func (in NodeSynced) apply(c *Core) {
	if in.Token == c.barrier.token {
		delete(c.barrier.pendingNodes, in.Node)
	}
}

func (DiscoveryFailed) apply(c *Core) {
	c.notifyModule(flaxshelf.DiscoveryFailed{})
	c.barrier.discoveryPending = false // nothing more can be read from it
}

func (c *Core) syncTimeout() time.Duration {
	return min(maxSyncTimeout, c.cfg.Module.DrainGrace/syncGraceDivisor)
}

// checkStall begins a sync where this step comes so late that the process must have been stopped.
func (c *Core) checkStall() {
	if c.barrier.active() && c.now >= c.barrier.deadline {
		c.barrier.lift()
	}
	if c.lastStepAt != 0 && c.now-c.lastStepAt >= c.cfg.Limits.StallThreshold {
		c.startSync()
	}
}

func (c *Core) startSync() {
	c.barrier = syncBarrier{
		token:            c.barrier.token + 1,
		discoveryPending: true,
		pendingNodes:     map[string]bool{},
		deadline:         c.now + c.syncTimeout(),
	}
	c.emit(SyncDiscovery{c.barrier.token})
	for _, node := range c.nodesByName {
		if node.connected && node.hasUnresolvedAttempts() {
			c.barrier.pendingNodes[node.machine.ID] = true
			c.emit(SyncNode{node.machine.ID, c.barrier.token})
		}
	}
}
