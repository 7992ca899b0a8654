package benchadapter

import (
	"errors"
	"reflect"
	"testing"
	"time"

	"flaxshelf.example/flaxshelf"
)

func TestSettings(t *testing.T) {
	config := readAll(t, "FRAME clock_ns=5 serial=1\n"+upLine+"END\n")[0].Items[0].Start.Config
	if config.Schedulers != 2 || !config.DiscoveryOnRequest || config.Tick != 2*time.Millisecond || len(config.Tenants) != 0 {
		t.Errorf("%+v", config)
	}
	want := []flaxshelf.Kind{{Name: "k1", Cores: 30, Memory: 86}, {Name: "k2", Cores: 48, Memory: 155}}
	if !reflect.DeepEqual(config.Kinds, want) {
		t.Errorf("%+v, want %+v", config.Kinds, want)
	}
	if c := config.Classes[1]; c.Idempotency != flaxshelf.IdempotentByKey || c.KeyDomain != flaxshelf.ZoneDomain ||
		c.KeyTTL != 5*time.Second || c.Kind != 1 {
		t.Errorf("%+v", c)
	}
	if c := config.Classes[0]; c.SpreadDomain != flaxshelf.ZoneDomain || c.MaxPerDomain != 4 || c.Kind != -1 {
		t.Errorf("%+v", c)
	}
}

// Each of these settings has a place of its own in the configuration.
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
		"prices.fleet=0.5":                            {Prices: flaxshelf.Prices{Fleet: 0.5}},
		"specifics.refusal_fee=0.5":                   {Prices: flaxshelf.Prices{Rejection: 0.5}},
		"specifics.eviction_as_moves=0.5":             {Prices: flaxshelf.Prices{EvictionMigrations: 0.5}},
		"a.later.setting=1":                           {},
		"specifics.kind_cores=1 and no kind to be of": {},
	} {
		if got, _, err := Settings([]string{pair}); err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("%s: %+v, %v, want %+v", pair, got, err, want)
		}
	}
}

func TestSettingsErrors(t *testing.T) {
	for name, c := range map[string]struct {
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
		"the first of two faults": {[]string{"round_ns=x", "index=y"}, "index", "y"},
	} {
		t.Run(name, func(t *testing.T) {
			_, _, err := Settings(c.pairs)
			var got *ProtocolError
			if want := (ProtocolError{0, c.field, c.value}); !errors.As(err, &got) || *got != want {
				t.Errorf("got %v, want %v", err, &want)
			}
		})
	}
}
