package timerqueue

import (
	"slices"
	"testing"
	"time"
)

// callRecorder records the order in which its timers call their callbacks.
type callRecorder struct {
	timers Timers
	called []string
}

func (r *callRecorder) schedule(at time.Duration, name string) *Timer {
	return r.timers.Schedule(at, func() { r.called = append(r.called, name) })
}

func (r *callRecorder) expectCalls(t *testing.T, want ...string) {
	t.Helper()
	if !slices.Equal(r.called, want) {
		t.Errorf("got calls %q, want %q", r.called, want)
	}
}

func (r *callRecorder) expectNext(t *testing.T, wantAt time.Duration, wantLen int) {
	t.Helper()
	if at, ok := r.timers.Next(); !ok || at != wantAt || r.timers.Len() != wantLen {
		t.Errorf("got next %v, %v, of %d timers, want %v, true, of %d", at, ok, r.timers.Len(), wantAt, wantLen)
	}
}

func TestRunDueCallsInOrderOfTime(t *testing.T) {
	r := &callRecorder{}
	r.schedule(20, "second")
	r.schedule(10, "first")
	r.schedule(20, "third")
	r.expectNext(t, 10, 3)
	r.timers.RunDue(9)
	r.expectCalls(t)
	r.timers.RunDue(20)
	r.expectCalls(t, "first", "second", "third")
}

func TestRunDueCallsTimersScheduledByCallbacks(t *testing.T) {
	r := &callRecorder{}
	r.timers.Schedule(20, func() {
		r.schedule(20, "due at once")
		r.schedule(21, "due later")
	})
	r.timers.RunDue(20)
	r.expectCalls(t, "due at once")
	r.expectNext(t, 21, 1)
}

func TestCanceledTimerIsRemoved(t *testing.T) {
	r := &callRecorder{}
	r.schedule(20, "kept")
	r.schedule(30, "not due")
	canceled := r.schedule(10, "canceled")
	r.timers.Cancel(canceled)
	r.timers.Cancel(nil)
	r.expectNext(t, 20, 2)
	r.timers.RunDue(20)
	r.expectCalls(t, "kept")
	r.timers.Cancel(canceled) // a second time
	r.expectNext(t, 30, 1)
}
