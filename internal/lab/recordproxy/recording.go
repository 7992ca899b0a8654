// Package recordproxy owns what passes between the parties of a trial: a loopback proxy that forwards, delays,
// stalls, cuts and half-opens connections, and a recording of the bytes with their times. It must not
// understand the bytes.
package recordproxy

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"sync"

	"google.golang.org/protobuf/encoding/protodelim"

	"flaxshelf.example/flaxshelf/internal/clock"
	"flaxshelf.example/flaxshelf/internal/lab/recordproxy/tappb"
)

// Version is the version of the format.
const Version = 1

// maxRecord bounds one record in bytes; a proxy reads less at a time.
const maxRecord = 4 << 20

// Recorder writes a recording. It may be used by many goroutines; records are in the order of their times.
type Recorder struct {
	mu   sync.Mutex
	buf  *bufio.Writer
	out  io.Closer
	last int64
	conn uint64
	err  error
}

// NewRecorder begins a recording with the figures that its checker is to be told.
func NewRecorder(w io.Writer, figures []byte) *Recorder {
	r := &Recorder{buf: bufio.NewWriterSize(w, 1<<16)}
	if c, ok := w.(io.Closer); ok {
		r.out = c
	}
	r.put(&tappb.Record{Body: &tappb.Record_Head{Head: &tappb.Head{Version: Version, Figures: figures}}})
	return r
}

// Create begins a recording in a file.
func Create(path string, figures []byte) (*Recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("recordproxy: %w", err)
	}
	return NewRecorder(f, figures), nil
}

func (r *Recorder) put(rec *tappb.Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.last = max(r.last, int64(clock.Now()))
	rec.TimeNs = r.last
	if r.err == nil {
		_, r.err = protodelim.MarshalTo(r.buf, rec)
	}
}

// Mark records what was done to a party.
func (r *Recorder) Mark(what, party string) {
	r.put(&tappb.Record{Body: &tappb.Record_Mark{Mark: &tappb.Mark{What: what, Party: party}}})
}

func (r *Recorder) open(wire, to, via string) uint64 {
	r.mu.Lock()
	r.conn++
	id := r.conn
	r.mu.Unlock()
	r.put(&tappb.Record{Body: &tappb.Record_Open{Open: &tappb.Open{Conn: id, Wire: wire, To: to, Via: via}}})
	return id
}

func (r *Recorder) sent(conn uint64, back bool, data []byte) {
	r.put(&tappb.Record{Body: &tappb.Record_Sent{Sent: &tappb.Sent{Conn: conn, Back: back, Data: data}}})
}

func (r *Recorder) delivered(conn uint64, back bool, n, dropped int) {
	r.put(&tappb.Record{Body: &tappb.Record_Delivered{Delivered: &tappb.Delivered{Conn: conn, Back: back,
		Bytes: uint64(n), Dropped: uint64(dropped)}}})
}

func (r *Recorder) closed(conn uint64, why string) {
	r.put(&tappb.Record{Body: &tappb.Record_Close{Close: &tappb.Close{Conn: conn, Why: why}}})
}

// Close ends the recording.
func (r *Recorder) Close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	err := errors.Join(r.err, r.buf.Flush())
	if r.out != nil {
		err = errors.Join(err, r.out.Close())
	}
	if err != nil {
		return fmt.Errorf("recordproxy: %w", err)
	}
	return nil
}

// Reader reads a recording.
type Reader struct {
	buf     *bufio.Reader
	Figures []byte
}

// NewReader reads the head.
func NewReader(r io.Reader) (*Reader, error) {
	x := &Reader{buf: bufio.NewReaderSize(r, 1<<16)}
	rec, err := x.Next()
	if err != nil {
		return nil, fmt.Errorf("recordproxy: not a recording: %w", err)
	}
	h := rec.GetHead()
	if h == nil {
		return nil, errors.New("recordproxy: not a recording: it has no head")
	}
	if h.Version != Version {
		return nil, fmt.Errorf("recordproxy: version %d, this build reads %d", h.Version, Version)
	}
	x.Figures = h.Figures
	return x, nil
}

// Next returns the next record; io.EOF at the end. A recording that was cut off ends where it was cut.
func (x *Reader) Next() (*tappb.Record, error) {
	rec := &tappb.Record{}
	err := protodelim.UnmarshalOptions{MaxSize: maxRecord}.UnmarshalFrom(x.buf, rec)
	if errors.Is(err, io.ErrUnexpectedEOF) {
		return nil, io.EOF
	}
	if err != nil {
		return nil, err
	}
	return rec, nil
}
