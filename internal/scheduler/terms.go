package scheduler

// The client protocol and stored data fix the values of some outcomes and sub-states, which docs/drmaa.md lists. Logs,
// metrics and texts for people use the terms below instead.
var (
	outcomeTerms = map[Outcome]string{
		OutcomeRejected: "rejected",
		OutcomeCanceled: "canceled",
	}
	subStateTerms = map[string]string{
		SubUnreachable: "unreachable",
		SubRejected:    "rejected",
		SubPreempted:   "preempted",
		SubDrainedAway: "drained-away",
		SubStartFailed: "start-failed",
	}
)

// Term returns the name of the outcome for logs, metrics and texts.
func (o Outcome) Term() string {
	if term, ok := outcomeTerms[o]; ok {
		return term
	}
	return string(o)
}

// SubStateTerm returns the name of a sub-state for logs, metrics and texts.
func SubStateTerm(subState string) string {
	if term, ok := subStateTerms[subState]; ok {
		return term
	}
	return subState
}
