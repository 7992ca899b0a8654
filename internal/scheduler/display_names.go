package scheduler

// The client protocol and stored data fix the values of some outcomes and sub-states, which docs/drmaa.md lists. Logs,
// metrics and texts for people use the terms below instead.
var (
	outcomeDisplayNames = map[PlacementOutcome]string{
		OutcomeRejected: "rejected",
		OutcomeCanceled: "canceled",
	}
	subStateDisplayNames = map[string]string{
		SubStateUnreachable: "unreachable",
		SubStateRejected:    "rejected",
		SubStatePreempted:   "preempted",
		SubStateDrainedAway: "drained-away",
		SubStateStartFailed: "start-failed",
	}
)

// DisplayName returns the name of the outcome for logs, metrics and texts.
func (o PlacementOutcome) DisplayName() string {
	if term, ok := outcomeDisplayNames[o]; ok {
		return term
	}
	return string(o)
}

// SubStateDisplayName returns the name of a sub-state for logs, metrics and texts.
func SubStateDisplayName(subState string) string {
	if term, ok := subStateDisplayNames[subState]; ok {
		return term
	}
	return subState
}
