package flaxshelf_test

import (
	"bytes"
	"compress/gzip"
	"context"
	"flag"
	"io"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"flaxshelf.example/flaxshelf"
	"flaxshelf.example/flaxshelf/internal/replay"
	"flaxshelf.example/flaxshelf/internal/scheduler"
	"flaxshelf.example/flaxshelf/internal/testbed/ablation"
	"flaxshelf.example/flaxshelf/internal/testbed/emulator"
	"flaxshelf.example/flaxshelf/internal/testbed/scenario"
	"flaxshelf.example/flaxshelf/internal/testbed/worlds"
)

var recordings = flag.String("recordings", "internal/replay/testdata/socketdays/*.gob.gz",
	"file pattern of the recordings whose choices are compared with linear scans")

// TestMain sets defaults for the flags of package rapid: a fixed seed, so that each run checks the same random worlds, and
// 60 worlds. -rapid.seed=0 draws a new seed in each run; -rapid.checks=N sets the number of worlds.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261201", "rapid.nofailfile": "true", "rapid.checks": "60"} {
		_ = flag.Set(name, value) // fails only for a flag that package rapid does not define
	}
	flag.Parse()
	os.Exit(m.Run())
}

const stepsPerWorld = 120

// minCoverage is the minimum number of times that each constraint or stage must affect a choice in the random worlds. The test
// fails below it, so that a change of the worlds or of the Placer does not leave a constraint or stage unchecked.
var minCoverage = map[string]int{
	"choices": 50_000,
	"votes":   5000,
	"votes with fewer contenders than candidates": 300,
	"votes with truncated history":                100,
	"replayed placements":                         50_000,
	"infeasible requests":                         300,
	"pruned machines":                             50,
	"retry safety":                                1000,
	"slow start":                                  10_000,
	"spread in machines":                          5000,
	"spread in cells":                             100_000,
	"spread in zones":                             200_000,
	"previous attempt":                            500,
	"ejection":                                    5000,
	"class ejection":                              2000,
	"capacity":                                    10_000,
	"assumed requests":                            20_000,
	"consolidation":                               100,
	"reported load":                               3000,
	"machines with attempts of the service":       5000,
	"large tasks":                                 1000,
	"migrations allowed":                          20,
	"migrations refused":                          100,
}

// Compares each choice in random worlds with linear scans over the Placer's records.
func TestChoicesEqualPlainScans(t *testing.T) {
	coverage, events := flaxshelf.ChoiceCoverage{}, 0
	rapid.Check(t, func(t *rapid.T) {
		cfg := worlds.DrawConfig(func(limit int, name string) int { return rapid.IntRange(0, limit).Draw(t, name) })
		seed := rapid.Uint64().Draw(t, "seed")
		placer, err := flaxshelf.NewChecked(cfg, seed)
		if err != nil {
			t.Fatal(err)
		}
		step := func(now flaxshelf.Time, stepEvents []flaxshelf.Event) []flaxshelf.Action {
			events += len(stepEvents)
			actions := placer.Step(now, stepEvents)
			if err := placer.Err(); err != nil {
				t.Fatalf("%v\nin the step with events %+v", err, stepEvents)
			}
			return actions
		}
		worlds.New(cfg, rand.New(rand.NewPCG(seed, 0))).Run(stepsPerWorld, step)
		coverage.Add(placer.Coverage())
	})
	t.Logf("%d events in all worlds", events)
	for _, name := range slices.Sorted(maps.Keys(coverage)) {
		t.Logf("%8d %s", coverage[name], name)
	}
	for name, minCount := range minCoverage {
		if coverage[name] < minCount && !t.Failed() {
			t.Errorf("coverage %q is %d, want at least %d", name, coverage[name], minCount)
		}
	}
}

// Compares each choice on the emulator's scripted days with linear scans over the Placer's records.
func TestChoicesOfDaysEqualPlainScans(t *testing.T) {
	for _, name := range ablation.EmulatedDays() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			day, err := scenario.Read(name)
			if err != nil {
				t.Fatal(err)
			}
			var placers []*flaxshelf.CheckedPlacer
			newPlacer := func(cfg flaxshelf.Config, seed uint64) (scheduler.Module, error) {
				placer, err := flaxshelf.NewChecked(cfg, seed)
				placers = append(placers, placer)
				return placer, err
			}
			if _, err := emulator.Run(context.Background(), day, emulator.Options{Seed: 5, NewModule: newPlacer}); err != nil {
				t.Fatal(err)
			}
			coverage := flaxshelf.ChoiceCoverage{}
			for i, placer := range placers {
				coverage.Add(placer.Coverage())
				if err := placer.Err(); err != nil || placer.Coverage()["steps"] == 0 {
					t.Errorf("incarnation %d: got error %v and %d steps, want no error and at least 1 step",
						i, err, placer.Coverage()["steps"])
				}
			}
			if coverage["votes"] == 0 {
				t.Errorf("got 0 votes on the day, want at least 1; coverage %v", coverage)
			}
		})
	}
}

// Compares each choice in recordings of scripted days with linear scans over the Placer's records. To check a trial, keep its
// recordings with `flaxshelf trial DAY --keep DIRECTORY` and pass -recordings='DIRECTORY/*.tap'.
func TestChoicesOfRecordingsEqualPlainScans(t *testing.T) {
	paths, err := filepath.Glob(*recordings)
	if err != nil || len(paths) == 0 {
		t.Fatalf("pattern %q matches %d recordings (error %v), want at least 1", *recordings, len(paths), err)
	}
	for _, path := range paths {
		t.Run(filepath.Base(path), func(t *testing.T) {
			var placer *flaxshelf.CheckedPlacer
			newPlacer := func(cfg flaxshelf.Config, seed uint64) (replay.Module, error) {
				var err error
				placer, err = flaxshelf.NewChecked(cfg, seed)
				return placer, err
			}
			if _, err := replay.CheckWith(openRecording(t, path), newPlacer); err != nil {
				t.Fatal(err)
			}
			if err := placer.Err(); err != nil || placer.Coverage()["choices"] == 0 {
				t.Errorf("got error %v and %d choices, want no error and at least 1 choice", err, placer.Coverage()["choices"])
			}
		})
	}
}

// openRecording opens a recording and decompresses it if its name ends with .gz.
func openRecording(t *testing.T, path string) io.Reader {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if filepath.Ext(path) != ".gz" {
		return bytes.NewReader(data)
	}
	decompressor, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		t.Fatal(err)
	}
	return decompressor
}
