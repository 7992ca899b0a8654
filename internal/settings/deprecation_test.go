package settings

import (
	"errors"
	"slices"
	"strings"
	"testing"

	"flaxshelf.example/flaxshelf"
)

// withEffect returns validSettings with another value of `effect`.
func withEffect(effect string) string {
	return strings.Replace(validSettings, `effect: "idempotent-by-key"`, `effect: "`+effect+`"`, 1)
}

// A deprecated value of `effect` has the same meaning as its replacement, and is reported once, with the replacement.
func TestDeprecatedIdempotency(t *testing.T) {
	for _, test := range []struct {
		deprecated, current string
		want                flaxshelf.Idempotency
	}{
		{"safe", "idempotent", flaxshelf.Idempotent},
		{"keyed", "idempotent-by-key", flaxshelf.IdempotentByKey},
		{"unsafe", "non-idempotent", flaxshelf.NonIdempotent},
	} {
		t.Run(test.deprecated, func(t *testing.T) {
			current := parseScheduler(t, withEffect(test.current))
			if got := current.Classes[0].ModuleIdempotency(); got != test.want {
				t.Errorf("%s: got %v, want %v", test.current, got, test.want)
			}
			if got := current.Deprecations(); len(got) > 0 {
				t.Errorf("%s: got %v, want no deprecation", test.current, got)
			}
			old := parseScheduler(t, withEffect(test.deprecated))
			if got := old.Classes[0].ModuleIdempotency(); got != test.want {
				t.Errorf("%s: got %v, want %v", test.deprecated, got, test.want)
			}
			want := []Deprecation{{File: "f.cue", Line: 4, Column: 31, Field: "classes[0].effect",
				Value:       `"` + test.deprecated + `"`,
				Replacement: `effect: "` + test.current + `"`, RemovedIn: "0.2.0"}}
			if got := old.Deprecations(); !slices.Equal(got, want) {
				t.Errorf("%s: got %+v, want %+v", test.deprecated, got, want)
			}
		})
	}
}

func TestDefaultIdempotencyIsCurrent(t *testing.T) {
	s := parseScheduler(t, strings.Replace(validSettings, `effect: "idempotent-by-key", `, "", 1))
	if got := s.Classes[0].Idempotency; got != "non-idempotent" || len(s.Deprecations()) > 0 {
		t.Errorf("got %q, %v, want non-idempotent and no deprecation", got, s.Deprecations())
	}
}

func TestDeprecatedRecording(t *testing.T) {
	t.Run("alone", func(t *testing.T) {
		s := parseScheduler(t, validSettings+`tap: "steps"`)
		if s.ModuleRecording != "steps" {
			t.Errorf("recording: got %q, want steps", s.ModuleRecording)
		}
		want := "f.cue:6:6: tap: \"steps\" is deprecated and will be removed in 0.2.0, use moduleRecording"
		if got := s.Deprecations(); len(got) != 1 || got[0].String() != want {
			t.Errorf("got %v, want %s", got, want)
		}
	})
	t.Run("replaced", func(t *testing.T) {
		s := parseScheduler(t, validSettings+`moduleRecording: "steps"`)
		if s.ModuleRecording != "steps" || len(s.Deprecations()) > 0 {
			t.Errorf("got %q, %v, want steps and no deprecation", s.ModuleRecording, s.Deprecations())
		}
	})
	t.Run("with its replacement", func(t *testing.T) {
		_, err := ParseScheduler("f.cue", []byte(validSettings+"tap: \"a\"\nmoduleRecording: \"b\""))
		var invalid ConfigError
		if !errors.As(err, &invalid) || invalid.Field != "tap" {
			t.Errorf("got %v, want an error of tap", err)
		}
	})
}
