package timerqueue

import (
	"fmt"
	"testing"
)

func TestTimers(t *testing.T) {
	var timers Timers
	var called []string
	record := func(name string) func() { return func() { called = append(called, name) } }
	timers.Schedule(20, record("second"))
	timers.Schedule(10, record("first"))
	cancelled := timers.Schedule(10, record("cancelled"))
	timers.Schedule(20, func() {
		called = append(called, "third")
		timers.Schedule(20, record("scheduled by the third"))
		timers.Schedule(21, record("too late"))
	})
	timers.Cancel(cancelled)
	timers.Cancel(nil)
	if at, ok := timers.Next(); !ok || at != 10 || timers.Len() != 3 {
		t.Errorf("next at %v, %v, of %d", at, ok, timers.Len())
	}
	timers.RunDue(9)
	if len(called) > 0 {
		t.Errorf("called too early: %v", called)
	}
	timers.RunDue(20)
	if got, want := fmt.Sprint(called), "[first second third scheduled by the third]"; got != want {
		t.Errorf("called %s, want %s", got, want)
	}
	timers.Cancel(cancelled) // a second time
	if at, ok := timers.Next(); !ok || at != 21 || timers.Len() != 1 {
		t.Errorf("next at %v, %v, of %d", at, ok, timers.Len())
	}
}
