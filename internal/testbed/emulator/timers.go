package emulator

// timer is a call at a time. Timers of one time fire in the order in which they were set.
type timer struct {
	at     Time
	number int64
	call   func(now Time, out *outbox)
}

// timers is a heap of timers for container/heap.
type timers []timer

// Len is of heap.Interface.
func (t timers) Len() int { return len(t) }

// Less is of heap.Interface.
func (t timers) Less(i, j int) bool {
	return t[i].at < t[j].at || t[i].at == t[j].at && t[i].number < t[j].number
}

// Swap is of heap.Interface.
func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }

// Push is of heap.Interface.
func (t *timers) Push(x any) { *t = append(*t, x.(timer)) }

// Pop is of heap.Interface.
func (t *timers) Pop() any {
	old := *t
	last := old[len(old)-1]
	old[len(old)-1] = timer{} // lets go of the call
	*t = old[:len(old)-1]
	return last
}
