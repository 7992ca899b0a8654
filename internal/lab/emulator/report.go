package emulator

import (
	"cmp"
	"fmt"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// ClassReport is what a day has brought the jobs of one class.
type ClassReport struct {
	Class     string
	Submitted int
	Placed    int                     // first placements of submissions
	InTime    int                     // of them within the class's aim
	Outcomes  map[string]int          // of asks
	Wait      *hdrhistogram.Histogram // microseconds from the intended submission to the first placement
}

// Report is what a day has shown.
type Report struct {
	Seconds     float64 // simulated
	Ends        map[string]int
	Ended       map[string]int // jobs, by how they ended
	Classes     []*ClassReport
	Finished    int // tasks that nodes have run to their end
	FellOver    int
	Retries     int   // asks of owners who had asked before
	Events      int64 // runs of entities
	Messages    int64
	Steps       int64   // of cores
	Busiest     float64 // share of its time that the busiest core worked, where the day tells what steps cost
	Unaccounted int
}

func (w *world) report(end Time) *Report {
	s := w.owners.stats
	for _, x := range w.owners.sorted() { // those whose time is not over
		if x.outcome == "" && x.end == "" && x.due >= end {
			x.end = "open at the end"
		}
		w.owners.close(x)
	}
	r := &Report{Seconds: (end - Epoch).Seconds(), Ends: s.ends, Ended: s.ended, Events: w.e.events,
		Messages: w.e.messages, Unaccounted: s.ends["no outcome"], Retries: s.retries}
	for _, name := range s.order {
		r.Classes = append(r.Classes, s.classes[name])
	}
	for _, n := range w.nodes {
		r.Finished += n.done
		if n.model != nil {
			r.Finished += n.model.Finished()
		}
		r.FellOver += n.fell
	}
	for _, x := range w.servers {
		r.Steps += x.steps
		r.Busiest = max(r.Busiest, x.worked.Seconds()/r.Seconds)
	}
	return r
}

// String is the report in words.
func (r *Report) String() string {
	var b strings.Builder
	for _, c := range r.Classes {
		q := func(p float64) time.Duration {
			return time.Duration(c.Wait.ValueAtQuantile(p)) * time.Microsecond
		}
		fmt.Fprintf(&b, "%-12s %6d submitted, %6d placed, %6d in time; wait p50 %v p99 %v p99.9 %v; asks %s\n",
			c.Class,
			c.Submitted, c.Placed, c.InTime, q(50), q(99), q(99.9), counts(c.Outcomes))
	}
	fmt.Fprintf(&b, "submissions: %s; asked again %d times; not accounted for %d\n", counts(r.Ends), r.Retries,
		r.Unaccounted)
	fmt.Fprintf(&b, "jobs ended: %s; %d nodes fell over\n", counts(r.Ended), r.FellOver)
	if r.Busiest > 0 {
		fmt.Fprintf(&b, "the busiest core works %.0f%% of its time\n", 100*r.Busiest)
	}
	fmt.Fprintf(&b, "%.1f simulated seconds: %d events, %d messages, %d steps of cores\n", r.Seconds, r.Events,
		r.Messages, r.Steps)
	return b.String()
}

func counts(m map[string]int) string {
	var all []string
	for k, n := range m {
		all = append(all, fmt.Sprintf("%s %d", k, n))
	}
	sort.Strings(all)
	if all == nil {
		return "none"
	}
	return strings.Join(all, ", ")
}

func sortSubs(all []*submitted) {
	slices.SortFunc(all, func(a, b *submitted) int {
		return cmp.Or(cmp.Compare(a.a.At, b.a.At), cmp.Compare(a.a.Key, b.a.Key))
	})
}
