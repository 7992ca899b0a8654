package replay

import (
	"fmt"
	"reflect"

	"flaxshelf.example/flaxshelf"
)

// FormatError reports a file that this build can't read as a recording: another kind of file, a recording of another
// version or with types that this build does not know, or a damaged recording.
type FormatError struct {
	Part    string // part of the recording that can't be read: "the header" or "step 3"
	Version int    // version of the recording; zero if unknown
	Err     error  // nil if the version alone is the reason
}

// Error describes the part, the reason and the remedy.
func (e *FormatError) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("replay: read %s: the recording has version %d, this build reads version %d: "+
			"replay it with the build that wrote it", e.Part, e.Version, Version)
	}
	if e.Version == 0 {
		return fmt.Sprintf("replay: read %s: not a module recording, or a damaged one (this build reads version %d): "+
			"name a file that a scheduler's setting tap wrote: %v", e.Part, Version, e.Err)
	}
	return fmt.Sprintf("replay: read %s: damaged, or of a newer build (the recording has version %d, which this build "+
		"reads): replay it with the build that wrote it: %v", e.Part, e.Version, e.Err)
}

// Unwrap returns Err.
func (e *FormatError) Unwrap() error { return e.Err }

// UnknownTypeError reports an event or action of a type that has no record in the format.
type UnknownTypeError struct{ Value any }

// Error names the type.
func (e *UnknownTypeError) Error() string {
	return fmt.Sprintf("version %d of recordings has no form for values of type %T", Version, e.Value)
}

// MissingFieldError reports a field without a counterpart in the other type: a field of package flaxshelf that no field of its
// record stores, or a field of a record that stores none.
type MissingFieldError struct {
	Type      reflect.Type // that has the field
	Field     string
	MissingIn reflect.Type // that lacks its counterpart
}

// Error names the field, and the type that lacks it.
func (e *MissingFieldError) Error() string {
	return fmt.Sprintf("%v.%s has no counterpart in %v", e.Type, e.Field, e.MissingIn)
}

// DivergenceError reports a step in which a module's actions differ from the recorded ones.
type DivergenceError struct {
	Step        int                // number of the step, from 1
	ActionIndex int                // index of the first action that differs; -1 if the number of actions differs
	Replayed    []flaxshelf.Action // of the module
	Recorded    []flaxshelf.Action // of the recording
}

// actionCountDiffers is the DivergenceError.ActionIndex if the number of actions differs.
const actionCountDiffers = -1

// Error names the step and the first action that differs.
func (e *DivergenceError) Error() string {
	if e.ActionIndex == actionCountDiffers {
		return fmt.Sprintf("replay: step %d: %d actions, recorded were %d", e.Step, len(e.Replayed), len(e.Recorded))
	}
	return fmt.Sprintf("replay: step %d: action %d is %#v, recorded was %#v", e.Step, e.ActionIndex, e.Replayed[e.ActionIndex],
		e.Recorded[e.ActionIndex])
}
