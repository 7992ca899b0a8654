package replay

import (
	"bufio"
	"bytes"
	"encoding/gob"
	"errors"
	"fmt"
	"io"

	"flaxshelf.example/flaxshelf"
)

// step is the inputs of a module at one time, and its outputs.
type step struct {
	now     flaxshelf.Time
	events  []flaxshelf.Event
	actions []flaxshelf.Action
}

// reader reads a recording step by step.
type reader struct {
	decoder *gob.Decoder
	config  flaxshelf.Config
	seed    uint64
	steps   int // steps that were read
}

// newReader reads the header. The version is read by itself first, since another version may have another header.
func newReader(in io.Reader) (*reader, error) {
	const part = "the header"
	var start bytes.Buffer
	var version struct{ Version int }
	if err := gob.NewDecoder(io.TeeReader(in, &start)).Decode(&version); err != nil {
		return nil, &FormatError{Part: part, Err: err}
	}
	if version.Version != Version {
		return nil, &FormatError{Part: part, Version: version.Version}
	}
	decoder := gob.NewDecoder(bufio.NewReader(io.MultiReader(&start, in)))
	var header headerRecord
	if err := decoder.Decode(&header); err != nil {
		return nil, &FormatError{Part: part, Version: version.Version, Err: err}
	}
	return &reader{decoder: decoder, config: header.Config.config(), seed: header.Seed}, nil
}

// next reads the next step. The error is a FormatError, which wraps io.EOF at the end.
func (r *reader) next() (step, error) {
	r.steps++
	var record stepRecord
	err := r.decoder.Decode(&record)
	if err == nil {
		var s step
		if s, err = record.step(); err == nil {
			return s, nil
		}
	}
	return step{}, &FormatError{Part: fmt.Sprintf("step %d", r.steps), Version: Version, Err: err}
}

// errMissingType is an event or action of a damaged recording that has no value.
var errMissingType = errors.New("an event or action has no type")

// step is the step of the record.
func (r *stepRecord) step() (step, error) {
	s := step{now: r.Now}
	for _, e := range r.Events {
		if e == nil {
			return step{}, errMissingType
		}
		s.events = append(s.events, e.event())
	}
	for _, a := range r.Actions {
		if a == nil {
			return step{}, errMissingType
		}
		s.actions = append(s.actions, a.action())
	}
	return s, nil
}

// stepRecordOf is the record of a step; UnknownTypeError for a type that the format does not have.
func stepRecordOf(now flaxshelf.Time, events []flaxshelf.Event, actions []flaxshelf.Action) (stepRecord, error) {
	r := stepRecord{Now: now}
	for _, event := range events {
		e, err := eventRecordOf(event)
		if err != nil {
			return stepRecord{}, err
		}
		r.Events = append(r.Events, e)
	}
	for _, action := range actions {
		a, err := actionRecordOf(action)
		if err != nil {
			return stepRecord{}, err
		}
		r.Actions = append(r.Actions, a)
	}
	return r, nil
}
