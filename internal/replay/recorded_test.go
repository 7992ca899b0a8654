package replay

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"flaxshelf.example/flaxshelf"
	"flaxshelf.example/flaxshelf/internal/scheduler"
	"flaxshelf.example/flaxshelf/internal/testbed/ablation"
	"flaxshelf.example/flaxshelf/internal/testbed/emulator"
	"flaxshelf.example/flaxshelf/internal/testbed/scenario"
	"flaxshelf.example/flaxshelf/internal/testbed/worlds"
)

// The recorded days and worlds were written by the text of commit 898c958. They hold the decisions of each scripted day and
// of random deployments. When decisions change on purpose, -update rewrites the worlds and the days that the emulator plays.
// The other days need sockets: a recording of one is a file s1-1.tap that `flaxshelf trial DAY --seed 7 --keep DIRECTORY`
// leaves, cut off after socketDayBytes and compressed.
const (
	dayFiles       = "testdata/days"
	socketDayFiles = "testdata/socketdays"
	worldFiles     = "testdata/worlds"

	recordedDaySeed    = 5
	recordedDaySteps   = 600 // of a day's schedulers, one after the other, so that the files stay small
	socketDayBytes     = 120_000
	minSocketDaySteps  = 500 // in as many bytes
	recordedWorlds     = 8
	recordedWorldSteps = 120
)

// recordedModule records the steps of a module into memory.
type recordedModule struct {
	module    *flaxshelf.Placer
	recording bytes.Buffer
	writer    *Writer
	steps     int
	maxSteps  int // to record
}

// newRecordedModule makes a module that plays, of which the first maxSteps steps are recorded.
func newRecordedModule(cfg flaxshelf.Config, seed uint64, maxSteps int) (*recordedModule, error) {
	module, err := flaxshelf.New(cfg, seed)
	if err != nil {
		return nil, err
	}
	r := &recordedModule{module: module, maxSteps: maxSteps}
	r.writer, err = NewWriter(&r.recording, cfg, seed)
	return r, err
}

func (r *recordedModule) Step(now flaxshelf.Time, events []flaxshelf.Event) []flaxshelf.Action {
	actions := r.module.Step(now, events)
	if r.steps++; r.steps <= r.maxSteps {
		r.writer.WriteStep(now, events, actions)
	}
	return actions
}

// write writes the recording.
func (r *recordedModule) write(out io.Writer) error {
	if err := r.writer.Close(); err != nil {
		return err
	}
	_, err := r.recording.WriteTo(out)
	return err
}

func dayFile(day string, incarnation int) string {
	return filepath.Join(dayFiles, fmt.Sprintf("%s-%d.gob.gz", day, incarnation))
}

func worldFile(world uint64) string {
	return filepath.Join(worldFiles, fmt.Sprintf("%02d.gob.gz", world))
}

// updateDay writes the recordings of a day: of its schedulers in the order of their starts, recordedDaySteps in all.
func updateDay(name string) error {
	day, err := scenario.Read(name)
	if err != nil {
		return err
	}
	var modules []*recordedModule
	newModule := func(cfg flaxshelf.Config, seed uint64) (scheduler.Module, error) {
		module, err := newRecordedModule(cfg, seed, recordedDaySteps)
		modules = append(modules, module)
		return module, err
	}
	options := emulator.Options{Seed: recordedDaySeed, NewModule: newModule}
	if _, err := emulator.Run(context.Background(), day, options); err != nil {
		return err
	}
	steps := 0
	for incarnation, module := range modules {
		if steps >= recordedDaySteps {
			break
		}
		steps += module.steps
		if err := writeCompressed(dayFile(name, incarnation), module.write); err != nil {
			return err
		}
	}
	return nil
}

// updateWorld writes the recording of a random world.
func updateWorld(world uint64) error {
	random := rand.New(rand.NewPCG(world, 1))
	cfg := worlds.Config(func(limit int, _ string) int { return random.IntN(limit + 1) })
	module, err := newRecordedModule(cfg, world, recordedWorldSteps)
	if err != nil {
		return err
	}
	worlds.New(cfg, random).Play(recordedWorldSteps, module.Step)
	return writeCompressed(worldFile(world), module.write)
}

// updateDaysAndWorlds writes all recordings of this file.
func updateDaysAndWorlds() error {
	for _, day := range ablation.Days() {
		if err := updateDay(day); err != nil {
			return err
		}
	}
	for world := range uint64(recordedWorlds) {
		if err := updateWorld(world); err != nil {
			return err
		}
	}
	return nil
}

// checkRecording plays a stored recording and returns the number of its steps.
func checkRecording(t *testing.T, path string) int {
	t.Helper()
	result, err := Check(bytes.NewReader(readCompressed(t, path)))
	if err != nil {
		t.Error(err)
	}
	if result.Events == 0 || result.Actions == 0 {
		t.Errorf("got %+v, want events and actions", result)
	}
	return result.Steps
}

func TestRecordedDaysAreReplayed(t *testing.T) {
	for _, day := range ablation.Days() {
		t.Run(day, func(t *testing.T) {
			paths, err := filepath.Glob(strings.Replace(dayFile(day, 0), "-0.", "-[0-9].", 1))
			if err != nil {
				t.Fatal(err)
			}
			steps := 0
			for _, path := range paths {
				steps += checkRecording(t, path)
			}
			if steps < recordedDaySteps && !t.Failed() {
				t.Errorf("got %d steps in %d recordings, want %d or more", steps, len(paths), recordedDaySteps)
			}
		})
	}
}

// The days that the emulator does not play have faults of connections, which only sockets have.
func TestRecordedSocketDaysAreReplayed(t *testing.T) {
	emulated := ablation.Days()
	for _, day := range scenario.Names() {
		if slices.Contains(emulated, day) {
			continue
		}
		t.Run(day, func(t *testing.T) {
			path := filepath.Join(socketDayFiles, day+".gob.gz")
			if size := len(readCompressed(t, path)); size != socketDayBytes {
				t.Errorf("got %d bytes, want %d", size, socketDayBytes)
			}
			if steps := checkRecording(t, path); steps < minSocketDaySteps && !t.Failed() {
				t.Errorf("got %d steps, want %d or more", steps, minSocketDaySteps)
			}
		})
	}
}

func TestRecordedWorldsAreReplayed(t *testing.T) {
	for world := range uint64(recordedWorlds) {
		t.Run(fmt.Sprint(world), func(t *testing.T) {
			if steps := checkRecording(t, worldFile(world)); steps != recordedWorldSteps && !t.Failed() {
				t.Errorf("got %d steps, want %d", steps, recordedWorldSteps)
			}
		})
	}
}
