package settings

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// ConfigError reports an invalid field of a file.
type ConfigError struct {
	File         string
	Line, Column int    // from 1; 0 if the position in the file is not known
	Field        string // path such as "classes[2].kind", in errors of the schema "classes.2.kind"; empty: the whole file
	Value        string // as the file writes it; empty if the field has none, and in errors of the schema within lists
	Reason       string // what is invalid and what was expected
}

// Error returns the position in the file, the field and the reason, in one line.
func (e ConfigError) Error() string {
	location := formatPosition(e.File, e.Line, e.Column)
	if e.Field != "" {
		location += ": " + e.Field
	}
	return location + ": " + e.Reason
}

// placeText returns file:line:column, or the file alone if line is 0.
func formatPosition(file string, line, column int) string {
	if line == 0 {
		return file
	}
	return fmt.Sprintf("%s:%d:%d", file, line, column)
}

// ConfigErrors are all errors of a file in the order of their lines. An error of this package is ConfigErrors if the content of
// a file is invalid; otherwise the file could not be read.
type ConfigErrors []ConfigError

// Error returns a line for each error.
func (e ConfigErrors) Error() string {
	lines := make([]string, len(e))
	for i := range e {
		lines[i] = e[i].Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the errors, for errors.As.
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
