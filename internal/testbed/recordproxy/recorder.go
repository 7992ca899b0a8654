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
	maxRecordSize = 4 << 20
	// bufferBytes is the size of the buffers of recorders and readers.
	bufferSize = 64 << 10
)

// Recorder writes a recording. It is safe for concurrent use; records are in the order of their times.
type Recorder struct {
	mu               sync.Mutex
	buffer           *bufio.Writer
	closer           io.Closer // nil for none
	lastTime         int64
	lastConnectionID uint64
	firstErr         error // the first error
}

// NewRecorder returns a recorder that writes to w, and writes the head with the limits for the rules checker. Close closes w
// if it is an io.Closer.
func NewRecorder(w io.Writer, checkLimits []byte) *Recorder {
	r := &Recorder{buffer: bufio.NewWriterSize(w, bufferSize)}
	if closer, ok := w.(io.Closer); ok {
		r.closer = closer
	}
	r.write(&recordingpb.Record{Body: &recordingpb.Record_Head{Head: &recordingpb.Head{Version: Version, Figures: checkLimits}}})
	return r
}

// Create returns a recorder that writes to a new file.
func NewFileRecorder(path string, checkLimits []byte) (*Recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("recordproxy: %w", err)
	}
	return NewRecorder(file, checkLimits), nil
}

// add writes a record with the present time. Close returns the first error of a write.
func (r *Recorder) write(record *recordingpb.Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastTime = max(r.lastTime, int64(clock.Now()))
	record.TimeNs = r.lastTime
	if r.firstErr == nil {
		_, r.firstErr = protodelim.MarshalTo(r.buffer, record)
	}
}

// Mark records an event of a party.
func (r *Recorder) RecordEvent(event Event, party string) {
	r.write(&recordingpb.Record{Body: &recordingpb.Record_Mark{Mark: NewMark(event, party)}})
}

// opened records a new connection and returns its number.
func (r *Recorder) recordOpen(protocol, listenerName, dialerName string) uint64 {
	r.mu.Lock()
	r.lastConnectionID++
	id := r.lastConnectionID
	r.mu.Unlock()
	r.write(&recordingpb.Record{Body: &recordingpb.Record_Open{Open: &recordingpb.Open{Conn: id, Wire: protocol, To: listenerName, Via: dialerName}}})
	return id
}

func (r *Recorder) recordSent(connection uint64, fromListener bool, data []byte) {
	sent := &recordingpb.Sent{Conn: connection, Back: fromListener, Data: data}
	r.write(&recordingpb.Record{Body: &recordingpb.Record_Sent{Sent: sent}})
}

func (r *Recorder) recordDelivered(connection uint64, fromListener bool, forwarded, dropped int) {
	delivered := &recordingpb.Delivered{Conn: connection, Back: fromListener, Bytes: uint64(forwarded), Dropped: uint64(dropped)}
	r.write(&recordingpb.Record{Body: &recordingpb.Record_Delivered{Delivered: delivered}})
}

func (r *Recorder) recordClose(connection uint64, reason string) {
	r.write(&recordingpb.Record{Body: &recordingpb.Record_Close{Close: newClose(connection, reason)}})
}

// Close flushes and closes the recording, and returns its first error.
func (r *Recorder) Close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	err := errors.Join(r.firstErr, r.buffer.Flush())
	if r.closer != nil {
		err = errors.Join(err, r.closer.Close())
	}
	if err != nil {
		return fmt.Errorf("recordproxy: %w", err)
	}
	return nil
}
