package scenario

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"reflect"
	"testing"

	"flaxshelf.example/flaxshelf/internal/settings"
)

// dayText is a day in which every field is set. storedDay is its JSON and deprecatedSchedulerFile the configuration file of one
// of its schedulers, both written by the build of commit ad3e0ee. storedSchedulerFile is the same configuration without
// deprecated settings.
const (
	dayText                 = "testdata/day.cue"
	storedDay               = "testdata/day.json"
	storedSchedulerFile     = "testdata/scheduler.json"
	deprecatedSchedulerFile = "testdata/scheduler-deprecated.json"
)

func readFile(t *testing.T, path string) []byte {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

func parseDay(t *testing.T) *Day {
	t.Helper()
	d, err := Parse(dayText, readFile(t, dayText))
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// zeroFields returns the paths of the fields within v that have their zero value or are empty lists. The path of v is path.
func zeroFields(path string, v reflect.Value) []string {
	var fields []string
	switch {
	case v.Kind() == reflect.Struct:
		for i := range v.NumField() {
			fields = append(fields, zeroFields(path+"."+v.Type().Field(i).Name, v.Field(i))...)
		}
	case v.IsZero() || v.Kind() == reflect.Slice && v.Len() == 0:
		fields = append(fields, path)
	case v.Kind() == reflect.Slice || v.Kind() == reflect.Array:
		for i := range v.Len() {
			fields = append(fields, zeroFields(fmt.Sprintf("%s[%d]", path, i), v.Index(i))...)
		}
	}
	return fields
}

// Experiments identify their stored results by a hash of the day's JSON, so a changed JSON name would make them unusable.
func TestJSONOfADayKeepsItsNames(t *testing.T) {
	d := parseDay(t)
	if fields := zeroFields("Day", reflect.ValueOf(*d)); fields != nil {
		t.Errorf("got unset fields %v in the day of this test, want none", fields)
	}
	stored := bytes.TrimSuffix(readFile(t, storedDay), []byte("\n"))
	text, err := json.Marshal(d)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(text, stored) {
		t.Errorf("got %s,\nwant %s", text, stored)
	}
	read := &Day{Name: d.Name}
	dec := json.NewDecoder(bytes.NewReader(stored))
	dec.DisallowUnknownFields()
	if err := dec.Decode(read); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(read, d) {
		t.Errorf("got %+v, want %+v", read, d)
	}
}

func TestSchedulerFileHasTheNamesOfTheSchema(t *testing.T) {
	text, err := parseDay(t).SchedulerFile(1, "127.0.0.1:7170", "tap", 7)
	if err != nil {
		t.Fatal(err)
	}
	if stored := bytes.TrimSuffix(readFile(t, storedSchedulerFile), []byte("\n")); !bytes.Equal(text, stored) {
		t.Errorf("got %s,\nwant %s", text, stored)
	}
}

func TestSchedulerFileOfEarlierBuildHasTheSameMeaning(t *testing.T) {
	parse := func(path string) *settings.Scheduler {
		t.Helper()
		s, err := settings.ParseScheduler(path, readFile(t, path))
		if err != nil {
			t.Fatal(err)
		}
		return s
	}
	earlier, current := parse(deprecatedSchedulerFile), parse(storedSchedulerFile)
	if got, want := earlier.ModuleConfig(), current.ModuleConfig(); !reflect.DeepEqual(got, want) {
		t.Errorf("got configuration %+v,\nwant %+v", got, want)
	}
	if got, want := earlier.ModuleRecording, current.ModuleRecording; got != want {
		t.Errorf("got module recording %q, want %q", got, want)
	}
	if len(earlier.Deprecations()) == 0 || len(current.Deprecations()) > 0 {
		t.Errorf("got deprecations %v and %v, want some of the earlier build's file alone", earlier.Deprecations(),
			current.Deprecations())
	}
}
