package settings

import (
	_ "embed"
	"fmt"
	"os"
	"slices"
	"strings"

	"cuelang.org/go/cue"
	"cuelang.org/go/cue/cuecontext"
	cueerrors "cuelang.org/go/cue/errors"
	"cuelang.org/go/cue/format"
	"cuelang.org/go/cue/token"
)

//go:embed schema.cue
var schema string

// Schema returns the CUE source of the schema.
func Schema() string { return schema }

// File is a parsed configuration file. It knows the position of each field and collects the errors that are found in it. It is
// not safe for concurrent use.
type File struct {
	name      string
	fileValue cue.Value // the content of the file, without the schema
	unified   cue.Value // the content of the file unified with the definition, which adds defaults
	errors    ConfigErrors
}

// Parse parses text and validates it against a definition of the schema, such as "#Scheduler". extraSchema is CUE source that is
// appended to the schema. name is the name of the file in errors. The error is ConfigErrors if text is invalid.
func Parse(name string, text []byte, definitionName, extraSchema string) (*File, error) {
	ctx := cuecontext.New()
	schemaValue := ctx.CompileString(schema+extraSchema, cue.Filename("schema"))
	if err := schemaValue.Err(); err != nil {
		return nil, fmt.Errorf("settings: compile schema: %w", err)
	}
	// The scope lets files refer to definitions of the schema.
	fileValue := ctx.CompileBytes(text, cue.Filename(name), cue.Scope(schemaValue))
	f := &File{name: name, fileValue: fileValue}
	if err := fileValue.Err(); err != nil {
		f.addCUE(err)
		return nil, f.errors
	}
	definition := schemaValue.LookupPath(cue.ParsePath(definitionName))
	f.unified = definition.Unify(fileValue)
	if err := f.unified.Validate(cue.Concrete(true)); err != nil {
		f.addCUE(err)
		f.validateFields(definition, fileValue)
		return nil, f.readableErrors()
	}
	return f, nil
}

// ReadFile is like Parse, but reads the text from the file at path. If the file can't be read, the error wraps that of
// os.ReadFile.
func ReadFile(path, definitionName, extraSchema string) (*File, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read configuration: %w", err)
	}
	return Parse(path, text, definitionName, extraSchema)
}

// validateFields validates each field of the definition separately. Validating the whole value is not enough because CUE does
// not report every error: an unknown field hides missing fields.
func (f *File) validateFields(definition, fileValue cue.Value) {
	if fields, err := fileValue.Fields(); err == nil {
		for fields.Next() {
			if !definition.Allows(fields.Selector()) {
				f.addError(ConfigError{Field: fields.Selector().String(), Reason: "field not allowed"}, fields.Value().Pos())
			}
		}
	}
	fields, err := definition.Fields()
	if err != nil {
		return
	}
	for fields.Next() {
		path := cue.MakePath(fields.Selector())
		if err := f.unified.LookupPath(path).Validate(cue.Concrete(true)); err != nil {
			f.addCUE(err)
		}
	}
}

// Decode stores the values of the file and the defaults in the struct that target points to, according to its JSON tags.
func (f *File) Decode(target any) error {
	if err := f.unified.Decode(target); err != nil {
		f.addCUE(err)
		return f.errors
	}
	return nil
}

// addCUE adds the errors that CUE reports, with their positions in the user's file.
func (f *File) addCUE(err error) {
	for _, cueErr := range cueerrors.Errors(err) {
		message, args := cueErr.Msg()
		e := ConfigError{Field: strings.Join(cueErr.Path(), "."), Reason: fmt.Sprintf(message, args...)}
		if strings.HasPrefix(e.Field, "#") { // the path starts with the name of the definition
			_, e.Field, _ = strings.Cut(e.Field, ".")
		}
		f.addError(e, append(cueerrors.Positions(cueErr), cueErr.Position())...)
	}
}

// addError adds an error with the first of the positions that is in the user's file; the others are in the schema. An error
// that equals an earlier one is dropped.
func (f *File) addError(e ConfigError, positions ...token.Pos) {
	e.File = f.name
	e.Value = f.valueText(e.Field)
	for _, pos := range positions {
		if f.isInFile(pos) {
			e.Line, e.Column = pos.Line(), pos.Column()
			break
		}
	}
	if !slices.Contains(f.errors, e) {
		f.errors = append(f.errors, e)
	}
}

// valueText returns the value of a field in CUE syntax, as written in the file, or its default if the file does not set it. It
// returns "" for a field without a concrete value.
func (f *File) valueText(field string) string {
	path := cue.ParsePath(field)
	if field == "" || path.Err() != nil {
		return ""
	}
	for _, source := range []cue.Value{f.fileValue, f.unified} {
		v := source.LookupPath(path)
		if !v.Exists() || !v.IsConcrete() {
			continue
		}
		if text, err := format.Node(v.Syntax(cue.Final())); err == nil {
			return string(text)
		}
	}
	return ""
}

// isInFile reports whether pos is in the user's file and not in the schema.
func (f *File) isInFile(pos token.Pos) bool { return pos.IsValid() && pos.Filename() == f.name }

// readableErrors returns the errors that help the user, sorted by line. It drops the headings of failed disjunctions, and
// conflicts between values if another error of the same field says which value was expected.
func (f *File) readableErrors() ConfigErrors {
	hasExpectation := map[string]bool{}
	for _, e := range f.errors {
		hasExpectation[e.Field] = hasExpectation[e.Field] || strings.HasPrefix(e.Reason, "invalid value")
	}
	readable := ConfigErrors{}
	for _, e := range f.errors {
		if strings.HasSuffix(e.Reason, "in empty disjunction:") ||
			strings.HasPrefix(e.Reason, "conflicting values") && hasExpectation[e.Field] {
			continue
		}
		if expected, ok := strings.CutPrefix(e.Reason, "incomplete value "); ok {
			e.Reason = "is missing, expected " + expected
		}
		readable = append(readable, e)
	}
	readable.sortByLine()
	return readable
}

// AddErrorf adds an error of the field with the given path, such as "classes[2].kind", with its position and value. The format
// string and args give the reason. Err returns the errors that were added.
func (f *File) AddErrorf(field, reason string, args ...any) {
	e := ConfigError{File: f.name, Field: field, Value: f.valueText(field), Reason: fmt.Sprintf(reason, args...)}
	if pos := f.position(field); pos.IsValid() {
		e.Line, e.Column = pos.Line(), pos.Column()
	}
	f.errors = append(f.errors, e)
}

// position returns the position of a field's value in the user's file, or token.NoPos if the file does not set the field.
func (f *File) position(field string) token.Pos {
	value := f.unified.LookupPath(cue.ParsePath(field))
	if !value.Exists() {
		return token.NoPos
	}
	for _, candidate := range append([]cue.Value{value}, operands(value)...) {
		if pos := candidate.Pos(); f.isInFile(pos) {
			return pos
		}
	}
	return token.NoPos
}

// operands returns the operands of a conjunction or disjunction, and nil for any other value. The position of a unified value may
// be in the schema although that of one of its operands is in the file.
func operands(v cue.Value) []cue.Value {
	op, args := v.Expr()
	if op == cue.AndOp || op == cue.OrOp {
		return args
	}
	return nil
}

// Err returns the collected errors as ConfigErrors, sorted by line, or nil if there are none.
func (f *File) Err() error {
	if len(f.errors) == 0 {
		return nil
	}
	f.errors.sortByLine()
	return f.errors
}

// elementPath returns the path of a field of a list element, such as "classes[2].kind".
func elementPath(listPath string, index int, field string) string {
	return fmt.Sprintf("%s[%d].%s", listPath, index, field)
}

// checkUniqueNames adds an error for each list element that has the same name as an earlier one.
func checkUniqueNames[T any](f *File, listPath string, elements []T, name func(*T) string) {
	seen := map[string]bool{}
	for i := range elements {
		n := name(&elements[i])
		if seen[n] {
			f.AddErrorf(elementPath(listPath, i, "name"), "%q names two %s", n, listPath)
		}
		seen[n] = true
	}
}
