package reference

import (
	"fmt"
	"reflect"

	"flaxshelf.example/flaxshelf"
)

// Twin steps the module and its oracle side by side and answers as the module does. It is not safe for concurrent use.
type Twin struct {
	module    *flaxshelf.Placer
	reference *Placer

	Steps  int
	Events int
	// Err is a *DifferenceError from the first difference on.
	Err error
}

// DifferenceError is an action in which the module and the reference differ.
type DifferenceError struct {
	Step   int // counted from 1
	Action int // index within the step
	Got    any // the module's; nil where it has none
	Want   any // the reference's; nil where it has none
}

// Error names the step, the action and both answers.
func (e *DifferenceError) Error() string {
	return fmt.Sprintf("reference: step %d, action %d is %#v, the reference had %#v", e.Step, e.Action, e.Got, e.Want)
}

// NewTwin makes both with the same settings and seed.
func NewTwin(cfg flaxshelf.Config, seed uint64) (*Twin, error) {
	module, err := flaxshelf.New(cfg, seed)
	if err != nil {
		return nil, err
	}
	reference, err := New(cfg, seed)
	if err != nil {
		return nil, err
	}
	return &Twin{module: module, reference: reference}, nil
}

// Step gives both the events and returns the module's actions.
func (t *Twin) Step(now flaxshelf.Time, events []flaxshelf.Event) []flaxshelf.Action {
	t.Steps++
	t.Events += len(events)
	got := t.module.Step(now, events)
	if t.Err != nil {
		return got
	}
	want := t.reference.Step(now, events)
	for i := range max(len(got), len(want)) {
		gotAction, wantAction := actionAt(got, i), actionAt(want, i)
		if !reflect.DeepEqual(gotAction, wantAction) {
			t.Err = &DifferenceError{Step: t.Steps, Action: i, Got: gotAction, Want: wantAction}
			break
		}
	}
	return got
}

// actionAt is an action by its index, or nil.
func actionAt(actions []flaxshelf.Action, i int) any {
	if i >= len(actions) {
		return nil
	}
	return actions[i]
}
