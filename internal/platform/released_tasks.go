package platform

// maxReleasedTasks exceeds the number of releases that can be read between the decision and the write of an offer.
const maxReleasedTasks = 1 << 12

// releasedTasks records the last tasks that their owners released or migrated, as the event loop reads their messages. Task
// IDs are never reused, so an entry may be retained longer than needed. It belongs to the event loop.
type releasedTasks struct {
	ids    map[string]struct{}
	ring   []string // the same IDs as a ring buffer, in the order of their arrival from oldest on
	oldest int      // index of the oldest ID in a full ring
}

// add records a task, in place of the oldest one if there are maxReleasedTasks.
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
