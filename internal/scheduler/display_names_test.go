package scheduler

import "testing"

// The values are part of the client protocol and of stored data, so they must not change. The display names are those of
// docs/glossary.md.
func TestOutcomesKeepTheirValuesAndHaveDisplayNames(t *testing.T) {
	for _, test := range []struct {
		outcome            PlacementOutcome
		value, displayName string
	}{
		{OutcomePlaced, "placed", "placed"},
		{OutcomeRejected, "refused", "rejected"},
		{OutcomeFailed, "failed", "failed"},
		{OutcomeCanceled, "withdrawn", "canceled"},
	} {
		t.Run(test.displayName, func(t *testing.T) {
			if got := string(test.outcome); got != test.value {
				t.Errorf("got value %q, want %q", got, test.value)
			}
			if got := test.outcome.DisplayName(); got != test.displayName {
				t.Errorf("got display name %q, want %q", got, test.displayName)
			}
		})
	}
}

func TestSubStatesKeepTheirValuesAndHaveDisplayNames(t *testing.T) {
	for _, test := range []struct{ subState, value, displayName string }{
		{SubStateWaiting, "waiting", "waiting"},
		{SubStateRecovering, "recovering", "recovering"},
		{SubStateStartTime, "start-time", "start-time"},
		{SubStateArrayLimit, "array-limit", "array-limit"},
		{SubStateOffered, "offered", "offered"},
		{SubStateAccepted, "accepted", "accepted"},
		{SubStateRunning, "running", "running"},
		{SubStateUnreachable, "unreached", "unreachable"},
		{SubStateStopping, "stopping", "stopping"},
		{SubStateRejected, "refused", "rejected"},
		{SubStateUncertain, "uncertain", "uncertain"},
		{SubStateTerminated, "terminated", "terminated"},
		{SubStateEvicted, "evicted", "evicted"},
		{SubStatePreempted, "pushed-out", "preempted"},
		{SubStateDrainedAway, "sent-away", "drained-away"},
		{SubStateLost, "lost", "lost"},
		{SubStateExited, "exited", "exited"},
		{SubStateStartFailed, "broke", "start-failed"},
		{SubStateHeld, "held", "held"},
		{SubStateBackoff, "backoff", "backoff"},
	} {
		t.Run(test.displayName, func(t *testing.T) {
			if test.subState != test.value {
				t.Errorf("got value %q, want %q", test.subState, test.value)
			}
			if got := SubStateDisplayName(test.subState); got != test.displayName {
				t.Errorf("got display name %q, want %q", got, test.displayName)
			}
		})
	}
}
