// Package rules checks five correctness rules of the scheduler. Its only input is a recording of the network traffic between
// clients, schedulers, nodes and the inventory.
//
// The checker must be independent of the code under test: it must not import, directly or indirectly, the placement module,
// its index (internal/machineindex) or the core of the scheduler (internal/scheduler, internal/requests). With a shared
// formula, a mistake in it would be on both sides, and the checker would accept the violations. This package therefore
// implements the formulas again: for the limit of offers in slow start, for topology domains, for idempotency keys, for
// deadlines and for the phases of an attempt.
//
// The traffic shows what each party had sent and received, and the head of the recording has the limits of the deployment. No
// decision counts as correct because a scheduler made it. The checker shares the wire codecs (internal/codec, drmaa2), without
// which it could not decode the traffic, and the recording format.
package rules

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"flaxshelf.example/flaxshelf/internal/testbed/recordproxy"
	"flaxshelf.example/flaxshelf/internal/testbed/recordproxy/recordingpb"
)

// RecordingError is returned for a recording that cannot be read.
type RecordingError struct {
	Section string // the unreadable part: "head", "figures" (the limits) or "records"
	Err     error
}

// Error returns a message with the unreadable section and the cause.
func (e *RecordingError) Error() string {
	return fmt.Sprintf("rules: cannot read the recording's %s: %v", e.Section, e.Err)
}

// Unwrap returns the cause.
func (e *RecordingError) Unwrap() error { return e.Err }

// Check checks the recording in r, which it reads to the end. Violations of the rules are in the verdict; the error is a
// *RecordingError.
func Check(r io.Reader) (*Verdict, error) {
	reader, err := newReader(r)
	if err != nil {
		return nil, err
	}
	var limits Limits
	if err := json.Unmarshal(reader.CheckLimits, &limits); err != nil {
		return nil, &RecordingError{Section: "figures", Err: err}
	}
	c := newChecker(limits)
	err = forEachRecord(reader, func(record *recordingpb.Record) error {
		c.handleRecord(record)
		return nil
	})
	if err != nil {
		return nil, err
	}
	return c.finish(), nil
}

// newReader returns a reader of the records that follow the head of a recording. The error is a *RecordingError.
func newReader(r io.Reader) (*recordproxy.Reader, error) {
	reader, err := recordproxy.NewReader(r)
	if err != nil {
		return nil, &RecordingError{Section: "head", Err: err}
	}
	return reader, nil
}

// forEachRecord calls handle for each record until the end of the recording, in the order of orderedReader. The error is a
// *RecordingError or the first error of handle.
func forEachRecord(reader *recordproxy.Reader, handle func(record *recordingpb.Record) error) error {
	ordered := newOrderedReader(reader)
	for {
		record, err := ordered.next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return &RecordingError{Section: "records", Err: err}
		}
		if err := handle(record); err != nil {
			return err
		}
	}
}

// recordTimes are the times of the first and the current record, since the Unix epoch. The current record is of bytes that may
// have been sent between earliest and now, or of an event at now.
type recordTimes struct {
	start, earliest, now time.Duration
	readDelay            time.Duration // how late the recorder has read the bytes
}

// advance makes record the current record.
func (t *recordTimes) advance(record *recordingpb.Record) {
	t.now = time.Duration(record.TimeNs)
	t.earliest = t.now - min(time.Duration(record.GetSent().GetSpreadNs()), maxReadDelay)
	t.readDelay = min(time.Duration(record.GetSent().GetReadDelayNs()), maxReadDelay)
	if t.start == 0 {
		t.start = t.now
	}
}

// sinceStart returns the time from the first record to the current one.
func (t *recordTimes) sinceStart() time.Duration { return t.now - t.start }

// checker is the state of Check. It assumes that a scheduler knows only what was delivered to it. It is not safe for
// concurrent use.
type checker struct {
	recordTimes
	limits  Limits
	verdict Verdict

	bytesDropped bool // a proxy dropped bytes as an injected fault
	connections  map[uint64]*connection

	jobs         map[string]*job
	incarnations map[string]int                  // by scheduler: the number of times that it was killed
	pauses       map[string][]pause              // by scheduler
	stalls       []pause                         // of the recorder, and perhaps of the whole machine
	views        map[string]map[string]*nodeView // by scheduler and node

	attempts       map[string]*attempt
	attemptsByKey  map[string][]*attempt
	activeAttempts map[string]map[*attempt]bool   // by scheduler: attempts in flight or accepted
	acceptedByKey  map[string]map[string]*attempt // by key and ID of the attempt: accepted by a node, not ended
	overlaps       []overlap                      // that wait for the end of their earlier attempt
	slowStarts     map[string]*slowStart          // by node
	stoppedAt      map[string]time.Duration       // by node: when its latest stopped incarnation was stopped
}

func newChecker(limits Limits) *checker {
	return &checker{
		limits:         limits,
		connections:    map[uint64]*connection{},
		jobs:           map[string]*job{},
		incarnations:   map[string]int{},
		pauses:         map[string][]pause{},
		views:          map[string]map[string]*nodeView{},
		attempts:       map[string]*attempt{},
		attemptsByKey:  map[string][]*attempt{},
		activeAttempts: map[string]map[*attempt]bool{},
		acceptedByKey:  map[string]map[string]*attempt{},
		slowStarts:     map[string]*slowStart{},
		stoppedAt:      map[string]time.Duration{},
		verdict: Verdict{
			Rejected: map[string]int{},
			Outcomes: map[string]int{},
			States:   map[string]int{},
			Replies:  map[string]int{},
		},
	}
}

// handleRecord processes the next record of the recording.
func (c *checker) handleRecord(record *recordingpb.Record) {
	c.advance(record)
	switch body := record.Body.(type) {
	case *recordingpb.Record_Open:
		c.connectionOpened(body.Open)
	case *recordingpb.Record_Sent:
		c.bytesSent(body.Sent)
	case *recordingpb.Record_Delivered:
		c.bytesDelivered(body.Delivered)
	case *recordingpb.Record_Close:
		c.connectionClosed(body.Close)
	case *recordingpb.Record_Mark:
		c.eventMarked(body.Mark)
	}
}

// addViolation adds a violation of a rule at the time of the current record.
func (c *checker) addViolation(rule int, format string, args ...any) {
	c.addViolationAt(c.sinceStart(), rule, format, args...)
}

// addViolationAt adds a violation of a rule at a time since the first record.
func (c *checker) addViolationAt(at time.Duration, rule int, format string, args ...any) {
	r := &c.verdict.Rules[rule]
	r.Violations = append(r.Violations, Violation{At: at, Text: fmt.Sprintf(format, args...)})
}

// finish checks the jobs without an outcome and returns the verdict. It is called after the last record.
func (c *checker) finish() *Verdict {
	c.verdict.Length = c.sinceStart()
	c.checkMissingOutcomes()
	c.checkOpenOverlaps()
	for i := range c.verdict.Rules {
		slices.SortStableFunc(c.verdict.Rules[i].Violations, func(a, b Violation) int {
			return cmp.Or(cmp.Compare(a.At, b.At), strings.Compare(a.Text, b.Text))
		})
	}
	return &c.verdict
}

// class returns the limits of a class. A class that the recording does not list counts as non-idempotent and has no other
// limits.
func (c *checker) class(name string) *Class {
	for i := range c.limits.Classes {
		if c.limits.Classes[i].Name == name {
			return &c.limits.Classes[i]
		}
	}
	return &Class{Name: name, Idempotency: NonIdempotent}
}
