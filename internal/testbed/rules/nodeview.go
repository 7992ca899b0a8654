package rules

import (
	"time"

	"flaxshelf.example/flaxshelf/internal/codec/nodeframe/nodepb"
)

// nodeView is what a scheduler was notified of about a node.
type nodeView struct {
	membership      nodepb.Standing
	membershipSince time.Duration // when the node ceased to be active
	zone            string
	cell            int32
	inventoryStart  int64 // start of the node as the inventory lists it, in nanoseconds of Unix time; zero means unknown
	reportedStart   int64 // the same as the node reports it
}

// startedAt returns the later of the two starts, in nanoseconds of Unix time; zero means unknown.
func (v *nodeView) startedAt() int64 { return max(v.inventoryStart, v.reportedStart) }

// setMembership sets the membership and, if the node ceases to be active, the time.
func (v *nodeView) setMembership(membership nodepb.Standing, now time.Duration) {
	if membership != nodepb.Standing_IN && v.membership == nodepb.Standing_IN {
		v.membershipSince = now
	}
	v.membership = membership
}

// view returns what a scheduler was notified of about a node. Before the first notification the node counts as removed.
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

// listingDelivered handles a listing of the inventory when it reaches a scheduler.
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
			c.nodeRemoved(scheduler, node)
		}
	}
}

func (c *checker) entryDelivered(scheduler string, entry *nodepb.Entry) {
	view := c.view(scheduler, entry.Node)
	if entry.StartedUnixNs > view.inventoryStart && view.inventoryStart > 0 {
		c.nodeRemoved(scheduler, entry.Node) // a restarted node has no tasks of its previous incarnation
	}
	view.setMembership(entry.Standing, c.now)
	view.zone, view.cell, view.inventoryStart = entry.Zone, entry.Cell, entry.StartedUnixNs
	if entry.Standing == nodepb.Standing_OUT {
		c.nodeRemoved(scheduler, entry.Node)
	}
}

// nodeRemoved marks the accepted attempts on a node as lost: the scheduler was notified that they no longer run.
func (c *checker) nodeRemoved(scheduler, node string) {
	for _, attempt := range c.sortedActive(scheduler) {
		if attempt.node == node && attempt.phase == accepted {
			c.transition(attempt.id, lost)
		}
	}
}

// sameDomain reports whether two nodes are in the same topology domain of a level, by the views of one scheduler.
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
