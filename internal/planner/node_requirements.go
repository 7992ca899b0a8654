package planner

import (
	"fmt"
	"slices"
)

// NoNumberOfNodes as NodeRequirement.Nodes means that no number of nodes is enough.
const Unattainable = -1

// NodeRequirement is the number of additional nodes of a kind that a goal requires.
type NodeRequirement struct {
	Kind            string
	AdditionalNodes int // additional nodes; NoNumberOfNodes if no number is enough
	Reason          string
}

// RequiredNodes returns, for each kind, how many additional nodes, distributed evenly over the zones, a multiple of the load
// requires. If a limit that nodes don't raise is met before, no number is enough, and the reason is that limit.
func RequiredNodes(f *Fleet, load []Class, multiple float64) []NodeRequirement {
	var kinds []NodeGroup
	var zones []string
	for _, g := range f.Groups {
		if !slices.ContainsFunc(kinds, func(kind NodeGroup) bool { return kind.Kind == g.Kind }) {
			kinds = append(kinds, g)
		}
		if !slices.Contains(zones, g.Zone) {
			zones = append(zones, g.Zone)
		}
	}
	var requirements []NodeRequirement
	for _, kind := range kinds {
		requirements = append(requirements, requiredNodesOfKind(f, load, multiple, kind, zones))
	}
	return requirements
}

// maxAddedNodes limits the search for a number of nodes.
const maxAddedNodes = 1 << 17

// requiredNodesOfKind doubles the number of nodes until the goal is met, and then narrows it down.
func requiredNodesOfKind(f *Fleet, load []Class, multiple float64, kind NodeGroup, zones []string) NodeRequirement {
	firstLimit := func(added int) (limit Limit, goalMet bool) {
		limit = Limits(f.withNodes(added, kind, zones), load)[0]
		return limit, limit.LoadMultiple >= multiple
	}
	enough := 0
	for {
		limit, goalMet := firstLimit(enough)
		if goalMet {
			break
		}
		if !limit.RaisedByNodes || enough >= maxAddedNodes {
			return NodeRequirement{Kind: kind.Kind, AdditionalNodes: Unattainable, Reason: limit.String()}
		}
		enough = max(2*enough, 1)
	}
	low := enough / 2
	for low < enough {
		middle := (low + enough) / 2
		if _, goalMet := firstLimit(middle); goalMet {
			enough = middle
		} else {
			low = middle + 1
		}
	}
	reason := "the goal is met with the present nodes"
	if enough > 0 {
		limit, _ := firstLimit(enough - 1)
		reason = "with one fewer: " + limit.String()
	}
	return NodeRequirement{Kind: kind.Kind, AdditionalNodes: enough, Reason: reason}
}

// withNodes returns the fleet with additional nodes of a kind, distributed evenly over the zones.
func (f *Fleet) withNodes(count int, kind NodeGroup, zones []string) *Fleet {
	larger := *f
	larger.Groups = slices.Clone(f.Groups)
	for i, zone := range zones {
		inZone := count / len(zones)
		if i < count%len(zones) {
			inZone++
		}
		if inZone > 0 {
			group := kind
			group.Zone, group.Count, group.Name = zone, inZone, "more"
			larger.Groups = append(larger.Groups, group)
		}
	}
	return &larger
}

// Replacement is the cost of replacing nodes at the same time.
type ReplacementCost struct {
	OffersPerSecond   float64 // offers that a new node gets in slow start, from all schedulers
	SlowStartFraction float64 // fraction of the fleet's nodes that are in slow start
	Reason            string
}

// windowMargin is the factor by which schedulers extend the overload window.
const overloadWindowMargin = 1.5

// ReplacementCost returns the cost of replacing a number of nodes at the same time: while they are in slow start, schedulers
// send them no more offers than the slow-start budget.
func (f *Fleet) ReplacementCost(nodes int) ReplacementCost {
	offersPerSecond := 0.0
	if f.OverloadWindowSeconds > 0 {
		offersPerSecond = f.SlowStartBudget / (overloadWindowMargin * f.OverloadWindowSeconds)
	}
	return ReplacementCost{
		OffersPerSecond:   offersPerSecond,
		SlowStartFraction: float64(min(nodes, f.NodeCount())) / float64(max(f.NodeCount(), 1)),
		Reason: fmt.Sprintf("%d nodes are in slow start for %.3gs and get %.3g offers a second each", nodes,
			f.SlowStartSeconds, offersPerSecond),
	}
}
