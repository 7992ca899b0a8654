package benchadapter

import (
	"flaxshelf.example/flaxshelf/internal/fleetsettings"
	"flaxshelf.example/flaxshelf/internal/textfields"
)

// emptyValue represents an empty value in fields that can't be empty.
const emptyValue = "-"

// fields are the fields of a line.
type fields struct {
	textfields.Fields
	names *fleetsettings.Names // of the instance that the line is for
}

// emptyNames are the names of an instance that has not started.
var emptyNames = &fleetsettings.Names{}

func parseFields(line string) *fields {
	return &fields{Fields: textfields.Parse(line), names: emptyNames}
}

// protocolError returns the first fault of a line as a ProtocolError, or nil.
func (r *Reader) protocolError(f *fields) error {
	invalid := f.Invalid()
	if invalid == nil {
		return nil
	}
	return &ProtocolError{Batch: r.batchSerial, Field: invalid.Field, Value: invalid.Value}
}
