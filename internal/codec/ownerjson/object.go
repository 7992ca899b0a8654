package ownerjson

import (
	"fmt"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
)

// longestQuotedName is the length in bytes from which on no quoted name is a known one: each character may be escaped.
const longestQuotedName = len(`""`) + len(FieldExtras)*len(`\u0063`)

// duplicateNameError reports a name that an object has twice.
type duplicateNameError struct{ name string }

// Error returns the name.
func (e *duplicateNameError) Error() string { return fmt.Sprintf("duplicate name %q", e.name) }

// jsonMessage is the JSON form of a message. It checks known names for duplicates itself, with the JSON decoder's own check
// switched off, which would store each of thousands of names that nobody reads.
type jsonMessage struct {
	Type        Type
	ID          string
	Fields      knownFields
	Cause       *int
	Description *string
}

// UnmarshalJSONFrom implements json.UnmarshalerFrom.
func (w *jsonMessage) UnmarshalJSONFrom(decoder *jsontext.Decoder) error {
	seen := map[string]bool{}
	return decodeObject(decoder, func(decoder *jsontext.Decoder, quotedName []byte) error {
		var buffer [longestQuotedName]byte
		name, err := unquoteName(buffer[:0], quotedName)
		if err != nil {
			return err
		}
		member := w.member(string(name))
		if member == nil {
			return decoder.SkipValue()
		}
		if seen[string(name)] {
			return &duplicateNameError{string(name)}
		}
		seen[string(name)] = true
		return json.UnmarshalDecode(decoder, member)
	})
}

// member returns a pointer to the member of the message with a name, or nil if there is none.
func (w *jsonMessage) member(name string) any {
	switch name {
	case "type":
		return &w.Type
	case "id":
		return &w.ID
	case "fields":
		return &w.Fields
	case "cause":
		return &w.Cause
	case "sdp":
		return &w.Description
	}
	return nil
}

// decodeObject decodes an object. It calls decodeValue for each value, with its quoted name, which is valid until the decoder is
// used.
func decodeObject(decoder *jsontext.Decoder, decodeValue func(decoder *jsontext.Decoder, quotedName []byte) error) error {
	start, err := decoder.ReadToken()
	if err != nil {
		return err
	}
	if start.Kind() != jsontext.KindBeginObject {
		return fmt.Errorf("got %v, want an object", start.Kind())
	}
	for decoder.PeekKind() != jsontext.KindEndObject {
		name, err := decoder.ReadValue()
		if err != nil {
			return err
		}
		if err := decodeValue(decoder, name); err != nil {
			return err
		}
	}
	_, err = decoder.ReadToken()
	return err
}

// unquoteName appends a name without its quotes and escapes to buffer. A name that is too long to be known is left out.
func unquoteName(buffer, quoted []byte) ([]byte, error) {
	if len(quoted) > longestQuotedName {
		return buffer, nil
	}
	return jsontext.AppendUnquote(buffer, quoted)
}
