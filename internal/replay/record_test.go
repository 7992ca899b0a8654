package replay

import (
	"bytes"
	"encoding/gob"
	"errors"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io"
	"maps"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"

	"flaxshelf.example/flaxshelf"
)

// fill sets every exported field of v, at any depth, to a nonzero value. It takes values from the counter next, so that fields
// differ where their type allows it.
func fill(t *testing.T, v reflect.Value, next *int64) {
	t.Helper()
	*next++
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int64:
		v.SetInt(*next)
	case reflect.Uint8:
		v.SetUint(uint64(*next%255) + 1)
	case reflect.Float64:
		v.SetFloat(float64(*next) + 0.5)
	case reflect.String:
		v.SetString(strings.Repeat("x", int(*next)))
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		for i := range v.Len() {
			fill(t, v.Index(i), next)
		}
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Type().Field(i).IsExported() {
				fill(t, v.Field(i), next)
			}
		}
	default:
		t.Fatalf("got a field of kind %v, want one that fill knows: add the kind to it", v.Kind())
	}
}

// filled returns a value of the dynamic type of example with every field set.
func filled[T any](t *testing.T, example T, next *int64) T {
	t.Helper()
	v := reflect.New(reflect.TypeOf(example)).Elem()
	fill(t, v, next)
	return v.Interface().(T)
}

// readAll returns the reader of a recording, which has its header, and all steps.
func readAll(t testing.TB, recording []byte) (*reader, []step) {
	t.Helper()
	in, err := newReader(bytes.NewReader(recording))
	if err != nil {
		t.Fatal(err)
	}
	var steps []step
	for {
		s, err := in.next()
		if errors.Is(err, io.EOF) {
			return in, steps
		}
		if err != nil {
			t.Fatal(err)
		}
		steps = append(steps, s)
	}
}

// writeAll returns a recording of steps.
func writeAll(t testing.TB, config flaxshelf.Config, seed uint64, steps []step) []byte {
	t.Helper()
	var b bytes.Buffer
	w, err := NewWriter(&b, config, seed)
	if err != nil {
		t.Fatal(err)
	}
	for _, s := range steps {
		w.WriteStep(s.now, s.events, s.actions)
	}
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	return b.Bytes()
}

// Guards against a field of Config, an event or an action that a recording loses or alters: all fields, also those added later,
// are filled by reflection, written and read.
func TestEveryFieldIsRestored(t *testing.T) {
	var next int64
	config := filled(t, flaxshelf.Config{}, &next)
	written := step{now: 3}
	for _, e := range allEvents() {
		written.events = append(written.events, filled(t, e, &next))
	}
	for _, a := range allActions() {
		written.actions = append(written.actions, filled(t, a, &next))
	}
	in, steps := readAll(t, writeAll(t, config, 5, []step{written}))
	if !reflect.DeepEqual(in.config, config) || in.seed != 5 {
		t.Errorf("got config %+v, seed %d;\nwant %+v and 5", in.config, in.seed, config)
	}
	if len(steps) != 1 || steps[0].now != 3 {
		t.Fatalf("got steps %+v, want one at time 3", steps)
	}
	for i, e := range steps[0].events {
		if !reflect.DeepEqual(e, written.events[i]) {
			t.Errorf("got event %#v,\nwant %#v", e, written.events[i])
		}
	}
	for i, a := range steps[0].actions {
		if !reflect.DeepEqual(a, written.actions[i]) {
			t.Errorf("got action %#v,\nwant %#v", a, written.actions[i])
		}
	}
}

// receiverTypes returns the sorted names of the types of package flaxshelf that have the named method.
func receiverTypes(t *testing.T, method string) []string {
	t.Helper()
	files, err := filepath.Glob("../../*.go")
	if err != nil {
		t.Fatal(err)
	}
	var types []string
	for _, name := range files {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		file, err := parser.ParseFile(token.NewFileSet(), name, nil, parser.SkipObjectResolution)
		if err != nil {
			t.Fatal(err)
		}
		for _, d := range file.Decls {
			f, ok := d.(*ast.FuncDecl)
			if !ok || f.Recv == nil || f.Name.Name != method {
				continue
			}
			if receiver, ok := f.Recv.List[0].Type.(*ast.Ident); ok {
				types = append(types, receiver.Name)
			}
		}
	}
	slices.Sort(types)
	return types
}

// typeNames returns the sorted names of the types of values, each once.
func typeNames[T any](values []T) []string {
	names := map[string]bool{}
	for _, v := range values {
		names[reflect.TypeOf(v).Name()] = true
	}
	return slices.Sorted(maps.Keys(names))
}

// Guards against an event or action type of package flaxshelf that allEvents or allActions lacks, and which the tests of this
// package would not cover. Every event type has a method event, and every action type a method handle.
func TestFixturesCoverEveryType(t *testing.T) {
	if got, want := typeNames(allEvents()), receiverTypes(t, "event"); !slices.Equal(got, want) {
		t.Errorf("got event types %v, want those of package flaxshelf: %v", got, want)
	}
	if got, want := typeNames(allActions()), receiverTypes(t, "handle"); !slices.Equal(got, want) {
		t.Errorf("got action types %v, want those of package flaxshelf: %v", got, want)
	}
}

// Recordings store enumerations as their numbers: a changed number would alter the meaning of earlier recordings.
func TestEnumerationsKeepTheirStoredNumbers(t *testing.T) {
	for _, c := range []struct {
		name    string
		numbers []int
	}{
		{"Idempotency", []int{int(flaxshelf.Idempotent), int(flaxshelf.IdempotentByKey), int(flaxshelf.NonIdempotent)}},
		{"TopologyDomain", []int{int(flaxshelf.NoDomain), int(flaxshelf.MachineDomain), int(flaxshelf.CellDomain), int(flaxshelf.ZoneDomain),
			int(flaxshelf.FleetDomain)}},
		{"MachineState", []int{int(flaxshelf.Active), int(flaxshelf.Draining), int(flaxshelf.Removed)}},
		{"Outcome", []int{int(flaxshelf.Completed), int(flaxshelf.Failed), int(flaxshelf.Rejected), int(flaxshelf.TimedOut),
			int(flaxshelf.Unreachable), int(flaxshelf.Lost), int(flaxshelf.Canceled), int(flaxshelf.NotSent)}},
		{"Reason", []int{int(flaxshelf.UnspecifiedReason), int(flaxshelf.InsufficientCores), int(flaxshelf.InsufficientMemory), int(flaxshelf.QueueFull),
			int(flaxshelf.UnsupportedTask), int(flaxshelf.Evicted), int(flaxshelf.Preempted), int(flaxshelf.DrainedAway)}},
		{"UsageKind from 1", []int{int(flaxshelf.TaskRunning) - 1, int(flaxshelf.CoresUsed) - 1, int(flaxshelf.MemoryUsed) - 1,
			int(flaxshelf.ServiceLevel) - 1, int(flaxshelf.MemoryPressure) - 1}},
	} {
		for want, got := range c.numbers {
			if got != want {
				t.Errorf("%s: got %v, want 0, 1, 2 and so on", c.name, c.numbers)
				break
			}
		}
	}
}

func TestStoredRecordingsAreRewrittenUnchanged(t *testing.T) {
	for _, path := range []string{allTypesFile, decisionsFile} {
		stored, steps := readAll(t, readCompressed(t, path))
		rewritten := writeAll(t, stored.config, stored.seed, steps)
		read, stepsRead := readAll(t, rewritten)
		if !reflect.DeepEqual(read.config, stored.config) || read.seed != stored.seed ||
			!reflect.DeepEqual(stepsRead, steps) {
			t.Errorf("%s: got other content after writing it again, want the same", path)
		}
		if path == allTypesFile {
			checkAllTypes(t, rewritten)
		}
	}
}

// encode returns the gob stream of values, which need not be a valid recording.
func encode(t *testing.T, values ...any) []byte {
	t.Helper()
	var b bytes.Buffer
	encoder := gob.NewEncoder(&b)
	for _, v := range values {
		if err := encoder.Encode(v); err != nil {
			t.Fatal(err)
		}
	}
	return b.Bytes()
}

func TestUnreadableRecordingReturnsFormatError(t *testing.T) {
	header := headerRecord{Version: Version}
	stored := readCompressed(t, allTypesFile)
	renamed := bytes.ReplaceAll(stored, []byte(storedTypePrefix+"Gone"), []byte(storedTypePrefix+"Here"))
	if bytes.Equal(renamed, stored) {
		t.Fatal("got a recording without the type name Gone, want it there")
	}
	for _, c := range []struct {
		name      string
		recording []byte
		version   int
		want      []string
	}{
		{"empty", nil, 0, []string{"the header", "EOF", "not a module recording"}},
		{"another file", []byte("nonsense"), 0, []string{"the header", "not a module recording", "setting moduleRecording"}},
		{"another gob", encode(t, struct{ Wings int }{2}), 0, []string{"the header", "not a module recording"}},
		{"newer", encode(t, headerRecord{Version: 2}), 2, []string{"the header", "version 2", "reads version 1",
			"the build that wrote it"}},
		{"newer, with another header", encode(t, struct {
			Version int
			Config  []string
		}{3, []string{"x"}}), 3, []string{"version 3", "reads version 1"}},
		{"another header", encode(t, struct {
			Version int
			Config  []string
		}{Version, []string{"x"}}), Version, []string{"the header", "version 1", "the build that wrote it"}},
		{"unknown type", renamed, Version, []string{"step 1", storedTypePrefix + "Here", "the build that wrote it"}},
		{"an action among the events", encode(t, header, struct{ Events []any }{[]any{offerRecord{}}}), Version,
			[]string{"step 1", "offerRecord"}},
		{"no type", encode(t, header, struct{ Events []eventRecord }{[]eventRecord{nil}}), Version,
			[]string{"step 1", "has no type"}},
		{"another step", encode(t, header, stepRecord{}, struct{ Now string }{"x"}), Version, []string{"step 2"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			module := func(flaxshelf.Config, uint64) (Module, error) { return idleModule{}, nil }
			_, err := CheckWith(bytes.NewReader(c.recording), module)
			var formatError *FormatError
			if !errors.As(err, &formatError) {
				t.Fatalf("got %v, want a FormatError", err)
			}
			if formatError.Version != c.version {
				t.Errorf("got version %d, want %d", formatError.Version, c.version)
			}
			for _, want := range c.want {
				if !strings.Contains(err.Error(), want) {
					t.Errorf("got %q, want %q in it", err, want)
				}
			}
		})
	}
}

func TestFormatErrorWrapsItsReason(t *testing.T) {
	if _, err := Check(bytes.NewReader(nil)); !errors.Is(err, io.EOF) {
		t.Errorf("got %v, want it to wrap io.EOF", err)
	}
}

// idleModule is a module that takes no action.
type idleModule struct{}

func (idleModule) Step(flaxshelf.Time, []flaxshelf.Event) []flaxshelf.Action { return nil }

func TestUnknownTypeEndsTheRecording(t *testing.T) {
	for _, c := range []struct {
		name    string
		want    string
		events  []flaxshelf.Event
		actions []flaxshelf.Action
	}{
		{"pointer to an event", fmt.Sprintf("%T", &flaxshelf.TaskCanceled{}), []flaxshelf.Event{&flaxshelf.TaskCanceled{}}, nil},
		{"pointer to an action", fmt.Sprintf("%T", &flaxshelf.SetTimer{}), nil, []flaxshelf.Action{&flaxshelf.SetTimer{}}},
		{"nil event", "<nil>", []flaxshelf.Event{nil}, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			w, err := Create(filepath.Join(t.TempDir(), "recording"), flaxshelf.Config{}, 1)
			if err != nil {
				t.Fatal(err)
			}
			w.WriteStep(1, c.events, c.actions)
			w.WriteStep(2, nil, nil)
			err = w.Close()
			var unknown *UnknownTypeError
			if !errors.As(err, &unknown) || !strings.Contains(err.Error(), c.want) {
				t.Errorf("got %v, want an UnknownTypeError that names %s", err, c.want)
			}
		})
	}
}

func TestCreateReportsAMissingFolder(t *testing.T) {
	if _, err := Create(filepath.Join(t.TempDir(), "no", "folder"), flaxshelf.Config{}, 1); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("got %v, want ErrNotExist", err)
	}
}
