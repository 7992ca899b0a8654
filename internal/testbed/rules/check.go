// Package rules checks the five rules of the scheduler: it reads a recording of the traffic between clients, schedulers,
// nodes and the inventory, and judges the rules from it alone. To stay independent of what it checks, it must not import
// the scheduler's core or the placement module.
package rules

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sort"
	"time"

	"flaxshelf.example/flaxshelf/internal/testbed/recordproxy"
	"flaxshelf.example/flaxshelf/internal/testbed/recordproxy/recordingpb"
)

// RecordingError is a recording that cannot be read.
type RecordingError struct {
	Section string // head, figures or records
	Err     error
}

// Error names the part and the cause.
func (e *RecordingError) Error() string {
	return fmt.Sprintf("rules: the recording's %s: %v", e.Section, e.Err)
}

// Unwrap is the cause.
func (e *RecordingError) Unwrap() error { return e.Err }

// Check judges a recording. It reads to the end of r. The error is a *RecordingError; violations are in the verdict.
func Check(r io.Reader) (*Verdict, error) {
	reader, err := recordproxy.NewReader(r)
	if err != nil {
		return nil, &RecordingError{Section: "head", Err: err}
	}
	var figures Figures
	if err := json.Unmarshal(reader.Figures, &figures); err != nil {
		return nil, &RecordingError{Section: "figures", Err: err}
	}
	c := newChecker(figures)
	for {
		record, err := reader.Next()
		if errors.Is(err, io.EOF) {
			return c.finish(), nil
		}
		if err != nil {
			return nil, &RecordingError{Section: "records", Err: err}
		}
		c.record(record)
	}
}

// checker is the state of Check while it reads a recording. Of what a scheduler knows it takes account only by what was
// delivered to the scheduler. It is used by one goroutine.
type checker struct {
	figures    Figures
	verdict    Verdict
	start, now time.Duration // times of the first and the present record

	bytesDropped bool // a proxy drops bytes on purpose
	connections  map[uint64]*connection

	jobs         map[string]*job
	incarnations map[string]int // of each scheduler: how often it was killed
	pauses       map[string][]pause
	views        map[string]map[string]*nodeView // by scheduler and node

	attempts       map[string]*attempt
	attemptsByKey  map[string][]*attempt
	activeAttempts map[string]map[*attempt]bool   // of each scheduler: in flight or accepted
	acceptedByNode map[string]map[string]*attempt // by idempotency key and attempt: what nodes have, whoever knows
	slowStarts     map[string]*slowStart          // by node
}

func newChecker(figures Figures) *checker {
	return &checker{
		figures:        figures,
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

// record takes the next record of the recording.
func (c *checker) record(record *recordingpb.Record) {
	c.now = time.Duration(record.TimeNs)
	if c.start == 0 {
		c.start = c.now
	}
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

// violated adds a violation of a rule at the present time.
func (c *checker) violated(rule int, format string, args ...any) {
	r := &c.verdict.Rules[rule]
	r.Broken = append(r.Broken, Finding{At: c.now - c.start, Text: fmt.Sprintf(format, args...)})
}

// finish judges what is open at the end and returns the verdict.
func (c *checker) finish() *Verdict {
	c.verdict.Length = c.now - c.start
	c.judgeMissingOutcomes()
	for i := range c.verdict.Rules {
		findings := c.verdict.Rules[i].Broken
		sort.SliceStable(findings, func(i, j int) bool {
			if findings[i].At != findings[j].At {
				return findings[i].At < findings[j].At
			}
			return findings[i].Text < findings[j].Text
		})
	}
	return &c.verdict
}

// class returns the limits of a class. One that the figures do not list is held to the strictest idempotency.
func (c *checker) class(name string) *Class {
	for i := range c.figures.Classes {
		if c.figures.Classes[i].Name == name {
			return &c.figures.Classes[i]
		}
	}
	return &Class{Name: name, Idempotency: effectNonIdempotent}
}
