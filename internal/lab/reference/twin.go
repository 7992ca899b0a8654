package reference

import (
	"fmt"
	"reflect"

	"flaxshelf.example/flaxshelf"
)

// Twin steps the module and its oracle side by side and answers as the module does. From the first difference on, Err
// tells the step, the action and what both said. It is not safe for concurrent use.
type Twin struct {
	module    *flaxshelf.Placer
	reference *Placer
	Steps     int
	Events    int
	Err       error
}

// NewTwin makes both with the same settings and seed.
func NewTwin(cfg flaxshelf.Config, seed uint64) (*Twin, error) {
	now, err := flaxshelf.New(cfg, seed)
	if err != nil {
		return nil, err
	}
	old, err := New(cfg, seed)
	if err != nil {
		return nil, err
	}
	return &Twin{module: now, reference: old}, nil
}

// Step is the module's.
func (t *Twin) Step(now flaxshelf.Time, events []flaxshelf.Event) []flaxshelf.Action {
	t.Steps++
	t.Events += len(events)
	got := t.module.Step(now, events)
	if t.Err != nil {
		return got
	}
	want := t.reference.Step(now, events)
	for i := range max(len(got), len(want)) {
		var g, w any
		if i < len(got) {
			g = got[i]
		}
		if i < len(want) {
			w = want[i]
		}
		if !reflect.DeepEqual(g, w) {
			t.Err = fmt.Errorf("reference: step %d, action %d is %#v, the reference had %#v", t.Steps, i, g, w)
			break
		}
	}
	return got
}
