package scheduler

import "fmt"

// array is a DRMAA job array: jobs that were submitted together. It may limit how many of them are active concurrently.
type array struct {
	id, key      string // key is that of the submission; empty for none
	jobs         []*job
	remaining    int // jobs that have not been removed
	maxParallel  int // maximum of active; zero means no limit
	active       int // admitted jobs that have not ended
	firstWaiting int // index in jobs; all jobs before it were admitted or have ended
}

func (a *array) full() bool { return a.maxParallel > 0 && a.active >= a.maxParallel }

func (a *array) infos() []JobInfo {
	infos := make([]JobInfo, len(a.jobs))
	for i, job := range a.jobs {
		infos[i] = job.info()
	}
	return infos
}

func (c *Core) submitArray(in Submit) {
	array := &array{id: c.newID(), key: in.Spec.Key, maxParallel: in.MaxParallel, remaining: len(in.Indexes)}
	c.arrays[array.id] = array
	for _, index := range in.Indexes {
		spec := in.Spec
		if spec.Key != "" {
			spec.Key = fmt.Sprintf("%s[%d]", spec.Key, index)
		}
		job := c.newJob(&spec)
		job.array, job.index = array, index
		if job.state == Queued {
			job.subState = SubStateArrayLimit
		}
		array.jobs = append(array.jobs, job)
	}
	if array.key != "" {
		c.jobsByKey[array.key] = array.jobs[0]
	}
	c.answerArray(in.RequestID, array)
	c.admitFromArray(array)
}

// admitFromArray admits jobs in the order of their indexes until the array's limit is reached. Jobs on hold are skipped;
// releaseJob calls admitFromArray again.
func (c *Core) admitFromArray(array *array) {
	allBeforeAdmitted := true
	for i := array.firstWaiting; i < len(array.jobs) && !array.full(); i++ {
		job := array.jobs[i]
		if !job.admitted && !job.state.Ended() && !job.onHold() {
			array.active++
			c.admit(job)
		}
		allBeforeAdmitted = allBeforeAdmitted && (job.admitted || job.state.Ended())
		if allBeforeAdmitted {
			array.firstWaiting = i + 1
		}
	}
}

// arrayJobEnded admits the next job of the array if the ended one was admitted.
func (c *Core) arrayJobEnded(ended *job) {
	if ended.admitted {
		ended.array.active--
		c.admitFromArray(ended.array)
	}
}

// arrayJobRemoved counts a removed job and, after the last one, removes the array.
func (c *Core) arrayJobRemoved(array *array) {
	array.remaining--
	if array.remaining > 0 {
		return
	}
	delete(c.arrays, array.id)
	if array.key != "" {
		delete(c.jobsByKey, array.key)
	}
}
