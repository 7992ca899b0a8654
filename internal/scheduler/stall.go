package scheduler

import (
	"time"

	"flaxshelf.example/flaxshelf"
)

// maxSyncTimeout bounds how long the core waits for the answers to a sync. Peers that have not answered by then count as
// unreachable, and the core continues without their answers.
const maxSyncTimeout = time.Second

// syncGraceDivisor is the divisor of the drain grace that gives the timeout of a sync; the rest remains for the drain.
const syncGraceDivisor = 4

// syncBarrier suspends timers and the module after a stall. A process that was stopped resumes with drains and replies of
// nodes unread in its sockets, and with timers that are due. Stepping the module at once could send offers to draining
// nodes; running timers at once could offer jobs again that nodes have already accepted.
//
// The core therefore requests a sync message from discovery and from each node with unresolved attempts. It arrives after
// everything that they had sent before. Until then no timer runs and the module is not stepped.
type syncBarrier struct {
	token            uint64          // of the last sync
	discoveryPending bool            // discovery has not answered
	pendingNodes     map[string]bool // nodes that have not answered
	deadline         Time
}

func (b *syncBarrier) active() bool { return b.discoveryPending || len(b.pendingNodes) > 0 }

// lift ends the barrier without the missing answers.
func (b *syncBarrier) lift() {
	b.discoveryPending = false
	clear(b.pendingNodes)
}

// nodeLost stops waiting for a node: nothing more can be read from a closed connection.
func (b *syncBarrier) nodeDisconnected(node string) { delete(b.pendingNodes, node) }

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

// checkStall starts a sync if the interval since the last step shows that the process was stalled.
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
	for _, node := range c.sortedNodes {
		if node.connected && node.hasUnansweredOffer() {
			c.barrier.pendingNodes[node.machine.ID] = true
			c.emit(SyncNode{node.machine.ID, c.barrier.token})
		}
	}
}
