package replay

import (
	"bufio"
	"bytes"
	"encoding/gob"
	"fmt"
	"io"

	"flaxshelf.example/flaxshelf"
)

// step holds the inputs of one step of a module, and its outputs.
type step struct {
	now     flaxshelf.Time
	events  []flaxshelf.Event
	actions []flaxshelf.Action
}

// reader reads a recording step by step.
type reader struct {
	decoder   *gob.Decoder
	config    flaxshelf.Config
	seed      uint64
	stepsRead int // steps read so far
}

// newReader reads the header of a recording. It first decodes only the version, since the header of another version may have
// other fields. The error is a *FormatError.
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
	config := storedTypes.configConversion.newModelValue(header.Config).(flaxshelf.Config)
	return &reader{decoder: decoder, config: config, seed: header.Seed}, nil
}

// next reads the next step. The error is a *FormatError. It wraps io.EOF at the end of the recording, and
// io.ErrUnexpectedEOF if the recording is truncated within a step.
func (r *reader) next() (step, error) {
	r.stepsRead++
	var record stepRecord
	err := r.decoder.Decode(&record)
	if err == nil {
		var s step
		if s, err = record.toStep(); err == nil {
			return s, nil
		}
	}
	return step{}, &FormatError{Part: fmt.Sprintf("step %d", r.stepsRead), Version: Version, Err: err}
}

// toStep returns the step that is stored in the record.
func (r *stepRecord) toStep() (step, error) {
	events, err := newModelValues[flaxshelf.Event](storedTypes, r.Events)
	if err != nil {
		return step{}, err
	}
	actions, err := newModelValues[flaxshelf.Action](storedTypes, r.Actions)
	return step{now: r.Now, events: events, actions: actions}, err
}
