package timerqueue

import "time"

// Timer is a function that is to be called at a time. Its owner is the Timers that scheduled it.
type Timer = Item[func()]

// Timers calls functions, each at its time. A timer that is no longer needed is removed as soon as it is cancelled, so that
// neither the memory nor the wake-ups grow with timers of what has long ended. Its zero value is empty. It is not safe for
// concurrent use.
type Timers struct{ heap Heap[func()] }

// Schedule has callback called by the first RunDue at or after the given time.
func (t *Timers) Schedule(at time.Duration, callback func()) *Timer {
	timer := &Timer{Value: callback}
	t.heap.Set(timer, at)
	return timer
}

// Cancel removes a timer. It does nothing for nil and for a timer that has run or was cancelled.
func (t *Timers) Cancel(timer *Timer) {
	if timer != nil {
		t.heap.Remove(timer)
	}
}

// RunDue calls what is due at now, in the order of the times, and what these calls schedule for no later than now.
func (t *Timers) RunDue(now time.Duration) {
	for timer := t.heap.PopDue(now); timer != nil; timer = t.heap.PopDue(now) {
		timer.Value()
	}
}

// Next returns when the first timer is due; ok is false where there is none.
func (t *Timers) Next() (at time.Duration, ok bool) { return t.heap.Next() }

// Len returns the number of timers that wait.
func (t *Timers) Len() int { return t.heap.Len() }
