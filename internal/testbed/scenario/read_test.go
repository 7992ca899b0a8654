package scenario

import (
	"errors"
	"os"
	"strings"
	"testing"
)

func TestEmbeddedDaysAreValidAndHaveTheNameTheyAreReadBy(t *testing.T) {
	for _, name := range Names() {
		t.Run(name, func(t *testing.T) {
			d, err := Read(name)
			if err != nil {
				t.Fatal(err)
			}
			if d.Name != name {
				t.Errorf("got name %q, want %q", d.Name, name)
			}
		})
	}
}

func TestUnknownDayIsReportedWithTheNamesOfTheEmbeddedDays(t *testing.T) {
	_, err := Read("nowhere")
	var unknown *UnknownDayError
	if !errors.As(err, &unknown) || unknown.Name != "nowhere" || !errors.Is(err, os.ErrNotExist) {
		t.Fatalf("got %v, want an UnknownDayError of a missing file", err)
	}
	if !strings.Contains(err.Error(), "calm") {
		t.Errorf("got error %q, want it to contain the names of the days", err)
	}
}

func TestParseReportsReferencesThatTheDayDoesNotDefine(t *testing.T) {
	const text = `#Town & {about: "x"
load: [{class: "sensor", perSecond: 1, life: ["1s", "2s"]}]
troubles: [{at: 1, do: "silent", class: "sensor", schedulers: [2]}]}`
	for _, c := range []struct{ name, from, to, want string }{
		{"valid", "", "", ""},
		{"class of a load", `class: "sensor", perSecond`, `class: "odd", perSecond`, `load[0].class: no class "odd"`},
		{"bounds of a runtime", `["1s", "2s"]`, `["2s", "1s"]`, `load[0].life`},
		{"class of a fault", `class: "sensor", schedulers`, `class: "odd", schedulers`, `troubles[0].class: no class "odd"`},
		{"every class of a fault", `class: "sensor", schedulers`, `class: "*", schedulers`, ""},
		{"scheduler of a fault", `schedulers: [2]`, `schedulers: [3]`, `troubles[0].schedulers[0]: no scheduler 3, there are 3`},
		{"kind of a group", `load:`, `fleet: [{name: "a", count: 1, kind: "odd", zone: "z"}], load:`, `fleet[0].kind: no kind "odd"`},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse("x.cue", []byte(strings.Replace(text, c.from, c.to, 1)))
			if c.want == "" && err != nil || c.want != "" && (err == nil || !strings.Contains(err.Error(), c.want)) {
				t.Errorf("got %v, want %q", err, c.want)
			}
		})
	}
}
