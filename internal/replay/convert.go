package replay

import "flaxshelf.example/flaxshelf"

// convertAll converts each element; nil stays nil.
func convertAll[From, To any](from []From, convert func(From) To) []To {
	if from == nil {
		return nil
	}
	to := make([]To, len(from))
	for i := range from {
		to[i] = convert(from[i])
	}
	return to
}

func classRecordOf(c flaxshelf.Class) classRecord {
	return classRecord{
		Name:         c.Name,
		Effect:       int(c.Idempotency),
		Group:        int(c.KeyDomain),
		Window:       c.KeyTTL,
		Aim:          c.LatencyObjective,
		Worth:        c.PriorityWeight,
		LateWorth:    c.LateStartWeight,
		StartSeconds: c.StartValueSeconds,
		Calm:         c.FullServiceUtilization,
		Fade:         c.ServiceFadeRange,
		Kind:         c.Kind,
		Priority:     c.Priority,
		Spread:       int(c.SpreadDomain),
		Most:         c.MaxPerDomain,
	}
}

func (r classRecord) class() flaxshelf.Class {
	return flaxshelf.Class{
		Name:                   r.Name,
		Idempotency:            flaxshelf.Idempotency(r.Effect),
		KeyDomain:              flaxshelf.TopologyDomain(r.Group),
		KeyTTL:                 r.Window,
		LatencyObjective:       r.Aim,
		PriorityWeight:         r.Worth,
		LateStartWeight:        r.LateWorth,
		StartValueSeconds:      r.StartSeconds,
		FullServiceUtilization: r.Calm,
		ServiceFadeRange:       r.Fade,
		Kind:                   r.Kind,
		Priority:               r.Priority,
		SpreadDomain:           flaxshelf.TopologyDomain(r.Spread),
		MaxPerDomain:           r.Most,
	}
}

func kindRecordOf(k flaxshelf.Kind) kindRecord {
	return kindRecord{
		Name:   k.Name,
		Cores:  k.Cores,
		Memory: k.Memory,
	}
}

func (r kindRecord) kind() flaxshelf.Kind {
	return flaxshelf.Kind{
		Name:   r.Name,
		Cores:  r.Cores,
		Memory: r.Memory,
	}
}

func tenantRecordOf(t flaxshelf.Tenant) tenantRecord {
	return tenantRecord{
		Name:       t.Name,
		Share:      t.QuotaFraction,
		PerSecond:  t.TasksPerSecond,
		QuotaCores: t.QuotaCores,
	}
}

func (r tenantRecord) tenant() flaxshelf.Tenant {
	return flaxshelf.Tenant{
		Name:           r.Name,
		QuotaFraction:  r.Share,
		TasksPerSecond: r.PerSecond,
		QuotaCores:     r.QuotaCores,
	}
}

func pricesRecordOf(p flaxshelf.Prices) pricesRecord {
	return pricesRecord{
		CrossZone:     p.CrossZone,
		Waste:         p.Waste,
		Probe:         p.HealthCheck,
		Message:       p.Gossip,
		Moves:         p.Migration,
		Discovery:     p.Discovery,
		Fleet:         p.Fleet,
		Refused:       p.Rejection,
		EvictionMoves: p.EvictionMigrations,
	}
}

func (r pricesRecord) prices() flaxshelf.Prices {
	return flaxshelf.Prices{
		CrossZone:          r.CrossZone,
		Waste:              r.Waste,
		HealthCheck:        r.Probe,
		Gossip:             r.Message,
		Migration:          r.Moves,
		Discovery:          r.Discovery,
		Fleet:              r.Fleet,
		Rejection:          r.Refused,
		EvictionMigrations: r.EvictionMoves,
	}
}

func configRecordOf(c flaxshelf.Config) configRecord {
	return configRecord{
		Index:          c.Index,
		Schedulers:     c.Schedulers,
		Zone:           c.Zone,
		Classes:        convertAll(c.Classes, classRecordOf),
		Kinds:          convertAll(c.Kinds, kindRecordOf),
		Tenants:        convertAll(c.Tenants, tenantRecordOf),
		OverShareWorth: c.OverQuotaWeight,
		Prices:         pricesRecordOf(c.Prices),
		AcceptCores:    c.CoreOvercommit,
		AcceptMemory:   c.MemoryOvercommit,
		RunsWhenPlaced: c.PlacedWhenRunning,
		Preempts:       c.Preempts,
		ListsFree:      c.ListsFreeCapacity,
		ReportsUsed:    c.ReportsUsage,
		DiscoveryAsks:  c.DiscoveryOnRequest,
		MaxAttempts:    c.MaxAttempts,
		SecondCopies:   c.HedgedRequests,
		CanWithdraw:    c.CanCancel,
		CanProbe:       c.CanHealthCheck,
		CanMessage:     c.CanGossip,
		CanRetryAfter:  c.CanRetryAfter,
		MaxRetryAfter:  c.MaxRetryAfter,
		Tick:           c.Tick,
		ConnectTimeout: c.ConnectTimeout,
		AnswerSlack:    c.AnswerSlack,
		DrainGrace:     c.DrainGrace,
		AskWithin:      c.DiscoveryPollDeadline,
		ColdFor:        c.SlowStartDuration,
		FallWindow:     c.OverloadWindow,
		ColdOffers:     c.SlowStartBudget,
	}
}

func (r configRecord) config() flaxshelf.Config {
	return flaxshelf.Config{
		Index:                 r.Index,
		Schedulers:            r.Schedulers,
		Zone:                  r.Zone,
		Classes:               convertAll(r.Classes, classRecord.class),
		Kinds:                 convertAll(r.Kinds, kindRecord.kind),
		Tenants:               convertAll(r.Tenants, tenantRecord.tenant),
		OverQuotaWeight:       r.OverShareWorth,
		Prices:                r.Prices.prices(),
		CoreOvercommit:        r.AcceptCores,
		MemoryOvercommit:      r.AcceptMemory,
		PlacedWhenRunning:     r.RunsWhenPlaced,
		Preempts:              r.Preempts,
		ListsFreeCapacity:     r.ListsFree,
		ReportsUsage:          r.ReportsUsed,
		DiscoveryOnRequest:    r.DiscoveryAsks,
		MaxAttempts:           r.MaxAttempts,
		HedgedRequests:        r.SecondCopies,
		CanCancel:             r.CanWithdraw,
		CanHealthCheck:        r.CanProbe,
		CanGossip:             r.CanMessage,
		CanRetryAfter:         r.CanRetryAfter,
		MaxRetryAfter:         r.MaxRetryAfter,
		Tick:                  r.Tick,
		ConnectTimeout:        r.ConnectTimeout,
		AnswerSlack:           r.AnswerSlack,
		DrainGrace:            r.DrainGrace,
		DiscoveryPollDeadline: r.AskWithin,
		SlowStartDuration:     r.ColdFor,
		OverloadWindow:        r.FallWindow,
		SlowStartBudget:       r.ColdOffers,
	}
}

func taskRecordOf(t flaxshelf.Task) taskRecord {
	return taskRecord{
		ID:         t.ID,
		Key:        t.Key,
		Service:    t.Service,
		Class:      t.Class,
		Tenant:     t.Tenant,
		Cores:      t.Cores,
		Memory:     t.Memory,
		Life:       t.ExpectedRuntime,
		ValidUntil: t.Deadline,
		Again:      t.Retry,
	}
}

func (r taskRecord) task() flaxshelf.Task {
	return flaxshelf.Task{
		ID:              r.ID,
		Key:             r.Key,
		Service:         r.Service,
		Class:           r.Class,
		Tenant:          r.Tenant,
		Cores:           r.Cores,
		Memory:          r.Memory,
		ExpectedRuntime: r.Life,
		Deadline:        r.ValidUntil,
		Retry:           r.Again,
	}
}

func machineRecordOf(m flaxshelf.Machine) machineRecord {
	return machineRecord{
		ID:         m.ID,
		Kind:       m.Kind,
		Zone:       m.Zone,
		Cell:       m.Cell,
		State:      int(m.State),
		Started:    m.Started,
		FreeCores:  m.FreeCores,
		FreeMemory: m.FreeMemory,
	}
}

func (r machineRecord) machine() flaxshelf.Machine {
	return flaxshelf.Machine{
		ID:         r.ID,
		Kind:       r.Kind,
		Zone:       r.Zone,
		Cell:       r.Cell,
		State:      flaxshelf.MachineState(r.State),
		Started:    r.Started,
		FreeCores:  r.FreeCores,
		FreeMemory: r.FreeMemory,
	}
}

func loadRecordOf(l flaxshelf.LoadReport) loadRecord {
	return loadRecord{
		Told:       l.Present,
		FreeCores:  l.FreeCores,
		FreeMemory: l.FreeMemory,
		HasCores:   l.HasCores,
		HasMemory:  l.HasMemory,
	}
}

func (r loadRecord) load() flaxshelf.LoadReport {
	return flaxshelf.LoadReport{
		Present:    r.Told,
		FreeCores:  r.FreeCores,
		FreeMemory: r.FreeMemory,
		HasCores:   r.HasCores,
		HasMemory:  r.HasMemory,
	}
}
