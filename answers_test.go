package flaxshelf

import (
	"testing"
	"time"
)

func TestOpenTaskIsAnsweredBeforeDeadline(t *testing.T) {
	for name, machines := range map[string]int{"no machine": 0, "a machine that never answers": 1} {
		t.Run(name, func(t *testing.T) {
			p := startPlacer(t, testConfig(), testMachines(machines))
			deadline := 4 * time.Second
			actions := p.Step(time.Second, []Event{submit("t", 0, deadline)})
			for range 1000 {
				now := p.now + timerOf(t, actions)
				actions = p.Step(now, []Event{TimerFired{}})
				if hasAction(actions, Reject{"t"}) {
					if now >= deadline {
						t.Errorf("answered at %v, want it before %v", now, deadline)
					}
					break
				}
				if now > deadline {
					t.Fatalf("no answer at %v, want one before %v", now, deadline)
				}
			}
			if got := len(p.openTasks); got != 0 {
				t.Errorf("%d open tasks after the answer, want none", got)
			}
		})
	}
}

// timerOf returns the duration of the timer that the actions set.
func timerOf(t *testing.T, actions []Action) time.Duration {
	t.Helper()
	for _, action := range actions {
		if timer, ok := action.(SetTimer); ok {
			return timer.After
		}
	}
	t.Fatalf("got %v, want a timer while a task is open", actions)
	return 0
}

func TestTaskIsRejectedAfterMaxAttempts(t *testing.T) {
	p := startPlacer(t, testConfig(), testMachines(9))
	actions := p.Step(time.Second, []Event{submit("t", 0, 9*time.Second)})
	for i := range 3 {
		offer := onlyOffer(t, actions)
		ended := endOf(offer, Unreachable)
		ended.Attempt = i
		actions = p.Step(time.Second+Time(i+1)*millisecond, []Event{ended})
	}
	if len(offersOf(actions)) != 0 || !hasAction(actions, Reject{"t"}) {
		t.Errorf("after three attempts got %v, want a rejection", actions)
	}
}

func TestEventsWithUnknownReferencesAreIgnored(t *testing.T) {
	p := startPlacer(t, testConfig(), testMachines(2))
	actions := p.Step(2*time.Second, []Event{
		AttemptEnded{Task: "x", Machine: "y"}, AttemptPlaced{Task: "x"}, UsageReport{Task: "x", Kind: 99}, TaskCanceled{"x"},
		HealthChecked{Machine: "y"}, GossipReceived{From: 3}, TimerFired{}, AttemptEnded{Task: "t", Machine: "m0", Attempt: -1}})
	if len(actions) != 0 {
		t.Errorf("got %v, want no action", actions)
	}
}

func TestTaskOfUnknownClassIsRejected(t *testing.T) {
	p := startPlacer(t, testConfig(), testMachines(2))
	actions := p.Step(2*time.Second, []Event{submit("t", 77, 9*time.Second)})
	if !hasAction(actions, Reject{"t"}) {
		t.Errorf("got %v, want a rejection", actions)
	}
}
