package drmaafront

import (
	"bytes"
	"errors"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"

	"flaxshelf.example/flaxshelf/drmaa2"
)

// decodeJSON decodes a body that consists of exactly one JSON value. It rejects unknown members, duplicate names and invalid
// UTF-8, and names the attribute in the error if it is known. It uses go-json-experiment/json, the module of encoding/json/v2,
// because that decoder is strict in all of this; docs/scale.md has the measurements of the decoders that were compared.
func decodeJSON(body []byte, value any) *drmaa2.Error {
	err := json.Unmarshal(body, value, json.RejectUnknownMembers(true))
	if err == nil {
		return nil
	}
	var semantic *json.SemanticError
	var syntactic *jsontext.SyntacticError
	switch {
	case len(bytes.TrimSpace(body)) == 0:
		return invalidArgument("", "the body is empty")
	case errors.Is(err, json.ErrUnknownName) && errors.As(err, &semantic):
		return unsupportedAttribute(attributeName(semantic.JSONPointer), "is not known")
	case errors.Is(err, jsontext.ErrDuplicateName) && errors.As(err, &syntactic):
		return invalidValueError(syntactic.JSONPointer, "comes twice")
	case errors.As(err, &semantic) && semantic.JSONPointer != "":
		return invalidValueError(semantic.JSONPointer, "can't be read"+expectedType(semantic.GoType))
	default:
		return invalidArgument("", "the body can't be read: "+strings.TrimPrefix(err.Error(), "jsontext: "))
	}
}

// invalidValueError returns the error for the value at a position in the body. Unlike the result of invalidArgument, its message
// always begins with the attribute's name, even if the name is empty.
func invalidValueError(pointer jsontext.Pointer, message string) *drmaa2.Error {
	name := attributeName(pointer)
	return &drmaa2.Error{Code: drmaa2.InvalidArgument, Attribute: name, Message: name + ": " + message}
}

// attributeName returns the path of a value in the body, such as template.startTime.
func attributeName(pointer jsontext.Pointer) string {
	return truncate(strings.Join(slices.Collect(pointer.Tokens()), "."))
}

// expectedType returns the end of an error message about a value of the wrong type. It is empty if the expected type is unknown.
func expectedType(t reflect.Type) string {
	switch {
	case t == nil:
		return ""
	case t == reflect.TypeFor[time.Time]():
		return " as a time, as 2027-01-15T08:00:00Z"
	}
	switch t.Kind() {
	case reflect.String:
		return " as text"
	case reflect.Bool:
		return " as true or false"
	case reflect.Slice:
		return " as a list"
	case reflect.Map, reflect.Struct:
		return " as an object"
	case reflect.Float64:
		return " as a number"
	default:
		return " as a whole number"
	}
}
