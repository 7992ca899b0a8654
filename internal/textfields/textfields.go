// Package textfields reads typed values from the name=value fields of a line of text, and reports the first invalid field.
package textfields

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"
)

// ValueError reports a field that is invalid, or that is required but missing.
type ValueError struct {
	Field  string // name of the field
	Value  string // text of its value; empty if the field is missing
	Reason string // what was expected, such as "must be a finite number"
}

// Error returns the name, value and expectation of the field, in one line.
func (e *ValueError) Error() string {
	return fmt.Sprintf("field %s: invalid value %q: %s", e.Field, e.Value, e.Reason)
}

// Fields are the name=value pairs of a line. Methods that read a field return the zero value or their fallback if it is missing,
// which is an error only for the methods whose names begin with Required. The first error is recorded, so that a caller can read
// all fields before it checks FirstError; after an error, the values that were read must not be used. Fields is not safe for
// concurrent use.
type Fields struct {
	pairs      []string
	firstError *ValueError
}

// New returns Fields that read the given name=value pairs. If a name occurs more than once, its first value is used.
func New(pairs []string) Fields { return Fields{pairs: pairs} }

// Parse returns the fields of a line in which name=value pairs are separated by single spaces.
func Parse(line string) Fields { return New(strings.Split(line, " ")) }

// FirstError returns the first error that was recorded, or nil if there was none.
func (f *Fields) FirstError() *ValueError { return f.firstError }

// RecordError records that a field has an invalid value. Later errors are dropped; FirstError returns the first.
func (f *Fields) RecordError(name, value, reason string) {
	if f.firstError == nil {
		f.firstError = &ValueError{Field: name, Value: value, Reason: reason}
	}
}

// value returns the value of the first pair with the given name, or "" if there is none.
func (f *Fields) value(name string) string {
	for _, pair := range f.pairs {
		if len(pair) > len(name) && pair[len(name)] == '=' && pair[:len(name)] == name {
			return pair[len(name)+1:]
		}
	}
	return ""
}

// Text returns the value of a field as it is, or "" if the field is missing.
func (f *Fields) Text(name string) string { return f.value(name) }

// RequiredText returns the value of a field as it is. A missing or empty field is an error.
func (f *Fields) RequiredText(name string) string {
	text := f.value(name)
	if text == "" {
		f.RecordError(name, text, "must not be empty")
	}
	return text
}

// Integer returns the value of a field that holds a decimal integer, or 0 if it is missing or empty.
func (f *Fields) Integer(name string) int64 { return f.parseInteger(name, f.Text(name)) }

// RequiredInteger is like Integer, but a missing or empty field is an error.
func (f *Fields) RequiredInteger(name string) int64 {
	return f.parseInteger(name, f.RequiredText(name))
}

// parseInteger parses the text of the given field as a decimal integer. Empty text is 0.
func (f *Fields) parseInteger(name, text string) int64 {
	if text == "" {
		return 0
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		f.RecordError(name, text, "must be a 64-bit decimal integer")
	}
	return n
}

// Duration returns the value of a field that holds a duration as an integer number of nanoseconds.
func (f *Fields) Duration(name string) time.Duration { return time.Duration(f.Integer(name)) }

// RequiredDuration is like Duration, but a missing or empty field is an error.
func (f *Fields) RequiredDuration(name string) time.Duration {
	return time.Duration(f.RequiredInteger(name))
}

// Number returns the value of a field that holds a finite number, or 0 if it is missing or empty.
func (f *Fields) Number(name string) float64 {
	text := f.Text(name)
	if text == "" {
		return 0
	}
	return f.parseNumber(name, text)
}

// parseNumber parses the text of the given field as a finite number. Empty text is an error.
func (f *Fields) parseNumber(name, text string) float64 {
	x, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(x) || math.IsInf(x, 0) {
		f.RecordError(name, text, "must be a finite number")
		return 0
	}
	return x
}

// Boolean returns the value of a field that holds true or 1, or false or 0. It returns false if the field is missing or empty.
func (f *Fields) Boolean(name string) bool {
	switch text := f.Text(name); text {
	case "1", "true":
		return true
	case "", "0", "false":
	default:
		f.RecordError(name, text, "must be true, 1, false or 0")
	}
	return false
}

// List returns the entries of a field that holds a comma-separated list, or nil if it is missing or empty.
func (f *Fields) List(name string) []string {
	text := f.Text(name)
	if text == "" {
		return nil
	}
	return strings.Split(text, ",")
}

// NumberAt returns the entry at index of a list of finite numbers, or fallback if the list is too short.
func (f *Fields) NumberAt(name string, index int, fallback float64) float64 {
	list := f.List(name)
	if index >= len(list) {
		return fallback
	}
	return f.parseNumber(name, list[index])
}

// EntryCount returns the value of a field that holds the number of entries whose fields are on the line too. A number above that
// of all pairs is an error, because each entry has at least one pair.
func (f *Fields) EntryCount(name string) int {
	n := f.Integer(name)
	if n < 0 || n > int64(len(f.pairs)) {
		f.RecordError(name, strconv.FormatInt(n, 10), fmt.Sprintf("must be from 0 to %d, the number of fields", len(f.pairs)))
		return 0
	}
	return int(n)
}

// Enum returns the entry of values for the text of a field, or fallback if the field is missing or empty. Any other text is an
// error, for which it returns the zero value.
func Enum[T any](f *Fields, name string, values map[string]T, fallback T) T {
	text := f.Text(name)
	if text == "" {
		return fallback
	}
	value, ok := values[text]
	if !ok {
		f.RecordError(name, text, "must be one of "+strings.Join(slices.Sorted(maps.Keys(values)), ", "))
	}
	return value
}
