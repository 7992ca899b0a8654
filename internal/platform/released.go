package platform

// maxReleasedTasks exceeds the number of releases that can be read between the decision and the write of an offer.
const maxReleasedTasks = 1 << 12

// releasedTasks remembers the last tasks that their owners released or migrated, as the event loop read it. Task ids are
// never reused, so an entry that is kept for too long does no harm. It belongs to the event loop.
type releasedTasks struct {
	ids    map[string]struct{}
	ring   []string // the same ids, in the order of their arrival from oldest on, as a ring
	oldest int      // index in a full ring
}

// add remembers a task and forgets the oldest one where maxReleasedTasks are kept already.
func (r *releasedTasks) add(task string) {
	if r.ids == nil {
		r.ids = map[string]struct{}{}
	}
	if r.has(task) {
		return
	}
	r.ids[task] = struct{}{}
	if len(r.ring) < maxReleasedTasks {
		r.ring = append(r.ring, task)
		return
	}
	delete(r.ids, r.ring[r.oldest])
	r.ring[r.oldest] = task
	r.oldest = (r.oldest + 1) % maxReleasedTasks
}

// has reports whether a task was released recently.
func (r *releasedTasks) has(task string) bool {
	_, found := r.ids[task]
	return found
}
