package scheduler

import (
	"cmp"
	"slices"
)

// defaultQueryLimit is the limit of a query that does not specify one.
const defaultQueryLimit = 1000

func (in Query) apply(c *Core) {
	if in.Job == "" {
		limit := in.Limit
		if limit <= 0 {
			limit = defaultQueryLimit
		}
		c.answer(in.RequestID, Answer{Jobs: c.listJobs(in.Session, in.AfterID, limit)})
		return
	}
	if array := c.arrays[in.Job]; array != nil {
		c.answerArray(in.RequestID, array)
	} else if job := c.jobs[in.Job]; job != nil {
		c.answerJob(in.RequestID, job)
	} else {
		c.rejectUnknownJob(in.RequestID, in.Job)
	}
}

// listJobs returns at most limit jobs of a session with IDs above after, ordered by ID. An empty session means all jobs.
func (c *Core) listJobs(session, after string, limit int) []JobInfo {
	found := c.filterJobs(func(job *job) bool { return job.id > after && job.inSession(session) })
	slices.SortFunc(found, func(a, b *job) int { return cmp.Compare(a.id, b.id) })
	found = found[:min(limit, len(found))]
	infos := make([]JobInfo, len(found))
	for i, job := range found {
		infos[i] = job.info()
	}
	return infos
}

// filterJobs returns the jobs that match, in no particular order. A job with aliases is returned once.
func (c *Core) filterJobs(match func(*job) bool) []*job {
	var found []*job
	for id, job := range c.jobs {
		if id == job.id && match(job) {
			found = append(found, job)
		}
	}
	return found
}

func (in Machines) apply(c *Core) {
	all := make([]MachineInfo, len(c.sortedNodes))
	for i, node := range c.sortedNodes {
		all[i] = MachineInfo{Machine: node.machine, Connected: node.connected, Jobs: len(node.attempts)}
	}
	c.answer(in.RequestID, Answer{Machines: all})
}

func (c *Core) rejectUnknownJob(requestID uint64, id string) {
	c.reject(requestID, InvalidArgument, 0, "no job %q", id)
}
