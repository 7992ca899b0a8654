// Package textfields reads the name=value fields of a line of text, and reports the first one that is malformed.
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

// ValueError reports a field that is malformed, or that is required and absent.
type ValueError struct {
	Field  string // its name
	Value  string // empty where it is absent
	Reason string // what is expected
}

func (e *ValueError) Error() string {
	return fmt.Sprintf("field %s: %q: %s", e.Field, e.Value, e.Reason)
}

// Fields are the name=value pairs of a line. Its methods return the zero value for a field that is absent or malformed, and
// keep the first fault: all fields of a line can be read before Invalid is checked. Only the methods named Required count the
// absence of a field as a fault. It is not safe for concurrent use.
type Fields struct {
	pairs      []string
	firstError *ValueError
}

// New returns the fields of pairs, each of which is name=value. A name that occurs twice has its first value.
func New(pairs []string) Fields { return Fields{pairs: pairs} }

// Parse returns the fields of a line that has a space between two of them.
func Parse(line string) Fields { return New(strings.Split(line, " ")) }

// Invalid returns the first fault, or nil if there was none.
func (f *Fields) FirstError() *ValueError { return f.firstError }

// Fail records a fault, unless there was one before.
func (f *Fields) RecordError(name, value, reason string) {
	if f.firstError == nil {
		f.firstError = &ValueError{Field: name, Value: value, Reason: reason}
	}
}

// value returns the value of the first pair with the name.
func (f *Fields) value(name string) string {
	for _, pair := range f.pairs {
		if len(pair) > len(name) && pair[len(name)] == '=' && pair[:len(name)] == name {
			return pair[len(name)+1:]
		}
	}
	return ""
}

// Text returns the value of a field, which is empty where the field is absent.
func (f *Fields) Text(name string) string { return f.value(name) }

// RequiredText returns the value of a field that must not be empty.
func (f *Fields) RequiredText(name string) string {
	text := f.value(name)
	if text == "" {
		f.RecordError(name, text, "must not be empty")
	}
	return text
}

// Integer returns a field that is a decimal integer.
func (f *Fields) Integer(name string) int64 { return f.parseInteger(name, f.Text(name)) }

// RequiredInteger returns a field that must be a decimal integer.
func (f *Fields) RequiredInteger(name string) int64 {
	return f.parseInteger(name, f.RequiredText(name))
}

func (f *Fields) parseInteger(name, text string) int64 {
	if text == "" {
		return 0
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		f.RecordError(name, text, "must be an integer of 64 bits")
	}
	return n
}

// Duration returns a field that is an integer of nanoseconds.
func (f *Fields) Duration(name string) time.Duration { return time.Duration(f.Integer(name)) }

// RequiredDuration returns a field that must be an integer of nanoseconds.
func (f *Fields) RequiredDuration(name string) time.Duration {
	return time.Duration(f.RequiredInteger(name))
}

// Number returns a field that is a finite number.
func (f *Fields) Number(name string) float64 {
	text := f.Text(name)
	if text == "" {
		return 0
	}
	return f.parseNumber(name, text)
}

// parseNumber parses a finite number from the field with the name.
func (f *Fields) parseNumber(name, text string) float64 {
	x, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(x) || math.IsInf(x, 0) {
		f.RecordError(name, text, "must be a finite number")
		return 0
	}
	return x
}

// Boolean returns a field that is 1 or true, 0 or false.
func (f *Fields) Boolean(name string) bool {
	switch text := f.Text(name); text {
	case "1", "true":
		return true
	case "", "0", "false":
	default:
		f.RecordError(name, text, "must be true or false")
	}
	return false
}

// List returns a field that has commas between its entries; nil where it is absent or empty.
func (f *Fields) List(name string) []string {
	text := f.Text(name)
	if text == "" {
		return nil
	}
	return strings.Split(text, ",")
}

// NumberAt returns an entry of a list of finite numbers, or fallback where the list is too short.
func (f *Fields) NumberAt(name string, index int, fallback float64) float64 {
	list := f.List(name)
	if index >= len(list) {
		return fallback
	}
	return f.parseNumber(name, list[index])
}

// Count returns the length of a list of objects. The line must have at least one pair for each of them.
func (f *Fields) EntryCount(name string) int {
	n := f.Integer(name)
	if n < 0 || n > int64(len(f.pairs)) {
		f.RecordError(name, strconv.FormatInt(n, 10), "must be the number of the entries that follow")
		return 0
	}
	return int(n)
}

// Lookup returns the meaning of a field, or fallback where it is absent or empty.
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
