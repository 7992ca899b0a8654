package scheduler

import "testing"

// The values are part of the client protocol and of stored data, so they must not change; the terms are those of
// docs/glossary.md.
func TestOutcomesKeepTheirValuesAndHaveTerms(t *testing.T) {
	for _, test := range []struct {
		outcome     Outcome
		value, term string
	}{
		{OutcomePlaced, "placed", "placed"},
		{OutcomeRejected, "refused", "rejected"},
		{OutcomeFailed, "failed", "failed"},
		{OutcomeCanceled, "withdrawn", "canceled"},
	} {
		t.Run(test.term, func(t *testing.T) {
			if got := string(test.outcome); got != test.value {
				t.Errorf("value %q, want %q", got, test.value)
			}
			if got := test.outcome.Term(); got != test.term {
				t.Errorf("term %q, want %q", got, test.term)
			}
		})
	}
}

func TestSubStatesKeepTheirValuesAndHaveTerms(t *testing.T) {
	for _, test := range []struct{ subState, value, term string }{
		{SubWaiting, "waiting", "waiting"},
		{SubRecovering, "recovering", "recovering"},
		{SubStartTime, "start-time", "start-time"},
		{SubArrayLimit, "array-limit", "array-limit"},
		{SubOffered, "offered", "offered"},
		{SubAccepted, "accepted", "accepted"},
		{SubRunning, "running", "running"},
		{SubUnreachable, "unreached", "unreachable"},
		{SubStopping, "stopping", "stopping"},
		{SubRejected, "refused", "rejected"},
		{SubUncertain, "uncertain", "uncertain"},
		{SubTerminated, "terminated", "terminated"},
		{SubEvicted, "evicted", "evicted"},
		{SubPreempted, "pushed-out", "preempted"},
		{SubDrainedAway, "sent-away", "drained-away"},
		{SubLost, "lost", "lost"},
		{SubExited, "exited", "exited"},
		{SubStartFailed, "broke", "start-failed"},
		{SubHeld, "held", "held"},
		{SubBackoff, "backoff", "backoff"},
	} {
		t.Run(test.term, func(t *testing.T) {
			if test.subState != test.value {
				t.Errorf("value %q, want %q", test.subState, test.value)
			}
			if got := SubStateTerm(test.subState); got != test.term {
				t.Errorf("term %q, want %q", got, test.term)
			}
		})
	}
}
