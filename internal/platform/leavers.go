package platform

// leavers are the last tasks that owners have given up or ended, as the loop has read it. Ids are never used again, so what
// is kept too long does no harm. It belongs to the loop.
type leavers struct {
	all  map[string]struct{}
	ring []string
	next int
}

// leaversKept is more than can be read between a decision and the write of its offers.
const leaversKept = 1 << 12

func (l *leavers) add(task string) {
	if l.all == nil {
		l.all = map[string]struct{}{}
	}
	if _, again := l.all[task]; again {
		return
	}
	l.all[task] = struct{}{}
	if len(l.ring) < leaversKept {
		l.ring = append(l.ring, task)
		return
	}
	delete(l.all, l.ring[l.next])
	l.ring[l.next] = task
	l.next = (l.next + 1) % leaversKept
}

func (l *leavers) has(task string) bool {
	_, ok := l.all[task]
	return ok
}
