package benchadapter

import (
	"math"
	"strconv"
	"strings"
	"time"
)

// noData stands for an empty value in lines whose values can't be empty.
const noData = "-"

// presence says whether a line must have a field.
type presence bool

const (
	optional presence = false
	required presence = true
)

// fields are the name=value pairs of a line. Its methods return the zero value for a field that is absent or malformed; the
// first fault is kept in err, so that all fields of a line are read before its error is checked.
type fields struct {
	serial int64
	pairs  []string
	names  *Names // of the instance that the line is for
	err    error
}

// noNames are those of an instance that has not started.
var noNames = &Names{}

func (r *Reader) fields(rest string) *fields {
	return &fields{serial: r.serial, pairs: strings.Split(rest, " "), names: noNames}
}

// fail records a fault.
func (f *fields) fail(field, value string) {
	if f.err == nil {
		f.err = &ProtocolError{f.serial, field, value}
	}
}

// value returns the value of the first pair with the name.
func (f *fields) value(name string) (string, bool) {
	for _, pair := range f.pairs {
		if len(pair) > len(name) && pair[len(name)] == '=' && pair[:len(name)] == name {
			return pair[len(name)+1:], true
		}
	}
	return "", false
}

// text returns the value of a field. A required one must not be empty.
func (f *fields) text(name string, need presence) string {
	value, _ := f.value(name)
	if need == required && value == "" {
		f.fail(name, value)
	}
	return value
}

func (f *fields) integer(name string, need presence) int64 {
	text := f.text(name, need)
	if text == "" {
		return 0
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		f.fail(name, text)
	}
	return n
}

// duration returns a field in nanoseconds.
func (f *fields) duration(name string, need presence) time.Duration {
	return time.Duration(f.integer(name, need))
}

// number returns an optional field that is a finite number.
func (f *fields) number(name string) float64 {
	text := f.text(name, optional)
	if text == "" {
		return 0
	}
	return f.parseNumber(name, text)
}

// parseNumber parses a finite number from the field with the name.
func (f *fields) parseNumber(name, text string) float64 {
	x, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(x) || math.IsInf(x, 0) {
		f.fail(name, text)
		return 0
	}
	return x
}

func (f *fields) boolean(name string) bool {
	switch text := f.text(name, optional); text {
	case "1", "true":
		return true
	case "", "0", "false":
	default:
		f.fail(name, text)
	}
	return false
}

// list returns a field that is a list with commas between its entries; nil where it is absent or empty.
func (f *fields) list(name string) []string {
	text := f.text(name, optional)
	if text == "" {
		return nil
	}
	return strings.Split(text, ",")
}

// numberAt returns an entry of a list of numbers, or absent where the list is too short.
func (f *fields) numberAt(name string, index int, absent float64) float64 {
	list := f.list(name)
	if index >= len(list) {
		return absent
	}
	return f.parseNumber(name, list[index])
}

// count returns the length of a list of objects. The line must hold at least one pair for each of them.
func (f *fields) count(name string) int {
	n := f.integer(name, optional)
	if n < 0 || n > int64(len(f.pairs)) {
		f.fail(name, strconv.FormatInt(n, 10))
		return 0
	}
	return int(n)
}

// lookup returns what a field stands for, or absent where the line does not have it.
func lookup[T any](f *fields, name string, meanings map[string]T, absent T) T {
	text := f.text(name, optional)
	if text == "" {
		return absent
	}
	meaning, ok := meanings[text]
	if !ok {
		f.fail(name, text)
	}
	return meaning
}
