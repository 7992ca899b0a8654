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

// TraceFormatVersion is the version of the trace file format that this package writes and reads.
const TraceFormatVersion = 1

// maxRecordBytes is the maximum encoded size of a trace record.
const maxRecordBytes = 1 << 20

// Errors that ReadTrace returns for incomplete or corrupt data.
var (
	// ErrTraceTruncated means that the data ends before the tail record.
	ErrTraceTruncated = errors.New("load: trace truncated: it ends before its tail record")
	// ErrTraceCorrupt means that the checksum or the number of jobs differs from the tail record, or that data follows it.
	ErrTraceCorrupt = errors.New("load: trace corrupt: checksum, number of jobs or length does not match its tail record")
)

// TraceFormatError is returned by ReadTrace for data that is not a trace of version TraceFormatVersion.
type TraceFormatError struct {
	Offset int // position of the invalid record, in bytes from the start of the data
	Reason string
	Err    error // error from decoding the record; may be nil
}

func (e *TraceFormatError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("load: invalid trace record at byte %d: %s: %v", e.Offset, e.Reason, e.Err)
	}
	return fmt.Sprintf("load: invalid trace record at byte %d: %s", e.Offset, e.Reason)
}

// Unwrap returns the error from decoding the record, or nil.
func (e *TraceFormatError) Unwrap() error { return e.Err }

// Write writes the trace as a head record, its gaps, its jobs, and a tail record with the number of jobs and a checksum.
func (t *Trace) Write(w io.Writer) error {
	checksum := xxhash.New()
	buffer := bufio.NewWriter(io.MultiWriter(w, checksum))
	writeRecord := func(r *tracepb.Record) error {
		_, err := protodelim.MarshalTo(buffer, r)
		return err
	}
	err := writeRecord(&tracepb.Record{Body: &tracepb.Record_Head{Head: &tracepb.Head{Version: TraceFormatVersion,
		Source: t.Source, StartUnixNs: t.Start.UnixNano(), Anonymous: t.Anonymous}}})
	for _, g := range t.Gaps {
		err = errors.Join(err, writeRecord(&tracepb.Record{Body: &tracepb.Record_Gap{Gap: &tracepb.Gap{FromNs: int64(g.From),
			ToNs: int64(g.To)}}}))
	}
	for i := range t.Jobs {
		err = errors.Join(err, writeRecord(&tracepb.Record{Body: &tracepb.Record_Job{Job: jobToProto(&t.Jobs[i])}}))
	}
	// The checksum covers everything before the tail record, so the buffer is flushed through the hash first.
	if err = errors.Join(err, buffer.Flush()); err != nil {
		return fmt.Errorf("load: write trace: %w", err)
	}
	err = writeRecord(&tracepb.Record{Body: &tracepb.Record_Tail{Tail: &tracepb.Tail{Jobs: uint64(len(t.Jobs)),
		Checksum: checksum.Sum64()}}})
	if err = errors.Join(err, buffer.Flush()); err != nil {
		return fmt.Errorf("load: write trace: %w", err)
	}
	return nil
}

// ReadTrace reads a trace and verifies its checksum. For invalid data it returns ErrTraceTruncated, ErrTraceCorrupt or a
// *TraceFormatError.
func ReadTrace(r io.Reader) (*Trace, error) {
	data, err := io.ReadAll(r)
	if err != nil {
		return nil, fmt.Errorf("load: read trace: %w", err)
	}
	d := &traceDecoder{data: data, remaining: bytes.NewReader(data), trace: &Trace{}}
	for first := true; !d.done; first = false {
		if err := d.decodeRecord(first); err != nil {
			return nil, err
		}
	}
	d.trace.sort()
	return d.trace, nil
}

// traceDecoder decodes the records of one trace.
type traceDecoder struct {
	data      []byte
	remaining *bytes.Reader
	offset    int // position of the current record in data
	trace     *Trace
	done      bool // the tail record has been read
}

// decodeRecord reads one record and applies it to the trace. The first record must be a head, and no later one may be.
func (d *traceDecoder) decodeRecord(first bool) error {
	d.offset = len(d.data) - d.remaining.Len()
	record := &tracepb.Record{}
	err := protodelim.UnmarshalOptions{MaxSize: maxRecordBytes}.UnmarshalFrom(d.remaining, record)
	switch {
	case errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF):
		return ErrTraceTruncated
	case err != nil:
		return &TraceFormatError{Offset: d.offset, Reason: "cannot be decoded", Err: err}
	case first != (record.GetHead() != nil):
		return d.formatErrorf("expected exactly one head record, at the start")
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
	return d.formatErrorf("unknown record type")
}

// formatErrorf returns a *TraceFormatError for the current record.
func (d *traceDecoder) formatErrorf(format string, args ...any) error {
	return &TraceFormatError{Offset: d.offset, Reason: fmt.Sprintf(format, args...)}
}

// decodeHead checks the version of the trace and sets its source, start and anonymity.
func (d *traceDecoder) decodeHead(h *tracepb.Head) error {
	if h.Version != TraceFormatVersion {
		return d.formatErrorf("format version %d, expected %d", h.Version, TraceFormatVersion)
	}
	d.trace.Source, d.trace.Start, d.trace.Anonymous = h.Source, time.Unix(0, h.StartUnixNs), h.Anonymous
	return nil
}

// decodeJob appends a job to the trace if its numbers are valid.
func (d *traceDecoder) decodeJob(b *tracepb.Job) error {
	j := jobFromProto(b)
	if j.At < 0 || j.Runtime < 0 || !isFiniteNonNegative(j.Cores) || !isFiniteNonNegative(j.Memory) {
		return d.formatErrorf("job at %v has runtime %v, cores %v and memory %v, expected finite values of at least 0", j.At,
			j.Runtime, j.Cores, j.Memory)
	}
	d.trace.Jobs = append(d.trace.Jobs, j)
	return nil
}

// isFiniteNonNegative returns false for NaN too, since NaN >= 0 is false.
func isFiniteNonNegative(x float64) bool { return x >= 0 && !math.IsInf(x, 0) }

// verifyTail compares the checksum and the number of jobs with the data before the tail, and requires that nothing follows it.
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
