package trial

import (
	"context"
	"errors"
	"fmt"

	"flaxshelf.example/flaxshelf/drmaa2"
	"flaxshelf.example/flaxshelf/internal/testbed/countformat"
)

// Tally has the counts of what the clients observed, to be compared with the recording.
type ClientStats struct {
	Submitted         int
	EndCounts         map[string]int // submissions, by how they ended for their clients
	Unaccounted       int            // submissions without an outcome although their scheduler was not killed
	DuplicateOutcomes int            // placement requests with two outcomes
	SentLate          int            // submissions that were sent late
	CommandCounts     map[string]int // commands of clients, with their errors
}

// The ends of submissions that have no outcome.
const (
	endRejected  = "rejected: " // followed by the error
	endKilled    = "scheduler killed"
	endNoOutcome = "no outcome"
)

// String returns the tally as one line of text.
func (t *ClientStats) String() string {
	return fmt.Sprintf("clients: %d submissions (%d sent late): %s; %d unaccounted for; %d with two outcomes; commands: %s\n",
		t.Submitted, t.SentLate, countformat.Format(t.EndCounts), t.Unaccounted, t.DuplicateOutcomes, countformat.Format(t.CommandCounts))
}

// errorText returns a short text of an error, by which errors are counted.
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
