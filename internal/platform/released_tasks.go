package platform

// maxReleasedTasks is the capacity of releasedTasks. It exceeds the number of releases that can be read between the decision to
// make an offer and its write.
const maxReleasedTasks = 1 << 12

// releasedTasks records the tasks that owners have most recently released or migrated, as soon as the event loop reads the
// messages. Task IDs are never reused, so an entry may be retained longer than needed. It is used on the event loop only.
type releasedTasks struct {
	ids    map[string]struct{}
	ring   []string // ring buffer of the same IDs in the order of their arrival
	oldest int      // index of the oldest ID in ring, once ring is full
}

// add records a task. If maxReleasedTasks are recorded already, it replaces the oldest one.
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

// has reports whether a task is recorded.
func (r *releasedTasks) has(task string) bool {
	_, found := r.ids[task]
	return found
}
