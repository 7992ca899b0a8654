package plancheck

import (
	"flaxshelf.example/flaxshelf/internal/planner"
	"flaxshelf.example/flaxshelf/internal/testbed/scenario"
)

// placementsPerSecond is half of the measured throughput of one scheduler with 33 nodes; see docs/results.md.
const placementsPerSecond = 10000

// PlannerInput returns the fleet and the load of a day in the planner's types.
func PlannerInput(day *scenario.Day) (*planner.Fleet, []planner.Class) {
	var classes []planner.Class
	for i := range day.Loads {
		classes = append(classes, plannerClass(day, &day.Loads[i]))
	}
	return plannerFleet(day), classes
}

// plannerFleet returns the fleet of a day, with the limits that follow from its rules and the behaviour of its nodes.
func plannerFleet(day *scenario.Day) *planner.Fleet {
	behaviour := &day.Behaviour
	fleet := &planner.Fleet{
		Schedulers:            day.Schedulers,
		CoreOvercommit:        day.Rules.CoreOvercommit,
		MemoryOvercommit:      day.Rules.MemoryOvercommit,
		OfferReviewSeconds:    behaviour.OfferReviewTime.Duration().Seconds(),
		StartSlots:            behaviour.StartSlots,
		CachedStartSeconds:    behaviour.CachedStartTime.Duration().Seconds(),
		UncachedStartFactor:   behaviour.UncachedStartFactor,
		SlowStartBudget:       day.Rules.SlowStartBudget,
		OverloadWindowSeconds: day.Rules.OverloadWindow.Duration().Seconds(),
		SlowStartSeconds:      day.Rules.SlowStartDuration.Duration().Seconds(),
		PlacementsPerSecond:   placementsPerSecond,
		MaxAttempts:           day.Rules.MaxAttempts,
	}
	for _, g := range day.Fleet {
		group := planner.NodeGroup{Name: g.Name, Kind: g.MachineKind, Zone: g.Zone, Cell: g.Cell, Count: g.Count}
		for _, kind := range day.MachineKinds {
			if kind.Name == g.MachineKind {
				group.Cores, group.Memory = kind.Cores, kind.Memory
			}
		}
		fleet.Groups = append(fleet.Groups, group)
	}
	return fleet
}

// plannerClass returns one entry of a day's load. Resource requests that it does not set are those of its class.
func plannerClass(day *scenario.Day, stream *scenario.Load) planner.Class {
	class := day.Class(stream.Class)
	return planner.Class{
		Name:               stream.Class,
		JobsPerSecond:      stream.PerSecond,
		MeanRuntimeSeconds: (stream.RuntimeBounds[0].Duration() + stream.RuntimeBounds[1].Duration()).Seconds() / 2,
		Cores:              positiveOr(stream.Cores, class.Cores),
		Memory:             positiveOr(stream.Memory, class.Memory),
		CoreUsage:          mean(day.Behaviour.CoreUsageRange),
		MemoryUsage:        mean(day.Behaviour.MemoryUsageRange),
		Services:           stream.Services,
		SpreadDomain:       class.SpreadDomain,
		MaxPerDomain:       class.MaxPerDomain,
	}
}

// mean returns the middle of a range.
func mean(bounds [2]float64) float64 { return (bounds[0] + bounds[1]) / 2 }

// positiveOr returns value if it is above zero, and fallback otherwise.
func positiveOr(value, fallback float64) float64 {
	if value > 0 {
		return value
	}
	return fallback
}
