package emulator

import (
	"cmp"
	"slices"
	"time"

	"flaxshelf.example/flaxshelf/internal/scheduler"
	"flaxshelf.example/flaxshelf/internal/testbed/scenario"
)

// submissionState is a submission as its client knows it.
type submissionState struct {
	arrival         scenario.Arrival
	spec            scheduler.JobSpec
	jobID           string
	outcome         scheduler.PlacementOutcome
	endReason       string // why it ended without an outcome; empty: it is open or has an outcome
	lastOutcome     string // outcome of the last placement request that the client retried
	schedulerKilled bool   // the scheduler was killed or did not run
	closeAt         Time   // when it is counted in the report, with or without an outcome
	closed          bool   // it is counted in the report
}

// Reasons, in the report, why submissions ended without an outcome.
const (
	endRejected  = "rejected: " // followed by the error code
	endKilled    = "its scheduler was killed"
	endNoOutcome = "no outcome"
	endOpen      = "open at the end"
)

// closeSubmission counts a submission in the report, by its outcome or the reason why it has none, and forgets it.
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

// scheduleRetry schedules another submission of a job that was not placed, after a random backoff. It returns false if the
// load has no retries or the client's patience ends before the retry.
func (c *clients) scheduleRetry(s *submissionState, now Time) bool {
	backoff := s.arrival.Load.RetryDelay.Duration()
	if backoff <= 0 {
		return false
	}
	at := now + backoff/2 + time.Duration(c.latency.random.Int64N(int64(backoff)))
	if at >= arrivalTime(&s.arrival)+s.arrival.Load.RetryTimeout.Duration() {
		return false
	}
	c.stats.retries++
	c.setTimer(at, func(now Time, out *outbox) { c.sendSubmission(s, now, out) })
	return true
}

// openSubmissions returns the open submissions, ordered by arrival time and then by key, so that the order does not depend on
// the map.
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

// scheduleResubmission schedules another submission of a job whose scheduler was killed, unless less than outcomeGracePeriod
// would remain until closeAt.
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
