// Package fleet owns how the configured stand-ins become node models, on sockets and in the emulator alike. It must not
// run them.
package fleet

import (
	"slices"

	"flaxshelf.example/flaxshelf/internal/lab/standin/nodemodel"
	"flaxshelf.example/flaxshelf/internal/settings"
)

// Model is what the model of node i of a fleet is made of.
func Model(f *settings.Fleet, i int) nodemodel.Config {
	return NodeModel(f.Nodes[i], f.Kinds, f.Rules, f.Behaviour, f.Seed+uint64(i)*0x9e3779b9)
}

// NodeModel is what the model of a node is made of. A kind that the fleet doesn't name has no cores.
func NodeModel(n settings.Node, kinds []settings.Kind, r settings.Rules, b settings.Behaviour,
	seed uint64) nodemodel.Config {
	c := nodemodel.Config{
		Name:                   n.Name,
		Zone:                   n.Zone,
		CoreOvercommit:         r.CoreOvercommit,
		MemoryOvercommit:       r.MemoryOvercommit,
		OfferReviewTime:        b.OfferReviewTime.Duration(),
		MaxWaitingOffers:       b.MaxWaitingOffers,
		StartSlots:             b.StartSlots,
		CachedStartTime:        b.CachedStartTime.Duration(),
		UncachedStartFactor:    b.UncachedStartFactor,
		MaxCachedPrograms:      b.MaxCachedPrograms,
		SlowStartInitialRate:   b.SlowStartInitialRate,
		SlowStartDuration:      r.SlowStartDuration.Duration(),
		OverloadMultiple:       b.OverloadMultiple,
		OverloadWindow:         r.OverloadWindow.Duration(),
		SlowStartBudget:        r.SlowStartBudget,
		Preempts:               r.Preempts,
		DrainMigrationInterval: b.DrainMigrationInterval.Duration(),
		CoreUsageRange:         b.CoreUsageRange,
		MemoryUsageRange:       b.MemoryUsageRange,
		UsageReportInterval:    b.UsageReportInterval.Duration(),
		SendsLoadReports:       b.SendsLoadReports,
		DefaultRuntime:         b.DefaultRuntime.Duration(),
		Seed:                   seed,
	}
	if k := slices.IndexFunc(kinds, func(k settings.Kind) bool { return k.Name == n.Kind }); k >= 0 {
		c.Cores, c.Memory = kinds[k].Cores, kinds[k].Memory
	}
	if n.Warm {
		c.SlowStartDuration = 0
	}
	return c
}
