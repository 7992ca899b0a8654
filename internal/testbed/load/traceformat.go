package load

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/encoding/protodelim"

	"flaxshelf.example/flaxshelf/internal/testbed/load/tracepb"
)

// Version is the version of the trace format.
const TraceFormatVersion = 1

// maxRecordBytes limits the size of a record of a trace.
const maxRecordBytes = 1 << 20

// Errors of Read for a trace that was truncated or damaged.
var (
	ErrTraceTruncated = errors.New("load: the trace ends before its end")
	ErrTraceCorrupt   = errors.New("load: the trace is damaged")
)

// FormatError is returned by Read for data that is not a trace of this version.
type TraceFormatError struct {
	Offset int // of the record in bytes
	Reason string
	Err    error // of decoding the record; may be nil
}

func (e *TraceFormatError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("load: trace, byte %d: %s: %v", e.Offset, e.Reason, e.Err)
	}
	return fmt.Sprintf("load: trace, byte %d: %s", e.Offset, e.Reason)
}

// Unwrap returns the error of decoding the record.
func (e *TraceFormatError) Unwrap() error { return e.Err }

// Write writes the trace with its checksum.
func (t *Trace) Write(w io.Writer) error {
	checksum := xxhash.New()
	buffer := bufio.NewWriter(io.MultiWriter(w, checksum))
	put := func(r *tracepb.Record) error {
		_, err := protodelim.MarshalTo(buffer, r)
		return err
	}
	err := put(&tracepb.Record{Body: &tracepb.Record_Head{Head: &tracepb.Head{Version: TraceFormatVersion, Source: t.Source,
		StartUnixNs: t.Start.UnixNano(), Anonymous: t.Anonymous}}})
	for _, g := range t.Gaps {
		err = errors.Join(err, put(&tracepb.Record{Body: &tracepb.Record_Gap{Gap: &tracepb.Gap{FromNs: int64(g.From),
			ToNs: int64(g.To)}}}))
	}
	for i := range t.Jobs {
		err = errors.Join(err, put(&tracepb.Record{Body: &tracepb.Record_Job{Job: jobToProto(&t.Jobs[i])}}))
	}
	// The checksum covers all before the tail.
	if err = errors.Join(err, buffer.Flush()); err != nil {
		return fmt.Errorf("load: write trace: %w", err)
	}
	err = put(&tracepb.Record{Body: &tracepb.Record_Tail{Tail: &tracepb.Tail{Jobs: uint64(len(t.Jobs)),
		Checksum: checksum.Sum64()}}})
	if err = errors.Join(err, buffer.Flush()); err != nil {
		return fmt.Errorf("load: write trace: %w", err)
	}
	return nil
}

// Read reads a trace and verifies its checksum. It returns ErrTruncated, ErrChecksum or a FormatError for what it rejects.
func ReadTrace(r io.Reader) (*Trace, error) {
	text, err := io.ReadAll(r)
	if err != nil {
		return nil, fmt.Errorf("load: read trace: %w", err)
	}
	d := &traceDecoder{data: text, remaining: bytes.NewReader(text), trace: &Trace{}}
	for first := true; !d.done; first = false {
		if err := d.decodeRecord(first); err != nil {
			return nil, err
		}
	}
	d.trace.sort()
	return d.trace, nil
}

// decoder reads the records of one trace.
type traceDecoder struct {
	data      []byte
	remaining *bytes.Reader
	offset    int // of the record that is being read
	trace     *Trace
	done      bool // the tail was read
}

// next reads a record. The head must be the first record, and no other.
func (d *traceDecoder) decodeRecord(first bool) error {
	d.offset = len(d.data) - d.remaining.Len()
	record := &tracepb.Record{}
	err := protodelim.UnmarshalOptions{MaxSize: maxRecordBytes}.UnmarshalFrom(d.remaining, record)
	switch {
	case errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF):
		return ErrTraceTruncated
	case err != nil:
		return &TraceFormatError{Offset: d.offset, Reason: "not a record", Err: err}
	case first != (record.GetHead() != nil):
		return d.formatErrorf("the head is not the first record")
	}
	switch b := record.Body.(type) {
	case *tracepb.Record_Head:
		return d.decodeHead(b.Head)
	case *tracepb.Record_Gap:
		d.trace.Gaps = append(d.trace.Gaps, Gap{time.Duration(b.Gap.FromNs), time.Duration(b.Gap.ToNs)})
		return nil
	case *tracepb.Record_Job:
		return d.decodeJob(b.Job)
	case *tracepb.Record_Tail:
		return d.verifyTail(b.Tail)
	}
	return d.formatErrorf("a record of an unknown kind")
}

func (d *traceDecoder) formatErrorf(format string, args ...any) error {
	return &TraceFormatError{Offset: d.offset, Reason: fmt.Sprintf(format, args...)}
}

func (d *traceDecoder) decodeHead(h *tracepb.Head) error {
	if h.Version != TraceFormatVersion {
		return d.formatErrorf("a trace of version %d, this build reads %d", h.Version, TraceFormatVersion)
	}
	d.trace.Source, d.trace.Start, d.trace.Anonymous = h.Source, time.Unix(0, h.StartUnixNs), h.Anonymous
	return nil
}

func (d *traceDecoder) decodeJob(b *tracepb.Job) error {
	j := jobFromProto(b)
	if j.At < 0 || j.Runtime < 0 || !isFiniteNonNegative(j.Cores) || !isFiniteNonNegative(j.Memory) {
		return d.formatErrorf("the job at %v has a number that is negative or not finite", j.At)
	}
	d.trace.Jobs = append(d.trace.Jobs, j)
	return nil
}

// validAmount is false for a NaN as well.
func isFiniteNonNegative(x float64) bool { return x >= 0 && !math.IsInf(x, 0) }

func (d *traceDecoder) verifyTail(b *tracepb.Tail) error {
	if b.Checksum != xxhash.Sum64(d.data[:d.offset]) || b.Jobs != uint64(len(d.trace.Jobs)) || d.remaining.Len() > 0 {
		return ErrTraceCorrupt
	}
	d.done = true
	return nil
}

func jobToProto(j *Job) *tracepb.Job {
	return &tracepb.Job{
		AtNs:    int64(j.At),
		Class:   j.Class,
		Service: j.Service,
		Tenant:  j.Tenant,
		Cores:   j.Cores,
		Memory:  j.Memory,
		LifeNs:  int64(j.Runtime),
		CutOff:  j.Censored,
		Outcome: j.Outcome,
	}
}

func jobFromProto(b *tracepb.Job) Job {
	return Job{
		At:       time.Duration(b.AtNs),
		Class:    b.Class,
		Service:  b.Service,
		Tenant:   b.Tenant,
		Cores:    b.Cores,
		Memory:   b.Memory,
		Runtime:  time.Duration(b.LifeNs),
		Censored: b.CutOff,
		Outcome:  b.Outcome,
	}
}
