// Package benchadapter translates between the bench's text protocol and the events and actions of the module: names and units.
// It makes no decision. A Reader or Writer is not safe for concurrent use.
package benchadapter

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strings"

	"flaxshelf.example/flaxshelf"
	"flaxshelf.example/flaxshelf/internal/fleetsettings"
)

// readBufferBytes is the size of a Reader's buffer. Lines may be longer.
const readBufferBytes = 1 << 20

// Start is the start of an instance with its seed and configuration.
type Start struct {
	Seed   uint64
	Config flaxshelf.Config
	names  *fleetsettings.NameIndex
}

// Item is an occurrence at an instance. Exactly one of Start, Stop and Event is set.
type Item struct {
	Instance int
	Start    *Start
	Stop     bool
	Event    flaxshelf.Event
}

// Batch is the content of a FRAME.
type Batch struct {
	Clock  flaxshelf.Time
	Serial int64
	Items  []Item
}

// ProtocolError reports malformed input: the serial number of the current batch, the field and its value.
type ProtocolError struct {
	Batch        int64
	Field, Value string
}

func (e *ProtocolError) Error() string {
	return fmt.Sprintf("malformed input: batch %d, field %s, value %q", e.Batch, e.Field, e.Value)
}

// Reader reads batches. It stores the names in the settings of instances, and the registered lists of machines.
type Reader struct {
	in     *bufio.Reader
	names  map[int]*fleetsettings.NameIndex // by instance
	pages  map[int][]listedMachine
	serial int64
}

// NewReader returns a Reader of in.
func NewReader(in io.Reader) *Reader {
	return &Reader{
		in:    bufio.NewReaderSize(in, readBufferBytes),
		names: map[int]*fleetsettings.NameIndex{},
		pages: map[int][]listedMachine{},
	}
}

// Next reads a batch. The error is io.EOF when the input ends between batches, io.ErrUnexpectedEOF when it ends within one (but
// see register), and otherwise a *ProtocolError or the error of the input.
func (r *Reader) Next() (*Batch, error) {
	batch, err := r.begin()
	if err != nil {
		return nil, err
	}
	for {
		line, err := r.line()
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return nil, err
		}
		if line == "END" {
			return batch, nil
		}
		if line == "" {
			continue
		}
		item, ok, err := r.item(line)
		if err != nil {
			return nil, err
		}
		if ok {
			batch.Items = append(batch.Items, item)
		}
	}
}

// begin reads the FRAME line of a batch. Empty lines before it are skipped.
func (r *Reader) begin() (*Batch, error) {
	line, err := r.line()
	for err == nil && line == "" {
		line, err = r.line()
	}
	if err != nil {
		return nil, err
	}
	message, rest, _ := strings.Cut(line, " ")
	if message != "FRAME" {
		return nil, &ProtocolError{Batch: r.serial, Field: "FRAME", Value: line}
	}
	f := parseFields(rest)
	batch := &Batch{Clock: f.RequiredDuration("clock_ns"), Serial: f.RequiredInteger("serial")}
	if err := r.check(f); err != nil {
		return nil, err
	}
	r.serial = batch.Serial
	return batch, nil
}

// line reads a line and returns it without its line break.
func (r *Reader) line() (string, error) {
	line, err := r.in.ReadString('\n')
	if errors.Is(err, io.EOF) && line != "" {
		err = io.ErrUnexpectedEOF
	}
	return strings.TrimRight(line, "\r\n"), err
}

// item decodes a line of a batch, and the following lines that belong to it. ok is false for a line that is not about an
// instance, and for an unknown message.
func (r *Reader) item(line string) (item Item, ok bool, err error) {
	message, rest, _ := strings.Cut(line, " ")
	f := parseFields(rest)
	if message == "REGISTER" {
		return item, false, r.register(f)
	}
	item.Instance = int(f.RequiredInteger("who"))
	if names := r.names[item.Instance]; names != nil {
		f.names = names
	}
	if !r.decodeItem(message, f, &item) {
		return item, false, nil
	}
	if err := r.check(f); err != nil {
		return item, false, err
	}
	if item.Start != nil {
		r.names[item.Instance] = item.Start.names
	}
	return item, true, nil
}

// decodeItem decodes a message about an instance. It returns false for an unknown message.
func (r *Reader) decodeItem(message string, f *fields, item *Item) bool {
	switch message {
	case "UP":
		item.Start = &Start{Seed: uint64(f.Integer("init_seed"))}
		item.Start.Config, item.Start.names = fleetsettings.Decode(&f.Fields)
	case "RETIRE":
		item.Stop = true
	case "VIEW":
		item.Event = r.decodeView(f)
	default:
		decode, known := eventDecoders[message]
		if known {
			item.Event = decode(f)
		}
		return known
	}
	return true
}
