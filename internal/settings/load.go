// Package settings owns the configuration files: their schema, defaults and units, and errors that name file,
// line, field and what was expected. It must not open sockets or decide anything.
package settings

import (
	"cmp"
	_ "embed"
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"cuelang.org/go/cue"
	"cuelang.org/go/cue/cuecontext"
	cueerrors "cuelang.org/go/cue/errors"
	"cuelang.org/go/cue/token"
)

//go:embed schema.cue
var schema string

// Schema is the text of the schema, for those who want to read it.
func Schema() string { return schema }

// Duration is a length of time written as a Go duration.
type Duration time.Duration

// UnmarshalText reads a Go duration.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	*d = Duration(v)
	return err
}

// MarshalText writes a Go duration.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Duration is d as a time.Duration.
func (d Duration) Duration() time.Duration { return time.Duration(d) }

// Problem is one thing wrong with a file.
type Problem struct {
	File         string
	Line, Column int
	Field        string
	Message      string
}

func (p Problem) String() string {
	at := p.File
	if p.Line > 0 {
		at = fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Column)
	}
	if p.Field != "" {
		at += ": " + p.Field
	}
	return at + ": " + p.Message
}

// Problems is all that is wrong with a file.
type Problems []Problem

func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i := range p {
		lines[i] = p[i].String()
	}
	return strings.Join(lines, "\n")
}

// File is a configuration that has been read, with the places of its fields.
type File struct {
	name     string
	value    cue.Value
	problems Problems
}

// Read reads text as the record def of the schema, followed by extra schema text where the caller has any.
func Read(name string, text []byte, def, extra string) (*File, error) {
	ctx := cuecontext.New()
	base := ctx.CompileString(schema+extra, cue.Filename("schema"))
	if err := base.Err(); err != nil {
		return nil, fmt.Errorf("settings: schema: %w", err)
	}
	own := ctx.CompileBytes(text, cue.Filename(name), cue.Scope(base)) // files may build on its records
	f := &File{name: name}
	if err := own.Err(); err != nil {
		f.take(err)
		return nil, f.problems
	}
	f.value = base.LookupPath(cue.ParsePath(def)).Unify(own)
	if err := f.value.Validate(cue.Concrete(true)); err != nil {
		f.take(err)
		f.each(base.LookupPath(cue.ParsePath(def)), own)
		return nil, f.tidy()
	}
	return f, nil
}

// each validates the record's fields one by one, since one error of CUE hides others: a field too many hides those
// that are missing.
func (f *File) each(def, own cue.Value) {
	if fields, err := own.Fields(); err == nil {
		for fields.Next() {
			if !def.Allows(fields.Selector()) {
				f.add(Problem{Field: fields.Selector().String(), Message: "field not allowed"}, fields.Value().Pos())
			}
		}
	}
	fields, err := def.Fields()
	if err != nil {
		return
	}
	for fields.Next() {
		path := cue.MakePath(fields.Selector())
		if err := f.value.LookupPath(path).Validate(cue.Concrete(true)); err != nil {
			f.take(err)
		}
	}
}

// ReadFile is Read of a file.
func ReadFile(path, def, extra string) (*File, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read configuration: %w", err)
	}
	return Read(path, text, def, extra)
}

// Decode fills a Go value.
func (f *File) Decode(into any) error {
	if err := f.value.Decode(into); err != nil {
		f.take(err)
		return f.problems
	}
	return nil
}

// take turns CUE's errors into problems, each at the place in the user's file if there is one.
func (f *File) take(err error) {
	for _, e := range cueerrors.Errors(err) {
		format, args := e.Msg()
		p := Problem{File: f.name, Field: strings.Join(e.Path(), "."), Message: fmt.Sprintf(format, args...)}
		if strings.HasPrefix(p.Field, "#") { // the record's own name
			_, p.Field, _ = strings.Cut(p.Field, ".")
		}
		f.add(p, append(cueerrors.Positions(e), e.Position())...)
	}
}

// add notes a problem once, at the first place that is in the user's file.
func (f *File) add(p Problem, places ...token.Pos) {
	p.File = f.name
	for _, pos := range places {
		if pos.IsValid() && pos.Filename() == f.name {
			p.Line, p.Column = pos.Line(), pos.Column()
			break
		}
	}
	if !slices.Contains(f.problems, p) {
		f.problems = append(f.problems, p)
	}
}

// tidy leaves out what CUE says of its own workings where it has said what was expected, and puts the rest in the
// order of the file.
func (f *File) tidy() Problems {
	said := map[string]bool{}
	for _, p := range f.problems {
		said[p.Field] = said[p.Field] || strings.HasPrefix(p.Message, "invalid value")
	}
	kept := Problems{}
	for _, p := range f.problems {
		if strings.HasSuffix(p.Message, "in empty disjunction:") ||
			strings.HasPrefix(p.Message, "conflicting values") && said[p.Field] {
			continue
		}
		if expected, ok := strings.CutPrefix(p.Message, "incomplete value "); ok {
			p.Message = "is missing, expected " + expected
		}
		kept = append(kept, p)
	}
	slices.SortStableFunc(kept, func(a, b Problem) int { return cmp.Compare(a.Line, b.Line) })
	return kept
}

// Fail adds a problem at the place of a field, as "classes[2].kind".
func (f *File) Fail(field, format string, args ...any) {
	p := Problem{File: f.name, Field: field, Message: fmt.Sprintf(format, args...)}
	if v := f.value.LookupPath(cue.ParsePath(field)); v.Exists() {
		for _, pos := range append([]cue.Value{v}, conjuncts(v)...) {
			if at := pos.Pos(); at.IsValid() && at.Filename() == f.name {
				p.Line, p.Column = at.Line(), at.Column()
				break
			}
		}
	}
	f.problems = append(f.problems, p)
}

func conjuncts(v cue.Value) []cue.Value {
	op, args := v.Expr()
	if op == cue.AndOp || op == cue.OrOp {
		return args
	}
	return nil
}

// Err is what Fail has added so far, or nil.
func (f *File) Err() error {
	if len(f.problems) == 0 {
		return nil
	}
	return f.problems
}

// IsProblem tells whether err is about what a file says, rather than about reading it.
func IsProblem(err error) bool {
	var p Problems
	return errors.As(err, &p)
}
