package scheduler

import (
	"cmp"
	"slices"
)

// watches records which streams receive the changes of which topic. A topic is a job, an array or a session, and a stream
// has one topic.
type watches struct {
	streams map[string][]uint64 // by topic: the streams that watch it, in the order of their watches
	topics  map[uint64]string   // by stream: the topic that it watches
}

// A topic is one of these prefixes followed by the ID of the job, the ID of the array or the name of the session. The
// topic with an empty session name includes all jobs, of any session or none.
const (
	jobTopicPrefix     = "j:"
	arrayTopicPrefix   = "a:"
	sessionTopicPrefix = "s:"
)

func newWatches() watches {
	return watches{streams: map[string][]uint64{}, topics: map[uint64]string{}}
}

func (w *watches) add(stream uint64, topic string) {
	w.remove(stream)
	w.topics[stream] = topic
	w.streams[topic] = append(w.streams[topic], stream)
}

func (w *watches) remove(stream uint64) {
	topic, ok := w.topics[stream]
	if !ok {
		return
	}
	delete(w.topics, stream)
	remaining := slices.DeleteFunc(w.streams[topic], func(other uint64) bool { return other == stream })
	if len(remaining) == 0 {
		delete(w.streams, topic)
	} else {
		w.streams[topic] = remaining
	}
}

// apply starts a watch and publishes the jobs of its topic that have changed after in.SinceRevision, oldest change first.
func (in Watch) apply(c *Core) {
	topic, found, err := c.watchedJobs(in)
	if err != nil {
		c.answer(in.RequestID, Answer{Err: err})
		return
	}
	c.watches.add(in.Stream, topic)
	c.answer(in.RequestID, Answer{})
	slices.SortFunc(found, func(a, b *job) int { return cmp.Compare(a.revision, b.revision) })
	for _, job := range found {
		if job.revision > in.SinceRevision {
			c.emit(Publish{in.Stream, job.info()})
		}
	}
}

// watchedJobs returns the topic of a watch and its current jobs.
func (c *Core) watchedJobs(in Watch) (topic string, jobs []*job, err *Error) {
	if watched := c.jobs[in.Job]; watched != nil {
		return jobTopicPrefix + watched.id, []*job{watched}, nil
	}
	if array := c.arrays[in.Job]; array != nil {
		return arrayTopicPrefix + in.Job, slices.Clone(array.jobs), nil
	}
	if in.Job != "" {
		return "", nil, newError(InvalidArgument, 0, "no job %q", in.Job)
	}
	if in.Session != "" && !c.sessions[in.Session] {
		return "", nil, newError(InvalidSession, 0, "no job session %q", in.Session)
	}
	found := c.filterJobs(func(job *job) bool { return job.inSession(in.Session) })
	return sessionTopicPrefix + in.Session, found, nil
}

func (in Unwatch) apply(c *Core) { c.watches.remove(in.Stream) }

// publishChange assigns the next revision to a changed job and publishes it to the streams of its topics.
func (c *Core) publishChange(job *job) {
	c.lastRevision++
	job.revision = c.lastRevision
	c.publish(jobTopicPrefix+job.id, job)
	if job.array != nil {
		c.publish(arrayTopicPrefix+job.array.id, job)
	}
	c.publish(sessionTopicPrefix, job)
	if job.spec.Session != "" {
		c.publish(sessionTopicPrefix+job.spec.Session, job)
	}
}

func (c *Core) publish(topic string, job *job) {
	for _, stream := range c.watches.streams[topic] {
		c.emit(Publish{stream, job.info()})
	}
}
