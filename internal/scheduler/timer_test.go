package scheduler

import (
	"testing"
	"time"
)

// The timers of a job are canceled when the job ends, even if they are due much later. If they were kept, the timers of
// ended jobs would accumulate.
func TestTimersOfEndedJobsAreCanceled(t *testing.T) {
	const jobs = 50
	now := time.Second
	core := newConnectedCore(t, now)
	timersBefore, ended := core.timers.Len(), 0
	for i := range jobs {
		now += 20 * time.Millisecond
		spec := JobSpec{Tenant: -1, Cores: 0.01, Memory: 0.01, PlacementTimeout: time.Hour, Deadline: now + time.Hour}
		out := core.Step(now, []Input{Submit{RequestID: uint64(i) + 1, Spec: spec}})
		for _, offer := range offersOf(out) {
			if core.timers.Len() < timersBefore+3 {
				t.Fatalf("got %d timers during an offer, want at least %d, so that the test has timers to check",
					core.timers.Len(), timersBefore+3)
			}
			core.Step(now+1, []Input{
				AttemptAccepted{Node: offer.Node, Attempt: offer.Attempt},
				AttemptStarted{Node: offer.Node, Attempt: offer.Attempt},
			})
			core.Step(now+2, []Input{AttemptEnded{Node: offer.Node, Attempt: offer.Attempt}})
			ended++
		}
	}
	if ended < 45 || core.timers.Len() > timersBefore+2*(jobs-ended) {
		t.Errorf("got %d timers after %d of %d jobs have ended, want at most %d and at least 45 ended jobs",
			core.timers.Len(), ended, jobs, timersBefore+2*(jobs-ended))
	}
}
