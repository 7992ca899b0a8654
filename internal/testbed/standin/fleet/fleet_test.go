package fleet

import (
	"strings"
	"testing"
	"time"

	"flaxshelf.example/flaxshelf/internal/settings"
)

const fleetText = `
kinds: [{name: "k", cores: 8, memory: 32}]
nodes: [{name: "a", kind: "k", zone: "z"}, {name: "b", kind: "k", warm: false}]
rules: coldFor: "7s"
behaviour: {useCores: [0.1, 0.2], reports: true}
`

func TestModelHasSettingsOfFleet(t *testing.T) {
	fleet, err := settings.ParseFleet("f.cue", []byte(fleetText))
	if err != nil {
		t.Fatal(err)
	}
	warm, cold := NodeConfigAt(fleet, 0), NodeConfigAt(fleet, 1)
	for _, c := range []struct {
		name      string
		got, want any
	}{
		{"cores of the kind", warm.Cores, 8.0},
		{"zone", warm.Zone, "z"},
		{"no slow start of a warm node", warm.SlowStartDuration, time.Duration(0)},
		{"slow start of another node", cold.SlowStartDuration, 7 * time.Second},
		{"range of usage", warm.CoreUsageRange, [2]float64{0.1, 0.2}},
		{"load reports", warm.SendsLoadReports, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			if c.got != c.want {
				t.Errorf("got %v, want %v", c.got, c.want)
			}
		})
	}
	if warm.Seed == cold.Seed {
		t.Errorf("got seed %d for both nodes, want different ones", warm.Seed)
	}
}

func TestInvalidFleetIsRejectedWithItsField(t *testing.T) {
	for _, c := range []struct{ name, from, to, want string }{
		{"two nodes of one name", `name: "b"`, `name: "a"`, `nodes[1].name: "a" names two nodes`},
		{"unknown kind", `kind: "k", warm`, `kind: "x", warm`, `nodes[1].kind: no kind "x"`},
		{"empty range", `[0.1, 0.2]`, `[0.3, 0.2]`, `behaviour.useCores`},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := settings.ParseFleet("f.cue", []byte(strings.Replace(fleetText, c.from, c.to, 1)))
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("got error %v, want one with %q", err, c.want)
			}
		})
	}
}
