package planner

import (
	"fmt"
	"slices"
)

// Unattainable as NodeRequirement.AdditionalNodes means that no number of additional nodes is sufficient.
const Unattainable = -1

// NodeRequirement is the number of additional nodes of one kind that the fleet needs to support a multiple of its load.
type NodeRequirement struct {
	Kind            string
	AdditionalNodes int // Unattainable if no number is sufficient
	Reason          string
}

// RequiredNodes returns, for each kind of node, how many additional nodes the fleet needs to support the given multiple of the
// load, if they are distributed evenly over the zones. The result is Unattainable, with the limit as the reason, if the load
// reaches a limit that nodes don't raise, or if maxAddedNodes are too few.
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

// maxAddedNodes bounds the search for the number of additional nodes.
const maxAddedNodes = 1 << 17

// requiredNodesOfKind returns the requirement of one kind. It doubles the number of additional nodes until the goal is met, and
// then finds the lowest sufficient number by binary search.
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
		reason = "with one node fewer: " + limit.String()
	}
	return NodeRequirement{Kind: kind.Kind, AdditionalNodes: enough, Reason: reason}
}

// withNodes returns a copy of the fleet with additional nodes of a kind, distributed evenly over the zones.
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

// ReplacementCost is the effect of replacing several nodes at the same time.
type ReplacementCost struct {
	OffersPerSecond   float64 // offers to each new node in slow start, from all schedulers together
	SlowStartFraction float64 // new nodes, all in slow start, as a fraction of the fleet's nodes
	Reason            string
}

// overloadWindowMargin is the factor by which schedulers extend the overload window when they count offers to a node in slow
// start.
const overloadWindowMargin = 1.5

// ReplacementCost returns the effect of replacing the given number of nodes at the same time: while the new nodes are in slow
// start, schedulers send them no more offers than the slow-start budget allows.
func (f *Fleet) ReplacementCost(nodes int) ReplacementCost {
	offersPerSecond := 0.0
	if f.OverloadWindowSeconds > 0 {
		offersPerSecond = f.SlowStartBudget / (overloadWindowMargin * f.OverloadWindowSeconds)
	}
	return ReplacementCost{
		OffersPerSecond:   offersPerSecond,
		SlowStartFraction: float64(min(nodes, f.NodeCount())) / float64(max(f.NodeCount(), 1)),
		Reason: fmt.Sprintf("%d nodes are in slow start for %.3gs and get %.3g offers per second each", nodes,
			f.SlowStartSeconds, offersPerSecond),
	}
}
