package trial

import (
	"context"
	"errors"
	"fmt"

	"flaxshelf.example/flaxshelf/drmaa2"
	"flaxshelf.example/flaxshelf/internal/testbed/countformat"
)

// Tally is what the clients have seen, for a comparison with the recording.
type Tally struct {
	Submitted int
	Ends      map[string]int // submissions, by how they ended for their clients
	Open      int            // submissions without an outcome though their scheduler lived
	Doubles   int            // placement requests with two outcomes
	Late      int            // submissions that were sent late
	Verbs     map[string]int // commands of clients, with their errors
}

// The ends of submissions that have no outcome.
const (
	endRejected  = "turned away: " // and the error
	endKilled    = "its scheduler was killed"
	endNoOutcome = "no outcome"
)

// String is the tally for people, on one line.
func (t *Tally) String() string {
	return fmt.Sprintf("owners: %d submissions (%d sent late): %s; not accounted for %d; two outcomes %d; verbs %s\n",
		t.Submitted, t.Late, countformat.Format(t.Ends), t.Open, t.Doubles, countformat.Format(t.Verbs))
}

// errorText is a short text of an error, by which errors are counted.
func errorText(err error) string {
	var rejection *drmaa2.Error
	if errors.As(err, &rejection) {
		return string(rejection.Code)
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return "no answer in time"
	}
	return err.Error()
}
