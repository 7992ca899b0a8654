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

// The stored recordings of days and worlds were written by the build of commit 898c958. They hold the decisions of the module in
// each scripted day, and in worlds, which are random deployments of package worlds. When decisions change on purpose, -update
// rewrites the worlds and the days that the emulator runs. The other days need sockets: `flaxshelf trial DAY --seed 7
// --keep DIRECTORY` leaves a file s1-1.tap, which is cut off after socketDayBytes and compressed.
const (
	dayDir       = "testdata/days"
	socketDayDir = "testdata/socketdays"
	worldDir     = "testdata/worlds"

	recordedDaySeed    = 5
	recordedDaySteps   = 600 // minimum of a day's schedulers together, and maximum of each, so that the files stay small
	socketDayBytes     = 120_000
	minSocketDaySteps  = 500 // in socketDayBytes
	recordedWorlds     = 8
	recordedWorldSteps = 120
)

// recordedModule wraps a module and records its first steps in memory.
type recordedModule struct {
	module    *flaxshelf.Placer
	recording bytes.Buffer
	writer    *Writer
	steps     int
	maxSteps  int // number of steps that are recorded
}

// newRecordedModule returns a new module of which the first maxSteps steps are recorded.
func newRecordedModule(cfg flaxshelf.Config, seed uint64, maxSteps int) (*recordedModule, error) {
	module, err := flaxshelf.New(cfg, seed)
	if err != nil {
		return nil, err
	}
	r := &recordedModule{module: module, maxSteps: maxSteps}
	r.writer, err = NewWriter(&r.recording, cfg, seed)
	return r, err
}

// Step runs a step of the module, and records it unless maxSteps steps are recorded already.
func (r *recordedModule) Step(now flaxshelf.Time, events []flaxshelf.Event) []flaxshelf.Action {
	actions := r.module.Step(now, events)
	if r.steps++; r.steps <= r.maxSteps {
		r.writer.WriteStep(now, events, actions)
	}
	return actions
}

// write ends the recording and writes it to out.
func (r *recordedModule) write(out io.Writer) error {
	if err := r.writer.Close(); err != nil {
		return err
	}
	_, err := r.recording.WriteTo(out)
	return err
}

// dayFile returns the path of the recording of the scheduler that started after `incarnation` others in a day.
func dayFile(day string, incarnation int) string {
	return filepath.Join(dayDir, fmt.Sprintf("%s-%d.gob.gz", day, incarnation))
}

func worldFile(world uint64) string {
	return filepath.Join(worldDir, fmt.Sprintf("%02d.gob.gz", world))
}

// updateDay runs a day in the emulator and writes the recordings of its schedulers in the order of their starts, until they have
// recordedDaySteps steps together.
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

// updateWorld writes the recording of the random world with the seed world.
func updateWorld(world uint64) error {
	random := rand.New(rand.NewPCG(world, 1))
	cfg := worlds.DrawConfig(func(limit int, _ string) int { return random.IntN(limit + 1) })
	module, err := newRecordedModule(cfg, world, recordedWorldSteps)
	if err != nil {
		return err
	}
	worlds.New(cfg, random).Run(recordedWorldSteps, module.Step)
	return writeCompressed(worldFile(world), module.write)
}

// updateDaysAndWorlds writes the recordings of all days that the emulator runs, and of all worlds.
func updateDaysAndWorlds() error {
	for _, day := range ablation.EmulatedDays() {
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

// checkRecording replays a stored recording and returns the number of its steps.
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
	for _, day := range ablation.EmulatedDays() {
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

// The days that the emulator cannot run have connection faults, which need sockets.
func TestRecordedSocketDaysAreReplayed(t *testing.T) {
	emulated := ablation.EmulatedDays()
	for _, day := range scenario.Names() {
		if slices.Contains(emulated, day) {
			continue
		}
		t.Run(day, func(t *testing.T) {
			path := filepath.Join(socketDayDir, day+".gob.gz")
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
