package timerqueue

import "time"

// Timer is a thing to do when its time comes.
type Timer = Item[func()]

// Timers are things to do, each when its time comes. What no longer matters is cancelled at once, so that neither the
// heap nor the wake-ups grow with what has long ended. Its zero value is empty. It is not safe for concurrent use.
type Timers struct{ heap Heap[func()] }

// Schedule has do called by the first Fire at or after the given time.
func (t *Timers) Schedule(at time.Duration, do func()) *Timer {
	i := &Timer{Value: do}
	t.heap.Set(i, at)
	return i
}

// Cancel takes a timer out; nil is none.
func (t *Timers) Cancel(i *Timer) {
	if i != nil {
		t.heap.Remove(i)
	}
}

// RunDue does what is due, also what that makes due.
func (t *Timers) RunDue(now time.Duration) {
	for i := t.heap.PopDue(now); i != nil; i = t.heap.PopDue(now) {
		i.Value()
	}
}

// Next is the time of the first timer; ok is false where there is none.
func (t *Timers) Next() (at time.Duration, ok bool) { return t.heap.Next() }

// Len is how many timers wait.
func (t *Timers) Len() int { return t.heap.Len() }
