package fleet

import (
	"strings"
	"testing"
	"time"

	"flaxshelf.example/flaxshelf/internal/settings"
)

// The settings of a fleet become models; a setting that makes no sense is rejected with its field.
func TestFleet(t *testing.T) {
	const text = `
kinds: [{name: "k", cores: 8, memory: 32}]
nodes: [{name: "a", kind: "k", zone: "z"}, {name: "b", kind: "k", warm: false}]
rules: coldFor: "7s"
behaviour: {useCores: [0.1, 0.2], reports: true}
`
	f, err := settings.ParseFleet("f.cue", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	a, b := Model(f, 0), Model(f, 1)
	if a.Cores != 8 || a.SlowStartDuration != 0 || b.SlowStartDuration != 7*time.Second || a.CoreUsageRange != [2]float64{0.1, 0.2} || !a.SendsLoadReports ||
		a.Seed == b.Seed || a.Zone != "z" {
		t.Errorf("models %+v and %+v", a, b)
	}
	for _, c := range []struct{ from, to, want string }{
		{`name: "b"`, `name: "a"`, `nodes[1].name: "a" names two nodes`},
		{`kind: "k", warm`, `kind: "x", warm`, `nodes[1].kind: no kind "x"`},
		{`[0.1, 0.2]`, `[0.3, 0.2]`, `behaviour.useCores`},
	} {
		if _, err := settings.ParseFleet("f.cue", []byte(strings.Replace(text, c.from, c.to, 1))); err == nil ||
			!strings.Contains(err.Error(), c.want) {
			t.Errorf("%v does not contain %q", err, c.want)
		}
	}
}
