package settings

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// ConfigError reports an invalid field of a configuration file.
type ConfigError struct {
	File         string
	Line, Column int // counted from 1; 0 if the position is unknown
	// Field is the path of the field, such as "classes[2].kind". Errors that CUE reports have the form "classes.2.kind". It is
	// empty if the error concerns the whole file.
	Field string
	// Value is the value in CUE syntax, as written in the file. It is empty if the field has no value, and for errors that CUE
	// reports within lists.
	Value  string
	Reason string // what is invalid and what was expected
}

// Error returns one line with the position in the file, the field and the reason.
func (e ConfigError) Error() string {
	location := formatPosition(e.File, e.Line, e.Column)
	if e.Field != "" {
		location += ": " + e.Field
	}
	return location + ": " + e.Reason
}

// formatPosition returns "file:line:column", or only the file name if line is 0.
func formatPosition(file string, line, column int) string {
	if line == 0 {
		return file
	}
	return fmt.Sprintf("%s:%d:%d", file, line, column)
}

// ConfigErrors are all errors found in one file, sorted by line. The functions of this package that read a file return
// ConfigErrors if its content is invalid, and another type of error if the file could not be read.
type ConfigErrors []ConfigError

// Error returns the errors, one per line.
func (e ConfigErrors) Error() string {
	lines := make([]string, len(e))
	for i := range e {
		lines[i] = e[i].Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the individual errors, so that errors.As finds a ConfigError.
func (e ConfigErrors) Unwrap() []error {
	errs := make([]error, len(e))
	for i := range e {
		errs[i] = e[i]
	}
	return errs
}

// sortByLine sorts the errors by line and keeps the order of errors on the same line.
func (e ConfigErrors) sortByLine() {
	slices.SortStableFunc(e, func(a, b ConfigError) int { return cmp.Compare(a.Line, b.Line) })
}
