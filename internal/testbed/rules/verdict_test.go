package rules

import (
	"strings"
	"testing"
	"time"
)

func TestVerdictTextHasCountsAndViolations(t *testing.T) {
	v := Verdict{Length: 2500 * time.Millisecond, Submitted: 4, Admitted: 3, Rejected: map[string]int{"TryLater": 1},
		Outcomes: map[string]int{"placed": 1, "rejected": 2}, States: map[string]int{"DONE": 3}, Orphaned: 1, OverloadedNodes: 5,
		Offers: 6, Replies: map[string]int{replyRejected + "queue full": 6}, Undecoded: []string{"connection 7"}}
	v.Rules[OneOutcome].Checked = 3
	v.Rules[NoDuplicateStart] = RuleResult{Checked: 20, Violations: make([]Violation, maxPrintedViolations+2)}
	v.Rules[NoDuplicateStart].Violations[0] = Violation{At: 1500 * time.Millisecond, Text: "a violation"}
	got := v.String()
	for _, want := range []string{
		"rule 1  one final outcome in time for each job   respected (3 checked)\n",
		"rule 2  no duplicate start its class forbids     VIOLATED 12 times (20 checked)\n        at    1.500 s: a violation\n",
		"        and 2 more\n",
		"rule 3  no new task after the drain was notified not exercised (0 checked)\n",
		"rule 4  no node overloaded in slow start         not exercised (0 checked)\n",
		"rule 5  tasks of a service are spread            not exercised (0 checked)\n",
		"4 submissions in 2.5 s: 3 jobs admitted, rejected: TryLater 1\n",
		"outcomes: placed 1, rejected 2; job states at the end: DONE 3; 1 jobs orphaned by killed schedulers\n",
		"6 offers to nodes, replies: rejected: queue full 6; 5 nodes crashed of overload\n",
		"undecoded: connection 7\n",
	} {
		if !strings.Contains(got, want) {
			t.Errorf("got %s, want it to contain %q", got, want)
		}
	}
}
