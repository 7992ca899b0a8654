// Package replay owns recordings of what a module was given and what it answered, and plays them to a module by
// itself. It must not know of jobs or sockets: a difference means that the program has decided something.
package replay

import (
	"bufio"
	"encoding/gob"
	"errors"
	"fmt"
	"io"
	"os"
	"reflect"

	"flaxshelf.example/flaxshelf"
)

// Version is the version of the format.
const Version = 1

// Writer records. Its Step is made for scheduler.Config.Tap.
type Writer struct {
	enc *gob.Encoder
	buf *bufio.Writer
	out io.Closer
	err error
}

// NewWriter begins a recording.
func NewWriter(w io.Writer, cfg flaxshelf.Config, seed uint64) (*Writer, error) {
	buf := bufio.NewWriter(w)
	x := &Writer{enc: gob.NewEncoder(buf), buf: buf}
	if err := x.enc.Encode(headerRecord{Version: Version, Config: configRecordOf(cfg), Seed: seed}); err != nil {
		return nil, fmt.Errorf("replay: %w", err)
	}
	return x, nil
}

// Create begins a recording in a file.
func Create(path string, cfg flaxshelf.Config, seed uint64) (*Writer, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("replay: %w", err)
	}
	w, err := NewWriter(f, cfg, seed)
	if err != nil {
		_ = f.Close()
		return nil, err
	}
	w.out = f
	return w, nil
}

// Step records one step. The first error ends the recording and comes out of Close.
func (w *Writer) Step(now flaxshelf.Time, events []flaxshelf.Event, actions []flaxshelf.Action) {
	if w.err != nil {
		return
	}
	var record stepRecord
	if record, w.err = stepRecordOf(now, events, actions); w.err == nil {
		w.err = w.enc.Encode(record)
	}
}

// Close ends the recording.
func (w *Writer) Close() error {
	err := errors.Join(w.err, w.buf.Flush())
	if w.out != nil {
		err = errors.Join(err, w.out.Close())
	}
	if err != nil {
		return fmt.Errorf("replay: %w", err)
	}
	return nil
}

// Result is what a check has seen.
type Result struct{ Steps, Events, Actions int }

// Module is what a recording is played to.
type Module interface {
	Step(now flaxshelf.Time, events []flaxshelf.Event) []flaxshelf.Action
}

// Check plays a recording to a new module and compares its actions. A recording that was cut off is checked as
// far as it goes. The error names the first step that differs.
func Check(r io.Reader) (Result, error) {
	return CheckWith(r, func(c flaxshelf.Config, seed uint64) (Module, error) { return flaxshelf.New(c, seed) })
}

// CheckWith is Check of another module, made with the recorded settings and seed.
func CheckWith(r io.Reader, make func(flaxshelf.Config, uint64) (Module, error)) (Result, error) {
	var res Result
	in, err := newReader(r)
	if err != nil {
		return res, err
	}
	p, err := make(in.config, in.seed)
	if err != nil {
		return res, fmt.Errorf("replay: %w", err)
	}
	for {
		s, err := in.next()
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			return res, nil
		}
		if err != nil {
			return res, err
		}
		res.Steps++
		res.Events += len(s.events)
		res.Actions += len(s.actions)
		got := p.Step(s.now, s.events)
		if len(got) != len(s.actions) {
			return res, fmt.Errorf("replay: step %d: %d actions, recorded were %d", res.Steps, len(got),
				len(s.actions))
		}
		for i := range got {
			if !reflect.DeepEqual(got[i], s.actions[i]) {
				return res, fmt.Errorf("replay: step %d: action %d is %#v, recorded was %#v", res.Steps, i,
					got[i], s.actions[i])
			}
		}
	}
}
