// Package sse decodes streams of server-sent events, as the control feed of the platform sends them. It does no I/O.
package sse

import (
	"bytes"
	"errors"
	"fmt"
)

// MaxEventBytes is the greatest number of bytes that a Decoder buffers for an incomplete event.
const MaxEventBytes = 1 << 20

// ErrTooLong is matched by the error about an event longer than MaxEventBytes.
var ErrTooLong = errors.New("event too long")

// SizeError reports an event that is longer than MaxEventBytes. It matches ErrTooLong.
type SizeError struct {
	ID           string // ID of the event; empty if its id line has not arrived
	Bytes, Limit int    // bytes that have arrived, and MaxEventBytes
}

func (e *SizeError) Error() string {
	return fmt.Sprintf("sse: incomplete event %.40q has %d bytes, limit %d", e.ID, e.Bytes, e.Limit)
}

// Unwrap returns ErrTooLong.
func (e *SizeError) Unwrap() error { return ErrTooLong }

// Event is a complete event.
type Event struct {
	ID   string
	Data []byte
}

// Decoder decodes a stream that arrives in pieces of any size. Its zero value is ready to use. It is not safe for concurrent
// use.
type Decoder struct {
	line    []byte // the part of the current line that has arrived
	id      string // ID of the current event
	data    []byte // data of the current event
	hasData bool   // the current event has a data line; an event without one is not emitted
}

// Write decodes the next bytes of the stream and calls emit for each event that they complete. The Data of an event is valid
// until emit returns. An event that is incomplete when the stream ends is not emitted. The error is a *SizeError or that of
// emit. The Decoder can't be used after it.
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
		if err := d.decodeLine(emit); err != nil {
			return err
		}
	}
	return nil
}

func (d *Decoder) checkSize() error {
	if size := len(d.line) + len(d.data); size > MaxEventBytes {
		return &SizeError{ID: d.id, Bytes: size, Limit: MaxEventBytes}
	}
	return nil
}

// decodeLine decodes the current line, which is complete: a field, a comment, or the empty line that ends an event. Comments
// and fields other than id and data are ignored.
func (d *Decoder) decodeLine(emit func(Event) error) error {
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

// endEvent emits the current event, if it has data, and starts the next one.
func (d *Decoder) endEvent(emit func(Event) error) error {
	event, complete := Event{ID: d.id, Data: d.data}, d.hasData
	d.id, d.data, d.hasData = "", d.data[:0], false
	if !complete {
		return nil
	}
	return emit(event)
}
