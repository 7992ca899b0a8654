package flaxshelf

import (
	"errors"
	"testing"
	"time"
)

func TestNewReportsInvalidField(t *testing.T) {
	for _, c := range []struct {
		want    ConfigError
		message string
		modify  func(*Config)
	}{
		{ConfigError{"Kinds[0] (k).Cores", 0.0, "must be above 0"}, "flaxshelf: Config.Kinds[0] (k).Cores is 0: must be above 0",
			func(c *Config) { c.Kinds[0].Cores = 0 }},
		{ConfigError{"Kinds[0] (k).Memory", -1.0, "must be above 0"},
			"flaxshelf: Config.Kinds[0] (k).Memory is -1: must be above 0",
			func(c *Config) { c.Kinds[0].Memory = -1 }},
		{ConfigError{"Classes[0] (c).Kind", 3, "must be -1 or an index in Config.Kinds"},
			"flaxshelf: Config.Classes[0] (c).Kind is 3: must be -1 or an index in Config.Kinds",
			func(c *Config) { c.Classes[0].Kind = 3 }},
		{ConfigError{"Classes[0] (c).Idempotency", 9, "must be Idempotent (0), IdempotentByKey (1) or NonIdempotent (2)"},
			"flaxshelf: Config.Classes[0] (c).Idempotency is 9: must be Idempotent (0), IdempotentByKey (1) or NonIdempotent (2)",
			func(c *Config) { c.Classes[0].Idempotency = 9 }},
		{ConfigError{"Classes[0] (c).KeyDomain", 0, "must be from MachineDomain (1) to FleetDomain (4) with IdempotentByKey"},
			"flaxshelf: Config.Classes[0] (c).KeyDomain is 0: must be from MachineDomain (1) to FleetDomain (4) with IdempotentByKey",
			func(c *Config) { c.Classes[0].Idempotency = IdempotentByKey }},
		{ConfigError{"Classes[0] (c).SpreadDomain", 4, "must be from NoDomain (0) to ZoneDomain (3)"},
			"flaxshelf: Config.Classes[0] (c).SpreadDomain is 4: must be from NoDomain (0) to ZoneDomain (3)",
			func(c *Config) { c.Classes[0].SpreadDomain = FleetDomain }},
		{ConfigError{"Classes[0] (c).MaxPerDomain", 0, "must be above 0 unless SpreadDomain is NoDomain"},
			"flaxshelf: Config.Classes[0] (c).MaxPerDomain is 0: must be above 0 unless SpreadDomain is NoDomain",
			func(c *Config) { c.Classes[0].SpreadDomain = ZoneDomain }},
		{ConfigError{"Tick", -time.Nanosecond, "must not be negative"}, "flaxshelf: Config.Tick is -1ns: must not be negative",
			func(c *Config) { c.Tick = -1 }},
		{ConfigError{"MaxAttempts", -1, "must not be negative"}, "flaxshelf: Config.MaxAttempts is -1: must not be negative",
			func(c *Config) { c.MaxAttempts = -1 }},
	} {
		t.Run(c.want.Field, func(t *testing.T) {
			cfg := testConfig()
			c.modify(&cfg)
			_, err := New(cfg, testSeed)
			var got *ConfigError
			if !errors.As(err, &got) || *got != c.want || err.Error() != c.message {
				t.Errorf("got error %#v (%v), want %#v (%s)", got, err, c.want, c.message)
			}
		})
	}
}

func TestTaskIsPlacedWithMinimalConfig(t *testing.T) {
	cfg := Config{Kinds: []MachineKind{{"k", 8, 8}}, Classes: []TaskClass{{Name: "c", Kind: -1}}}
	p := startPlacer(t, cfg, nil)
	if actions := p.Step(time.Second, []Event{newSubmission("t", 0, 3*time.Second)}); len(offersOf(actions)) != 0 {
		t.Fatalf("got actions %+v without machines, want no offer", actions)
	}
	offer := onlyOffer(t, p.Step(2*time.Second, []Event{MachinesUpdated{Machines: []Machine{{ID: "m"}}}}))
	if offer.Machine != "m" || offer.Timeout <= 0 {
		t.Errorf("got offer %+v, want one to m with a time-out above 0", offer)
	}
}

func TestTaskIsRejectedWithEmptyConfig(t *testing.T) {
	p := newPlacer(t, Config{}, testSeed)
	if actions := p.Step(time.Second, []Event{newSubmission("t", 0, 3*time.Second)}); !hasAction(actions, Reject{"t"}) {
		t.Errorf("got actions %+v, want Reject", actions)
	}
}
