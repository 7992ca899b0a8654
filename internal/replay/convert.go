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
		Effect:       int(c.Effect),
		Group:        int(c.Group),
		Window:       c.Window,
		Aim:          c.Aim,
		Worth:        c.Worth,
		LateWorth:    c.LateWorth,
		StartSeconds: c.StartSeconds,
		Calm:         c.Calm,
		Fade:         c.Fade,
		Kind:         c.Kind,
		Priority:     c.Priority,
		Spread:       int(c.Spread),
		Most:         c.Most,
	}
}

func (r classRecord) class() flaxshelf.Class {
	return flaxshelf.Class{
		Name:         r.Name,
		Effect:       flaxshelf.Effect(r.Effect),
		Group:        flaxshelf.Extent(r.Group),
		Window:       r.Window,
		Aim:          r.Aim,
		Worth:        r.Worth,
		LateWorth:    r.LateWorth,
		StartSeconds: r.StartSeconds,
		Calm:         r.Calm,
		Fade:         r.Fade,
		Kind:         r.Kind,
		Priority:     r.Priority,
		Spread:       flaxshelf.Extent(r.Spread),
		Most:         r.Most,
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
		Share:      t.Share,
		PerSecond:  t.PerSecond,
		QuotaCores: t.QuotaCores,
	}
}

func (r tenantRecord) tenant() flaxshelf.Tenant {
	return flaxshelf.Tenant{
		Name:       r.Name,
		Share:      r.Share,
		PerSecond:  r.PerSecond,
		QuotaCores: r.QuotaCores,
	}
}

func pricesRecordOf(p flaxshelf.Prices) pricesRecord {
	return pricesRecord{
		CrossZone:     p.CrossZone,
		Waste:         p.Waste,
		Probe:         p.Probe,
		Message:       p.Message,
		Moves:         p.Moves,
		Discovery:     p.Discovery,
		Fleet:         p.Fleet,
		Refused:       p.Refused,
		EvictionMoves: p.EvictionMoves,
	}
}

func (r pricesRecord) prices() flaxshelf.Prices {
	return flaxshelf.Prices{
		CrossZone:     r.CrossZone,
		Waste:         r.Waste,
		Probe:         r.Probe,
		Message:       r.Message,
		Moves:         r.Moves,
		Discovery:     r.Discovery,
		Fleet:         r.Fleet,
		Refused:       r.Refused,
		EvictionMoves: r.EvictionMoves,
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
		OverShareWorth: c.OverShareWorth,
		Prices:         pricesRecordOf(c.Prices),
		AcceptCores:    c.AcceptCores,
		AcceptMemory:   c.AcceptMemory,
		RunsWhenPlaced: c.RunsWhenPlaced,
		Preempts:       c.Preempts,
		ListsFree:      c.ListsFree,
		ReportsUsed:    c.ReportsUsed,
		DiscoveryAsks:  c.DiscoveryAsks,
		MaxAttempts:    c.MaxAttempts,
		SecondCopies:   c.SecondCopies,
		CanWithdraw:    c.CanWithdraw,
		CanProbe:       c.CanProbe,
		CanMessage:     c.CanMessage,
		CanRetryAfter:  c.CanRetryAfter,
		MaxRetryAfter:  c.MaxRetryAfter,
		Tick:           c.Tick,
		ConnectTimeout: c.ConnectTimeout,
		AnswerSlack:    c.AnswerSlack,
		DrainGrace:     c.DrainGrace,
		AskWithin:      c.AskWithin,
		ColdFor:        c.ColdFor,
		FallWindow:     c.FallWindow,
		ColdOffers:     c.ColdOffers,
	}
}

func (r configRecord) config() flaxshelf.Config {
	return flaxshelf.Config{
		Index:          r.Index,
		Schedulers:     r.Schedulers,
		Zone:           r.Zone,
		Classes:        convertAll(r.Classes, classRecord.class),
		Kinds:          convertAll(r.Kinds, kindRecord.kind),
		Tenants:        convertAll(r.Tenants, tenantRecord.tenant),
		OverShareWorth: r.OverShareWorth,
		Prices:         r.Prices.prices(),
		AcceptCores:    r.AcceptCores,
		AcceptMemory:   r.AcceptMemory,
		RunsWhenPlaced: r.RunsWhenPlaced,
		Preempts:       r.Preempts,
		ListsFree:      r.ListsFree,
		ReportsUsed:    r.ReportsUsed,
		DiscoveryAsks:  r.DiscoveryAsks,
		MaxAttempts:    r.MaxAttempts,
		SecondCopies:   r.SecondCopies,
		CanWithdraw:    r.CanWithdraw,
		CanProbe:       r.CanProbe,
		CanMessage:     r.CanMessage,
		CanRetryAfter:  r.CanRetryAfter,
		MaxRetryAfter:  r.MaxRetryAfter,
		Tick:           r.Tick,
		ConnectTimeout: r.ConnectTimeout,
		AnswerSlack:    r.AnswerSlack,
		DrainGrace:     r.DrainGrace,
		AskWithin:      r.AskWithin,
		ColdFor:        r.ColdFor,
		FallWindow:     r.FallWindow,
		ColdOffers:     r.ColdOffers,
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
		Life:       t.Life,
		ValidUntil: t.ValidUntil,
		Again:      t.Again,
	}
}

func (r taskRecord) task() flaxshelf.Task {
	return flaxshelf.Task{
		ID:         r.ID,
		Key:        r.Key,
		Service:    r.Service,
		Class:      r.Class,
		Tenant:     r.Tenant,
		Cores:      r.Cores,
		Memory:     r.Memory,
		Life:       r.Life,
		ValidUntil: r.ValidUntil,
		Again:      r.Again,
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
		State:      flaxshelf.State(r.State),
		Started:    r.Started,
		FreeCores:  r.FreeCores,
		FreeMemory: r.FreeMemory,
	}
}

func loadRecordOf(l flaxshelf.Load) loadRecord {
	return loadRecord{
		Told:       l.Told,
		FreeCores:  l.FreeCores,
		FreeMemory: l.FreeMemory,
		HasCores:   l.HasCores,
		HasMemory:  l.HasMemory,
	}
}

func (r loadRecord) load() flaxshelf.Load {
	return flaxshelf.Load{
		Told:       r.Told,
		FreeCores:  r.FreeCores,
		FreeMemory: r.FreeMemory,
		HasCores:   r.HasCores,
		HasMemory:  r.HasMemory,
	}
}
