package benchadapter

import (
	"fmt"
	"strings"

	"flaxshelf.example/flaxshelf"
)

var effects = map[string]flaxshelf.Idempotency{
	"read_like": flaxshelf.Idempotent, "idempotency_key": flaxshelf.IdempotentByKey, "non_idempotent": flaxshelf.NonIdempotent,
}

var extents = map[string]flaxshelf.TopologyDomain{
	"off": flaxshelf.NoDomain, "machine": flaxshelf.MachineDomain, "cell": flaxshelf.CellDomain,
	"zone": flaxshelf.ZoneDomain, "all": flaxshelf.FleetDomain,
}

// list splits a setting that is a comma-joined list.
func (f *fields) list(name string) []string {
	s := f.text(name, false)
	if s == "" {
		return nil
	}
	return strings.Split(s, ",")
}

// nth reads item i of a list of numbers; absent where the list is too short.
func (f *fields) nth(name string, i int, absent float64) float64 {
	l := f.list(name)
	if i >= len(l) {
		return absent
	}
	return (&fields{serial: f.serial, pairs: []string{name + "=" + l[i]}}).into(f, name)
}

func (f *fields) into(parent *fields, name string) float64 {
	x := f.num(name, true)
	if f.err != nil && parent.err == nil {
		parent.err = f.err
	}
	return x
}

// Names are the words of one instance's settings, as indices of its Config.
type Names struct{ Class, Kind, Tenant map[string]int }

// Settings reads settings given as path=value pairs, the same for the bench's first message and for a configuration
// that holds the object as JSON. Keys that this version doesn't know are skipped.
func Settings(pairs []string) (flaxshelf.Config, *Names, error) {
	f := &fields{pairs: pairs}
	c, n := settings(f)
	return c, n, f.err
}

// settings reads the pairs of an UP line. Keys that this version doesn't know are skipped.
func settings(f *fields) (flaxshelf.Config, *Names) {
	n := &Names{Class: map[string]int{}, Kind: map[string]int{}, Tenant: map[string]int{}}
	c := flaxshelf.Config{
		Index: int(f.int("index", false)), Schedulers: int(f.int("balancers", false)),
		Zone:                  f.text("zone", false),
		OverQuotaWeight:       f.num("over_share_worth", false),
		CoreOvercommit:        f.num("specifics.admit_cores", false),
		MemoryOvercommit:      f.num("specifics.memory_multiple", false),
		PlacedWhenRunning:     f.text("specifics.confirms", false) == "running",
		Preempts:              f.flag("specifics.pushes_out"),
		ListsFreeCapacity:     f.flag("specifics.shows_free"),
		ReportsUsage:          f.text("specifics.measured_by", false) == "used",
		DiscoveryOnRequest:    f.text("discovery", false) == "on_request",
		MaxAttempts:           int(f.int("caps.most_tries", false)),
		HedgedRequests:        f.flag("caps.second_copies"),
		CanCancel:             f.flag("caps.cancel"),
		CanHealthCheck:        f.flag("caps.probes"),
		CanGossip:             f.flag("caps.peers"),
		CanRetryAfter:         f.flag("caps.retry_after"),
		MaxRetryAfter:         f.dur("caps.max_retry_after_ns", false),
		ConnectTimeout:        f.dur("caps.connect_timeout_ns", false),
		Tick:                  f.dur("round_ns", false),
		AnswerSlack:           f.dur("obligations.answer_slack_ns", false),
		DrainGrace:            f.dur("obligations.stop_sending_within_ns", false),
		DiscoveryPollDeadline: f.dur("obligations.ask_within_ns", false),
		SlowStartDuration:     f.dur("obligations.cold_ns", false),
		OverloadWindow:        f.dur("obligations.fall_ns", false),
		SlowStartBudget:       f.num("specifics.fresh_offers", false),
		Prices: flaxshelf.Prices{
			CrossZone: f.num("prices.cross_zone", false), Waste: f.num("prices.waste", false),
			HealthCheck: f.num("prices.probe", false), Gossip: f.num("prices.peer", false),
			Migration: f.num("prices.moves", false), Discovery: f.num("prices.discovery", false),
			Fleet: f.num("prices.fleet", false), Rejection: f.num("specifics.refusal_fee", false),
			EvictionMigrations: f.num("specifics.eviction_as_moves", false),
		},
	}
	for i, name := range f.list("kinds") {
		n.Kind[name] = i
		c.Kinds = append(c.Kinds, flaxshelf.Kind{Name: name,
			Cores: f.nth("specifics.kind_cores", i, 0), Memory: f.nth("specifics.mem_of_kind", i, 0)})
	}
	for i := range f.count("categories.count") {
		at := func(key string) string { return fmt.Sprintf("categories.%d.%s", i, key) }
		spread := f.list("specifics.spread_over")
		class := flaxshelf.Class{
			Name: f.text(at("name"), true), Idempotency: lookup(f, at("effect"), effects, flaxshelf.NonIdempotent),
			KeyDomain:        lookup(f, at("key_scope"), extents, flaxshelf.FleetDomain),
			KeyTTL:           f.dur(at("key_ttl_ns"), false),
			LatencyObjective: f.dur(at("objective_ns"), false), PriorityWeight: f.num(at("worth"), false),
			LateStartWeight:        f.num(at("late_worth"), false),
			StartValueSeconds:      f.nth("specifics.start_seconds", i, 0),
			FullServiceUtilization: f.nth("specifics.class_calm", i, 1), ServiceFadeRange: f.nth("specifics.fade_span", i, 1),
			Kind:         int(f.nth("specifics.kind_by_class", i, -1)),
			Priority:     int(f.nth("specifics.priority_by_class", i, 0)),
			MaxPerDomain: int(f.nth("specifics.together_max", i, 0)),
		}
		if i < len(spread) {
			place, ok := extents[spread[i]]
			if !ok || place == flaxshelf.FleetDomain {
				f.fail("specifics.spread_over", spread[i])
			}
			class.SpreadDomain = place
		}
		n.Class[class.Name] = i
		c.Classes = append(c.Classes, class)
	}
	for i := range f.count("customers.count") {
		at := func(key string) string { return fmt.Sprintf("customers.%d.%s", i, key) }
		t := flaxshelf.Tenant{Name: f.text(at("name"), true), QuotaFraction: f.num(at("fraction"), false),
			TasksPerSecond: f.num(at("quota_per_s"), false), QuotaCores: f.nth("specifics.quota_cores", i, 0)}
		n.Tenant[t.Name] = i
		c.Tenants = append(c.Tenants, t)
	}
	return c, n
}

// count reads the length of a list of objects; the line must hold at least one pair for each.
func (f *fields) count(name string) int {
	n := f.int(name, false)
	if n < 0 || n > int64(len(f.pairs)) {
		f.fail(name, fmt.Sprint(n))
		return 0
	}
	return int(n)
}
