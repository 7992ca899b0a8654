package benchadapter

import (
	"fmt"

	"flaxshelf.example/flaxshelf"
)

// idempotencies are the kinds of idempotency by their names in the settings.
var idempotencies = map[string]flaxshelf.Idempotency{
	"read_like": flaxshelf.Idempotent, "idempotency_key": flaxshelf.IdempotentByKey, "non_idempotent": flaxshelf.NonIdempotent,
}

// topologyDomains are the topology domains by their names in the settings.
var topologyDomains = map[string]flaxshelf.TopologyDomain{
	"off": flaxshelf.NoDomain, "machine": flaxshelf.MachineDomain, "cell": flaxshelf.CellDomain,
	"zone": flaxshelf.ZoneDomain, "all": flaxshelf.FleetDomain,
}

// Names are the names in the settings of an instance, as indices of its Config. They are only read after Settings.
type Names struct{ Class, Kind, Tenant map[string]int }

// Settings decodes settings that are given as path=value pairs, the same for the bench's first message and for a
// configuration that holds them as a JSON object. Keys that this version doesn't know are skipped. The error is a
// ProtocolError, whose Field is the path.
func Settings(pairs []string) (flaxshelf.Config, *Names, error) {
	f := &fields{pairs: pairs, names: noNames}
	config, names := decodeConfig(f)
	return config, names, f.err
}

// decodeConfig decodes the pairs of an UP line.
func decodeConfig(f *fields) (flaxshelf.Config, *Names) {
	config := flaxshelf.Config{
		Index:      int(f.integer("index", optional)),
		Schedulers: int(f.integer("balancers", optional)),
		Zone:       f.text("zone", optional),
	}
	setPlacement(&config, f)
	setCapabilities(&config, f)
	setTimings(&config, f)
	config.Prices = decodePrices(f)
	config.Kinds = decodeKinds(f)
	config.Classes = decodeClasses(f)
	config.Tenants = decodeTenants(f)
	return config, indexNames(&config)
}

// indexNames returns the indices of all names; the last of several that are alike.
func indexNames(config *flaxshelf.Config) *Names {
	names := &Names{Class: map[string]int{}, Kind: map[string]int{}, Tenant: map[string]int{}}
	for i := range config.Kinds {
		names.Kind[config.Kinds[i].Name] = i
	}
	for i := range config.Classes {
		names.Class[config.Classes[i].Name] = i
	}
	for i := range config.Tenants {
		names.Tenant[config.Tenants[i].Name] = i
	}
	return names
}

// setPlacement decodes how tasks are placed and machines report on them.
func setPlacement(config *flaxshelf.Config, f *fields) {
	config.OverQuotaWeight = f.number("over_share_worth")
	config.CoreOvercommit = f.number("specifics.admit_cores")
	config.MemoryOvercommit = f.number("specifics.memory_multiple")
	config.PlacedWhenRunning = f.text("specifics.confirms", optional) == "running"
	config.Preempts = f.boolean("specifics.pushes_out")
	config.ListsFreeCapacity = f.boolean("specifics.shows_free")
	config.ReportsUsage = f.text("specifics.measured_by", optional) == "used"
	config.DiscoveryOnRequest = f.text("discovery", optional) == "on_request"
}

// setCapabilities decodes what the platform can do.
func setCapabilities(config *flaxshelf.Config, f *fields) {
	config.MaxAttempts = int(f.integer("caps.most_tries", optional))
	config.HedgedRequests = f.boolean("caps.second_copies")
	config.CanCancel = f.boolean("caps.cancel")
	config.CanHealthCheck = f.boolean("caps.probes")
	config.CanGossip = f.boolean("caps.peers")
	config.CanRetryAfter = f.boolean("caps.retry_after")
	config.MaxRetryAfter = f.duration("caps.max_retry_after_ns", optional)
	config.ConnectTimeout = f.duration("caps.connect_timeout_ns", optional)
}

// setTimings decodes intervals, the times that the platform demands, and the budget of slow starts.
func setTimings(config *flaxshelf.Config, f *fields) {
	config.Tick = f.duration("round_ns", optional)
	config.AnswerSlack = f.duration("obligations.answer_slack_ns", optional)
	config.DrainGrace = f.duration("obligations.stop_sending_within_ns", optional)
	config.DiscoveryPollDeadline = f.duration("obligations.ask_within_ns", optional)
	config.SlowStartDuration = f.duration("obligations.cold_ns", optional)
	config.OverloadWindow = f.duration("obligations.fall_ns", optional)
	config.SlowStartBudget = f.number("specifics.fresh_offers")
}

func decodePrices(f *fields) flaxshelf.Prices {
	return flaxshelf.Prices{
		CrossZone:          f.number("prices.cross_zone"),
		Waste:              f.number("prices.waste"),
		HealthCheck:        f.number("prices.probe"),
		Gossip:             f.number("prices.peer"),
		Migration:          f.number("prices.moves"),
		Discovery:          f.number("prices.discovery"),
		Fleet:              f.number("prices.fleet"),
		Rejection:          f.number("specifics.refusal_fee"),
		EvictionMigrations: f.number("specifics.eviction_as_moves"),
	}
}

func decodeKinds(f *fields) (kinds []flaxshelf.Kind) {
	for i, name := range f.list("kinds") {
		kinds = append(kinds, flaxshelf.Kind{Name: name,
			Cores: f.numberAt("specifics.kind_cores", i, 0), Memory: f.numberAt("specifics.mem_of_kind", i, 0)})
	}
	return kinds
}

func decodeClasses(f *fields) (classes []flaxshelf.Class) {
	for i := range f.count("categories.count") {
		classes = append(classes, decodeClass(f, i))
	}
	return classes
}

func decodeClass(f *fields, i int) flaxshelf.Class {
	path := fmt.Sprintf("categories.%d.", i)
	class := flaxshelf.Class{
		Name:                   f.text(path+"name", required),
		Idempotency:            lookup(f, path+"effect", idempotencies, flaxshelf.NonIdempotent),
		KeyDomain:              lookup(f, path+"key_scope", topologyDomains, flaxshelf.FleetDomain),
		KeyTTL:                 f.duration(path+"key_ttl_ns", optional),
		LatencyObjective:       f.duration(path+"objective_ns", optional),
		PriorityWeight:         f.number(path + "worth"),
		LateStartWeight:        f.number(path + "late_worth"),
		StartValueSeconds:      f.numberAt("specifics.start_seconds", i, 0),
		FullServiceUtilization: f.numberAt("specifics.class_calm", i, 1),
		ServiceFadeRange:       f.numberAt("specifics.fade_span", i, 1),
		Kind:                   int(f.numberAt("specifics.kind_by_class", i, -1)),
		Priority:               int(f.numberAt("specifics.priority_by_class", i, 0)),
		MaxPerDomain:           int(f.numberAt("specifics.together_max", i, 0)),
	}
	class.SpreadDomain = decodeSpreadDomain(f, i)
	return class
}

// decodeSpreadDomain decodes the domain over which a class spreads; none where the list is too short.
func decodeSpreadDomain(f *fields, i int) flaxshelf.TopologyDomain {
	const name = "specifics.spread_over"
	list := f.list(name)
	if i >= len(list) {
		return flaxshelf.NoDomain
	}
	domain, ok := topologyDomains[list[i]]
	if !ok || domain == flaxshelf.FleetDomain {
		f.fail(name, list[i])
	}
	return domain
}

func decodeTenants(f *fields) (tenants []flaxshelf.Tenant) {
	for i := range f.count("customers.count") {
		path := fmt.Sprintf("customers.%d.", i)
		tenants = append(tenants, flaxshelf.Tenant{Name: f.text(path+"name", required),
			QuotaFraction: f.number(path + "fraction"), TasksPerSecond: f.number(path + "quota_per_s"),
			QuotaCores: f.numberAt("specifics.quota_cores", i, 0)})
	}
	return tenants
}
