package replay

import (
	"errors"
	"fmt"
	"io"
	"reflect"

	"flaxshelf.example/flaxshelf"
)

// Result counts the steps, events and actions that were replayed.
type Result struct{ Steps, Events, Actions int }

// Module is the scheduling module as a replay sees it.
type Module interface {
	// Step handles the events of one step and returns the module's actions.
	Step(now flaxshelf.Time, events []flaxshelf.Event) []flaxshelf.Action
}

// Check replays a recording to a new module and compares its actions with the recorded ones. A truncated recording is
// checked up to its last complete step. The error is a *DivergenceError for the first step with other actions, a *FormatError
// for a file that cannot be read as a recording, or the error of creating the module.
func Check(recording io.Reader) (Result, error) {
	return CheckWith(recording, func(config flaxshelf.Config, seed uint64) (Module, error) {
		return flaxshelf.New(config, seed)
	})
}

// CheckWith is like Check, but calls newModule with the recorded configuration and seed, and replays to the returned module.
func CheckWith(recording io.Reader, newModule func(flaxshelf.Config, uint64) (Module, error)) (Result, error) {
	var result Result
	in, err := newReader(recording)
	if err != nil {
		return result, err
	}
	module, err := newModule(in.config, in.seed)
	if err != nil {
		return result, fmt.Errorf("replay: %w", err)
	}
	for {
		s, err := in.next()
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			return result, nil
		}
		if err != nil {
			return result, err
		}
		result.Steps++
		result.Events += len(s.events)
		result.Actions += len(s.actions)
		if err := compareActions(result.Steps, module.Step(s.now, s.events), s.actions); err != nil {
			return result, err
		}
	}
}

// compareActions returns a *DivergenceError if a module's actions differ from the recorded ones.
func compareActions(step int, actions, recorded []flaxshelf.Action) error {
	if len(actions) != len(recorded) {
		return &DivergenceError{Step: step, ActionIndex: actionCountDiffers, Replayed: actions, Recorded: recorded}
	}
	for i := range actions {
		if !reflect.DeepEqual(actions[i], recorded[i]) {
			return &DivergenceError{Step: step, ActionIndex: i, Replayed: actions, Recorded: recorded}
		}
	}
	return nil
}
