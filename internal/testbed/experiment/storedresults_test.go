package experiment

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"testing"
)

// storedResults are the results of storedExperiment, written by the build of commit ad3e0ee.
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

// The results of an earlier build are found by design, fingerprint and seed: nothing is run, and nothing is written.
func TestStoredResultsAreReused(t *testing.T) {
	stored := readFile(t, storedResults)
	results := filepath.Join(t.TempDir(), "results")
	if err := os.WriteFile(results, stored, 0o600); err != nil {
		t.Fatal(err)
	}
	p := parse(t, string(readFile(t, storedExperiment)))
	ran := 0
	runs, err := p.Execute(context.Background(), results, 1, func(int, int) { ran++ })
	if err != nil {
		t.Fatal(err)
	}
	if ran != 0 || len(runs) != 4 {
		t.Errorf("%d runs of an experiment with %d results, want 0 of 4", ran, len(runs))
	}
	if after := readFile(t, results); !bytes.Equal(after, stored) {
		t.Errorf("the file of results is %s,\nwas %s", after, stored)
	}
	for _, r := range runs {
		if r.Design == "" || r.Fingerprint == "" || r.Seed == 0 || len(r.Measures) != len(Measures) {
			t.Errorf("a field is not set: %+v", r)
		}
	}
}

// A result is written as by earlier builds.
func TestStoredResultsEncoding(t *testing.T) {
	for _, line := range bytes.Split(bytes.TrimSpace(readFile(t, storedResults)), []byte("\n")) {
		var r, decoded Run
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
			t.Errorf("%s, stored is %s", text, line)
		}
		if err := json.Unmarshal(text, &decoded); err != nil || !reflect.DeepEqual(r, decoded) {
			t.Errorf("%+v, %v, want %+v", decoded, err, r)
		}
	}
}
