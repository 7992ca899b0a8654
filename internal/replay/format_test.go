package replay

import (
	"bytes"
	"compress/gzip"
	"errors"
	"flag"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"flaxshelf.example/flaxshelf"
)

// The stored recordings were written by the build of commit ad3e0ee, which encoded the types of package flaxshelf itself instead
// of record types.
//
// allTypesFile has values of every event and action type and is never rewritten: it stands for the recordings that users have.
// decisionsFile has the module's decisions in a simulated cluster: -update rewrites it when decisions change on purpose.
const (
	allTypesFile  = "testdata/all-types.gob.gz"
	decisionsFile = "testdata/decisions.gob.gz"
)

var update = flag.Bool("update", false, "rewrite the stored recordings that hold decisions, and write all-types.gob.gz if it is missing")

func TestMain(m *testing.M) {
	flag.Parse()
	if *update {
		if err := updateRecordings(); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
	os.Exit(m.Run())
}

// updateRecordings writes the stored recordings, but keeps an existing allTypesFile.
func updateRecordings() error {
	if _, err := os.Stat(allTypesFile); errors.Is(err, fs.ErrNotExist) {
		if err := writeCompressed(allTypesFile, recordAllTypes); err != nil {
			return err
		}
	}
	if err := writeCompressed(decisionsFile, recordDecisions); err != nil {
		return err
	}
	return updateDaysAndWorlds()
}

// writeCompressed writes a gzip file of what record writes.
func writeCompressed(path string, record func(io.Writer) error) error {
	var plain, compressed bytes.Buffer
	if err := record(&plain); err != nil {
		return err
	}
	compressor := gzip.NewWriter(&compressed)
	if _, err := compressor.Write(plain.Bytes()); err != nil {
		return err
	}
	if err := compressor.Close(); err != nil {
		return err
	}
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return err
	}
	return os.WriteFile(path, compressed.Bytes(), 0o644)
}

// readCompressed returns the decompressed content of a gzip file.
func readCompressed(t *testing.T, path string) []byte {
	t.Helper()
	f, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		if err := f.Close(); err != nil {
			t.Error(err)
		}
	}()
	decompressor, err := gzip.NewReader(f)
	if err != nil {
		t.Fatal(err)
	}
	plain, err := io.ReadAll(decompressor)
	if err != nil {
		t.Fatal(err)
	}
	return plain
}

const allTypesNow = 11 * time.Second

// recordAllTypes writes the recording that allTypesFile holds.
func recordAllTypes(out io.Writer) error {
	w, err := NewWriter(out, storedConfig(), storedSeed)
	if err != nil {
		return err
	}
	w.WriteStep(allTypesNow, allEvents(), allActions())
	w.WriteStep(0, nil, nil)
	return w.Close()
}

// scriptedModule is a module that expects given times and events in its steps, and returns given actions.
type scriptedModule struct {
	t       *testing.T
	steps   int
	events  [][]flaxshelf.Event
	actions [][]flaxshelf.Action
	times   []flaxshelf.Time
}

func (s *scriptedModule) Step(now flaxshelf.Time, events []flaxshelf.Event) []flaxshelf.Action {
	i := s.steps
	s.steps++
	if i >= len(s.times) {
		s.t.Fatalf("got step %d, want %d steps", i+1, len(s.times))
	}
	if now != s.times[i] {
		s.t.Errorf("step %d: got time %v, want %v", i+1, now, s.times[i])
	}
	if !reflect.DeepEqual(events, s.events[i]) {
		s.t.Errorf("step %d: got events %#v,\nwant %#v", i+1, events, s.events[i])
	}
	return s.actions[i]
}

// checkAllTypes replays a recording of recordAllTypes and compares its configuration, seed, times, events and actions.
func checkAllTypes(t *testing.T, recording []byte) {
	t.Helper()
	s := &scriptedModule{t: t, times: []flaxshelf.Time{allTypesNow, 0}, events: [][]flaxshelf.Event{allEvents(), nil},
		actions: [][]flaxshelf.Action{allActions(), nil}}
	result, err := CheckWith(bytes.NewReader(recording), func(c flaxshelf.Config, seed uint64) (Module, error) {
		if !reflect.DeepEqual(c, storedConfig()) {
			t.Errorf("got config %+v,\nwant %+v", c, storedConfig())
		}
		if seed != storedSeed {
			t.Errorf("got seed %x, want %x", seed, uint64(storedSeed))
		}
		return s, nil
	})
	if err != nil {
		t.Fatal(err)
	}
	want := Result{Steps: 2, Events: len(allEvents()), Actions: len(allActions())}
	if result != want {
		t.Errorf("got %+v, want %+v", result, want)
	}
}

func TestReadsAllTypesOfEarlierBuild(t *testing.T) {
	checkAllTypes(t, readCompressed(t, allTypesFile))
}

// typeCounter wraps a module and counts its events and actions by type.
type typeCounter struct {
	Module
	types map[reflect.Type]int
}

func (c *typeCounter) Step(now flaxshelf.Time, events []flaxshelf.Event) []flaxshelf.Action {
	actions := c.Module.Step(now, events)
	for _, e := range events {
		c.types[reflect.TypeOf(e)]++
	}
	for _, a := range actions {
		c.types[reflect.TypeOf(a)]++
	}
	return actions
}

// A recording of an earlier build must be replayed with the same decisions. It has all event types, and all action types that the
// module uses today, which are all but HealthCheck and SendGossip.
func TestReplaysDecisionsOfEarlierBuild(t *testing.T) {
	recording := readCompressed(t, decisionsFile)
	result, err := Check(bytes.NewReader(recording))
	if err != nil {
		t.Fatal(err)
	}
	if want := (Result{Steps: decisionSteps, Events: 3813, Actions: 543}); result != want {
		t.Errorf("got %+v, want %+v", result, want)
	}
	counter := &typeCounter{types: map[reflect.Type]int{}}
	if _, err := CheckWith(bytes.NewReader(recording), func(c flaxshelf.Config, seed uint64) (Module, error) {
		counter.Module, err = flaxshelf.New(c, seed)
		return counter, err
	}); err != nil {
		t.Fatal(err)
	}
	for _, e := range allEvents() {
		if counter.types[reflect.TypeOf(e)] == 0 {
			t.Errorf("got no event of type %T, want at least one", e)
		}
	}
	for _, a := range allActions() {
		switch a.(type) {
		case flaxshelf.HealthCheck, flaxshelf.SendGossip:
			continue
		}
		if counter.types[reflect.TypeOf(a)] == 0 {
			t.Errorf("got no action of type %T, want at least one", a)
		}
	}
}

// decisionConfig is storedConfig without hedged requests and PlacedWhenRunning, in a zone of the simulated cluster, and with
// classes that may run on machines of any kind, so that most tasks find a machine.
func decisionConfig() flaxshelf.Config {
	cfg := storedConfig()
	cfg.Index, cfg.PlacedWhenRunning, cfg.HedgedRequests, cfg.Zone = 0, false, false, "a"
	for i := range cfg.Classes {
		cfg.Classes[i].Kind = -1
	}
	return cfg
}

// recordDecisions writes the recording that decisionsFile holds: a module's steps in a simulated cluster.
func recordDecisions(out io.Writer) error {
	w, err := NewWriter(out, decisionConfig(), decisionSeed)
	if err != nil {
		return err
	}
	placer, err := flaxshelf.New(decisionConfig(), decisionSeed)
	if err != nil {
		return err
	}
	c := newCluster()
	for step := range decisionSteps {
		c.now += decisionStep
		events := c.stepEvents(step)
		actions := placer.Step(c.now, events)
		w.WriteStep(c.now, events, actions)
		c.execute(actions)
	}
	return w.Close()
}
