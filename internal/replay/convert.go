package replay

import (
	"errors"
	"fmt"
	"reflect"
)

// modelTag is the key of a struct tag on the fields of records: its value is the name of the field of package flaxshelf that is
// stored. Without the tag, both fields have the same name.
const modelTag = "model"

// copier copies a value to another one, possibly converting its type. Each copier is made for one pair of types. The target
// must be settable.
type copier func(to, from reflect.Value)

// conversion converts values of one type of package flaxshelf (the model) to their records, and back. It is safe for concurrent
// use.
type conversion struct {
	record, model     reflect.Type
	toRecord, toModel copier
}

// newConversion returns the conversion between two struct types. The error joins a *MissingFieldError for each field at any
// depth that has no counterpart, and an error for each field whose type cannot be converted. The conversion copies all other
// fields.
func newConversion(record, model reflect.Type) (conversion, error) {
	toRecord, toModel, err := newCopiers(record, model)
	return conversion{record: record, model: model, toRecord: toRecord, toModel: toModel}, err
}

// newRecord returns a pointer to the record of a value. Gob encodes what the pointer points to, so the record is not copied.
func (c *conversion) newRecord(value any) any {
	record := reflect.New(c.record)
	c.toRecord(record.Elem(), reflect.ValueOf(value))
	return record.Interface()
}

// newModelValue returns the value that is stored in a record.
func (c *conversion) newModelValue(record any) any {
	value := reflect.New(c.model).Elem()
	c.toModel(value, reflect.ValueOf(record))
	return value.Interface()
}

// newCopiers returns the copiers in both directions between a record type and a type of package flaxshelf.
func newCopiers(record, model reflect.Type) (toRecord, toModel copier, err error) {
	switch {
	case record == model:
		same := sameTypeCopier(model.Kind())
		return same, same, nil
	case record.Kind() == reflect.Struct && model.Kind() == reflect.Struct:
		return newStructCopiers(record, model)
	case record.Kind() == reflect.Slice && model.Kind() == reflect.Slice:
		toRecord, toModel, err = newCopiers(record.Elem(), model.Elem())
		return sliceCopier(toRecord), sliceCopier(toModel), err
	case record.Kind() == reflect.Int && model.Kind() == reflect.Int: // an enumeration and its number
		return copyInt, copyInt, nil
	}
	return copyNothing, copyNothing, fmt.Errorf("type %v cannot store a value of type %v", record, model)
}

// copyNothing is the copier of types that cannot be converted. It leaves the target at zero.
func copyNothing(_, _ reflect.Value) {}

// sameTypeCopier returns the copier between values of the same type, which is of the given kind. The setters of basic kinds
// are faster than reflect.Value.Set.
func sameTypeCopier(kind reflect.Kind) copier {
	switch kind {
	case reflect.Bool:
		return func(to, from reflect.Value) { to.SetBool(from.Bool()) }
	case reflect.Int, reflect.Int64:
		return copyInt
	case reflect.Float64:
		return func(to, from reflect.Value) { to.SetFloat(from.Float()) }
	case reflect.String:
		return func(to, from reflect.Value) { to.SetString(from.String()) }
	}
	return reflect.Value.Set
}

func copyInt(to, from reflect.Value) { to.SetInt(from.Int()) }

// sliceCopier returns a copier of slices that copies each element with copyElement. It leaves the target of a nil slice at nil.
func sliceCopier(copyElement copier) copier {
	return func(to, from reflect.Value) {
		if from.IsNil() {
			return
		}
		length := from.Len()
		to.Set(reflect.MakeSlice(to.Type(), length, length))
		for i := range length {
			copyElement(to.Index(i), from.Index(i))
		}
	}
}

// fieldMapping maps a field of a record to the field of package flaxshelf that it stores.
type fieldMapping struct {
	record, model     int // field indexes
	toRecord, toModel copier
}

func newStructCopiers(record, model reflect.Type) (toRecord, toModel copier, err error) {
	mappings, err := mapFields(record, model)
	toRecord = func(to, from reflect.Value) {
		for i := range mappings {
			mappings[i].toRecord(to.Field(mappings[i].record), from.Field(mappings[i].model))
		}
	}
	toModel = func(to, from reflect.Value) {
		for i := range mappings {
			mappings[i].toModel(to.Field(mappings[i].model), from.Field(mappings[i].record))
		}
	}
	return toRecord, toModel, err
}

// mapFields maps the fields of a record type to those of a type of package flaxshelf. The error joins the errors of all fields
// that have no counterpart or cannot be converted.
func mapFields(record, model reflect.Type) ([]fieldMapping, error) {
	var mappings []fieldMapping
	var problems []error
	stored := map[string]bool{}
	for i := range record.NumField() {
		recordField := record.Field(i)
		name := modelFieldName(recordField)
		modelField, ok := model.FieldByName(name)
		if !ok || stored[name] {
			problems = append(problems, &MissingFieldError{Type: record, Field: recordField.Name, MissingIn: model})
			continue
		}
		stored[name] = true
		toRecord, toModel, err := newCopiers(recordField.Type, modelField.Type)
		if err != nil {
			problems = append(problems, fmt.Errorf("%v.%s: %w", record, recordField.Name, err))
		}
		mappings = append(mappings, fieldMapping{record: i, model: modelField.Index[0], toRecord: toRecord, toModel: toModel})
	}
	for i := range model.NumField() {
		if name := model.Field(i).Name; !stored[name] {
			problems = append(problems, &MissingFieldError{Type: model, Field: name, MissingIn: record})
		}
	}
	return mappings, errors.Join(problems...)
}

// modelFieldName returns the name of the field of package flaxshelf that recordField stores.
func modelFieldName(recordField reflect.StructField) string {
	if name, ok := recordField.Tag.Lookup(modelTag); ok {
		return name
	}
	return recordField.Name
}
