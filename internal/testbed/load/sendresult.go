package load

import (
	"fmt"

	"flaxshelf.example/flaxshelf/internal/testbed/countformat"
)

// SendResult is the result of sending a trace. Latencies are measured from the intended time of each submission, so that they
// include delays in the sender as well as in the scheduler.
type SendResult struct {
	Sent             int               // submissions that were sent
	Late             int               // submissions that were sent more than 10 ms after their intended time
	ResponseLatency  *LatencyHistogram // until the scheduler answered the submission, also with an error
	PlacementLatency *LatencyHistogram // until the placed outcome was received
	Errors           map[string]int    // number of failed submissions, by error code or error text
	Outcomes         map[string]int    // number of accepted submissions, by outcome
}

// String returns a human-readable summary of several lines.
func (r *SendResult) String() string {
	return fmt.Sprintf("%d submissions (%d sent late), errors %s, outcomes %s\nanswered: %v\nplaced:   %v\n",
		r.Sent, r.Late, countformat.Format(r.Errors), countformat.FormatOutcomes(r.Outcomes), r.ResponseLatency,
		r.PlacementLatency)
}
