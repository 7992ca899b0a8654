// Package fleet derives the configurations of node models from the settings of a stand-in fleet, for nodes on sockets and
// in the emulator. It does not run the nodes.
package fleet

import (
	"slices"

	"flaxshelf.example/flaxshelf/internal/settings"
	"flaxshelf.example/flaxshelf/internal/testbed/standin/nodemodel"
)

// seedStep separates the seeds of a fleet's nodes.
const seedStep = 0x9e3779b9

// Model returns the configuration of the model of node i of a fleet.
func NodeConfigAt(fleet *settings.Fleet, index int) nodemodel.Config {
	return NodeConfig(fleet.Nodes[index], fleet.Kinds, fleet.Rules, fleet.Behaviour, fleet.Seed+uint64(index)*seedStep)
}

// NodeModel returns the configuration of the model of a node. A node whose kind is not among kinds has no cores and no
// memory.
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
	if node.Warm {
		cfg.SlowStartDuration = 0
	}
	return cfg
}
