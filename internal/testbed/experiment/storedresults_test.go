package experiment

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"flaxshelf.example/flaxshelf/internal/settings"
	"flaxshelf.example/flaxshelf/internal/testbed/scenario"
)

// storedResults has the results of storedExperiment as written by the build of commit ad3e0ee. It guards the stored format.
const (
	storedExperiment = "testdata/experiment.cue"
	storedResults    = "testdata/results.jsonl"
)

func readFile(t *testing.T, path string) []byte {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// Results of an earlier build are matched by design, fingerprint and seed, so that no run is executed and nothing is written.
func TestStoredResultsAreReused(t *testing.T) {
	stored := readFile(t, storedResults)
	results := filepath.Join(t.TempDir(), "results")
	writeFile(t, results, stored)
	runs, executed := execute(t, parse(t, string(readFile(t, storedExperiment))), results, 1)
	if executed != 0 || len(runs) != 4 {
		t.Errorf("got %d executed runs of %d, want 0 of 4", executed, len(runs))
	}
	if got := readFile(t, results); !bytes.Equal(got, stored) {
		t.Errorf("got a results file with %s,\nwant the stored %s", got, stored)
	}
	for _, r := range runs {
		if r.Design == "" || r.Fingerprint == "" || r.Seed == 0 || len(r.Metrics) != len(Metrics) {
			t.Errorf("got run %+v, want all fields set", r)
		}
	}
}

func TestStoredResultKeepsItsBytesWhenReencoded(t *testing.T) {
	for _, line := range bytes.Split(bytes.TrimSpace(readFile(t, storedResults)), []byte("\n")) {
		var r, decoded storedRun
		dec := json.NewDecoder(bytes.NewReader(line))
		dec.DisallowUnknownFields()
		if err := dec.Decode(&r); err != nil {
			t.Fatal(err)
		}
		text, err := json.Marshal(r)
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(text, line) {
			t.Errorf("got %s, want the stored %s", text, line)
		}
		if err := json.Unmarshal(text, &decoded); err != nil || !reflect.DeepEqual(r, decoded) {
			t.Errorf("got %+v and error %v, want %+v", decoded, err, r)
		}
	}
}

// A new result is stored under the current and the deprecated names. Lines with either or both are read as the same result.
func TestStoredResultHasCurrentAndDeprecatedNames(t *testing.T) {
	want := RunResult{Design: "a", Fingerprint: "f", Seed: 7,
		Metrics: map[Metric]float64{PlacedFraction: 0.5, OverloadedNodes: 3}}
	var written bytes.Buffer
	if err := writeRun(&written, &want); err != nil {
		t.Fatal(err)
	}
	const wantLine = `{"Design":"a","Fingerprint":"f","Mark":"f","Seed":7,` +
		`"Measures":{"nodes fallen":3,"overloaded nodes":3,"placed":0.5}}` + "\n"
	if got := written.String(); got != wantLine {
		t.Errorf("got line %s, want %s", got, wantLine)
	}
	for _, c := range []struct{ name, line string }{
		{"both names", wantLine},
		{"deprecated names", `{"Design":"a","Mark":"f","Seed":7,"Measures":{"nodes fallen":3,"placed":0.5}}` + "\n"},
		{"current names", `{"Design":"a","Fingerprint":"f","Seed":7,"Measures":{"overloaded nodes":3,"placed":0.5}}` + "\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "results")
			writeFile(t, path, []byte(c.line))
			got, err := readRuns(path)
			if err != nil {
				t.Fatal(err)
			}
			if !reflect.DeepEqual(got, []RunResult{want}) {
				t.Errorf("got %+v, want %+v", got, want)
			}
		})
	}
}

// The fingerprint is the same whether a day uses the current or the deprecated value for the idempotency of a class, so that
// stored results are still found after the day is updated.
func TestFingerprintIsSameForDeprecatedIdempotency(t *testing.T) {
	fingerprintOf := func(idempotency string) string {
		t.Helper()
		day := &scenario.Day{Name: "d", Classes: []settings.Class{{Name: "c", Idempotency: idempotency}}}
		f, err := fingerprint(day, 1, voteModule)
		if err != nil {
			t.Fatal(err)
		}
		return f
	}
	for deprecated, current := range map[string]string{
		"safe": "idempotent", "keyed": "idempotent-by-key", "unsafe": "non-idempotent",
	} {
		if got, want := fingerprintOf(current), fingerprintOf(deprecated); got != want {
			t.Errorf("got fingerprint %s of %s, want that of %s, %s", got, current, deprecated, want)
		}
	}
	if fingerprintOf("safe") == fingerprintOf("unsafe") {
		t.Error("got the same fingerprint for idempotency safe and unsafe, want different ones")
	}
}
