package scheduler

// Some outcomes and sub-states have older values in the client protocol and in stored data, where they must not change;
// docs/drmaa.md lists them. Logs, metrics and texts for people use the names below instead.
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

// DisplayName returns the name of the outcome in logs, metrics and texts for people.
func (o PlacementOutcome) DisplayName() string {
	if name, ok := outcomeDisplayNames[o]; ok {
		return name
	}
	return string(o)
}

// SubStateDisplayName returns the name of a sub-state in logs, metrics and texts for people.
func SubStateDisplayName(subState string) string {
	if name, ok := subStateDisplayNames[subState]; ok {
		return name
	}
	return subState
}
