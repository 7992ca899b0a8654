package plancheck

import (
	"flaxshelf.example/flaxshelf/internal/planner"
	"flaxshelf.example/flaxshelf/internal/testbed/scenario"
)

// placementsPerSecond is half of the measured throughput of one scheduler with 33 nodes, see docs/results.md.
const placementsPerSecond = 10000

// Model returns a day's fleet and load in the planner's terms.
func PlannerInput(day *scenario.Day) (*planner.Fleet, []planner.Class) {
	var load []planner.Class
	for i := range day.Load {
		load = append(load, plannerClass(day, &day.Load[i]))
	}
	return plannerFleet(day), load
}

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
		group := planner.NodeGroup{Name: g.Name, Kind: g.Kind, Zone: g.Zone, Cell: g.Cell, Count: g.Count}
		for _, kind := range day.Kinds {
			if kind.Name == g.Kind {
				group.Cores, group.Memory = kind.Cores, kind.Memory
			}
		}
		fleet.Groups = append(fleet.Groups, group)
	}
	return fleet
}

// classOf returns one stream of a day's load, with the defaults of its class.
func plannerClass(day *scenario.Day, stream *scenario.Load) planner.Class {
	class := day.Class(stream.Class)
	return planner.Class{
		Name:               stream.Class,
		JobsPerSecond:      stream.PerSecond,
		MeanRuntimeSeconds: (stream.Runtime[0].Duration() + stream.Runtime[1].Duration()).Seconds() / 2,
		Cores:              positiveOr(stream.Cores, class.Cores),
		Memory:             positiveOr(stream.Memory, class.Memory),
		CoreUsage:          mean(day.Behaviour.CoreUsageRange),
		MemoryUsage:        mean(day.Behaviour.MemoryUsageRange),
		Services:           stream.Services,
		SpreadDomain:       class.SpreadDomain,
		MaxPerDomain:       class.MaxPerDomain,
	}
}

func mean(bounds [2]float64) float64 { return (bounds[0] + bounds[1]) / 2 }

// orDefault returns value if it is above zero, and fallback otherwise.
func positiveOr(value, fallback float64) float64 {
	if value > 0 {
		return value
	}
	return fallback
}
