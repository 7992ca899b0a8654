package requests

import (
	"cmp"
	"time"

	"flaxshelf.example/flaxshelf"
	"flaxshelf.example/flaxshelf/internal/timerqueue"
)

// node is the state of a machine, which is identified by its ID. Another machine at the same address is another node.
type node struct {
	machine        flaxshelf.Machine // its latest entry in the endpoint list
	addr           string
	listed         bool                // whether an endpoint list has contained it
	currentLink    *link               // the newest link, on which offers are sent
	attempts       map[string]*attempt // by task ID
	lastReceivedAt Time                // when it was added or last showed that it is reachable, such as by a message
	failedDials    int                 // failed dials since a link was last established, without those while another was up
	fruitlessLinks int                 // links in a row that were established and broke before a message of the node arrived
	everConnected  bool                // whether a link to it has ever been established
	deniedLink     bool                // whether it has no link because of Config.MaxLinks
	silentReplaced bool                // a link that had received nothing was replaced since its last message
	redialTimer    *timerqueue.Timer
	recentReleases []recentRelease // in the order in which they were sent
}

// unknownKind is the Machine.Kind of a node that no endpoint list has contained.
const unknownKind = -1

// getOrAddNode returns the node with the given ID. An unknown node is added in the state Removed.
func (c *Core) getOrAddNode(id string) *node {
	n := c.nodes[id]
	if n == nil {
		n = &node{
			machine:        flaxshelf.Machine{ID: id, Kind: unknownKind, State: flaxshelf.Removed},
			attempts:       map[string]*attempt{},
			lastReceivedAt: c.now,
		}
		c.nodes[id] = n
	}
	return n
}

// sortedNodes returns all nodes in the order of their IDs.
func (c *Core) sortedNodes() []*node {
	return sortedValues(c.nodes, func(a, b *node) int { return cmp.Compare(a.machine.ID, b.machine.ID) })
}

// sortedAttempts returns the attempts at the node in the order of their task IDs.
func (n *node) sortedAttempts() []*attempt {
	return sortedValues(n.attempts, func(a, b *attempt) int { return cmp.Compare(a.task.id, b.task.id) })
}

// needsLink reports whether the node is to have a link: its address is known, and it is not removed or
// has attempts.
func (n *node) needsLink() bool {
	return n.addr != "" && (n.machine.State != flaxshelf.Removed || len(n.attempts) > 0)
}

// discardIfUnused closes the links of a node that needs none and has no attempts, and deletes the node if its state is Removed.
func (c *Core) discardIfUnused(n *node) {
	if n.needsLink() || len(n.attempts) > 0 {
		return
	}
	c.timers.Cancel(n.redialTimer)
	c.closeLinksOf(n)
	if n.machine.State == flaxshelf.Removed && c.nodes[n.machine.ID] == n {
		delete(c.nodes, n.machine.ID)
	}
}

// removeNode ends all attempts at a node that has left the cluster, and sets its state to Removed.
func (c *Core) removeNode(n *node) {
	for _, a := range n.sortedAttempts() {
		if a.phase >= phaseRunning {
			c.stats.LostToRemoval++
		}
		c.endLostAttempt(a)
	}
	n.machine.State = flaxshelf.Removed
	c.discardIfUnused(n)
}

// endLostTasks ends, with the outcome Lost, the running tasks of a node whose attempts meet condition. It returns the number of
// these tasks.
func (c *Core) endLostTasks(n *node, condition func(*attempt) bool) (lost uint64) {
	for _, a := range n.sortedAttempts() {
		if a.phase >= phaseRunning && condition(a) {
			c.endLostAttempt(a)
			lost++
		}
	}
	return lost
}

// Limits of the backoff after failed dials of a node.
const (
	initialRedialBackoff = 100 * time.Millisecond
	maxRedialBackoff     = 800 * time.Millisecond
)

// scheduleRedial schedules a dial of a node after a backoff.
func (c *Core) scheduleRedial(n *node, backoff time.Duration) {
	n.redialTimer = c.timers.Schedule(c.now+backoff, func() { c.ensureLink(n) })
}
