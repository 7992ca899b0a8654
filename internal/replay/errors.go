package replay

import (
	"fmt"
	"reflect"

	"flaxshelf.example/flaxshelf"
)

// FormatError reports a file that this build cannot read as a recording: it is no recording, its version or one of its
// types is unknown to this build, or it is damaged.
type FormatError struct {
	Part    string // unreadable part of the recording: "the header" or "step 3"
	Version int    // version of the recording; zero if unknown
	Err     error  // nil if the version alone is the reason
}

// Error describes the unreadable part, the reason and a remedy.
func (e *FormatError) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("replay: read %s: the recording has version %d, this build reads version %d: "+
			"replay it with the build that wrote it", e.Part, e.Version, Version)
	}
	if e.Version == 0 {
		return fmt.Sprintf("replay: read %s: not a module recording, or a damaged one (this build reads version %d): "+
			"expected a file that a scheduler wrote for its setting moduleRecording: %v", e.Part, Version, e.Err)
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
	return fmt.Sprintf("recording format version %d cannot store values of type %T", Version, e.Value)
}

// MissingFieldError reports a field that has no counterpart: a field of package flaxshelf that its record does not store, or a
// field of a record that stores no field of package flaxshelf, or one that another field of the record stores already.
type MissingFieldError struct {
	Type      reflect.Type // has the field
	Field     string
	MissingIn reflect.Type // lacks the counterpart
}

// Error names the field and the type that lacks its counterpart.
func (e *MissingFieldError) Error() string {
	return fmt.Sprintf("%v.%s has no counterpart in %v", e.Type, e.Field, e.MissingIn)
}

// DivergenceError reports a step in which a module's actions differ from the recorded ones.
type DivergenceError struct {
	Step        int                // number of the step, from 1
	ActionIndex int                // index of the first action that differs; -1 if the number of actions differs
	Replayed    []flaxshelf.Action // taken by the module in the replay
	Recorded    []flaxshelf.Action // in the recording
}

// actionCountDiffers is the value of DivergenceError.ActionIndex if the number of actions differs.
const actionCountDiffers = -1

// Error names the step and the first action that differs.
func (e *DivergenceError) Error() string {
	if e.ActionIndex == actionCountDiffers {
		return fmt.Sprintf("replay: step %d: the module took %d actions, %d are recorded", e.Step, len(e.Replayed),
			len(e.Recorded))
	}
	return fmt.Sprintf("replay: step %d: action %d differs: the module took %#v, recorded is %#v", e.Step, e.ActionIndex,
		e.Replayed[e.ActionIndex], e.Recorded[e.ActionIndex])
}
