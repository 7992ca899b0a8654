package drmaa2

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"time"
)

// JobSession is a named set of jobs, GFD.194 section 8.3. It stays until it is destroyed or the scheduler goes.
type JobSession struct {
	c    *Client
	name string
}

// Name is the session's name.
func (s *JobSession) Name() string { return s.name }

func (s *JobSession) path() string { return "/sessions/" + url.PathEscape(s.name) }

// RunJob submits a job. Where the answer is not heard it asks again under the same key, so that one job comes
// of it; a template without AttrKey gets one. The job has its ID when RunJob returns, and its outcome later.
func (s *JobSession) RunJob(ctx context.Context, t JobTemplate) (*Job, error) {
	return s.runJob(ctx, t, false)
}

// RunJobAgain is RunJob of a template with an AttrKey that was submitted before and whose outcome was never
// heard, as after the scheduler was killed. The scheduler first looks whether a node still runs it.
func (s *JobSession) RunJobAgain(ctx context.Context, t JobTemplate) (*Job, error) {
	return s.runJob(ctx, t, true)
}

func (s *JobSession) runJob(ctx context.Context, t JobTemplate, again bool) (*Job, error) {
	out, err := s.submit(ctx, "/jobs", t, nil, again)
	if err != nil {
		return nil, err
	}
	if len(out.Jobs) != 1 {
		return nil, &Error{Code: DrmCommunication, Message: fmt.Sprintf("%d jobs for one submission", len(out.Jobs))}
	}
	return &Job{s.c, out.Jobs[0].JobID, s.name}, nil
}

// RunBulkJobs submits one job for each index from begin to end by step. At most maxParallel of them, if it is
// above 0, are let go at a time.
func (s *JobSession) RunBulkJobs(ctx context.Context, t JobTemplate, begin, end, step,
	maxParallel int) (*JobArray, error) {
	out, err := s.submit(ctx, "/arrays", t, &Bulk{begin, end, step, maxParallel}, false)
	if err != nil {
		return nil, err
	}
	a := &JobArray{c: s.c, ID: out.ArrayID, session: s.name}
	for _, j := range out.Jobs {
		a.Jobs = append(a.Jobs, &Job{s.c, j.JobID, s.name})
	}
	return a, nil
}

func (s *JobSession) submit(ctx context.Context, path string, t JobTemplate, b *Bulk, asked bool) (*Submitted,
	error) {
	if t.ImplementationSpecific[AttrKey] == "" {
		own := map[string]string{}
		for k, v := range t.ImplementationSpecific {
			own[k] = v
		}
		own[AttrKey] = newKey()
		t.ImplementationSpecific = own
	}
	var out Submitted
	err := s.c.retry(ctx, func(again bool) error {
		return s.c.call(ctx, http.MethodPost, s.path()+path, Submission{t, asked || again, b}, &out)
	})
	return &out, err
}

// Job finds a job by its ID.
func (s *JobSession) Job(ctx context.Context, id string) (*Job, error) {
	j, err := s.c.Job(ctx, id)
	j.SessionName = s.name
	return j, err
}

// Jobs lists the session's jobs that match the filter. Of the filter, JobID, JobName, JobState, JobSubState and
// QueueName count where set.
func (s *JobSession) Jobs(ctx context.Context, filter *JobInfo) ([]*Job, error) {
	infos, err := s.c.SessionJobs(ctx, s.name, filter)
	if err != nil {
		return nil, err
	}
	jobs := make([]*Job, len(infos))
	for i := range infos {
		jobs[i] = &Job{s.c, infos[i].JobID, s.name}
	}
	return jobs, nil
}

const pageSize = 1000

func (c *Client) list(ctx context.Context, path string, filter *JobInfo) ([]JobInfo, error) {
	var all []JobInfo
	for after := ""; ; {
		var page Submitted
		q := fmt.Sprintf("%s?limit=%d&after=%s", path, pageSize, url.QueryEscape(after))
		if err := c.call(ctx, http.MethodGet, q, nil, &page); err != nil {
			return nil, err
		}
		for _, j := range page.Jobs {
			if filter.matches(&j) {
				all = append(all, j)
			}
		}
		if len(page.Jobs) < pageSize {
			return all, nil
		}
		after = page.Jobs[len(page.Jobs)-1].JobID
	}
}

func (f *JobInfo) matches(j *JobInfo) bool {
	return f == nil || (f.JobID == "" || f.JobID == j.JobID) && (f.JobName == "" || f.JobName == j.JobName) &&
		(f.JobState == "" || f.JobState == j.JobState) &&
		(f.JobSubState == "" || f.JobSubState == j.JobSubState) &&
		(f.QueueName == "" || f.QueueName == j.QueueName)
}

// JobCategories lists the classes that a template may name.
func (s *JobSession) JobCategories(ctx context.Context) ([]string, error) {
	d, err := s.c.Drms(ctx)
	if err != nil {
		return nil, err
	}
	return d.Categories, nil
}

// WaitAnyStarted waits until one of the jobs has started or ended, and returns it.
func (s *JobSession) WaitAnyStarted(ctx context.Context, jobs []*Job, timeout time.Duration) (*Job, error) {
	return s.waitAny(ctx, jobs, timeout, JobState.Started)
}

// WaitAnyTerminated waits until one of the jobs has ended, and returns it.
func (s *JobSession) WaitAnyTerminated(ctx context.Context, jobs []*Job, timeout time.Duration) (*Job, error) {
	return s.waitAny(ctx, jobs, timeout, JobState.Terminated)
}

func (s *JobSession) waitAny(ctx context.Context, jobs []*Job, timeout time.Duration,
	ok func(JobState) bool) (*Job, error) {
	if len(jobs) == 0 {
		return nil, &Error{Code: InvalidArgument, Message: "no jobs to wait for"}
	}
	byID := map[string]*Job{}
	for _, j := range jobs {
		byID[j.ID] = j
	}
	var found *Job
	err := s.c.follow(ctx, s.path()+"/events", timeout, func(i *JobInfo) bool {
		if j := byID[i.JobID]; j != nil && ok(i.JobState) {
			found = j
		}
		return found != nil
	})
	return found, err
}

// Watch calls each for every change of the session's jobs, beginning with all as they are, until each returns
// false or the context ends. It goes on over a connection that breaks.
func (s *JobSession) Watch(ctx context.Context, each func(JobInfo) bool) error {
	return s.c.follow(ctx, s.path()+"/events", InfiniteTime, func(i *JobInfo) bool { return !each(*i) })
}

// MonitoringSession looks at all jobs, machines and queues, GFD.194 section 8.9.
type MonitoringSession struct{ c *Client }

// OpenMonitoringSession opens one.
func (c *Client) OpenMonitoringSession(ctx context.Context) (*MonitoringSession, error) {
	_, err := c.Drms(ctx)
	return &MonitoringSession{c}, err
}

// AllJobs lists the jobs of all sessions that match the filter.
func (m *MonitoringSession) AllJobs(ctx context.Context, filter *JobInfo) ([]JobInfo, error) {
	return m.c.list(ctx, "/jobs", filter)
}

// Watch calls each for every change of any job, beginning with all as they are, until each returns false or the
// context ends. It goes on over a connection that breaks.
func (m *MonitoringSession) Watch(ctx context.Context, each func(JobInfo) bool) error {
	return m.c.follow(ctx, "/events", InfiniteTime, func(i *JobInfo) bool { return !each(*i) })
}

// AllMachines lists the named nodes, or all.
func (m *MonitoringSession) AllMachines(ctx context.Context, names ...string) ([]MachineInfo, error) {
	var l struct {
		Machines []MachineInfo `json:"machines"`
	}
	if err := m.c.call(ctx, http.MethodGet, "/machines", nil, &l); err != nil || len(names) == 0 {
		return l.Machines, err
	}
	var found []MachineInfo
	for _, i := range l.Machines {
		for _, n := range names {
			if n == i.Name {
				found = append(found, i)
			}
		}
	}
	return found, nil
}

// AllQueues lists the named queues, or all.
func (m *MonitoringSession) AllQueues(ctx context.Context, names ...string) ([]QueueInfo, error) {
	var l struct {
		Queues []QueueInfo `json:"queues"`
	}
	if err := m.c.call(ctx, http.MethodGet, "/queues", nil, &l); err != nil || len(names) == 0 {
		return l.Queues, err
	}
	var found []QueueInfo
	for _, q := range l.Queues {
		for _, n := range names {
			if n == q.Name {
				found = append(found, q)
			}
		}
	}
	return found, nil
}

// AllReservations is ErrUnsupportedOperation: nothing is reserved ahead of time.
func (m *MonitoringSession) AllReservations(context.Context) error {
	return &Error{Code: UnsupportedOperation, Message: "advance reservations are not kept"}
}
