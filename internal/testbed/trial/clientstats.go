package trial

import (
	"context"
	"errors"
	"fmt"

	"flaxshelf.example/flaxshelf/drmaa2"
	"flaxshelf.example/flaxshelf/internal/testbed/countformat"
)

// ClientStats counts what the clients observed, for comparison with the recording.
type ClientStats struct {
	Submitted         int
	EndCounts         map[string]int // submissions, by outcome or by another way to end for their client
	Unaccounted       int            // submissions that got no outcome although their scheduler was not killed
	DuplicateOutcomes int            // placement requests that got two different outcomes
	SentLate          int            // submissions that were sent more than lateThreshold after their time
	CommandCounts     map[string]int // control commands (terminate, hold, release), by name and error
}

// The ways to end for submissions without an outcome.
const (
	endRejected  = "rejected: " // followed by the error
	endKilled    = "scheduler killed"
	endNoOutcome = "no outcome"
)

// String returns the counts as one line of text.
func (t *ClientStats) String() string {
	return fmt.Sprintf("clients: %d submissions (%d sent late): %s; %d unaccounted for; %d with two outcomes; commands: %s\n",
		t.Submitted, t.SentLate, countformat.Format(t.EndCounts), t.Unaccounted, t.DuplicateOutcomes,
		countformat.Format(t.CommandCounts))
}

// errorLabel returns a short text for an error, under which equal errors are counted together.
func errorLabel(err error) string {
	var rejection *drmaa2.Error
	if errors.As(err, &rejection) {
		return string(rejection.Code)
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return "request timed out"
	}
	return err.Error()
}
