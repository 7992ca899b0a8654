// Package sse decodes server-sent events as the control feed of the platform writes them. It does no I/O.
package sse

import (
	"bytes"
	"errors"
	"fmt"
)

// MaxEventBytes bounds the bytes of an event that a Decoder keeps before the event ends.
const MaxEventBytes = 1 << 20

// ErrTooLong is matched by the error for an event over MaxEventBytes.
var ErrTooLong = errors.New("event over the limit")

// SizeError reports an event that is longer than MaxEventBytes. It matches ErrTooLong.
type SizeError struct {
	ID           string // of the event; empty where its line has not arrived
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

// Decoder decodes a stream that arrives in pieces of any size. Its zero value is ready to use. It is not safe for concurrent
// use.
type Decoder struct {
	line    []byte // the part of the current line that has arrived
	id      string
	data    []byte
	hasData bool // an event without data is not emitted
}

// Write decodes the next bytes of the stream and calls emit for each event that they complete. The Data of an event is valid
// until emit returns. An event that is truncated by the end of the stream is never emitted. The error is a *SizeError or the
// error of emit; the Decoder can't be used after it.
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

// decodeLine decodes the complete line: a field, a comment, or the empty line that ends an event.
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

func (d *Decoder) endEvent(emit func(Event) error) error {
	event, complete := Event{ID: d.id, Data: d.data}, d.hasData
	d.id, d.data, d.hasData = "", d.data[:0], false
	if !complete {
		return nil
	}
	return emit(event)
}
