// Package sse decodes server-sent events as the control feed of the platform writes them. It holds no connection and makes
// no decision.
package sse

import (
	"bytes"
	"errors"
	"fmt"
)

// MaxEvent bounds what a Decoder holds of an event before its end, in bytes.
const MaxEvent = 1 << 20

// ErrTooLong is matched by the error for an event over MaxEvent.
var ErrTooLong = errors.New("event over the limit")

// SizeError is an event that grew over the limit before it ended. It matches ErrTooLong.
type SizeError struct {
	ID           string // of the event, as far as it has come
	Bytes, Limit int
}

func (e *SizeError) Error() string {
	return fmt.Sprintf("sse: event %.40q has %d bytes and no end, %d at most", e.ID, e.Bytes, e.Limit)
}

// Unwrap returns ErrTooLong.
func (e *SizeError) Unwrap() error { return ErrTooLong }

// Event is a complete event.
type Event struct {
	ID   string
	Data []byte
}

// Decoder decodes a stream that arrives in pieces of any size. Its zero value is at the beginning of a stream. It is not
// safe for concurrent use.
type Decoder struct {
	line    []byte // as much of the current line as has come
	id      string
	data    []byte
	hasData bool // an event without data is none
}

// Write takes the next bytes of the stream and calls emit for each event that they complete. The Data of an event is valid
// until emit returns. An event that breaks off at the end of the stream is never emitted. The error is a SizeError or that
// of emit; the stream can't be read on after it.
func (d *Decoder) Write(b []byte, emit func(Event) error) error {
	for len(b) > 0 {
		end := bytes.IndexByte(b, '\n')
		if end < 0 {
			d.line = append(d.line, b...)
			return d.checkSize()
		}
		d.line = append(d.line, b[:end]...)
		b = b[end+1:]
		if err := d.checkSize(); err != nil {
			return err
		}
		if err := d.endLine(emit); err != nil {
			return err
		}
	}
	return nil
}

func (d *Decoder) checkSize() error {
	if size := len(d.line) + len(d.data); size > MaxEvent {
		return &SizeError{ID: d.id, Bytes: size, Limit: MaxEvent}
	}
	return nil
}

// endLine takes the complete line: a field, a comment, or the empty one that ends an event.
func (d *Decoder) endLine(emit func(Event) error) error {
	line := bytes.TrimSuffix(d.line, []byte("\r"))
	d.line = d.line[:0]
	if len(line) == 0 {
		return d.endEvent(emit)
	}
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "id":
		d.id = string(value)
	case "data":
		if d.hasData {
			d.data = append(d.data, '\n')
		}
		d.data, d.hasData = append(d.data, value...), true
	}
	return nil
}

func (d *Decoder) endEvent(emit func(Event) error) error {
	event, complete := Event{ID: d.id, Data: d.data}, d.hasData
	d.id, d.data, d.hasData = "", d.data[:0], false
	if !complete {
		return nil
	}
	return emit(event)
}
