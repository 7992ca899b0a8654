// Package worlds draws random deployments and valid random events for tests of flaxshelf.Placer. A world only responds to the
// offers of a placer. It must not check them: that is up to the test that runs the world.
//
// Most resource amounts are integer multiples of a power of two. Floating-point sums of them are exact in any order, and
// requests that are equal to the free capacity occur.
package worlds

import (
	"fmt"
	"time"

	"flaxshelf.example/flaxshelf"
)

const millisecond = time.Millisecond

// DrawFunc returns a random integer from 0 to limit, both included. The name labels the value in test failures.
type DrawFunc func(limit int, name string) int

// boolean draws a truth value.
func (d DrawFunc) boolean(name string) bool { return d(1, name) == 1 }

// DrawConfig draws the configuration of a deployment. Pricing of machines, listed free capacity and discovery on request are
// each present or absent.
func DrawConfig(draw DrawFunc) flaxshelf.Config {
	cfg := flaxshelf.Config{
		Schedulers:            1 + draw(40, "schedulers"),
		Zone:                  "z0",
		Kinds:                 drawKinds(draw),
		Tenants:               []flaxshelf.Tenant{{Name: "a", QuotaFraction: 1, QuotaCores: 4}, {Name: "b", QuotaFraction: 1}},
		CoreOvercommit:        1 + float64(draw(4, "core overcommit"))/4,
		MemoryOvercommit:      1 + float64(draw(1, "memory overcommit"))/8,
		PlacedWhenRunning:     draw.boolean("placed when running"),
		ListsFreeCapacity:     draw.boolean("lists free capacity"),
		DiscoveryOnRequest:    draw.boolean("discovery on request"),
		CanCancel:             draw.boolean("can cancel"),
		MaxAttempts:           draw(3, "attempts"),
		Tick:                  2 * millisecond,
		ConnectTimeout:        100 * millisecond,
		DrainGrace:            time.Second,
		DiscoveryPollDeadline: time.Second,
		SlowStartDuration:     2 * time.Second,
		OverloadWindow:        time.Second,
		SlowStartBudget:       float64(1 + draw(40, "slow start budget")),
		OverQuotaWeight:       0.3,
	}
	cfg.Index = draw(cfg.Schedulers-1, "index")
	cfg.Prices.MachinesInUse = float64(draw(1, "fleet priced"))
	cfg.Prices.Migration = float64(draw(2, "migration price")) / 4
	cfg.Classes = drawClasses(draw, len(cfg.Kinds))
	return cfg
}

// drawKinds draws one to three kinds of machines. The third has as many cores as the second, but half the memory.
func drawKinds(draw DrawFunc) []flaxshelf.MachineKind {
	kinds := []flaxshelf.MachineKind{
		{Name: "small", Cores: 16, Memory: 50},
		{Name: "big", Cores: 64, Memory: 200},
		{Name: "wide", Cores: 64, Memory: 100},
	}
	return kinds[:1+draw(2, "further kinds")]
}

// drawClasses draws four classes of tasks, two of them idempotent. Keys expire after multiples of half a second, or so soon that
// many retries come just before or after the expiry.
func drawClasses(draw DrawFunc, kindCount int) (classes []flaxshelf.TaskClass) {
	ttlUnit := 500 * millisecond
	if draw.boolean("short keys") {
		ttlUnit = 30 * millisecond
	}
	for i, idempotency := range []flaxshelf.Idempotency{
		flaxshelf.Idempotent, flaxshelf.Idempotent, flaxshelf.IdempotentByKey, flaxshelf.NonIdempotent,
	} {
		classes = append(classes, flaxshelf.TaskClass{
			Name:             fmt.Sprint(i),
			Idempotency:      idempotency,
			KeyDomain:        flaxshelf.MachineDomain + flaxshelf.TopologyDomain(draw(3, "key domain")),
			KeyTTL:           time.Duration(1+draw(3, "key TTL")) * ttlUnit,
			LatencyObjective: 300 * millisecond,
			Kind:             draw(kindCount, "kind") - 1,
			SpreadDomain:     flaxshelf.TopologyDomain(draw(3, "spread domain")),
			MaxPerDomain:     1 + draw(12, "tasks per domain"),
		})
	}
	return classes
}
