package fleetsettings

import (
	"errors"
	"reflect"
	"testing"

	"flaxshelf.example/flaxshelf"
	"flaxshelf.example/flaxshelf/internal/textfields"
)

// A JSON object and pairs with the same paths decode to the same configuration.
func TestDecodeJSONEqualsPairs(t *testing.T) {
	got, _, err := DecodeJSON([]byte(`{"index":1,"kinds":["a","b"],"categories":[{"name":"c","effect":"read_like","worth":2.5}],
		"customers":[],"caps":{"cancel":true,"later":null},"specifics":{"kind_cores":[8,16],"kind_by_class":[1]}}`))
	if err != nil {
		t.Fatal(err)
	}
	want, invalid := decodePairs("index=1", "kinds=a,b", "categories.count=1", "categories.0.name=c",
		"categories.0.effect=read_like", "categories.0.worth=2.5", "customers=", "caps.cancel=true", "specifics.kind_cores=8,16",
		"specifics.kind_by_class=1")
	if invalid != nil {
		t.Fatal(invalid)
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

func TestNamesAreFoundAsWrittenAndAsInPairs(t *testing.T) {
	config, names, err := DecodeJSON([]byte(`{"kinds":["a b","a_b","c,d"]}`))
	if err != nil {
		t.Fatal(err)
	}
	wantKinds := []flaxshelf.MachineKind{{Name: "a_b"}, {Name: "a_b"}, {Name: "c_d"}}
	if !reflect.DeepEqual(config.Kinds, wantKinds) {
		t.Errorf("kinds: got %+v, want %+v", config.Kinds, wantKinds)
	}
	for name, want := range map[string]int{"a b": 0, "a_b": 1, "c,d": 2, "c_d": 2, "other": -1} {
		if got := names.Kind(name); got != want {
			t.Errorf("kind %q: got %d, want %d", name, got, want)
		}
	}
	if _, ok := names.Class("a b"); ok {
		t.Error("found a class with the name of a kind, want none")
	}
}

func TestDecodeJSONErrors(t *testing.T) {
	for name, test := range map[string]struct {
		settings, field string // empty: the error does not concern a single setting
	}{
		"not an object":    {`[]`, ""},
		"not JSON":         {`{`, ""},
		"repeated name":    {`{"customers":[{"name":"a"},{"name":"a"}]}`, "customers[1].name"},
		"empty name":       {`{"kinds":["a",""]}`, "kinds[1]"},
		"name is a number": {`{"kinds":[1]}`, ""},
		"invalid value":    {`{"caps":{"cancel":"maybe"}}`, "caps.cancel"},
	} {
		t.Run(name, func(t *testing.T) {
			_, _, err := DecodeJSON([]byte(test.settings))
			if err == nil {
				t.Fatal("got no error")
			}
			var invalid *textfields.ValueError
			if found := errors.As(err, &invalid); found != (test.field != "") || found && invalid.Field != test.field {
				t.Errorf("got %v, want field %q", err, test.field)
			}
		})
	}
}
