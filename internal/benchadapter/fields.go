package benchadapter

import (
	"flaxshelf.example/flaxshelf/internal/fleetsettings"
	"flaxshelf.example/flaxshelf/internal/textfields"
)

// emptyValue stands for no data in fields whose value must not be empty: blob and load.
const emptyValue = "-"

// fields holds the name=value fields of a line, and the names by which they refer to settings.
type fields struct {
	textfields.Fields
	names *fleetsettings.NameIndex // in the settings of the instance that the line is about
}

// emptyNames has no names. It is used for lines about no instance, and about an instance that has not started.
var emptyNames = &fleetsettings.NameIndex{}

// parseFields returns the fields of a line without its message name.
func parseFields(line string) *fields {
	return &fields{Fields: textfields.Parse(line), names: emptyNames}
}

// protocolError returns a *ProtocolError for the first invalid or missing field of a line, or nil if there is none.
func (r *Reader) protocolError(f *fields) error {
	invalid := f.FirstError()
	if invalid == nil {
		return nil
	}
	return &ProtocolError{Batch: r.batchSerial, Field: invalid.Field, Value: invalid.Value}
}
