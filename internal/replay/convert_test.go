package replay

import (
	"errors"
	"reflect"
	"testing"

	"flaxshelf.example/flaxshelf"
)

// Guards against a field of package flaxshelf that no record stores: replays would run without its value.
func TestFormatStoresEveryField(t *testing.T) {
	if storedTypes.err != nil {
		t.Errorf("got fields without a counterpart, want none (add them to record.go):\n%v", storedTypes.err)
	}
}

func TestNewConversionNamesFieldsWithoutCounterpart(t *testing.T) {
	type incompleteMachineRecord struct{ ID string }
	type incompleteListRecord struct {
		Machines []incompleteMachineRecord
		Whole    bool `model:"Complete"`
		Stale    bool
	}
	type machineList struct{ Machines []struct{ ID, Rack string } }
	tests := []struct {
		name          string
		record, model reflect.Type
		want          string // name of the field
	}{
		{"field that no record field stores", reflect.TypeFor[struct{ ID string }](),
			reflect.TypeFor[struct{ ID, Rack string }](), "Rack"},
		{"record field that stores nothing", reflect.TypeFor[struct{ ID, Rack string }](),
			reflect.TypeFor[struct{ ID string }](), "Rack"},
		{"tag that names no field", reflect.TypeFor[struct {
			Rack string `model:"Shelf"`
		}](), reflect.TypeFor[struct{ Rack string }](), "Rack"},
		{"two record fields for one field", reflect.TypeFor[struct {
			ID   string
			Name string `model:"ID"`
		}](), reflect.TypeFor[struct{ ID string }](), "Name"},
		{"field within a slice", reflect.TypeFor[struct{ Machines []incompleteMachineRecord }](),
			reflect.TypeFor[machineList](), "Rack"},
		{"field of a type of package flaxshelf", reflect.TypeFor[incompleteListRecord](),
			reflect.TypeFor[flaxshelf.MachinesUpdated](), "Kind"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := newConversion(test.record, test.model)
			var missing *MissingFieldError
			if !errors.As(err, &missing) || missing.Field != test.want {
				t.Errorf("got %v, want a MissingFieldError for %s", err, test.want)
			}
		})
	}
}

func TestNewConversionRejectsOtherTypes(t *testing.T) {
	record, model := reflect.TypeFor[struct{ Cores int }](), reflect.TypeFor[struct{ Cores float64 }]()
	if _, err := newConversion(record, model); err == nil {
		t.Error("got no error for a float64 stored as an int, want one")
	}
}
