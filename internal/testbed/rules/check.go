// Package rules checks the five rules of the scheduler: it reads a recording of the traffic between clients, schedulers,
// nodes and the inventory, and judges the rules only from that.
//
// The checker must share neither code nor state with what it checks: it must not import, directly or indirectly, the
// placement module, its index (internal/machineindex) or the cores of schedulers (internal/scheduler, internal/requests). A
// shared formula would be wrong on both sides, and the checker would accept its violations. So this package has formulas of its
// own: for the limit of offers in slow start, for topology domains, for idempotency keys, for deadlines and for the phases of an
// attempt.
// It takes from the traffic what each party had sent and received, and from the recording's head the limits of the deployment;
// it never trusts a decision because a scheduler has made it. It shares the codecs of the wire (internal/codec, drmaa2), without
// which it could not decode the traffic, and the format of recordings.
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

// RecordingError reports a recording that cannot be read.
type RecordingError struct {
	Section string // head, figures or records
	Err     error
}

// Error returns a message with the section and the cause.
func (e *RecordingError) Error() string {
	return fmt.Sprintf("rules: the recording's %s: %v", e.Section, e.Err)
}

// Unwrap returns the cause.
func (e *RecordingError) Unwrap() error { return e.Err }

// Check judges a recording. It reads r to its end. The error is a *RecordingError; violations are in the verdict.
func Check(r io.Reader) (*Verdict, error) {
	reader, err := newReader(r)
	if err != nil {
		return nil, err
	}
	var limits Limits
	if err := json.Unmarshal(reader.Figures, &limits); err != nil {
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

// newReader reads the head of a recording. The error is a *RecordingError.
func newReader(r io.Reader) (*recordproxy.Reader, error) {
	reader, err := recordproxy.NewReader(r)
	if err != nil {
		return nil, &RecordingError{Section: "head", Err: err}
	}
	return reader, nil
}

// forEachRecord calls handle for each record until the end of the recording. The error is a *RecordingError or the first
// error of handle.
func forEachRecord(reader *recordproxy.Reader, handle func(record *recordingpb.Record) error) error {
	for {
		record, err := reader.Next()
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

// recordTimes has the times of the first and of the present record, since the start of Unix time.
type recordTimes struct{ start, now time.Duration }

// advance sets the time of the present record.
func (t *recordTimes) advance(record *recordingpb.Record) {
	t.now = time.Duration(record.TimeNs)
	if t.start == 0 {
		t.start = t.now
	}
}

// sinceStart returns the time from the first record to the present one.
func (t *recordTimes) sinceStart() time.Duration { return t.now - t.start }

// checker is the state of Check. It assumes that a scheduler knows what was delivered to it, and nothing else. It is not safe
// for concurrent use.
type checker struct {
	recordTimes
	limits  Limits
	verdict Verdict

	bytesDropped bool // by a proxy, on purpose
	connections  map[uint64]*connection

	jobs         map[string]*job
	incarnations map[string]int // of each scheduler: how often it was killed
	pauses       map[string][]pause
	views        map[string]map[string]*nodeView // by scheduler and node

	attempts       map[string]*attempt
	attemptsByKey  map[string][]*attempt
	activeAttempts map[string]map[*attempt]bool   // of each scheduler: in flight or accepted
	acceptedByNode map[string]map[string]*attempt // by idempotency key and attempt: accepted by nodes
	slowStarts     map[string]*slowStart          // by node
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
		acceptedByNode: map[string]map[string]*attempt{},
		slowStarts:     map[string]*slowStart{},
		verdict: Verdict{
			Rejected: map[string]int{},
			Outcomes: map[string]int{},
			States:   map[string]int{},
			Replies:  map[string]int{},
		},
	}
}

// record handles the next record of the recording.
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
		c.eventMarked(recordproxy.EventOf(body.Mark), body.Mark.Party)
	}
}

// violated adds a violation of a rule at the time of the present record.
func (c *checker) addViolation(rule int, format string, args ...any) {
	r := &c.verdict.Rules[rule]
	r.Violations = append(r.Violations, Violation{At: c.sinceStart(), Text: fmt.Sprintf(format, args...)})
}

// finish judges the jobs that have no outcome at the end, and returns the verdict.
func (c *checker) finish() *Verdict {
	c.verdict.Length = c.sinceStart()
	c.checkMissingOutcomes()
	for i := range c.verdict.Rules {
		slices.SortStableFunc(c.verdict.Rules[i].Violations, func(a, b Violation) int {
			return cmp.Or(cmp.Compare(a.At, b.At), strings.Compare(a.Text, b.Text))
		})
	}
	return &c.verdict
}

// class returns the limits of a class. A class that the figures do not list is non-idempotent and has no other limits.
func (c *checker) class(name string) *Class {
	for i := range c.limits.Classes {
		if c.limits.Classes[i].Name == name {
			return &c.limits.Classes[i]
		}
	}
	return &Class{Name: name, Idempotency: NonIdempotent}
}
