package rules

import (
	"fmt"
	"strings"
	"time"

	"flaxshelf.example/flaxshelf/internal/testbed/countformat"
)

// The five rules, as indices of Verdict.Rules.
const (
	// OneOutcome requires that each placement request gets exactly one outcome, before the placement timeout of the job.
	OneOutcome = iota
	// NoDuplicateStart requires that no task is started again if the idempotency of its class forbids it.
	NoDuplicateStart
	// DrainRespected requires that a draining or removed node is offered no tasks after the grace period.
	DrainRespected
	// SlowStartRespected requires that a node in slow start gets no more offers than its limit.
	SlowStartRespected
	// SpreadRespected requires that no topology domain has more tasks of a service than the class allows.
	SpreadRespected
	ruleCount
)

// Names are the names of the rules as printed in verdicts.
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
	Text string        // the jobs, attempts, nodes and times of the violation
}

// RuleResult is the result of checking one rule.
type RuleResult struct {
	Checked    int         // number of checked cases; zero means that the recording does not exercise the rule
	Violations []Violation // sorted by time
}

// Verdict is the result of Check for a recording.
type Verdict struct {
	Rules           [ruleCount]RuleResult
	Length          time.Duration  // from the first record to the last
	Undecoded       []string       // connections with bytes that could not be decoded, and the reason
	Submitted       int            // submissions that were answered
	Admitted        int            // jobs that a scheduler admitted
	Rejected        map[string]int // rejected submissions by error code
	Outcomes        map[string]int // placement requests by outcome, as named by countformat.OutcomeTerm
	States          map[string]int // admitted jobs by last reported state
	Orphaned        int            // jobs of killed schedulers that no later incarnation has reported
	OverloadedNodes int            // nodes that crashed because of too many starts
	Offers          int            // offers that schedulers sent to nodes
	Replies         map[string]int // replies of nodes to offers, by kind and reason of rejection
}

// OK reports whether no rule was violated and all connections could be decoded.
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

// String returns a multi-line report of the verdict.
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
