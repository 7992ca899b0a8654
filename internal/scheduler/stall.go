package scheduler

import (
	"time"

	"flaxshelf.example/flaxshelf"
)

// maxSyncTimeout bounds how long the core waits for the answers to a sync. It then continues as if the peers that have
// not answered were unreachable.
const maxSyncTimeout = time.Second

// The timeout of a sync is at most the drain grace divided by syncGraceDivisor. The rest of the grace remains for the drain.
const syncGraceDivisor = 4

// syncBarrier suspends timers and the module after a stall. A process that was stopped resumes with timers that are due,
// and with announcements of drains and replies of nodes that it has not read from its sockets. Stepping the module at once
// could send offers to draining nodes, and running timers at once could offer jobs again that nodes have already accepted.
//
// The core therefore requests a sync message from discovery and from each connected node with an unanswered offer. The sync
// message arrives after all messages that the peer had sent before. Until all sync messages have arrived or the deadline
// has passed, no timer runs and the module is not stepped.
type syncBarrier struct {
	token            uint64          // of the last sync; answers with other tokens are ignored
	discoveryPending bool            // discovery has not answered
	pendingNodes     map[string]bool // nodes that have not answered
	deadline         Time            // when the barrier is lifted without the missing answers
}

func (b *syncBarrier) active() bool { return b.discoveryPending || len(b.pendingNodes) > 0 }

// lift ends the barrier without waiting for the missing answers.
func (b *syncBarrier) lift() {
	b.discoveryPending = false
	clear(b.pendingNodes)
}

// nodeDisconnected stops waiting for a node: nothing more can be read from a closed connection.
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
	c.barrier.discoveryPending = false // nothing more can be read from its connection
}

func (c *Core) syncTimeout() time.Duration {
	return min(maxSyncTimeout, c.cfg.Module.DrainGrace/syncGraceDivisor)
}

// checkStall lifts the barrier at its deadline, and starts a sync if the interval since the last step shows that the process
// was stalled.
func (c *Core) checkStall() {
	if c.barrier.active() && c.now >= c.barrier.deadline {
		c.barrier.lift()
	}
	if c.lastStepAt != 0 && c.now-c.lastStepAt >= c.cfg.Limits.StallThreshold {
		c.startSync()
	}
}

// startSync activates the barrier and requests the sync messages.
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
