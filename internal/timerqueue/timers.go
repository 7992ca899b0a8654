package timerqueue

import "time"

// Timer is a scheduled call of a function. It belongs to the Timers that scheduled it.
type Timer = Item[func()]

// Timers calls functions at their scheduled times. Cancel removes a timer immediately, so that canceled timers use no memory
// and cause no wake-ups. The zero value has no timers. It is not safe for concurrent use.
type Timers struct{ heap Heap[func()] }

// Schedule schedules a call of callback at the given time. The first RunDue at that time or later makes the call.
func (t *Timers) Schedule(at time.Duration, callback func()) *Timer {
	timer := &Timer{Value: callback}
	t.heap.Set(timer, at)
	return timer
}

// Cancel removes a timer. It does nothing if the timer is nil, has run or was canceled.
func (t *Timers) Cancel(timer *Timer) {
	if timer != nil {
		t.heap.Remove(timer)
	}
}

// RunDue calls the functions that are due at or before now, in the order of their times. Functions that these
// calls schedule are called too if they are due at or before now.
func (t *Timers) RunDue(now time.Duration) {
	for timer := t.heap.PopDue(now); timer != nil; timer = t.heap.PopDue(now) {
		timer.Value()
	}
}

// Next returns the time of the earliest timer; ok is false if there is none.
func (t *Timers) Next() (at time.Duration, ok bool) { return t.heap.Next() }

// Len returns the number of scheduled timers.
func (t *Timers) Len() int { return t.heap.Len() }
