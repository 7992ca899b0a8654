package load

import (
	"fmt"

	"flaxshelf.example/flaxshelf/internal/testbed/countformat"
)

// Result is the result of sending a load. Latencies are measured from the intended time of each submission, so that they
// include delays of the sender and of the scheduler.
type SendResult struct {
	Sent             int
	Late             int               // submissions that were sent more than 10 ms after their intended time
	ResponseLatency  *LatencyHistogram // until the scheduler answered the submission
	PlacementLatency *LatencyHistogram // until the task was placed
	Errors           map[string]int    // failed submissions, by error code or error text
	Outcomes         map[string]int    // the other submissions, by outcome
}

// String returns the result for people, in several lines.
func (r *SendResult) String() string {
	return fmt.Sprintf("%d submissions (%d sent late), errors %s, outcomes %s\nanswered: %v\nplaced:   %v\n",
		r.Sent, r.Late, countformat.Format(r.Errors), countformat.FormatOutcomes(r.Outcomes), r.ResponseLatency, r.PlacementLatency)
}
