package emulator

import (
	"fmt"
	"math"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"flaxshelf.example/flaxshelf/internal/scheduler"
	"flaxshelf.example/flaxshelf/internal/testbed/countformat"
	"flaxshelf.example/flaxshelf/internal/testbed/scenario"
)

// ClassReport has the results of a day for the jobs of one class.
type ClassReport struct {
	Class           string
	Submitted       int
	Placed          int                     // submissions that were placed
	WithinObjective int                     // of Placed, those within the latency objective of the class
	RequestOutcomes map[string]int          // placement requests by outcome
	WaitMicros      *hdrhistogram.Histogram // microseconds from the intended submission to the first placement
}

// Report has the results of a day.
type Report struct {
	SimulatedSeconds   float64        // simulated time in seconds, with the warm-up
	SubmissionEnds     map[string]int // submissions by outcome, or by the reason why they have none
	JobEnds            map[string]int // ended jobs by their final sub-state
	Classes            []*ClassReport // in the order of the day's classes
	FinishedTasks      int            // tasks that nodes have run to completion
	OverloadCrashes    int            // crashes of nodes because of overload
	Retries            int            // repeated submissions of jobs that were not placed
	EntityRuns         int64          // runs of a simulated party in a window
	Messages           int64          // messages between simulated parties
	CoreSteps          int64          // steps of scheduler cores
	MaxCoreUtilization float64        // highest busy fraction of a core; 0 if steps take no time on the day
	Unaccounted        int            // submissions without an outcome or a known reason for its absence
}

// report closes all open submissions and returns the report of the day, which ends at the given time.
func (s *simulation) report(end Time) *Report {
	stats := s.clients.stats
	for _, open := range s.clients.openSubmissions() {
		if open.outcome == "" && open.endReason == "" && open.closeAt >= end {
			open.endReason = endOpen
		}
		s.clients.closeSubmission(open)
	}
	r := &Report{
		SimulatedSeconds: (end - Epoch).Seconds(),
		SubmissionEnds:   stats.submissionEnds,
		JobEnds:          stats.jobEnds,
		EntityRuns:       s.engine.entityRuns,
		Messages:         s.engine.messages,
		Unaccounted:      stats.submissionEnds[endNoOutcome],
		Retries:          stats.retries,
	}
	for _, name := range stats.classOrder {
		r.Classes = append(r.Classes, stats.classes[name])
	}
	for _, node := range s.nodes {
		r.FinishedTasks += node.finishedEarlier
		if node.model != nil {
			r.FinishedTasks += node.model.FinishedTasks()
		}
		r.OverloadCrashes += node.overloadCrashes
	}
	for _, scheduler := range s.schedulers {
		r.CoreSteps += scheduler.steps
		r.MaxCoreUtilization = max(r.MaxCoreUtilization, scheduler.busyTime.Seconds()/r.SimulatedSeconds)
	}
	return r
}

// String returns the report as text of several lines.
func (r *Report) String() string {
	var text strings.Builder
	for _, class := range r.Classes {
		class.print(&text)
	}
	fmt.Fprintf(&text, "submissions: %s; %d retries, %d unaccounted for\n", countformat.FormatOutcomes(r.SubmissionEnds),
		r.Retries, r.Unaccounted)
	fmt.Fprintf(&text, "jobs ended: %s; %d nodes crashed of overload\n", countformat.FormatOutcomes(r.JobEnds), r.OverloadCrashes)
	if r.MaxCoreUtilization > 0 {
		fmt.Fprintf(&text, "the busiest core is busy %.0f%% of the time\n", 100*r.MaxCoreUtilization)
	}
	fmt.Fprintf(&text, "%.1f simulated seconds: %d events, %d messages, %d core steps\n", r.SimulatedSeconds, r.EntityRuns,
		r.Messages, r.CoreSteps)
	return text.String()
}

func (c *ClassReport) print(text *strings.Builder) {
	waitQuantile := func(percentile float64) time.Duration {
		return time.Duration(c.WaitMicros.ValueAtQuantile(percentile)) * time.Microsecond
	}
	fmt.Fprintf(text, "%-12s %6d submitted, %6d placed, %6d in time; wait p50 %v p99 %v p99.9 %v; placement requests: %s\n",
		c.Class, c.Submitted, c.Placed, c.WithinObjective, waitQuantile(50), waitQuantile(99), waitQuantile(99.9),
		countformat.FormatOutcomes(c.RequestOutcomes))
}

// clientStats counts what clients observe.
type clientStats struct {
	retries                 int
	submissionEnds, jobEnds map[string]int
	classes                 map[string]*ClassReport
	classOrder              []string
}

// waitDigits is the precision of the histograms of waits, in significant digits.
const waitDigits = 3

func newClientStats(day *scenario.Day) *clientStats {
	s := &clientStats{submissionEnds: map[string]int{}, jobEnds: map[string]int{}, classes: map[string]*ClassReport{}}
	for i := range day.Classes {
		name := day.Classes[i].Name
		s.classOrder = append(s.classOrder, name)
		s.classes[name] = &ClassReport{Class: name, RequestOutcomes: map[string]int{},
			WaitMicros: hdrhistogram.New(1, math.MaxInt32*1000, waitDigits)}
	}
	return s
}

func (s *clientStats) countSubmitted(class string) { s.classes[class].Submitted++ }

func (s *clientStats) countOutcome(class string, outcome scheduler.PlacementOutcome) {
	s.classes[class].RequestOutcomes[string(outcome)]++
}

func (s *clientStats) countPlaced(class string, wait, latencyObjective time.Duration) {
	c := s.classes[class]
	// Fails only for waits of weeks, which are longer than any day.
	_ = c.WaitMicros.RecordValue(max(int64(wait/time.Microsecond), 1))
	c.Placed++
	if wait <= latencyObjective {
		c.WithinObjective++
	}
}
