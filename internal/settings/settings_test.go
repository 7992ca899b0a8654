package settings

import (
	"errors"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"cuelang.org/go/cue"
	"cuelang.org/go/cue/cuecontext"

	"flaxshelf.example/flaxshelf"
)

const validSettings = `
inventory: "127.0.0.1:7170"
kinds: [{name: "k", cores: 8, memory: 32}]
classes: [{name: "c", effect: "idempotent-by-key", group: "zone", window: "4s", aim: "1s", giveup: "5s", spread: "zone", most: 2, kind: "k"}]
rules: drainGrace: "3s"
`

// parseScheduler parses valid settings under the file name f.cue.
func parseScheduler(t *testing.T, text string) *Scheduler {
	t.Helper()
	s, err := ParseScheduler("f.cue", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func TestSettingsBecomeConfigurations(t *testing.T) {
	s := parseScheduler(t, validSettings)
	moduleConfig, coreConfig := s.ModuleConfig(), s.CoreConfig(7)
	class := moduleConfig.Classes[0]
	for _, test := range []struct {
		name      string
		got, want any
	}{
		{"name", s.Name, "flaxshelf"},
		{"listen", s.ListenAddress, "127.0.0.1:7171"},
		{"effect", class.Idempotency, flaxshelf.IdempotentByKey},
		{"group", class.KeyDomain, flaxshelf.ZoneDomain},
		{"window", class.KeyTTL, 4 * time.Second},
		{"spread", class.SpreadDomain, flaxshelf.ZoneDomain},
		{"most", class.MaxPerDomain, 2},
		{"kind", class.Kind, 0},
		{"late worth", class.LateStartWeight, 0.1},
		{"drain grace", moduleConfig.DrainGrace, 3 * time.Second},
		{"stall threshold", coreConfig.Limits.StallThreshold, 1500 * time.Millisecond},
		{"placement timeout", coreConfig.Limits.PlacementTimeouts[0], 5 * time.Second},
		{"seed from the start time", coreConfig.Seed, uint64(7)},
		{"attempts", moduleConfig.MaxAttempts, 3},
		{"class", s.ClassIndex("c"), 0},
		{"no class", s.ClassIndex("x"), -1},
		{"no tenant", s.TenantIndex("x"), -1},
	} {
		if test.got != test.want {
			t.Errorf("%s: got %v, want %v", test.name, test.got, test.want)
		}
	}
}

// Each error names the file, line and field and says what was expected. All errors of a file are reported together.
func TestErrorTexts(t *testing.T) {
	for _, c := range []struct {
		name, text string
		want       []string
	}{
		{"not CUE", `inventory: [`, []string{"f.cue:1:"}},
		{"missing", `kinds: [{name: "k", cores: 1, memory: 1}]`, []string{"inventory", "classes"}},
		{"unknown field", validSettings + `wings: 2`, []string{"f.cue:6:1: wings: field not allowed"}},
		{"wrong type", validSettings + `tick: 5`, []string{"f.cue:6:7: tick:"}},
		{"not a duration", validSettings + `connect: "5 weeks"`, []string{"f.cue:6:", "connect:"}},
		{"negative", validSettings + `limits: maxOpen: -1`, []string{"f.cue:6:", "limits.maxOpen:", ">=1"}},
		{"two at once", validSettings + "tick: 5\nzone: 7", []string{"tick:", "zone:"}},
		{"no such kind", strings.Replace(validSettings, `kind: "k"`, `kind: "z"`, 1),
			[]string{"f.cue:4:", "classes[0].kind: no kind \"z\" is defined, expected a name in the list \"kinds\""}},
		{"aim over giveup", strings.Replace(validSettings, `aim: "1s"`, `aim: "9s"`, 1),
			[]string{"f.cue:4:", "classes[0].aim: is 9s, expected at most the value of \"giveup\", which is 5s"}},
		{"index", validSettings + "index: 4", []string{"f.cue:6:8: index: is 4, expected below schedulers, which is 1"}},
		{"tenants", validSettings + `tenants: [{name: "a"}, {name: "a"}]`, []string{`tenants[1].name: "a" names two tenants`}},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := ParseScheduler("f.cue", []byte(c.text))
			if err == nil {
				t.Fatal("got no error")
			}
			if configErrors := (ConfigErrors{}); !errors.As(err, &configErrors) {
				t.Errorf("got %v, want ConfigErrors", err)
			}
			for _, w := range c.want {
				if !strings.Contains(err.Error(), w) {
					t.Errorf("got %q, want it to contain %q", err, w)
				}
			}
		})
	}
}

func TestMissingFileIsNoConfigError(t *testing.T) {
	_, err := ReadScheduler(filepath.Join(t.TempDir(), "missing.cue"))
	if configErrors := (ConfigErrors{}); err == nil || errors.As(err, &configErrors) {
		t.Errorf("got %v, want an error that is not ConfigErrors", err)
	}
}

func TestConfigErrorHasPositionFieldValueAndReason(t *testing.T) {
	for _, c := range []struct {
		name, text string
		want       ConfigError
	}{
		{"check of this package", validSettings + "index: 4", ConfigError{File: "f.cue", Line: 6, Column: 8, Field: "index", Value: "4",
			Reason: "is 4, expected below schedulers, which is 1"}},
		{"field of a list element", strings.Replace(validSettings, `kind: "k"`, `kind: "z"`, 1), ConfigError{File: "f.cue", Line: 4, Column: 137,
			Field: "classes[0].kind", Value: `"z"`, Reason: `no kind "z" is defined, expected a name in the list "kinds"`}},
		{"unknown field", validSettings + "wings: 2", ConfigError{File: "f.cue", Line: 6, Column: 1, Field: "wings", Value: "2",
			Reason: "field not allowed"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := ParseScheduler("f.cue", []byte(c.text))
			var got ConfigError
			if !errors.As(err, &got) {
				t.Fatalf("got %v, want a ConfigError", err)
			}
			if got != c.want {
				t.Errorf("got %#v, want %#v", got, c.want)
			}
		})
	}
}

// Errors are sorted by line, regardless of the order in which the checks found them.
func TestErrorsAreInFileOrder(t *testing.T) {
	text := strings.Replace(validSettings, `kind: "k"`, `kind: "z"`, 1) + "tenants: [{name: \"a\"}, {name: \"a\"}]\nindex: 4"
	_, err := ParseScheduler("f.cue", []byte(text))
	var got ConfigErrors
	if !errors.As(err, &got) {
		t.Fatalf("got %v, want ConfigErrors", err)
	}
	var fields []string
	for _, e := range got {
		fields = append(fields, e.Field)
	}
	if want := []string{"classes[0].kind", "tenants[1].name", "index"}; !slices.Equal(fields, want) {
		t.Errorf("fields: got %v, want %v", fields, want)
	}
}

// The JSON tag of each struct field is a key of its definition in the schema; otherwise the field would never be set.
func TestTagsAreKeysOfTheSchema(t *testing.T) {
	base := cuecontext.New().CompileString(schema)
	for definition, record := range map[string]any{"#Scheduler": Scheduler{}, "#Fleet": Fleet{}, "#Node": Node{},
		"#Class": Class{}, "#Kind": Kind{}, "#Tenant": Tenant{}, "#Rules": Rules{}, "#Limits": Limits{},
		"#Behaviour": Behaviour{}} {
		keys := base.LookupPath(cue.ParsePath(definition))
		for field := range reflect.TypeOf(record).Fields() {
			if !field.IsExported() {
				continue // not read from files
			}
			tag := field.Tag.Get("json")
			if tag == "" {
				t.Errorf("%s: field %s: got no tag", definition, field.Name)
				continue
			}
			key := strings.ToLower(tag[:1]) + tag[1:]
			if !keys.LookupPath(cue.MakePath(cue.Str(key))).Exists() {
				t.Errorf("%s: field %s: got key %q, want one of the schema", definition, field.Name, key)
			}
		}
	}
}
