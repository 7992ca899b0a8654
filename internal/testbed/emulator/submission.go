package emulator

import (
	"cmp"
	"slices"
	"time"

	"flaxshelf.example/flaxshelf/internal/scheduler"
	"flaxshelf.example/flaxshelf/internal/testbed/scenario"
)

// submissionState is a submission and the state that its client has of it.
type submissionState struct {
	arrival         scenario.Arrival
	spec            scheduler.JobSpec
	job             string
	outcome         scheduler.PlacementOutcome
	endReason       string // how it ended without an outcome; empty: it is open or has one
	lastOutcome     string // of the last request that its client retried
	schedulerKilled bool   // its scheduler was killed
	closeAt         Time   // when it is accounted for
	closed          bool
}

// The ends in the report of submissions without an outcome.
const (
	endRejected  = "rejected: " // and the error code
	endKilled    = "its scheduler was killed"
	endNoOutcome = "no outcome"
	endOpen      = "open at the end"
)

// close accounts for a submission at the end of its time.
func (c *clients) closeSubmission(s *submissionState) {
	if s.closed {
		return
	}
	switch {
	case s.outcome != "":
		s.endReason = string(s.outcome)
	case s.endReason != "":
	case s.lastOutcome != "":
		s.endReason = s.lastOutcome
	case s.schedulerKilled:
		s.endReason = endKilled
	default:
		s.endReason = endNoOutcome
	}
	s.closed = true
	c.stats.submissionEnds[s.endReason]++
	delete(c.submissions, s.arrival.Key)
}

// retry resubmits a job that was not placed, after a backoff. It returns false if the load does not retry or its
// client's patience would end first.
func (c *clients) scheduleRetry(s *submissionState, now Time) bool {
	backoff := s.arrival.Load.Retry.Duration()
	if backoff <= 0 {
		return false
	}
	at := now + backoff/2 + time.Duration(c.latency.random.Int64N(int64(backoff)))
	if at >= arrivalTime(&s.arrival)+s.arrival.Load.Patience.Duration() {
		return false
	}
	c.stats.retries++
	c.setTimer(at, func(now Time, out *outbox) { c.sendSubmission(s, now, out) })
	return true
}

// openSubmissions returns the open submissions in the order of their times and keys.
func (c *clients) openSubmissions() []*submissionState {
	open := make([]*submissionState, 0, len(c.submissions))
	for _, s := range c.submissions {
		open = append(open, s)
	}
	slices.SortFunc(open, func(a, b *submissionState) int {
		return cmp.Or(cmp.Compare(a.arrival.At, b.arrival.At), cmp.Compare(a.arrival.Key, b.arrival.Key))
	})
	return open
}

// resubmit submits a job again whose scheduler was killed, unless its client has stopped waiting by then.
func (c *clients) scheduleResubmission(s *submissionState, now Time) {
	at := now + resubmitDelay
	if at >= s.closeAt-outcomeGracePeriod {
		return
	}
	s.spec.Retry = true
	c.setTimer(at, func(now Time, out *outbox) {
		if s.outcome == "" {
			c.sendSubmission(s, now, out)
		}
	})
}
