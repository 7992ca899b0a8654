// Package sse owns the bytes of server-sent events as the platform's control feed writes them. It must not
// decide anything or keep a connection.
package sse

import (
	"bytes"
	"errors"
	"fmt"
)

// MaxEvent bounds what an event may hold before its end, in bytes.
const MaxEvent = 1 << 20

// ErrTooLong is returned for an event over MaxEvent.
var ErrTooLong = errors.New("sse: event over the limit")

// Event is one whole event. An event that breaks off is never seen.
type Event struct {
	ID   string
	Data []byte
}

// Decoder reads a stream in pieces of any size. Its zero value is at the beginning of one.
type Decoder struct {
	line []byte
	id   string
	data []byte
	has  bool
}

// Write takes the next bytes and hands each event that they complete to emit, whose Data is only good until it returns.
func (d *Decoder) Write(b []byte, emit func(Event) error) error {
	for len(b) > 0 {
		end := bytes.IndexByte(b, '\n')
		if end < 0 {
			d.line = append(d.line, b...)
			return d.bound()
		}
		d.line = append(d.line, b[:end]...)
		b = b[end+1:]
		if err := d.bound(); err != nil {
			return err
		}
		if err := d.end(emit); err != nil {
			return err
		}
	}
	return nil
}

func (d *Decoder) bound() error {
	if n := len(d.line) + len(d.data); n > MaxEvent {
		return fmt.Errorf("%w: %d bytes", ErrTooLong, n)
	}
	return nil
}

// end takes a whole line: a field, a comment, or the empty one that ends an event.
func (d *Decoder) end(emit func(Event) error) error {
	line := bytes.TrimSuffix(d.line, []byte("\r"))
	d.line = d.line[:0]
	if len(line) == 0 {
		e, has := Event{ID: d.id, Data: d.data}, d.has
		d.id, d.data, d.has = "", d.data[:0], false
		if !has {
			return nil
		}
		return emit(e)
	}
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "id":
		d.id = string(value)
	case "data":
		if d.has {
			d.data = append(d.data, '\n')
		}
		d.data, d.has = append(d.data, value...), true
	}
	return nil
}
