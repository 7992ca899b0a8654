package settings

import (
	"fmt"

	"flaxshelf.example/flaxshelf"
)

// removalVersion is the version in which the deprecated settings are removed.
const removalVersion = "0.2.0"

// Deprecation reports the use of a deprecated setting, which has its meaning until a later version.
type Deprecation struct {
	File         string
	Line, Column int    // counted from 1; 0 where the place in the file is not known
	Field        string // path of the setting, as "classes[2].effect"
	Value        string // as the file writes it
	Replacement  string // the setting to write in its place, as "moduleRecording" or `effect: "idempotent"`
	RemovedIn    string // version
}

// String returns the place in the file, the setting and its replacement, in one line.
func (d Deprecation) String() string {
	return fmt.Sprintf("%s: %s: %s is deprecated and will be removed in %s, use %s",
		formatPosition(d.File, d.Line, d.Column), d.Field, d.Value, d.RemovedIn, d.Replacement)
}

// deprecatedIdempotencies are the current values of the setting `effect` by the deprecated ones.
var idempotencyReplacements = map[string]string{
	"safe":   "idempotent",
	"keyed":  "idempotent-by-key",
	"unsafe": "non-idempotent",
}

// CurrentIdempotency returns the value that replaces a deprecated one of the setting `effect`, and any other value as it is.
func CurrentIdempotency(value string) string {
	if current, deprecated := idempotencyReplacements[value]; deprecated {
		return current
	}
	return value
}

// idempotencies are the module's values for the current values of the setting `effect`.
var idempotencies = map[string]flaxshelf.Idempotency{
	"idempotent":        flaxshelf.Idempotent,
	"idempotent-by-key": flaxshelf.IdempotentByKey,
	"non-idempotent":    flaxshelf.NonIdempotent,
}

// findDeprecations reports the deprecated settings that the file uses, and sets those that replace them.
func (s *Scheduler) replaceDeprecated(f *File) {
	for i, c := range s.Classes {
		if current := CurrentIdempotency(c.Idempotency); current != c.Idempotency {
			s.addDeprecation(f, elementPath("classes", i, "effect"), fmt.Sprintf("effect: %q", current))
		}
	}
	if s.DeprecatedModuleRecording == "" {
		return
	}
	s.addDeprecation(f, "tap", "moduleRecording")
	if s.ModuleRecording != "" {
		f.AddErrorf("tap", "is the deprecated name of moduleRecording, expected only one of them")
	}
	s.ModuleRecording = s.DeprecatedModuleRecording
}

// deprecate reports the use of a deprecated setting.
func (s *Scheduler) addDeprecation(f *File, field, replacement string) {
	pos := f.pos(field)
	s.deprecations = append(s.deprecations, Deprecation{File: f.name, Line: pos.Line(), Column: pos.Column(), Field: field,
		Value: f.valueText(field), Replacement: replacement, RemovedIn: removalVersion})
}

// Deprecations returns the deprecated settings that the file uses: first those of classes, in their order. The caller must not
// change the slice.
func (s *Scheduler) Deprecations() []Deprecation { return s.deprecations }
