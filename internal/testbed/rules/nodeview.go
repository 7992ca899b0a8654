package rules

import (
	"time"

	"flaxshelf.example/flaxshelf/internal/codec/nodeframe/nodepb"
)

// nodeView is what a scheduler has been told about a node by the inventory and the node.
type nodeView struct {
	membership      nodepb.Standing
	membershipSince time.Duration // when the node ceased to be active
	zone            string
	cell            int32
	inventoryStart  int64 // start time according to the inventory, in nanoseconds since the Unix epoch; zero if unknown
	reportedStart   int64 // start time according to the node, likewise
}

// startedAt returns the later of the two start times, in nanoseconds since the Unix epoch, or zero if both are unknown.
func (v *nodeView) startedAt() int64 { return max(v.inventoryStart, v.reportedStart) }

// setMembership sets the membership, and membershipSince if the node ceases to be active.
func (v *nodeView) setMembership(membership nodepb.Standing, now time.Duration) {
	if membership != nodepb.Standing_IN && v.membership == nodepb.Standing_IN {
		v.membershipSince = now
	}
	v.membership = membership
}

// view returns a scheduler's view of a node. A node that the scheduler has not been told about counts as removed.
func (c *checker) view(scheduler, node string) *nodeView {
	views := c.views[scheduler]
	if views == nil {
		views = map[string]*nodeView{}
		c.views[scheduler] = views
	}
	if views[node] == nil {
		views[node] = &nodeView{membership: nodepb.Standing_OUT, membershipSince: c.start}
	}
	return views[node]
}

// listingDelivered processes a listing of the inventory when it is delivered to a scheduler. A node that is missing in a
// complete listing was removed.
func (c *checker) listingDelivered(scheduler string, listing *nodepb.Listing) {
	listed := map[string]bool{}
	for _, entry := range listing.Entries {
		listed[entry.Node] = true
		c.entryDelivered(scheduler, entry)
	}
	if !listing.Whole || listing.More {
		return
	}
	for node, view := range c.views[scheduler] {
		if !listed[node] && view.membership != nodepb.Standing_OUT {
			view.setMembership(nodepb.Standing_OUT, c.now)
		}
	}
	c.attemptsLost(scheduler, func(node string) bool { return !listed[node] })
}

func (c *checker) entryDelivered(scheduler string, entry *nodepb.Entry) {
	view := c.view(scheduler, entry.Node)
	if entry.StartedUnixNs > view.inventoryStart && view.inventoryStart > 0 {
		c.nodeRemoved(scheduler, entry.Node) // a restarted node does not have the tasks of its previous incarnation
	}
	view.setMembership(entry.Standing, c.now)
	view.zone, view.cell, view.inventoryStart = entry.Zone, entry.Cell, entry.StartedUnixNs
	if entry.Standing == nodepb.Standing_OUT {
		c.nodeRemoved(scheduler, entry.Node)
	}
}

// nodeRemoved marks the accepted attempts on a node as lost, since the scheduler has been told that they no longer run.
func (c *checker) nodeRemoved(scheduler, node string) {
	c.attemptsLost(scheduler, func(other string) bool { return other == node })
}

// attemptsLost marks the accepted attempts of all incarnations of a scheduler on the removed nodes as lost.
func (c *checker) attemptsLost(scheduler string, isRemoved func(node string) bool) {
	for _, attempt := range c.attempts {
		if attempt.scheduler == scheduler && attempt.phase == accepted && isRemoved(attempt.node) {
			c.transition(attempt.id, lost)
		}
	}
}

// sameDomain reports whether two nodes are in the same topology domain of a level (machine, cell, zone or everywhere),
// according to one scheduler's views of them.
func sameDomain(level string, view, otherView *nodeView, node, otherNode string) bool {
	switch level {
	case domainMachine:
		return node == otherNode
	case domainCell:
		return view.cell == otherView.cell
	case domainZone:
		return view.zone == otherView.zone
	}
	return level == domainEverywhere
}
