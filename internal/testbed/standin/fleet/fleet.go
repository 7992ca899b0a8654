// Package fleet converts the settings of a fleet of stand-in nodes to the configurations of their models. It does not run the
// nodes; it is shared by nodes on sockets and nodes in the emulator.
package fleet

import (
	"slices"

	"flaxshelf.example/flaxshelf/internal/settings"
	"flaxshelf.example/flaxshelf/internal/testbed/standin/nodemodel"
)

// seedStep is the difference between the seeds of successive nodes of a fleet, so that each node has its own.
const seedStep = 0x9e3779b9

// NodeConfigAt returns the configuration of the model of fleet.Nodes[index].
func NodeConfigAt(fleet *settings.Fleet, index int) nodemodel.Config {
	return NodeConfig(fleet.Nodes[index], fleet.Kinds, fleet.Rules, fleet.Behaviour, fleet.Seed+uint64(index)*seedStep)
}

// NodeConfig returns the configuration of the model of a node. A node whose kind is not in kinds gets no cores and no memory;
// a warm node gets no slow start.
func NodeConfig(
	node settings.Node, kinds []settings.Kind, rules settings.Rules, behaviour settings.Behaviour, seed uint64,
) nodemodel.Config {
	cfg := nodemodel.Config{
		Name:                   node.Name,
		Zone:                   node.Zone,
		CoreOvercommit:         rules.CoreOvercommit,
		MemoryOvercommit:       rules.MemoryOvercommit,
		OfferReviewTime:        behaviour.OfferReviewTime.Duration(),
		MaxWaitingOffers:       behaviour.MaxWaitingOffers,
		StartSlots:             behaviour.StartSlots,
		CachedStartTime:        behaviour.CachedStartTime.Duration(),
		UncachedStartFactor:    behaviour.UncachedStartFactor,
		MaxCachedPrograms:      behaviour.MaxCachedPrograms,
		SlowStartInitialRate:   behaviour.SlowStartInitialRate,
		SlowStartDuration:      rules.SlowStartDuration.Duration(),
		OverloadMultiple:       behaviour.OverloadMultiple,
		OverloadWindow:         rules.OverloadWindow.Duration(),
		SlowStartBudget:        rules.SlowStartBudget,
		Preempts:               rules.Preempts,
		DrainMigrationInterval: behaviour.DrainMigrationInterval.Duration(),
		CoreUsageRange:         behaviour.CoreUsageRange,
		MemoryUsageRange:       behaviour.MemoryUsageRange,
		UsageReportInterval:    behaviour.UsageReportInterval.Duration(),
		SendsLoadReports:       behaviour.SendsLoadReports,
		DefaultRuntime:         behaviour.DefaultRuntime.Duration(),
		Seed:                   seed,
	}
	kind := slices.IndexFunc(kinds, func(k settings.Kind) bool { return k.Name == node.Kind })
	if kind >= 0 {
		cfg.Cores, cfg.Memory = kinds[kind].Cores, kinds[kind].Memory
	}
	if node.SlowStartCompleted {
		cfg.SlowStartDuration = 0
	}
	return cfg
}
