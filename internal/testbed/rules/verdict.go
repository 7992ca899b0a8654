package rules

import (
	"fmt"
	"strings"
	"time"

	"flaxshelf.example/flaxshelf/internal/testbed/countformat"
)

// The five rules, as indices of Verdict.Rules.
const (
	// OneAnswer is that each job gets one final outcome before its placement timeout.
	OneAnswer = iota
	// NoSecondStart is that no task is started a second time where its class forbids that.
	NoSecondStart
	// DrainsKept is that a draining node gets no new task after the grace period.
	DrainsKept
	// ColdKept is that a node in its slow start is not overloaded.
	ColdKept
	// SpreadKept is that the tasks of one service are spread over topology domains.
	SpreadKept
	ruleCount
)

// Names are the rules' names, in their order.
var Names = [ruleCount]string{
	OneAnswer:     "one final answer in time for each task",
	NoSecondStart: "no second start its class forbids",
	DrainsKept:    "no new work after word of a drain",
	ColdKept:      "no cold node pushed over",
	SpreadKept:    "spread kept",
}

// Finding is one violation of a rule.
type Finding struct {
	At   time.Duration // since the start of the recording
	Text string        // what was violated, with the attempts, nodes and times
}

// Rule is the result for one rule.
type Rule struct {
	Checked int       // cases that were judged; a rule with none is not proven
	Broken  []Finding // violations, in the order of their times
}

// Verdict is the result of Check for a recording.
type Verdict struct {
	Rules           [ruleCount]Rule
	Length          time.Duration  // from the first record to the last
	Undecoded       []string       // connections whose bytes could not be decoded, with the reason
	Submitted       int            // requests that submit jobs
	Admitted        int            // jobs that a scheduler admitted
	Rejected        map[string]int // rejected submissions by error code
	Outcomes        map[string]int // outcomes of placement requests
	States          map[string]int // the last state that was seen of each admitted job
	Orphaned        int            // jobs of a scheduler's process that was killed, which no later process reported
	OverloadedNodes int            // nodes that crashed of overload in their slow start
	Offers          int            // offers that schedulers sent to nodes
	Replies         map[string]int // replies of nodes to offers
}

// OK reports whether no rule is violated and every connection could be decoded.
func (v *Verdict) OK() bool {
	for i := range v.Rules {
		if len(v.Rules[i].Broken) > 0 {
			return false
		}
	}
	return len(v.Undecoded) == 0
}

// maxPrintedFindings bounds the violations of one rule that String prints.
const maxPrintedFindings = 10

// String is the verdict for people, on several lines.
func (v *Verdict) String() string {
	var text strings.Builder
	for i := range v.Rules {
		v.Rules[i].print(&text, i)
	}
	fmt.Fprintf(&text, "%d submissions in %.1f s: %d jobs taken, turned away %s\n", v.Submitted,
		v.Length.Seconds(), v.Admitted, countformat.Format(v.Rejected))
	fmt.Fprintf(&text, "outcomes %s; jobs at the end %s; %d were held by a scheduler that was killed\n",
		countformat.Format(v.Outcomes), countformat.Format(v.States), v.Orphaned)
	fmt.Fprintf(&text, "%d offers to nodes, answered %s; %d nodes fell over\n", v.Offers, countformat.Format(v.Replies),
		v.OverloadedNodes)
	for _, connection := range v.Undecoded {
		fmt.Fprintf(&text, "unread: %s\n", connection)
	}
	return text.String()
}

func (r *Rule) print(text *strings.Builder, index int) {
	result := "kept"
	switch {
	case len(r.Broken) > 0:
		result = fmt.Sprintf("BROKEN %d times", len(r.Broken))
	case r.Checked == 0:
		result = "had nothing to judge"
	}
	fmt.Fprintf(text, "rule %d  %-40s %s (%d checked)\n", index+1, Names[index], result, r.Checked)
	for i, finding := range r.Broken {
		if i == maxPrintedFindings {
			fmt.Fprintf(text, "        and %d more\n", len(r.Broken)-i)
			return
		}
		fmt.Fprintf(text, "        at %8.3f s: %s\n", finding.At.Seconds(), finding.Text)
	}
}
