// Package recordproxy records the traffic between the parties of a trial: clients, schedulers, nodes and the inventory. A Proxy
// on loopback forwards connections and injects faults into them; a Recorder writes the bytes with their times. The package must
// not interpret the bytes: a recording shows what the parties sent and received, independent of how the rules checker reads it.
package recordproxy

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"sync"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"

	"flaxshelf.example/flaxshelf/internal/clock"
	"flaxshelf.example/flaxshelf/internal/testbed/recordproxy/recordingpb"
)

// Version is the version of the recording format.
const Version = 1

const (
	// maxRecordSize limits the bytes of one record when it is read. Recorded reads are smaller, see maxReadSize.
	maxRecordSize = 4 << 20
	// bufferSize is the size of the buffers of recorders and readers, in bytes.
	bufferSize = 64 << 10
)

// Recorder writes a recording, with the records in the order of their times. It is safe for concurrent use.
type Recorder struct {
	mu               sync.Mutex
	buffer           *bufio.Writer
	closer           io.Closer     // nil if the writer needs no closing
	stalls           *stallMonitor // nil until monitorStalls
	lastTime         int64
	lastConnectionID uint64
	firstErr         error // of a write
}

// NewRecorder returns a recorder that writes to w, and writes the head. checkLimits are the limits for the rules checker, as
// JSON. Close closes w if it is an io.Closer.
func NewRecorder(w io.Writer, checkLimits []byte) *Recorder {
	r := &Recorder{buffer: bufio.NewWriterSize(w, bufferSize)}
	if closer, ok := w.(io.Closer); ok {
		r.closer = closer
	}
	r.write(&recordingpb.Record{Body: &recordingpb.Record_Head{Head: &recordingpb.Head{Version: Version, Figures: checkLimits}}})
	return r
}

// NewFileRecorder returns a recorder that writes to the file at path, which it creates or truncates.
func NewFileRecorder(path string, checkLimits []byte) (*Recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("recordproxy: create the recording: %w", err)
	}
	return NewRecorder(file, checkLimits), nil
}

// monitorStalls starts to monitor the stalls of the process, until Close. Calls after the first have no effect.
func (r *Recorder) monitorStalls() *stallMonitor {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stalls == nil {
		r.stalls = startStallMonitor(r.recordStall)
	}
	return r.stalls
}

// write writes a record with the current time. The first error is kept for Close, and no record is written after it.
func (r *Recorder) write(record *recordingpb.Record) { r.writeWith(record, func(int64) {}) }

// writeWith is write; it calls complete with the time of the record before it encodes the record.
func (r *Recorder) writeWith(record *recordingpb.Record, complete func(timeNs int64)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastTime = max(r.lastTime, int64(clock.Now()))
	record.TimeNs = r.lastTime
	complete(record.TimeNs)
	if r.firstErr == nil {
		_, r.firstErr = protodelim.MarshalTo(r.buffer, record)
	}
}

// RecordEvent records an event of a party.
func (r *Recorder) RecordEvent(event Event, party string) {
	r.write(&recordingpb.Record{Body: &recordingpb.Record_Mark{Mark: NewMark(event, party)}})
}

// recordOpen records a new connection and returns its number, which is unique in the recording.
func (r *Recorder) recordOpen(protocol, listenerName, dialerName string) uint64 {
	r.mu.Lock()
	r.lastConnectionID++
	id := r.lastConnectionID
	r.mu.Unlock()
	r.write(&recordingpb.Record{Body: &recordingpb.Record_Open{
		Open: &recordingpb.Open{Conn: id, Wire: protocol, To: listenerName, Via: dialerName}}})
	return id
}

// recordStall records a stall of the process that has just ended.
func (r *Recorder) recordStall(length time.Duration) {
	mark := NewMark(EventRecorderStalled, "recorder")
	mark.DurationNs = int64(length)
	r.write(&recordingpb.Record{Body: &recordingpb.Record_Mark{Mark: mark}})
}

// recordSent records bytes of a party, which were received in the given interval and may be recorded later.
func (r *Recorder) recordSent(connection uint64, fromListener bool, data []byte, received interval) {
	sent := &recordingpb.Sent{Conn: connection, Back: fromListener, Data: data,
		SpreadNs: int64(received.latest - received.earliest)}
	r.writeWith(&recordingpb.Record{Body: &recordingpb.Record_Sent{Sent: sent}}, func(timeNs int64) {
		sent.ReadDelayNs = max(timeNs-int64(received.latest), 0)
	})
}

func (r *Recorder) recordDelivered(connection uint64, fromListener bool, forwarded, dropped int) {
	delivered := &recordingpb.Delivered{Conn: connection, Back: fromListener, Bytes: uint64(forwarded), Dropped: uint64(dropped)}
	r.write(&recordingpb.Record{Body: &recordingpb.Record_Delivered{Delivered: delivered}})
}

// recordClose records the end of a connection. endDelay is how long the proxy had not noticed that the dialing party closed it.
func (r *Recorder) recordClose(connection uint64, reason string, endDelay time.Duration) {
	closed := newClose(connection, reason)
	closed.ReadDelayNs = int64(endDelay)
	r.write(&recordingpb.Record{Body: &recordingpb.Record_Close{Close: closed}})
}

// Close flushes the recording and closes its writer. It returns the first error of a write, joined with those of Close itself.
func (r *Recorder) Close() error {
	if r.stalls != nil {
		r.stalls.close()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	err := errors.Join(r.firstErr, r.buffer.Flush())
	if r.closer != nil {
		err = errors.Join(err, r.closer.Close())
	}
	if err != nil {
		return fmt.Errorf("recordproxy: write the recording: %w", err)
	}
	return nil
}
