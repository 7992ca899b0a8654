package settings

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// ConfigError is one field of a file that can't be used. Match it with errors.As.
type ConfigError struct {
	File         string
	Line, Column int    // counted from 1; 0 where the place in the file is not known
	Field        string // path, as "classes[2].kind", in errors of the schema "classes.2.kind"; empty: the whole file
	Value        string // value of the field as the file writes it; empty where it has none, and in errors within schema lists
	Reason       string // what is wrong and what was expected
}

// Error is the place in the file, the field and the reason, in one line.
func (e ConfigError) Error() string {
	place := placeText(e.File, e.Line, e.Column)
	if e.Field != "" {
		place += ": " + e.Field
	}
	return place + ": " + e.Reason
}

// placeText returns file:line:column, or the file alone where the line is 0.
func placeText(file string, line, column int) string {
	if line == 0 {
		return file
	}
	return fmt.Sprintf("%s:%d:%d", file, line, column)
}

// ConfigErrors are all errors of one file, in the order of the file. Errors of this package are ConfigErrors where the
// content of a file is wrong, and errors of reading it otherwise; match them with errors.As.
type ConfigErrors []ConfigError

// Error is a line for each error.
func (e ConfigErrors) Error() string {
	lines := make([]string, len(e))
	for i := range e {
		lines[i] = e[i].Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap is each error on its own, for errors.As.
func (e ConfigErrors) Unwrap() []error {
	errs := make([]error, len(e))
	for i := range e {
		errs[i] = e[i]
	}
	return errs
}

func (e ConfigErrors) sortByLine() {
	slices.SortStableFunc(e, func(a, b ConfigError) int { return cmp.Compare(a.Line, b.Line) })
}
