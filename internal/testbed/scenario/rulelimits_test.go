package scenario

import (
	"testing"

	"flaxshelf.example/flaxshelf/internal/settings"
)

// A name of the idempotency that the rules checker does not know would count as non-idempotent in a recording, so deprecated and
// current names in the settings must give the same stored name.
func TestRuleLimitsHaveTheStoredIdempotency(t *testing.T) {
	for _, c := range []struct{ setting, want string }{
		{"safe", "safe"},
		{"idempotent", "safe"},
		{"keyed", "keyed"},
		{"idempotent-by-key", "keyed"},
		{"unsafe", "unsafe"},
		{"non-idempotent", "unsafe"},
	} {
		t.Run(c.setting, func(t *testing.T) {
			d := parseDay(t)
			d.Classes = []settings.Class{{Idempotency: c.setting}}
			if got := d.RuleLimits().Classes[0].Idempotency; got != c.want {
				t.Errorf("got %q, want %q", got, c.want)
			}
		})
	}
}
