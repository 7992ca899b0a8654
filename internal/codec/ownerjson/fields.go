package ownerjson

import (
	"fmt"

	"github.com/go-json-experiment/json/jsontext"
)

// The names of the fields that Next decodes. Other fields are read over.
const (
	FieldClass          = "class"
	FieldKey            = "key"
	FieldTimeLeft       = "left" // until the deadline, in milliseconds
	FieldExtras         = "extras"
	FieldRuntimeHint    = "hint" // expected run time in milliseconds
	FieldTenant         = "tenant"
	FieldIdempotencyKey = "idem"
)

// knownFields holds the values of the fields with names above, by name: the text of a JSON string or number. A message may have
// thousands of other fields; to decode them would take most of the time and memory that the message takes.
type knownFields map[string]string

// UnmarshalJSONFrom implements json.UnmarshalerFrom.
func (f *knownFields) UnmarshalJSONFrom(decoder *jsontext.Decoder) error {
	if decoder.PeekKind() == jsontext.KindNull {
		return decoder.SkipValue()
	}
	return decodeObject(decoder, f.decodeField)
}

// decodeField decodes the value of a field, and stores it if the name is known.
func (f *knownFields) decodeField(decoder *jsontext.Decoder, quotedName []byte) error {
	name, err := knownName(quotedName)
	if err != nil {
		return err
	}
	if kind := decoder.PeekKind(); kind != jsontext.KindString && kind != jsontext.KindNumber {
		return fmt.Errorf("got %v, want a string or a number", kind)
	}
	if name == "" {
		return decoder.SkipValue()
	}
	if _, duplicate := (*f)[name]; duplicate {
		return &duplicateNameError{name}
	}
	value, err := decoder.ReadToken()
	if err != nil {
		return err
	}
	if *f == nil {
		*f = knownFields{}
	}
	(*f)[name] = value.String()
	return nil
}

// knownName returns the name of a field that is declared above, or an empty string for any other.
func knownName(quoted []byte) (string, error) {
	var buffer [longestQuotedName]byte
	name, err := unquoteName(buffer[:0], quoted)
	if err != nil {
		return "", err
	}
	switch string(name) {
	case FieldClass:
		return FieldClass, nil
	case FieldKey:
		return FieldKey, nil
	case FieldTimeLeft:
		return FieldTimeLeft, nil
	case FieldExtras:
		return FieldExtras, nil
	case FieldRuntimeHint:
		return FieldRuntimeHint, nil
	case FieldTenant:
		return FieldTenant, nil
	case FieldIdempotencyKey:
		return FieldIdempotencyKey, nil
	}
	return "", nil
}
