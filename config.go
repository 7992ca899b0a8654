package flaxshelf

import (
	"fmt"
	"time"
)

// validate names the field that makes no sense.
func validate(c *Config) error {
	c.Schedulers = max(c.Schedulers, 1)
	for i, k := range c.Kinds {
		if !(k.Cores > 0) || !(k.Memory > 0) {
			return fmt.Errorf("flaxshelf: Kinds[%d] (%s): Cores and Memory must be above 0", i, k.Name)
		}
	}
	for i, cl := range c.Classes {
		switch {
		case cl.Kind < -1 || cl.Kind >= len(c.Kinds):
			return fmt.Errorf("flaxshelf: Classes[%d].Kind: no kind %d", i, cl.Kind)
		case cl.Idempotency < Idempotent || cl.Idempotency > NonIdempotent:
			return fmt.Errorf("flaxshelf: Classes[%d].Effect: unknown effect %d", i, cl.Idempotency)
		case cl.Idempotency == IdempotentByKey && (cl.KeyDomain < MachineDomain || cl.KeyDomain > FleetDomain):
			return fmt.Errorf("flaxshelf: Classes[%d].Group: a keyed class needs a group", i)
		case cl.SpreadDomain < NoDomain || cl.SpreadDomain > ZoneDomain:
			return fmt.Errorf("flaxshelf: Classes[%d].Spread: unknown place %d", i, cl.SpreadDomain)
		case cl.SpreadDomain != NoDomain && cl.MaxPerDomain < 1:
			return fmt.Errorf("flaxshelf: Classes[%d].Most: a spread rule needs 1 or more", i)
		}
	}
	for _, d := range []struct {
		name string
		v    time.Duration
	}{{"Tick", c.Tick}, {"DrainGrace", c.DrainGrace}, {"AskWithin", c.DiscoveryPollDeadline}, {"ColdFor", c.SlowStartDuration},
		{"FallWindow", c.OverloadWindow}, {"ConnectTimeout", c.ConnectTimeout}} {
		if d.v < 0 {
			return fmt.Errorf("flaxshelf: %s: must not be negative", d.name)
		}
	}
	if c.MaxAttempts < 0 {
		return fmt.Errorf("flaxshelf: MaxAttempts: must not be negative")
	}
	return nil
}
