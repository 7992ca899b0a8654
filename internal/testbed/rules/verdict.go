package rules

import (
	"fmt"
	"strings"
	"time"

	"flaxshelf.example/flaxshelf/internal/testbed/countformat"
)

// The five rules, as indices of Verdict.Rules.
const (
	// OneOutcome requires that each placement request gets exactly one outcome, before the job's placement timeout.
	OneOutcome = iota
	// NoDuplicateStart requires that no task is started again where the idempotency of its class forbids that.
	NoDuplicateStart
	// DrainRespected requires that a draining node gets no new task after the grace period.
	DrainRespected
	// SlowStartRespected requires that a node in slow start is not overloaded.
	SlowStartRespected
	// SpreadRespected requires that the tasks of a service are spread over topology domains.
	SpreadRespected
	ruleCount
)

// Names are the names of the rules.
var Names = [ruleCount]string{
	OneOutcome:         "one final outcome in time for each job",
	NoDuplicateStart:   "no duplicate start its class forbids",
	DrainRespected:     "no new task after the drain was notified",
	SlowStartRespected: "no node overloaded in slow start",
	SpreadRespected:    "tasks of a service are spread",
}

// Violation is one violation of a rule.
type Violation struct {
	At   time.Duration // since the start of the recording
	Text string        // what was violated, with the attempts, nodes and times
}

// Rule is the result for one rule.
type RuleResult struct {
	Checked    int         // number of judged cases; zero means that the recording does not exercise the rule
	Violations []Violation // in the order of their times
}

// Verdict is the result of Check for a recording.
type Verdict struct {
	Rules           [ruleCount]RuleResult
	Length          time.Duration  // from the first record to the last
	Undecoded       []string       // connections whose bytes could not be decoded, with the reason
	Submitted       int            // requests that submit jobs
	Admitted        int            // jobs that a scheduler admitted
	Rejected        map[string]int // rejected submissions by error code
	Outcomes        map[string]int // outcomes of placement requests, by countformat.OutcomeTerm
	States          map[string]int // last reported states of admitted jobs
	Orphaned        int            // jobs of killed schedulers that no later incarnation reported
	OverloadedNodes int            // nodes that crashed because of too many starts
	Offers          int            // offers that schedulers sent to nodes
	Replies         map[string]int // replies of nodes to offers, with the reason of a rejection
}

// OK reports whether no rule is violated and all connections could be decoded.
func (v *Verdict) OK() bool {
	for i := range v.Rules {
		if len(v.Rules[i].Violations) > 0 {
			return false
		}
	}
	return len(v.Undecoded) == 0
}

// maxPrintedViolations is the maximum number of violations of one rule that String prints.
const maxPrintedViolations = 10

// String returns the verdict as text of several lines.
func (v *Verdict) String() string {
	var text strings.Builder
	for i := range v.Rules {
		v.Rules[i].print(&text, i)
	}
	fmt.Fprintf(&text, "%d submissions in %.1f s: %d jobs admitted, rejected: %s\n", v.Submitted,
		v.Length.Seconds(), v.Admitted, countformat.Format(v.Rejected))
	fmt.Fprintf(&text, "outcomes: %s; job states at the end: %s; %d jobs orphaned by killed schedulers\n",
		countformat.Format(v.Outcomes), countformat.Format(v.States), v.Orphaned)
	fmt.Fprintf(&text, "%d offers to nodes, replies: %s; %d nodes crashed of overload\n", v.Offers,
		countformat.Format(v.Replies), v.OverloadedNodes)
	for _, connection := range v.Undecoded {
		fmt.Fprintf(&text, "undecoded: %s\n", connection)
	}
	return text.String()
}

func (r *RuleResult) print(text *strings.Builder, index int) {
	result := "respected"
	switch {
	case len(r.Violations) > 0:
		result = fmt.Sprintf("VIOLATED %d times", len(r.Violations))
	case r.Checked == 0:
		result = "not exercised"
	}
	fmt.Fprintf(text, "rule %d  %-40s %s (%d checked)\n", index+1, Names[index], result, r.Checked)
	for i, violation := range r.Violations {
		if i == maxPrintedViolations {
			fmt.Fprintf(text, "        and %d more\n", len(r.Violations)-i)
			return
		}
		fmt.Fprintf(text, "        at %8.3f s: %s\n", violation.At.Seconds(), violation.Text)
	}
}
