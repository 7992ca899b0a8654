package plancheck

import (
	"flaxshelf.example/flaxshelf/internal/planner"
	"flaxshelf.example/flaxshelf/internal/testbed/scenario"
)

// placementsPerSecond is half of the measured throughput of one scheduler with 33 nodes, see docs/results.md.
const placementsPerSecond = 10000

// Model returns a day's fleet and load in the planner's terms.
func Model(day *scenario.Day) (*planner.Fleet, []planner.Class) {
	var load []planner.Class
	for i := range day.Loads {
		load = append(load, classOf(day, &day.Loads[i]))
	}
	return fleetOf(day), load
}

func fleetOf(day *scenario.Day) *planner.Fleet {
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

// classOf returns one stream of a day's load, with the defaults of its class.
func classOf(day *scenario.Day, stream *scenario.Load) planner.Class {
	class := day.Class(stream.Class)
	return planner.Class{
		Name:               stream.Class,
		JobsPerSecond:      stream.PerSecond,
		MeanRuntimeSeconds: (stream.RuntimeBounds[0].Duration() + stream.RuntimeBounds[1].Duration()).Seconds() / 2,
		Cores:              orDefault(stream.Cores, class.Cores),
		Memory:             orDefault(stream.Memory, class.Memory),
		CoreUsage:          mean(day.Behaviour.CoreUsageRange),
		MemoryUsage:        mean(day.Behaviour.MemoryUsageRange),
		Services:           stream.Services,
		SpreadDomain:       class.SpreadDomain,
		MaxPerDomain:       class.MaxPerDomain,
	}
}

func mean(bounds [2]float64) float64 { return (bounds[0] + bounds[1]) / 2 }

// orDefault returns value if it is above zero, and fallback otherwise.
func orDefault(value, fallback float64) float64 {
	if value > 0 {
		return value
	}
	return fallback
}
