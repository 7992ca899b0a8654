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

// step is what a module was given at one time, and its answer.
type step struct {
	now     flaxshelf.Time
	events  []flaxshelf.Event
	actions []flaxshelf.Action
}

// reader reads a recording.
type reader struct {
	dec    *gob.Decoder
	config flaxshelf.Config
	seed   uint64
	steps  int // read
}

// newReader reads the header. The version is read by itself first, since another version may have another header.
func newReader(r io.Reader) (*reader, error) {
	const what = "the header"
	var seen bytes.Buffer
	var version struct{ Version int }
	if err := gob.NewDecoder(io.TeeReader(r, &seen)).Decode(&version); err != nil {
		return nil, &FormatError{What: what, Err: err}
	}
	if version.Version != Version {
		return nil, &FormatError{What: what, Version: version.Version}
	}
	x := &reader{dec: gob.NewDecoder(bufio.NewReader(io.MultiReader(&seen, r)))}
	var h headerRecord
	if err := x.dec.Decode(&h); err != nil {
		return nil, &FormatError{What: what, Version: version.Version, Err: err}
	}
	x.config, x.seed = h.Config.config(), h.Seed
	return x, nil
}

// next reads the next step. The error is a FormatError, of io.EOF at the end.
func (x *reader) next() (step, error) {
	x.steps++
	var record stepRecord
	err := x.dec.Decode(&record)
	if err == nil {
		var s step
		if s, err = record.step(); err == nil {
			return s, nil
		}
	}
	return step{}, &FormatError{What: fmt.Sprintf("step %d", x.steps), Version: Version, Err: err}
}

// errNoType is an event or action that a damaged recording leaves out.
var errNoType = errors.New("an event or action has no type")

func (r *stepRecord) step() (step, error) {
	s := step{now: r.Now}
	for _, e := range r.Events {
		if e == nil {
			return step{}, errNoType
		}
		s.events = append(s.events, e.event())
	}
	for _, a := range r.Actions {
		if a == nil {
			return step{}, errNoType
		}
		s.actions = append(s.actions, a.action())
	}
	return s, nil
}

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
