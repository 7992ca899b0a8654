package benchadapter

import (
	"flaxshelf.example/flaxshelf/internal/fleetsettings"
	"flaxshelf.example/flaxshelf/internal/textfields"
)

// noData represents an empty value in fields that can't be empty.
const noData = "-"

// fields are the fields of a line.
type fields struct {
	textfields.Fields
	names *fleetsettings.NameIndex // of the instance that the line is for
}

// noNames are the names of an instance that has not started.
var noNames = &fleetsettings.NameIndex{}

func parseFields(line string) *fields { return &fields{Fields: textfields.Parse(line), names: noNames} }

// check returns the first fault of a line as a ProtocolError, or nil.
func (r *Reader) check(f *fields) error {
	invalid := f.FirstError()
	if invalid == nil {
		return nil
	}
	return &ProtocolError{Batch: r.serial, Field: invalid.Field, Value: invalid.Value}
}
