package flaxshelf

import (
	"testing"
	"time"
)

func TestOpenTaskIsAnsweredBeforeDeadline(t *testing.T) {
	for name, machines := range map[string]int{"no machines": 0, "one machine that never answers": 1} {
		t.Run(name, func(t *testing.T) {
			p := startPlacer(t, testConfig(), testMachines(machines))
			deadline := 4 * time.Second
			actions := p.Step(time.Second, []Event{newSubmission("t", 0, deadline)})
			for range 1000 {
				now := p.now + timerDelay(t, actions)
				actions = p.Step(now, []Event{TimerFired{}})
				if hasAction(actions, Reject{"t"}) {
					if now >= deadline {
						t.Errorf("task rejected at %v, want before its deadline %v", now, deadline)
					}
					break
				}
				if now > deadline {
					t.Fatalf("task has no answer at %v, want one before its deadline %v", now, deadline)
				}
			}
			if got := len(p.openTasks); got != 0 {
				t.Errorf("got %d open tasks after the answer, want 0", got)
			}
		})
	}
}

// timerDelay returns the delay of the timer among actions and fails the test if there is none.
func timerDelay(t *testing.T, actions []Action) time.Duration {
	t.Helper()
	for _, action := range actions {
		if timer, ok := action.(SetTimer); ok {
			return timer.After
		}
	}
	t.Fatalf("got actions %+v, want SetTimer while a task is open", actions)
	return 0
}

func TestTaskIsRejectedAfterMaxAttempts(t *testing.T) {
	p := startPlacer(t, testConfig(), testMachines(9))
	actions := p.Step(time.Second, []Event{newSubmission("t", 0, 9*time.Second)})
	for i := range 3 {
		offer := onlyOffer(t, actions)
		ended := firstAttemptEnded(offer, Unreachable)
		ended.Attempt = i
		actions = p.Step(time.Second+Time(i+1)*millisecond, []Event{ended})
	}
	if len(offersOf(actions)) != 0 || !hasAction(actions, Reject{"t"}) {
		t.Errorf("got actions %+v after 3 of at most 3 attempts, want Reject and no offer", actions)
	}
}

func TestEventsWithUnknownReferencesAreIgnored(t *testing.T) {
	p := startPlacer(t, testConfig(), testMachines(2))
	actions := p.Step(2*time.Second, []Event{
		AttemptEnded{Task: "x", Machine: "y"}, AttemptPlaced{Task: "x"}, UsageReport{Task: "x", Kind: 99}, TaskCanceled{"x"},
		HealthChecked{Machine: "y"}, GossipReceived{From: 3}, TimerFired{}, AttemptEnded{Task: "t", Machine: "m0", Attempt: -1}})
	if len(actions) != 0 {
		t.Errorf("got actions %+v, want none", actions)
	}
}

func TestTaskOfUnknownClassIsRejected(t *testing.T) {
	p := startPlacer(t, testConfig(), testMachines(2))
	actions := p.Step(2*time.Second, []Event{newSubmission("t", 77, 9*time.Second)})
	if !hasAction(actions, Reject{"t"}) {
		t.Errorf("got actions %+v, want Reject", actions)
	}
}
