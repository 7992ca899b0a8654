// Package fleetsettings decodes the settings that the platform and the bench (see cmd/benchadapter) pass to a scheduler, into a
// flaxshelf.Config and an index of the names in it. The platform passes a JSON object, the bench path=value pairs, where a path
// is the keys that lead to a value in the object, joined by dots.
//
// The CUE configuration files of `flaxshelf serve` are read by package settings instead.
package fleetsettings

import (
	"fmt"

	"flaxshelf.example/flaxshelf"
	"flaxshelf.example/flaxshelf/internal/textfields"
)

// idempotencies maps the values of the setting "effect" to kinds of idempotency.
var idempotencies = map[string]flaxshelf.Idempotency{
	"read_like": flaxshelf.Idempotent, "idempotency_key": flaxshelf.IdempotentByKey, "non_idempotent": flaxshelf.NonIdempotent,
}

// topologyDomains maps the values of the settings "key_scope" and "spread_over" to topology domains.
var topologyDomains = map[string]flaxshelf.TopologyDomain{
	"off": flaxshelf.NoDomain, "machine": flaxshelf.MachineDomain, "cell": flaxshelf.CellDomain,
	"zone": flaxshelf.ZoneDomain, "all": flaxshelf.FleetDomain,
}

// Decode decodes settings from fields that are named by their paths. Fields that this version does not know are ignored. The
// caller must check f.FirstError for invalid fields.
func Decode(f *textfields.Fields) (flaxshelf.Config, *NameIndex) {
	config := flaxshelf.Config{
		Index:      int(f.Integer("index")),
		Schedulers: int(f.Integer("balancers")),
		Zone:       f.Text("zone"),
	}
	decodePlacement(&config, f)
	decodeCapabilities(&config, f)
	decodeTimings(&config, f)
	config.Prices = decodePrices(f)
	config.Kinds = decodeKinds(f)
	config.Classes = decodeClasses(f)
	config.Tenants = decodeTenants(f)
	return config, newNameIndex(&config)
}

// decodePlacement decodes the settings of placement, preemption and discovery, and of the reports that machines send.
func decodePlacement(config *flaxshelf.Config, f *textfields.Fields) {
	config.OverQuotaWeight = f.Number("over_share_worth")
	config.CoreOvercommit = f.Number("specifics.admit_cores")
	config.MemoryOvercommit = f.Number("specifics.memory_multiple")
	config.PlacedWhenRunning = f.Text("specifics.confirms") == "running"
	config.Preempts = f.Boolean("specifics.pushes_out")
	config.ListsFreeCapacity = f.Boolean("specifics.shows_free")
	config.ReportsUsage = f.Text("specifics.measured_by") == "used"
	config.DiscoveryOnRequest = f.Text("discovery") == "on_request"
}

// decodeCapabilities decodes which operations the platform supports, and their limits.
func decodeCapabilities(config *flaxshelf.Config, f *textfields.Fields) {
	config.MaxAttempts = int(f.Integer("caps.most_tries"))
	config.HedgedRequests = f.Boolean("caps.second_copies")
	config.CanCancel = f.Boolean("caps.cancel")
	config.CanHealthCheck = f.Boolean("caps.probes")
	config.CanGossip = f.Boolean("caps.peers")
	config.CanRetryAfter = f.Boolean("caps.retry_after")
	config.MaxRetryAfter = f.Duration("caps.max_retry_after_ns")
	config.ConnectTimeout = f.Duration("caps.connect_timeout_ns")
}

// decodeTimings decodes the interval between steps, the time limits that the platform sets, and the slow-start budget.
func decodeTimings(config *flaxshelf.Config, f *textfields.Fields) {
	config.Tick = f.Duration("round_ns")
	config.AnswerSlack = f.Duration("obligations.answer_slack_ns")
	config.DrainGrace = f.Duration("obligations.stop_sending_within_ns")
	config.DiscoveryPollDeadline = f.Duration("obligations.ask_within_ns")
	config.SlowStartDuration = f.Duration("obligations.cold_ns")
	config.OverloadWindow = f.Duration("obligations.fall_ns")
	config.SlowStartBudget = f.Number("specifics.fresh_offers")
}

// decodePrices decodes the points that each kind of cost subtracts from the score of a run.
func decodePrices(f *textfields.Fields) flaxshelf.Prices {
	return flaxshelf.Prices{
		CrossZone:          f.Number("prices.cross_zone"),
		Waste:              f.Number("prices.waste"),
		HealthCheck:        f.Number("prices.probe"),
		Gossip:             f.Number("prices.peer"),
		Migration:          f.Number("prices.moves"),
		Discovery:          f.Number("prices.discovery"),
		MachinesInUse:      f.Number("prices.fleet"),
		Rejection:          f.Number("specifics.refusal_fee"),
		EvictionMigrations: f.Number("specifics.eviction_as_moves"),
	}
}

// decodeKinds decodes the kinds of machines. Cores and memory are in lists with an entry for each kind.
func decodeKinds(f *textfields.Fields) (kinds []flaxshelf.MachineKind) {
	for i, name := range f.List("kinds") {
		kinds = append(kinds, flaxshelf.MachineKind{Name: name,
			Cores: f.NumberAt("specifics.kind_cores", i, 0), Memory: f.NumberAt("specifics.mem_of_kind", i, 0)})
	}
	return kinds
}

// decodeClasses decodes the classes of tasks.
func decodeClasses(f *textfields.Fields) (classes []flaxshelf.TaskClass) {
	for i := range f.EntryCount("categories.count") {
		classes = append(classes, decodeClass(f, i))
	}
	return classes
}

// decodeClass decodes the class with index i. The settings below "specifics" are lists with an entry for each class; a class
// without an entry has the default.
func decodeClass(f *textfields.Fields, i int) flaxshelf.TaskClass {
	path := fmt.Sprintf("categories.%d.", i)
	class := flaxshelf.TaskClass{
		Name:                   f.RequiredText(path + "name"),
		Idempotency:            textfields.Enum(f, path+"effect", idempotencies, flaxshelf.NonIdempotent),
		KeyDomain:              textfields.Enum(f, path+"key_scope", topologyDomains, flaxshelf.FleetDomain),
		KeyTTL:                 f.Duration(path + "key_ttl_ns"),
		LatencyObjective:       f.Duration(path + "objective_ns"),
		PriorityWeight:         f.Number(path + "worth"),
		LateStartWeight:        f.Number(path + "late_worth"),
		StartValueSeconds:      f.NumberAt("specifics.start_seconds", i, 0),
		FullServiceUtilization: f.NumberAt("specifics.class_calm", i, 1),
		ServiceFadeRange:       f.NumberAt("specifics.fade_span", i, 1),
		Kind:                   int(f.NumberAt("specifics.kind_by_class", i, -1)),
		Priority:               int(f.NumberAt("specifics.priority_by_class", i, 0)),
		MaxPerDomain:           int(f.NumberAt("specifics.together_max", i, 0)),
	}
	class.SpreadDomain = decodeSpreadDomain(f, i)
	return class
}

// decodeSpreadDomain decodes the topology domain in which MaxPerDomain limits the class with index i. A class without an entry
// in the list has no such limit. The fleet is not a valid domain here.
func decodeSpreadDomain(f *textfields.Fields, i int) flaxshelf.TopologyDomain {
	const name = "specifics.spread_over"
	list := f.List(name)
	if i >= len(list) {
		return flaxshelf.NoDomain
	}
	domain, ok := topologyDomains[list[i]]
	if !ok || domain == flaxshelf.FleetDomain {
		f.RecordError(name, list[i], "must be off, machine, cell or zone")
	}
	return domain
}

// decodeTenants decodes the tenants.
func decodeTenants(f *textfields.Fields) (tenants []flaxshelf.Tenant) {
	for i := range f.EntryCount("customers.count") {
		path := fmt.Sprintf("customers.%d.", i)
		tenants = append(tenants, flaxshelf.Tenant{Name: f.RequiredText(path + "name"),
			QuotaFraction: f.Number(path + "fraction"), TasksPerSecond: f.Number(path + "quota_per_s"),
			QuotaCores: f.NumberAt("specifics.quota_cores", i, 0)})
	}
	return tenants
}
