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
		case cl.Effect < Safe || cl.Effect > Unsafe:
			return fmt.Errorf("flaxshelf: Classes[%d].Effect: unknown effect %d", i, cl.Effect)
		case cl.Effect == Keyed && (cl.Group < OnMachine || cl.Group > Everywhere):
			return fmt.Errorf("flaxshelf: Classes[%d].Group: a keyed class needs a group", i)
		case cl.Spread < Nowhere || cl.Spread > InZone:
			return fmt.Errorf("flaxshelf: Classes[%d].Spread: unknown place %d", i, cl.Spread)
		case cl.Spread != Nowhere && cl.Most < 1:
			return fmt.Errorf("flaxshelf: Classes[%d].Most: a spread rule needs 1 or more", i)
		}
	}
	for _, d := range []struct {
		name string
		v    time.Duration
	}{{"Tick", c.Tick}, {"DrainGrace", c.DrainGrace}, {"AskWithin", c.AskWithin}, {"ColdFor", c.ColdFor},
		{"FallWindow", c.FallWindow}, {"ConnectTimeout", c.ConnectTimeout}} {
		if d.v < 0 {
			return fmt.Errorf("flaxshelf: %s: must not be negative", d.name)
		}
	}
	if c.MaxAttempts < 0 {
		return fmt.Errorf("flaxshelf: MaxAttempts: must not be negative")
	}
	return nil
}
