package settings

import (
	"fmt"

	"flaxshelf.example/flaxshelf"
)

// removalVersion is the version that removes the deprecated settings.
const removalVersion = "0.2.0"

// Deprecation reports that a file uses a deprecated setting. The setting still has its effect, until version RemovedIn.
type Deprecation struct {
	File         string
	Line, Column int    // counted from 1; 0 if the position is unknown
	Field        string // path of the setting, such as "classes[2].effect"
	Value        string // the value in CUE syntax, as written in the file
	Replacement  string // the setting to use instead, such as "moduleRecording" or `effect: "idempotent"`
	RemovedIn    string // version that removes the setting
}

// String returns one line with the position in the file, the setting and its replacement.
func (d Deprecation) String() string {
	return fmt.Sprintf("%s: %s: %s is deprecated and will be removed in %s, use %s",
		formatPosition(d.File, d.Line, d.Column), d.Field, d.Value, d.RemovedIn, d.Replacement)
}

// idempotencyReplacements maps the deprecated values of the setting `effect` to the values that replace them.
var idempotencyReplacements = map[string]string{
	"safe":   "idempotent",
	"keyed":  "idempotent-by-key",
	"unsafe": "non-idempotent",
}

// CurrentIdempotency returns the replacement of a deprecated value of the setting `effect`. Other values are returned unchanged.
func CurrentIdempotency(value string) string {
	if current, deprecated := idempotencyReplacements[value]; deprecated {
		return current
	}
	return value
}

// idempotencies maps the current (not deprecated) values of the setting `effect` to those of the placement module.
var idempotencies = map[string]flaxshelf.Idempotency{
	"idempotent":        flaxshelf.Idempotent,
	"idempotent-by-key": flaxshelf.IdempotentByKey,
	"non-idempotent":    flaxshelf.NonIdempotent,
}

// replaceDeprecated records a Deprecation for each deprecated setting that the file uses. It copies `tap` to ModuleRecording.
// Deprecated values of `effect` stay in Class.Idempotency; Class.ModuleIdempotency translates them.
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
		f.AddErrorf("tap", "is the deprecated name of moduleRecording, and the file sets both; expected only moduleRecording")
	}
	s.ModuleRecording = s.DeprecatedModuleRecording
}

// addDeprecation records that the file uses a deprecated setting.
func (s *Scheduler) addDeprecation(f *File, field, replacement string) {
	pos := f.position(field)
	s.deprecations = append(s.deprecations, Deprecation{File: f.name, Line: pos.Line(), Column: pos.Column(), Field: field,
		Value: f.valueText(field), Replacement: replacement, RemovedIn: removalVersion})
}

// Deprecations returns the deprecated settings that the file uses: first those of the classes, in the order of the classes,
// then the others. The caller must not modify the slice.
func (s *Scheduler) Deprecations() []Deprecation { return s.deprecations }
