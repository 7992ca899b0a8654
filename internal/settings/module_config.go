package settings

import (
	"time"

	"flaxshelf.example/flaxshelf"
	"flaxshelf.example/flaxshelf/internal/scheduler"
)

// discoveryPollDeadline is how long the inventory may take to answer before the placement module polls it again.
const discoveryPollDeadline = 10 * time.Second

// topologyDomains maps the values of the settings `group` and `spread` to those of the placement module.
var topologyDomains = map[string]flaxshelf.TopologyDomain{
	"":           flaxshelf.NoDomain,
	"machine":    flaxshelf.MachineDomain,
	"cell":       flaxshelf.CellDomain,
	"zone":       flaxshelf.ZoneDomain,
	"everywhere": flaxshelf.FleetDomain,
}

// ModuleIdempotency returns the idempotency of the class as a value of the placement module.
func (c *Class) ModuleIdempotency() flaxshelf.Idempotency {
	return idempotencies[CurrentIdempotency(c.Idempotency)]
}

// ModuleKeyDomain returns, as a value of the placement module, the domain whose machines drop a job if one of them has already
// received its idempotency key.
func (c *Class) ModuleKeyDomain() flaxshelf.TopologyDomain { return topologyDomains[c.KeyDomain] }

// ModuleSpreadDomain returns, as a value of the placement module, the domain in which MaxPerDomain limits the jobs of a service.
func (c *Class) ModuleSpreadDomain() flaxshelf.TopologyDomain { return topologyDomains[c.SpreadDomain] }

// ModuleConfig returns the configuration of the placement module.
func (s *Scheduler) ModuleConfig() flaxshelf.Config {
	r := &s.Rules
	c := flaxshelf.Config{
		Index:                 s.Index,
		Schedulers:            s.Schedulers,
		Zone:                  s.Zone,
		OverQuotaWeight:       s.OverQuotaWeight,
		Prices:                flaxshelf.Prices{CrossZone: s.CrossZonePrice, MachinesInUse: s.MachinesInUsePrice},
		CoreOvercommit:        r.CoreOvercommit,
		MemoryOvercommit:      r.MemoryOvercommit,
		PlacedWhenRunning:     s.PlacedWhenRunning,
		Preempts:              r.Preempts,
		ListsFreeCapacity:     s.ListsFreeCapacity,
		DiscoveryOnRequest:    true,
		MaxAttempts:           r.MaxAttempts,
		CanCancel:             true,
		CanHealthCheck:        true,
		Tick:                  s.Tick.Duration(),
		ConnectTimeout:        s.ConnectTimeout.Duration(),
		AnswerSlack:           r.AnswerSlack.Duration(),
		DrainGrace:            r.DrainGrace.Duration(),
		DiscoveryPollDeadline: discoveryPollDeadline,
		SlowStartDuration:     r.SlowStartDuration.Duration(),
		OverloadWindow:        r.OverloadWindow.Duration(),
		SlowStartBudget:       r.SlowStartBudget,
	}
	for _, k := range s.Kinds {
		c.Kinds = append(c.Kinds, flaxshelf.MachineKind{Name: k.Name, Cores: k.Cores, Memory: k.Memory})
	}
	for i := range s.Classes {
		c.Classes = append(c.Classes, s.moduleClass(&s.Classes[i]))
	}
	for _, t := range s.Tenants {
		c.Tenants = append(c.Tenants, flaxshelf.Tenant{Name: t.Name, QuotaFraction: t.QuotaFraction,
			TasksPerSecond: t.TasksPerSecond, QuotaCores: t.QuotaCores})
	}
	return c
}

// moduleClass returns a class as the placement module's configuration has it.
func (s *Scheduler) moduleClass(c *Class) flaxshelf.TaskClass {
	return flaxshelf.TaskClass{
		Name:                   c.Name,
		Idempotency:            c.ModuleIdempotency(),
		KeyDomain:              c.ModuleKeyDomain(),
		KeyTTL:                 c.KeyTTL.Duration(),
		LatencyObjective:       c.LatencyObjective.Duration(),
		PriorityWeight:         c.PriorityWeight,
		LateStartWeight:        c.LateStartWeight,
		StartValueSeconds:      c.StartValueSeconds,
		FullServiceUtilization: c.FullServiceUtilization,
		ServiceFadeRange:       c.ServiceFadeRange,
		Kind:                   s.KindIndex(c.Kind),
		Priority:               c.Priority,
		SpreadDomain:           c.ModuleSpreadDomain(),
		MaxPerDomain:           c.MaxPerDomain,
	}
}

// CoreConfig returns the configuration of the scheduler core for an incarnation that starts at startedAt. If no seed is set,
// startedAt is the seed of the random numbers.
func (s *Scheduler) CoreConfig(startedAt flaxshelf.Time) scheduler.Config {
	l := &s.Limits
	c := scheduler.Config{
		Module:    s.ModuleConfig(),
		Seed:      s.Seed,
		Name:      s.Name,
		StartedAt: startedAt,
		Limits: scheduler.Limits{
			MaxPending:     l.MaxPending,
			MaxRunning:     l.MaxRunning,
			MaxFinished:    l.MaxFinished,
			MaxSessions:    l.MaxSessions,
			Retention:      l.Retention.Duration(),
			SettleTime:     s.Rules.SettleTime.Duration(),
			StallThreshold: s.Rules.DrainGrace.Duration() / 2,
		},
	}
	if c.Seed == 0 {
		c.Seed = uint64(startedAt)
	}
	for i := range s.Classes {
		c.Limits.PlacementTimeouts = append(c.Limits.PlacementTimeouts, s.Classes[i].PlacementTimeout.Duration())
	}
	return c
}
