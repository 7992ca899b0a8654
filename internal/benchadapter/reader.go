// Package benchadapter translates between the bench's text protocol and the events and actions of the scheduling module (package
// flaxshelf). It only maps names and units, and takes no scheduling decision. A Reader or Writer is not safe for concurrent
// use.
//
// The input consists of batches: a FRAME line with the time and a serial number, one line for each message about an instance of
// the module, and an END line. REGISTER lines with the entries of a machine list may stand between the messages. A line has a
// name and name=value fields, separated by spaces.
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

// readBufferBytes is the size of a Reader's buffer. It does not limit the length of lines.
const readBufferBytes = 1 << 20

// Start has the seed and the configuration with which an instance starts.
type Start struct {
	Seed   uint64
	Config flaxshelf.Config
	names  *fleetsettings.NameIndex // in Config
}

// Message is a message about an instance. Exactly one of Start, Stop and Event is set.
type Message struct {
	Instance int
	Start    *Start
	Stop     bool
	Event    flaxshelf.Event
}

// Batch is the content of the lines from FRAME to END.
type Batch struct {
	Now      flaxshelf.Time
	Serial   int64 // number by which the reply refers to the batch
	Messages []Message
}

// ProtocolError reports malformed input. Batch is the serial number of the current batch, or of the previous one if the FRAME
// line itself is malformed; it is 0 before the first batch. Value is empty for a missing field, and the whole line where a line
// with another name was expected.
type ProtocolError struct {
	Batch        int64
	Field, Value string
}

// Error names the batch, the field and its value.
func (e *ProtocolError) Error() string {
	return fmt.Sprintf("malformed input: batch %d, field %s, value %q", e.Batch, e.Field, e.Value)
}

// Reader reads batches. From one batch to the next it keeps the machine lists and the names in the settings of the instances, to
// which later messages refer.
type Reader struct {
	in           *bufio.Reader
	names        map[int]*fleetsettings.NameIndex // by instance
	machineLists map[int][]listedMachine          // by page number
	batchSerial  int64                            // of the current batch; 0 before the first
}

// NewReader returns a Reader that reads from in.
func NewReader(in io.Reader) *Reader {
	return &Reader{
		in:           bufio.NewReaderSize(in, readBufferBytes),
		names:        map[int]*fleetsettings.NameIndex{},
		machineLists: map[int][]listedMachine{},
	}
}

// Next reads the next batch. The error is io.EOF when the input ends between batches, io.ErrUnexpectedEOF when it ends within a
// batch, and otherwise a *ProtocolError or the error of the input.
func (r *Reader) Next() (*Batch, error) {
	batch, err := r.readBatchStart()
	if err != nil {
		return nil, err
	}
	for {
		line, err := r.readLine()
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
		message, ok, err := r.readMessage(line)
		if err != nil {
			return nil, err
		}
		if ok {
			batch.Messages = append(batch.Messages, message)
		}
	}
}

// readBatchStart reads the FRAME line of a batch and skips empty lines before it. It returns a batch without messages.
func (r *Reader) readBatchStart() (*Batch, error) {
	line, err := r.readLine()
	for err == nil && line == "" {
		line, err = r.readLine()
	}
	if err != nil {
		return nil, err
	}
	name, rest, _ := strings.Cut(line, " ")
	if name != "FRAME" {
		return nil, &ProtocolError{Batch: r.batchSerial, Field: "FRAME", Value: line}
	}
	f := parseFields(rest)
	batch := &Batch{Now: f.RequiredDuration("clock_ns"), Serial: f.RequiredInteger("serial")}
	if err := r.protocolError(f); err != nil {
		return nil, err
	}
	r.batchSerial = batch.Serial
	return batch, nil
}

// readLine reads a line and returns it without its line break. The error is io.EOF when the input ends after a complete line, and
// io.ErrUnexpectedEOF when the last line has no line break.
func (r *Reader) readLine() (string, error) {
	line, err := r.in.ReadString('\n')
	if errors.Is(err, io.EOF) && line != "" {
		err = io.ErrUnexpectedEOF
	}
	return strings.TrimRight(line, "\r\n"), err
}

// readMessage decodes a line of a batch. For a REGISTER line, it also reads the entries that follow. ok is false for a line that
// yields no message: REGISTER, or an unknown name.
func (r *Reader) readMessage(line string) (message Message, ok bool, err error) {
	name, rest, _ := strings.Cut(line, " ")
	f := parseFields(rest)
	if name == "REGISTER" {
		return message, false, r.readMachineList(f)
	}
	message.Instance = int(f.RequiredInteger("who"))
	if names := r.names[message.Instance]; names != nil {
		f.names = names
	}
	if !r.decodeMessage(name, f, &message) {
		return message, false, nil
	}
	if err := r.protocolError(f); err != nil {
		return message, false, err
	}
	if message.Start != nil {
		r.names[message.Instance] = message.Start.names
	}
	return message, true, nil
}

// decodeMessage sets Start, Stop or Event of message from the fields of a line with the given name. It returns false for an
// unknown name.
func (r *Reader) decodeMessage(name string, f *fields, message *Message) bool {
	switch name {
	case "UP":
		message.Start = &Start{Seed: uint64(f.Integer("init_seed"))}
		message.Start.Config, message.Start.names = fleetsettings.Decode(&f.Fields)
	case "RETIRE":
		message.Stop = true
	case "VIEW":
		message.Event = r.decodeView(f)
	default:
		decode, known := eventDecoders[name]
		if known {
			message.Event = decode(f)
		}
		return known
	}
	return true
}
