package fleetsettings

import (
	"reflect"
	"testing"

	"flaxshelf.example/flaxshelf"
	"flaxshelf.example/flaxshelf/internal/textfields"
)

// decodePairs decodes settings from path=value pairs, and returns the first error.
func decodePairs(pairs ...string) (flaxshelf.Config, *textfields.ValueError) {
	f := textfields.New(pairs)
	config, _ := Decode(&f)
	return config, f.FirstError()
}

// Each setting sets exactly one field of the configuration. Unknown settings, and entries of lists for missing kinds, set none.
func TestSettingsByPath(t *testing.T) {
	for pair, want := range map[string]flaxshelf.Config{
		"index=3":                                     {Index: 3},
		"balancers=3":                                 {Schedulers: 3},
		"zone=z":                                      {Zone: "z"},
		"over_share_worth=0.5":                        {OverQuotaWeight: 0.5},
		"specifics.admit_cores=0.5":                   {CoreOvercommit: 0.5},
		"specifics.memory_multiple=0.5":               {MemoryOvercommit: 0.5},
		"specifics.confirms=running":                  {PlacedWhenRunning: true},
		"specifics.pushes_out=true":                   {Preempts: true},
		"specifics.shows_free=1":                      {ListsFreeCapacity: true},
		"specifics.measured_by=used":                  {ReportsUsage: true},
		"discovery=on_request":                        {DiscoveryOnRequest: true},
		"caps.most_tries=3":                           {MaxAttempts: 3},
		"caps.second_copies=true":                     {HedgedRequests: true},
		"caps.cancel=true":                            {CanCancel: true},
		"caps.probes=true":                            {CanHealthCheck: true},
		"caps.peers=true":                             {CanGossip: true},
		"caps.retry_after=true":                       {CanRetryAfter: true},
		"caps.max_retry_after_ns=3":                   {MaxRetryAfter: 3},
		"caps.connect_timeout_ns=3":                   {ConnectTimeout: 3},
		"round_ns=3":                                  {Tick: 3},
		"obligations.answer_slack_ns=3":               {AnswerSlack: 3},
		"obligations.stop_sending_within_ns=3":        {DrainGrace: 3},
		"obligations.ask_within_ns=3":                 {DiscoveryPollDeadline: 3},
		"obligations.cold_ns=3":                       {SlowStartDuration: 3},
		"obligations.fall_ns=3":                       {OverloadWindow: 3},
		"specifics.fresh_offers=0.5":                  {SlowStartBudget: 0.5},
		"prices.cross_zone=0.5":                       {Prices: flaxshelf.Prices{CrossZone: 0.5}},
		"prices.waste=0.5":                            {Prices: flaxshelf.Prices{Waste: 0.5}},
		"prices.probe=0.5":                            {Prices: flaxshelf.Prices{HealthCheck: 0.5}},
		"prices.peer=0.5":                             {Prices: flaxshelf.Prices{Gossip: 0.5}},
		"prices.moves=0.5":                            {Prices: flaxshelf.Prices{Migration: 0.5}},
		"prices.discovery=0.5":                        {Prices: flaxshelf.Prices{Discovery: 0.5}},
		"prices.fleet=0.5":                            {Prices: flaxshelf.Prices{MachinesInUse: 0.5}},
		"specifics.refusal_fee=0.5":                   {Prices: flaxshelf.Prices{Rejection: 0.5}},
		"specifics.eviction_as_moves=0.5":             {Prices: flaxshelf.Prices{EvictionMigrations: 0.5}},
		"a.later.setting=1":                           {},
		"specifics.kind_cores=1 and no kind to be of": {},
	} {
		t.Run(pair, func(t *testing.T) {
			if got, invalid := decodePairs(pair); invalid != nil || !reflect.DeepEqual(got, want) {
				t.Errorf("got %+v, %v, want %+v", got, invalid, want)
			}
		})
	}
}

func TestSettingsErrors(t *testing.T) {
	for name, test := range map[string]struct {
		pairs        []string
		field, value string
	}{
		"entry of a list":      {[]string{"kinds=a,b", "specifics.kind_cores=1,x"}, "specifics.kind_cores", "x"},
		"empty entry":          {[]string{"kinds=a,b", "specifics.mem_of_kind=1,"}, "specifics.mem_of_kind", ""},
		"class without a name": {[]string{"categories.count=1"}, "categories.0.name", ""},
		"too many classes":     {[]string{"categories.count=2"}, "categories.count", "2"},
		"negative count":       {[]string{"customers.count=-1"}, "customers.count", "-1"},
		"spread over the fleet": {[]string{"categories.count=1", "categories.0.name=c", "specifics.spread_over=all"},
			"specifics.spread_over", "all"},
		"unknown idempotency": {[]string{"categories.count=1", "categories.0.name=c", "categories.0.effect=x"},
			"categories.0.effect", "x"},
		"first of two errors": {[]string{"round_ns=x", "index=y"}, "index", "y"},
	} {
		t.Run(name, func(t *testing.T) {
			_, invalid := decodePairs(test.pairs...)
			if invalid == nil || invalid.Field != test.field || invalid.Value != test.value || invalid.Reason == "" {
				t.Errorf("got %v, want field %s with value %q and a reason", invalid, test.field, test.value)
			}
		})
	}
}
