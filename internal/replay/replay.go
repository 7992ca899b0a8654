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

type header struct {
	Version int
	Config  flaxshelf.Config
	Seed    uint64
}

type step struct {
	Now     flaxshelf.Time
	Events  []flaxshelf.Event
	Actions []flaxshelf.Action
}

func init() {
	for _, v := range []any{flaxshelf.Listed{}, flaxshelf.ListFailed{}, flaxshelf.Place{}, flaxshelf.Running{},
		flaxshelf.Placed{}, flaxshelf.Ended{}, flaxshelf.Note{}, flaxshelf.Probed{}, flaxshelf.Message{},
		flaxshelf.Woken{}, flaxshelf.Gone{}, flaxshelf.Offer{}, flaxshelf.Withdraw{}, flaxshelf.Refuse{},
		flaxshelf.Fail{}, flaxshelf.Move{}, flaxshelf.Probe{}, flaxshelf.Tell{}, flaxshelf.Subscribe{},
		flaxshelf.Wake{}} {
		gob.Register(v)
	}
}

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
	if err := x.enc.Encode(header{Version, cfg, seed}); err != nil {
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
	if w.err == nil {
		w.err = w.enc.Encode(step{now, events, actions})
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
	dec := gob.NewDecoder(bufio.NewReader(r))
	var h header
	if err := dec.Decode(&h); err != nil {
		return res, fmt.Errorf("replay: read the head: %w", err)
	}
	if h.Version != Version {
		return res, fmt.Errorf("replay: version %d, this build reads %d", h.Version, Version)
	}
	p, err := make(h.Config, h.Seed)
	if err != nil {
		return res, fmt.Errorf("replay: %w", err)
	}
	for {
		var s step
		if err := dec.Decode(&s); err != nil {
			if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
				return res, nil
			}
			return res, fmt.Errorf("replay: read step %d: %w", res.Steps+1, err)
		}
		res.Steps++
		res.Events += len(s.Events)
		res.Actions += len(s.Actions)
		got := p.Step(s.Now, s.Events)
		if len(got) != len(s.Actions) {
			return res, fmt.Errorf("replay: step %d: %d actions, recorded were %d", res.Steps, len(got),
				len(s.Actions))
		}
		for i := range got {
			if !reflect.DeepEqual(got[i], s.Actions[i]) {
				return res, fmt.Errorf("replay: step %d: action %d is %#v, recorded was %#v", res.Steps, i,
					got[i], s.Actions[i])
			}
		}
	}
}
