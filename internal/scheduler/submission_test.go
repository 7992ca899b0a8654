package scheduler

import (
	"testing"
	"time"
)

// The placement timeout starts when the host receives a submission, not when an overloaded core handles it. The core rejects
// a submission if more than half of the timeout has passed by then.
func TestPlacementTimeoutRunsFromReceipt(t *testing.T) {
	const requestID = 7
	now := 10 * time.Second
	core := newConnectedCore(t, now)
	spec := JobSpec{Tenant: -1, Cores: 1, Memory: 1, PlacementTimeout: 4 * time.Second}
	for _, test := range []struct {
		name       string
		receivedAt Time
		accepted   bool
		deadline   Time
	}{
		{"received now", 0, true, now + 4*time.Second},
		{"received a second ago", now - time.Second, true, now + 3*time.Second},
		{"received too long ago", now - 3*time.Second, false, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			out := core.Step(now, []Input{Submit{RequestID: requestID, ReceivedAt: test.receivedAt, Spec: spec}})
			answer := answerTo(t, out, requestID)
			if accepted := answer.Err == nil; accepted != test.accepted {
				t.Fatalf("got accepted %v, want %v: %v", accepted, test.accepted, answer.Err)
			}
			if !test.accepted {
				if answer.Err.Code != TryLater {
					t.Errorf("got error %v, want %v", answer.Err.Code, TryLater)
				}
				return
			}
			if got := core.jobs[answer.Jobs[0].ID].placementDeadline; got != test.deadline {
				t.Errorf("got placement deadline %v, want %v", got, test.deadline)
			}
		})
	}
}
