package replay

import (
	"errors"
	"fmt"
	"reflect"
)

// modelTag is the key of the struct tag that names the field of package flaxshelf that a field of a record stores. A field
// without the tag stores the field of its own name.
const modelTag = "model"

// copier copies one value to another, whose type is the one that the copier was made for. The target must be settable.
type copier func(to, from reflect.Value)

// conversion copies values between one type of package flaxshelf and its record, in both directions. It is safe for
// concurrent use.
type conversion struct {
	record, model     reflect.Type
	toRecord, toModel copier
}

// newConversion returns the conversion between two struct types. The error joins a *MissingFieldError for each field,
// at any depth, that has no counterpart; the conversion copies all others.
func newConversion(record, model reflect.Type) (conversion, error) {
	toRecord, toModel, err := newCopiers(record, model)
	return conversion{record: record, model: model, toRecord: toRecord, toModel: toModel}, err
}

// newRecord returns a pointer to the record of a value. Gob stores what it points to, so that no copy is needed.
func (c *conversion) newRecord(value any) any {
	record := reflect.New(c.record)
	c.toRecord(record.Elem(), reflect.ValueOf(value))
	return record.Interface()
}

// newModelValue returns the value of a record.
func (c *conversion) newModelValue(record any) any {
	value := reflect.New(c.model).Elem()
	c.toModel(value, reflect.ValueOf(record))
	return value.Interface()
}

// newCopiers returns the copiers between values of a record type and of a type of package flaxshelf.
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
	return copyNothing, copyNothing, fmt.Errorf("%v can't store a %v", record, model)
}

// copyNothing leaves a field at zero whose types have no copier.
func copyNothing(_, _ reflect.Value) {}

// sameTypeCopier returns the fastest copier between values of one type, which is of the given kind.
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

// sliceCopier returns the copier of slices whose elements are copied by copyElement. A nil slice stays nil.
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

// fieldMapping is a field of a record with the field of package flaxshelf that it stores.
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

// mapFields maps the fields of two struct types to each other. The error joins those of all fields that have no counterpart.
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

// modelFieldName returns the name of the field of package flaxshelf that a field of a record stores.
func modelFieldName(recordField reflect.StructField) string {
	if name, ok := recordField.Tag.Lookup(modelTag); ok {
		return name
	}
	return recordField.Name
}
