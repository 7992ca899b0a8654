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
	"recordings of which each choice is compared with plain scans")

// TestMain fixes the random worlds, so that each run draws the same. With -rapid.seed=0 each run draws others, with
// -rapid.checks=N as many.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261201", "rapid.nofailfile": "true", "rapid.checks": "60"} {
		_ = flag.Set(name, value) // flags of package rapid: they exist
	}
	flag.Parse()
	os.Exit(m.Run())
}

const worldSteps = 120

// exercisedChoices is how often the random worlds must exercise each part of a choice, at least.
var exercisedChoices = map[string]int{
	"choices":            50_000,
	"votes":              5000,
	"dropped contenders": 300,
	"votes with more than the recent history": 100,
	"replayed placements":                     50_000,
	"infeasible requests":                     300,
	"forgotten machines":                      50,
	"retry safety":                            1000,
	"slow start":                              10_000,
	"spread in machines":                      5000,
	"spread in cells":                         100_000,
	"spread in zones":                         200_000,
	"tried":                                   500,
	"failing":                                 5000,
	"class failure":                           2000,
	"capacity":                                10_000,
	"assumed requests":                        20_000,
	"consolidation":                           100,
	"reported load":                           3000,
	"machines of the service":                 5000,
	"large tasks":                             1000,
	"possible migrations":                     20,
	"refused migrations":                      100,
}

// Each choice in random worlds is the one that plain scans over the records find.
func TestChoicesEqualPlainScans(t *testing.T) {
	counts, events := flaxshelf.ChoiceCounts{}, 0
	rapid.Check(t, func(t *rapid.T) {
		cfg := worlds.Config(func(limit int, name string) int { return rapid.IntRange(0, limit).Draw(t, name) })
		seed := rapid.Uint64().Draw(t, "seed")
		placer, err := flaxshelf.NewChecked(cfg, seed)
		if err != nil {
			t.Fatal(err)
		}
		step := func(now flaxshelf.Time, stepEvents []flaxshelf.Event) []flaxshelf.Action {
			events += len(stepEvents)
			actions := placer.Step(now, stepEvents)
			if err := placer.Err(); err != nil {
				t.Fatalf("%v\nafter %v", err, stepEvents)
			}
			return actions
		}
		worlds.New(cfg, rand.New(rand.NewPCG(seed, 0))).Play(worldSteps, step)
		counts.Add(placer.Counts())
	})
	t.Logf("%d events", events)
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		t.Logf("%8d %s", counts[name], name)
	}
	for name, least := range exercisedChoices {
		if counts[name] < least && !t.Failed() {
			t.Errorf("got %d of %s, want %d or more: the random worlds exercise too little", counts[name], name, least)
		}
	}
}

// Each choice on the days that the emulator plays is the one that plain scans over the records find.
func TestChoicesOfDaysEqualPlainScans(t *testing.T) {
	for _, name := range ablation.Days() {
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
			counts := flaxshelf.ChoiceCounts{}
			for i, placer := range placers {
				counts.Add(placer.Counts())
				if err := placer.Err(); err != nil || placer.Counts()["steps"] == 0 {
					t.Errorf("incarnation %d: %v after %d steps", i, err, placer.Counts()["steps"])
				}
			}
			if counts["votes"] == 0 {
				t.Errorf("got %v, want votes", counts)
			}
		})
	}
}

// Each choice on recorded days is the one that plain scans over the records find. With -recordings=PATTERN the recordings
// are those of a trial, as `flaxshelf trial DAY --keep DIRECTORY` leaves them in DIRECTORY/*.tap.
func TestChoicesOfRecordingsEqualPlainScans(t *testing.T) {
	paths, err := filepath.Glob(*recordings)
	if err != nil || len(paths) == 0 {
		t.Fatalf("got %d recordings, %v", len(paths), err)
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
			if err := placer.Err(); err != nil || placer.Counts()["choices"] == 0 {
				t.Errorf("%v after %d choices", err, placer.Counts()["choices"])
			}
		})
	}
}

// openRecording opens a recording. A name that ends with .gz means that it is compressed.
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
