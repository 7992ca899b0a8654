package textfields

import (
	"testing"
	"time"
)

func TestFieldsAreReadByName(t *testing.T) {
	f := Parse("text=a=b n=-3 x=0.5 yes=1 list=a,b numbers=1,2.5 count=2 text=later")
	for name, test := range map[string]struct{ got, want any }{
		"first of two values":       {f.Text("text"), "a=b"},
		"required text":             {f.RequiredText("text"), "a=b"},
		"integer":                   {f.Integer("n"), int64(-3)},
		"duration":                  {f.RequiredDuration("n"), -3 * time.Nanosecond},
		"number":                    {f.Number("x"), 0.5},
		"boolean":                   {f.Boolean("yes"), true},
		"length of a list":          {len(f.List("list")), 2},
		"entry of a list":           {f.NumberAt("numbers", 1, 9), 2.5},
		"entry past the list's end": {f.NumberAt("numbers", 2, 9), 9.0},
		"count":                     {f.EntryCount("count"), 2},
		"enumerated value":          {Enum(&f, "text", map[string]int{"a=b": 7}, 0), 7},
		"missing text":              {f.Text("none"), ""},
		"missing integer":           {f.Integer("none"), int64(0)},
		"missing boolean":           {f.Boolean("none"), false},
		"missing enumerated value":  {Enum(&f, "none", map[string]int{"": 7}, 5), 5},
		"length of a missing list":  {len(f.List("none")), 0},
		"prefix of a field's name":  {f.Text("tex"), ""},
	} {
		if test.got != test.want {
			t.Errorf("%s: got %v, want %v", name, test.got, test.want)
		}
	}
	if err := f.FirstError(); err != nil {
		t.Errorf("got error %v, want none", err)
	}
}

func TestFirstInvalidFieldIsKept(t *testing.T) {
	for name, test := range map[string]struct {
		read         func(f *Fields)
		field, value string
	}{
		"required but missing":    {func(f *Fields) { f.RequiredText("none") }, "none", ""},
		"integer":                 {func(f *Fields) { f.Integer("x") }, "x", "nan"},
		"required integer":        {func(f *Fields) { f.RequiredInteger("none") }, "none", ""},
		"not a finite number":     {func(f *Fields) { f.Number("x") }, "x", "nan"},
		"boolean":                 {func(f *Fields) { f.Boolean("n") }, "n", "3"},
		"entry of a list":         {func(f *Fields) { f.NumberAt("list", 1, 0) }, "list", "y"},
		"more entries than pairs": {func(f *Fields) { f.EntryCount("n") }, "n", "3"},
		"unknown enum value":      {func(f *Fields) { Enum(f, "n", map[string]int{"a": 1}, 0) }, "n", "3"},
		"first of two errors":     {func(f *Fields) { f.Boolean("n"); f.Integer("x") }, "n", "3"},
	} {
		t.Run(name, func(t *testing.T) {
			f := New([]string{"n=3", "x=nan"})
			if test.field == "list" {
				f = New([]string{"list=1,y"})
			}
			test.read(&f)
			got := f.FirstError()
			if got == nil || got.Field != test.field || got.Value != test.value || got.Reason == "" {
				t.Errorf("got %v, want field %s with value %q and a reason", got, test.field, test.value)
			}
		})
	}
}
