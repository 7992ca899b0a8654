package replay

import "fmt"

// FormatError tells that a file is no recording that this build reads: another kind of file, a recording of another
// version or with types that this build does not know, or a damaged one.
type FormatError struct {
	What    string // what was read
	Version int    // of the recording; 0: not known
	Err     error  // why it can't be read; nil: for its version alone
}

func (e *FormatError) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("replay: read %s: the recording has version %d, this build reads version %d: "+
			"replay it with the build that wrote it", e.What, e.Version, Version)
	}
	if e.Version == 0 {
		return fmt.Sprintf("replay: read %s: not a module recording, or a damaged one (this build reads version %d): "+
			"name a file that a scheduler's setting tap wrote: %v", e.What, Version, e.Err)
	}
	return fmt.Sprintf("replay: read %s: damaged, or of a newer build (the recording has version %d, which this build "+
		"reads): replay it with the build that wrote it: %v", e.What, e.Version, e.Err)
}

// Unwrap is the reason.
func (e *FormatError) Unwrap() error { return e.Err }

// UnknownTypeError tells that a module was given or has answered a value that recordings have no form for.
type UnknownTypeError struct{ Value any }

func (e *UnknownTypeError) Error() string {
	return fmt.Sprintf("version %d of recordings has no form for values of type %T", Version, e.Value)
}
