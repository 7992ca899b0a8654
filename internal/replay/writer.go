package replay

import (
	"bufio"
	"encoding/gob"
	"errors"
	"fmt"
	"io"
	"os"

	"flaxshelf.example/flaxshelf"
)

// Version is the version of the recording format that this build writes and reads.
const Version = 1

// Writer writes a recording. It is not safe for concurrent use: the goroutine that steps the module owns it.
type Writer struct {
	encoder  *gob.Encoder
	buffer   *bufio.Writer
	closer   io.Closer // of the file that Create opened; nil after NewWriter
	firstErr error     // first error of WriteStep; no step is recorded after it
}

// NewWriter starts a recording of a module with the given configuration and seed. Closing the Writer does not close out: the
// caller must do so afterwards.
func NewWriter(out io.Writer, config flaxshelf.Config, seed uint64) (*Writer, error) {
	if storedTypes.err != nil {
		return nil, fmt.Errorf("replay: %w", storedTypes.err)
	}
	buffer := bufio.NewWriter(out)
	w := &Writer{encoder: gob.NewEncoder(buffer), buffer: buffer}
	header := headerRecord{Version: Version, Config: *storedTypes.configConversion.newRecord(config).(*configRecord), Seed: seed}
	if err := w.encoder.Encode(header); err != nil {
		return nil, fmt.Errorf("replay: write the header: %w", err)
	}
	return w, nil
}

// Create creates or truncates a file and starts a recording in it. Closing the Writer closes the file.
func Create(path string, config flaxshelf.Config, seed uint64) (*Writer, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("replay: %w", err)
	}
	w, err := NewWriter(f, config, seed)
	if err != nil {
		return nil, errors.Join(err, f.Close())
	}
	w.closer = f
	return w, nil
}

// WriteStep records one step. It returns no error, since a module keeps running when its recording cannot be written. After the
// first error no further steps are recorded, and Close returns that error.
func (w *Writer) WriteStep(now flaxshelf.Time, events []flaxshelf.Event, actions []flaxshelf.Action) {
	if w.firstErr != nil {
		return
	}
	record, err := newStepRecord(now, events, actions)
	if err == nil {
		err = w.encoder.Encode(record)
	}
	w.firstErr = err
}

// Close ends the recording. It returns the first error of WriteStep, joined with the errors of flushing the output and of closing
// a file that Create opened.
func (w *Writer) Close() error {
	err := errors.Join(w.firstErr, w.buffer.Flush())
	if w.closer != nil {
		err = errors.Join(err, w.closer.Close())
	}
	if err != nil {
		return fmt.Errorf("replay: %w", err)
	}
	return nil
}

// newStepRecord returns the record of a step. The error is an *UnknownTypeError for a type that has no record.
func newStepRecord(now flaxshelf.Time, events []flaxshelf.Event, actions []flaxshelf.Action) (stepRecord, error) {
	storedEvents, err := newRecords[eventRecord](storedTypes, events)
	if err != nil {
		return stepRecord{}, err
	}
	storedActions, err := newRecords[actionRecord](storedTypes, actions)
	return stepRecord{Now: now, Events: storedEvents, Actions: storedActions}, err
}
