package rules

import (
	"cmp"
	"container/heap"
	"errors"
	"io"
	"time"

	"flaxshelf.example/flaxshelf/internal/testbed/recordproxy"
	"flaxshelf.example/flaxshelf/internal/testbed/recordproxy/recordingpb"
)

// maxReadDelay bounds the delays of the recorder that are taken into account, and with them the records that wait to be put in
// order. A longer delay counts as this one.
const maxReadDelay = 10 * time.Second

// orderedReader returns the records of a recording in the order in which the parties caused them, with that time. The recorder
// stores them in the order in which it read the sockets: what a party has sent, or the end of its connection, may be recorded
// late and after records of later moments. Sent and Close records have the measured delay.
type orderedReader struct {
	reader   *recordproxy.Reader
	waiting  recordQueue
	sequence int
	sentAt   map[uint64]*[2]int64 // by connection and direction: the time of the latest bytes, or of the connection's start
	latest   int64                // recorded time of the latest record
	ended    bool
}

func newOrderedReader(reader *recordproxy.Reader) *orderedReader {
	return &orderedReader{reader: reader, sentAt: map[uint64]*[2]int64{}}
}

// next returns the next record, or io.EOF at the end.
func (r *orderedReader) next() (*recordingpb.Record, error) {
	for !r.ended && (len(r.waiting) == 0 || r.waiting[0].record.TimeNs > r.latest-int64(maxReadDelay)) {
		record, err := r.reader.Next()
		if errors.Is(err, io.EOF) {
			r.ended = true
			break
		}
		if err != nil {
			return nil, err
		}
		r.add(record)
	}
	if len(r.waiting) == 0 {
		return nil, io.EOF
	}
	return heap.Pop(&r.waiting).(queuedRecord).record, nil
}

// add puts a record into the queue, with the time at which its party caused it.
func (r *orderedReader) add(record *recordingpb.Record) {
	r.latest = record.TimeNs
	switch body := record.Body.(type) {
	case *recordingpb.Record_Open:
		r.sentAt[body.Open.Conn] = &[2]int64{record.TimeNs, record.TimeNs}
	case *recordingpb.Record_Sent:
		if latest := r.latestSent(body.Sent.Conn, body.Sent.Back); latest != nil {
			*latest = causedAt(record.TimeNs, body.Sent.ReadDelayNs, *latest)
			record.TimeNs = *latest
		}
	case *recordingpb.Record_Close:
		if latest := r.latestSent(body.Close.Conn, false); latest != nil {
			record.TimeNs = causedAt(record.TimeNs, body.Close.ReadDelayNs, *latest)
		}
	case *recordingpb.Record_Mark: // an event that is recorded at its end
		record.TimeNs = causedAt(record.TimeNs, body.Mark.DurationNs, 0)
	}
	heap.Push(&r.waiting, queuedRecord{record: record, sequence: r.sequence})
	r.sequence++
}

// latestSent returns where the time of the latest bytes of a direction is kept, or nil for a connection whose start is not
// recorded.
func (r *orderedReader) latestSent(connection uint64, fromListener bool) *int64 {
	directions := r.sentAt[connection]
	if directions == nil {
		return nil
	}
	return &directions[direction(fromListener)]
}

// causedAt returns the time that is the delay before the recorded one, but not before the earliest possible one.
func causedAt(recordedAt, delay, earliest int64) int64 {
	delay = min(max(delay, 0), int64(maxReadDelay))
	return max(recordedAt-delay, earliest)
}

// queuedRecord is a record with its position in the recording.
type queuedRecord struct {
	record   *recordingpb.Record
	sequence int
}

// recordQueue is a heap of records with the earliest on top, and of simultaneous ones the first recorded. It implements
// heap.Interface.
type recordQueue []queuedRecord

// Len implements heap.Interface.
func (q recordQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q recordQueue) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(q[i].record.TimeNs, q[j].record.TimeNs), cmp.Compare(q[i].sequence, q[j].sequence)) < 0
}

// Swap implements heap.Interface.
func (q recordQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *recordQueue) Push(record any) { *q = append(*q, record.(queuedRecord)) }

// Pop implements heap.Interface.
func (q *recordQueue) Pop() any {
	last := len(*q) - 1
	record := (*q)[last]
	*q = (*q)[:last]
	return record
}
