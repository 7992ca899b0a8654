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

// Schema returns the text of the schema.
func Schema() string { return schema }

// File is a configuration file with the positions of its fields. It collects the errors that are found in it. It is not safe
// for concurrent use.
type File struct {
	name      string
	fileValue cue.Value // the text without the record
	unified   cue.Value // the text unified with the record
	errors    ConfigErrors
}

// Read reads text as the given record of the schema, such as "#Scheduler". extraSchema is CUE text that extends the schema.
// name is the name of the file in errors. Errors of the text are ConfigErrors.
func Parse(name string, text []byte, definitionName, extraSchema string) (*File, error) {
	ctx := cuecontext.New()
	schemaValue := ctx.CompileString(schema+extraSchema, cue.Filename("schema"))
	if err := schemaValue.Err(); err != nil {
		return nil, fmt.Errorf("settings: schema: %w", err)
	}
	fileValue := ctx.CompileBytes(text, cue.Filename(name), cue.Scope(schemaValue)) // files may refer to the schema's records
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

// ReadFile is Read of the file at path. It wraps an error of the os package if the file can't be read.
func ReadFile(path, definitionName, extraSchema string) (*File, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read configuration: %w", err)
	}
	return Parse(path, text, definitionName, extraSchema)
}

// validateFields validates the record's fields one by one, since an error of CUE hides others: an unknown field hides missing
// ones.
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

// Decode stores the values of the record in the Go value that into points to, by its JSON tags.
func (f *File) Decode(target any) error {
	if err := f.unified.Decode(target); err != nil {
		f.addCUE(err)
		return f.errors
	}
	return nil
}

// addCUE adds the errors of CUE with their positions in the user's file.
func (f *File) addCUE(err error) {
	for _, cueErr := range cueerrors.Errors(err) {
		message, args := cueErr.Msg()
		e := ConfigError{Field: strings.Join(cueErr.Path(), "."), Reason: fmt.Sprintf(message, args...)}
		if strings.HasPrefix(e.Field, "#") { // the record's own name
			_, e.Field, _ = strings.Cut(e.Field, ".")
		}
		f.addError(e, append(cueerrors.Positions(cueErr), cueErr.Position())...)
	}
}

// add adds an error at the first of the positions that is in the user's file. It drops repeated errors.
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

// valueText returns the value of a field as the file writes it, or its default. It is empty for a field without a value.
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

func (f *File) isInFile(pos token.Pos) bool { return pos.IsValid() && pos.Filename() == f.name }

// readableErrors returns the errors in the order of their lines, without those of CUE's evaluation if another error says what
// was expected of the field.
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

// Fail adds an error of a field, such as "classes[2].kind", with its position in the file. Err returns all errors.
func (f *File) AddErrorf(field, reason string, args ...any) {
	e := ConfigError{File: f.name, Field: field, Value: f.valueText(field), Reason: fmt.Sprintf(reason, args...)}
	if pos := f.pos(field); pos.IsValid() {
		e.Line, e.Column = pos.Line(), pos.Column()
	}
	f.errors = append(f.errors, e)
}

// place returns the position of a field's value in the user's file, or token.NoPos if the file does not set it.
func (f *File) pos(field string) token.Pos {
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

// operands returns the values that a conjunction or disjunction is made of, and nil for any other value.
func operands(v cue.Value) []cue.Value {
	op, args := v.Expr()
	if op == cue.AndOp || op == cue.OrOp {
		return args
	}
	return nil
}

// Err returns the errors that Fail has added as ConfigErrors in the order of their lines, or nil.
func (f *File) Err() error {
	if len(f.errors) == 0 {
		return nil
	}
	f.errors.sortByLine()
	return f.errors
}

// elementField returns the path of a field of a list's element, such as "classes[2].kind".
func elementPath(listPath string, index int, field string) string {
	return fmt.Sprintf("%s[%d].%s", listPath, index, field)
}

// failRepeatedNames adds an error for each element of a list with the same name as an earlier one.
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
