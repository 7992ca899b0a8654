package trial

import (
	"context"
	"errors"
	"fmt"

	"flaxshelf.example/flaxshelf/drmaa2"
	"flaxshelf.example/flaxshelf/internal/testbed/countformat"
)

// Tally has the counts of what the clients observed, to be compared with the recording.
type Tally struct {
	Submitted   int
	Ends        map[string]int // submissions, by how they ended for their clients
	Unaccounted int            // submissions without an outcome although their scheduler was not killed
	Duplicates  int            // placement requests with two outcomes
	Late        int            // submissions that were sent late
	Commands    map[string]int // commands of clients, with their errors
}

// The ends of submissions that have no outcome.
const (
	endRejected  = "rejected: " // followed by the error
	endKilled    = "scheduler killed"
	endNoOutcome = "no outcome"
)

// String returns the tally as one line of text.
func (t *Tally) String() string {
	return fmt.Sprintf("clients: %d submissions (%d sent late): %s; %d unaccounted for; %d with two outcomes; commands: %s\n",
		t.Submitted, t.Late, countformat.Format(t.Ends), t.Unaccounted, t.Duplicates, countformat.Format(t.Commands))
}

// errorText returns a short text of an error, by which errors are counted.
func errorText(err error) string {
	var rejection *drmaa2.Error
	if errors.As(err, &rejection) {
		return string(rejection.Code)
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return "request timed out"
	}
	return err.Error()
}
