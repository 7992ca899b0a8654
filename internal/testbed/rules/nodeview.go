package rules

import (
	"time"

	"flaxshelf.example/flaxshelf/internal/codec/nodeframe/nodepb"
)

// nodeView is what a scheduler was notified of a node.
type nodeView struct {
	membership      nodepb.Standing
	membershipSince time.Duration // when it ceased to be an active member
	zone            string
	cell            int32
	listedStart     int64 // when the node came up by the inventory, in nanoseconds of Unix time; 0: not known
	reportedStart   int64 // the same by the node itself
}

// startedAt is when the node came up by the later report of the two, in nanoseconds of Unix time; 0: not known.
func (v *nodeView) startedAt() int64 { return max(v.listedStart, v.reportedStart) }

// setMembership notes a change of membership and, for one that ends, its time.
func (v *nodeView) setMembership(membership nodepb.Standing, now time.Duration) {
	if membership != nodepb.Standing_IN && v.membership == nodepb.Standing_IN {
		v.membershipSince = now
	}
	v.membership = membership
}

var membershipNames = map[nodepb.Standing]string{
	nodepb.Standing_IN:       "in",
	nodepb.Standing_DRAINING: "draining",
	nodepb.Standing_OUT:      "out",
}

// view returns what a scheduler was notified of a node. Before the first notification the node is no member.
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

// listingDelivered takes a listing of the inventory as it reaches a scheduler.
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
	if entry.StartedUnixNs > view.listedStart && view.listedStart > 0 {
		c.nodeRemoved(scheduler, entry.Node) // a restarted node has no tasks of its former incarnation
	}
	view.setMembership(entry.Standing, c.now)
	view.zone, view.cell, view.listedStart = entry.Zone, entry.Cell, entry.StartedUnixNs
	if entry.Standing == nodepb.Standing_OUT {
		c.nodeRemoved(scheduler, entry.Node)
	}
}

// nodeRemoved loses the accepted attempts on a node: the scheduler was notified that they do not run any more.
func (c *checker) nodeRemoved(scheduler, node string) {
	for _, attempt := range c.sortedActive(scheduler) {
		if attempt.node == node && attempt.phase == accepted {
			c.transition(attempt.id, lost)
		}
	}
}

// sameDomain reports whether two nodes, with what a scheduler knows of them, are in one topology domain of a level.
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
