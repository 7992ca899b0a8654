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

// The stored recordings were written by the build of commit ad3e0ee, which encoded the module's own types.
//
// allTypesFile has one value of each event and action type and is never rewritten: it represents the recordings that
// users have. decisionsFile also holds decisions, so it is rewritten with -update when they change on purpose.
const (
	allTypesFile  = "testdata/all-types.gob.gz"
	decisionsFile = "testdata/decisions.gob.gz"
)

var update = flag.Bool("update", false, "rewrite the stored decisions, and write the other recordings that are missing")

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

func writeCompressed(path string, record func(io.Writer) error) error {
	var plain, zipped bytes.Buffer
	if err := record(&plain); err != nil {
		return err
	}
	compressor := gzip.NewWriter(&zipped)
	if _, err := compressor.Write(plain.Bytes()); err != nil {
		return err
	}
	if err := compressor.Close(); err != nil {
		return err
	}
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return err
	}
	return os.WriteFile(path, zipped.Bytes(), 0o644)
}

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

func recordAllTypes(out io.Writer) error {
	w, err := NewWriter(out, storedConfig(), storedSeed)
	if err != nil {
		return err
	}
	w.WriteStep(allTypesNow, allEvents(), allActions())
	w.WriteStep(0, nil, nil)
	return w.Close()
}

// scriptedModule is a module that expects the events of a test and returns the actions of the test.
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
		s.t.Fatalf("got step %d, which was not recorded", i+1)
	}
	if now != s.times[i] {
		s.t.Errorf("step %d: got time %v, want %v", i+1, now, s.times[i])
	}
	if !reflect.DeepEqual(events, s.events[i]) {
		s.t.Errorf("step %d: got events %#v,\nwant %#v", i+1, events, s.events[i])
	}
	return s.actions[i]
}

// checkAllTypes reads a recording of recordAllTypes, and compares each value.
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

// typeCounter plays to a module, and counts the types of its events and actions.
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

// The recording has all events, and all actions that a module takes today: none is a health check or sends gossip.
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
			t.Errorf("got no event %T, want one", e)
		}
	}
	for _, a := range allActions() {
		switch a.(type) {
		case flaxshelf.HealthCheck, flaxshelf.SendGossip:
			continue
		}
		if counter.types[reflect.TypeOf(a)] == 0 {
			t.Errorf("got no action %T, want one", a)
		}
	}
}

// decisionConfig leaves out the spread rules and the kinds, so that most tasks find a machine.
func decisionConfig() flaxshelf.Config {
	cfg := storedConfig()
	cfg.Index, cfg.PlacedWhenRunning, cfg.HedgedRequests, cfg.Zone = 0, false, false, "a"
	for i := range cfg.Classes {
		cfg.Classes[i].Kind = -1
	}
	return cfg
}

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
