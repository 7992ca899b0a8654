// Package machinetest helps tests to check that no field of a flaxshelf.Machine is lost between a wire format and the module
// that places tasks.
package machinetest

import (
	"reflect"
	"strconv"
	"testing"
	"time"

	"flaxshelf.example/flaxshelf"
)

// Filled returns a machine in which no field has its zero value, and all fields differ from each other as far as their types
// allow. Its kind is 1, its state Draining. Times are whole milliseconds, which every wire format can represent.
func Filled(t testing.TB) flaxshelf.Machine {
	t.Helper()
	var machine flaxshelf.Machine
	fields := reflect.ValueOf(&machine).Elem()
	for i := range fields.NumField() {
		fill(t, fields.Type().Field(i).Name, fields.Field(i), i+1)
	}
	machine.Kind, machine.State = 1, flaxshelf.Draining
	return machine
}

// fill sets a field to a value that is derived from number, which must be positive.
func fill(t testing.TB, name string, field reflect.Value, number int) {
	t.Helper()
	switch field.Kind() {
	case reflect.Bool:
		field.SetBool(true)
	case reflect.String:
		field.SetString("value-" + strconv.Itoa(number))
	case reflect.Float64:
		field.SetFloat(float64(number) + 0.5)
	case reflect.Int, reflect.Int32:
		field.SetInt(int64(number))
	case reflect.Int64:
		field.SetInt(int64(number) * int64(time.Millisecond))
	default:
		t.Fatalf("field %s of Machine: got kind %v, want one that machinetest.fill supports", name, field.Kind())
	}
}

// Expect fails the test for each field in which got differs from want.
func Expect(t testing.TB, got, want flaxshelf.Machine) {
	t.Helper()
	gotFields, wantFields := reflect.ValueOf(got), reflect.ValueOf(want)
	for i := range gotFields.NumField() {
		if got, want := gotFields.Field(i).Interface(), wantFields.Field(i).Interface(); !reflect.DeepEqual(got, want) {
			t.Errorf("field %s of Machine: got %v, want %v", gotFields.Type().Field(i).Name, got, want)
		}
	}
}

// ExpectFilled fails the test for each field of machine that has its zero value.
func ExpectFilled(t testing.TB, machine flaxshelf.Machine) {
	t.Helper()
	fields := reflect.ValueOf(machine)
	for i := range fields.NumField() {
		if fields.Field(i).IsZero() {
			t.Errorf("field %s of Machine: got the zero value, want another", fields.Type().Field(i).Name)
		}
	}
}
