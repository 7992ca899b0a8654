// Package recordproxy records the traffic between the parties of a trial. A Proxy on loopback forwards connections and
// injects faults into them; a Recorder writes the bytes with their times. The package must not interpret the bytes: a
// recording shows what the parties sent and received, whatever the checker makes of it.
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
	"flaxshelf.example/flaxshelf/internal/testbed/recordproxy/recordingpb"
)

// Version is the version of the format of recordings.
const Version = 1

const (
	// maxRecordBytes bounds the size of one record; a proxy reads less at a time.
	maxRecordBytes = 4 << 20
	// bufferBytes is the size of the buffers of recorders and readers.
	bufferBytes = 64 << 10
)

// Recorder writes a recording. It is safe for concurrent use; records are in the order of their times.
type Recorder struct {
	mu             sync.Mutex
	buffer         *bufio.Writer
	closer         io.Closer // nil for none
	lastTime       int64
	lastConnection uint64
	err            error // the first error
}

// NewRecorder returns a recorder that writes to w, and writes the head with the limits for the rules checker. Close closes w
// if it is an io.Closer.
func NewRecorder(w io.Writer, figures []byte) *Recorder {
	r := &Recorder{buffer: bufio.NewWriterSize(w, bufferBytes)}
	if closer, ok := w.(io.Closer); ok {
		r.closer = closer
	}
	r.add(&recordingpb.Record{Body: &recordingpb.Record_Head{Head: &recordingpb.Head{Version: Version, Figures: figures}}})
	return r
}

// Create returns a recorder that writes to a new file.
func Create(path string, figures []byte) (*Recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("recordproxy: %w", err)
	}
	return NewRecorder(file, figures), nil
}

// add writes a record with the present time. Close returns the first error of a write.
func (r *Recorder) add(record *recordingpb.Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastTime = max(r.lastTime, int64(clock.Now()))
	record.TimeNs = r.lastTime
	if r.err == nil {
		_, r.err = protodelim.MarshalTo(r.buffer, record)
	}
}

// Mark records an event of a party.
func (r *Recorder) Mark(event Event, party string) {
	r.add(&recordingpb.Record{Body: &recordingpb.Record_Mark{Mark: NewMark(event, party)}})
}

// opened records a new connection and returns its number.
func (r *Recorder) opened(wire, to, via string) uint64 {
	r.mu.Lock()
	r.lastConnection++
	id := r.lastConnection
	r.mu.Unlock()
	r.add(&recordingpb.Record{Body: &recordingpb.Record_Open{Open: &recordingpb.Open{Conn: id, Wire: wire, To: to, Via: via}}})
	return id
}

func (r *Recorder) sent(connection uint64, fromListener bool, data []byte) {
	sent := &recordingpb.Sent{Conn: connection, Back: fromListener, Data: data}
	r.add(&recordingpb.Record{Body: &recordingpb.Record_Sent{Sent: sent}})
}

func (r *Recorder) delivered(connection uint64, fromListener bool, forwarded, dropped int) {
	delivered := &recordingpb.Delivered{Conn: connection, Back: fromListener, Bytes: uint64(forwarded), Dropped: uint64(dropped)}
	r.add(&recordingpb.Record{Body: &recordingpb.Record_Delivered{Delivered: delivered}})
}

func (r *Recorder) closed(connection uint64, reason string) {
	r.add(&recordingpb.Record{Body: &recordingpb.Record_Close{Close: newClose(connection, reason)}})
}

// Close flushes and closes the recording, and returns its first error.
func (r *Recorder) Close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	err := errors.Join(r.err, r.buffer.Flush())
	if r.closer != nil {
		err = errors.Join(err, r.closer.Close())
	}
	if err != nil {
		return fmt.Errorf("recordproxy: %w", err)
	}
	return nil
}
