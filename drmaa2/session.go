package drmaa2

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"net/url"
	"time"
)

// JobSession is a named set of jobs, GFD.194 section 8.3. The scheduler keeps it until it is destroyed or the scheduler
// stops. It needs no closing.
type JobSession struct {
	client *Client
	name   string
}

// Name is the session's name.
func (s *JobSession) Name() string { return s.name }

func (s *JobSession) path() string { return sessionPath(s.name) }

// RunJob submits a job. Where it gets no response it retries under the same idempotency key for Client.RetryFor, so that
// one job comes of it; a template without AttrKey gets a random one. The job has its ID when RunJob returns, and its
// outcome later. ErrTryLater where the scheduler does not accept the job now; see Error.RetryAfter.
func (s *JobSession) RunJob(ctx context.Context, template JobTemplate) (*Job, error) {
	return s.runJob(ctx, template, false)
}

// RunJobAgain is RunJob of a template with an AttrKey that was submitted before without a known outcome, as after a crash
// of the scheduler. The scheduler first finds out whether a node still runs it.
func (s *JobSession) RunJobAgain(ctx context.Context, template JobTemplate) (*Job, error) {
	return s.runJob(ctx, template, true)
}

func (s *JobSession) runJob(ctx context.Context, template JobTemplate, retry bool) (*Job, error) {
	submitted, err := s.submit(ctx, "/jobs", Submission{Template: template, Again: retry})
	if err != nil {
		return nil, err
	}
	if len(submitted.Jobs) != 1 {
		return nil, &Error{Code: DrmCommunication,
			Message: fmt.Sprintf("%d jobs for one submission", len(submitted.Jobs))}
	}
	return s.job(submitted.Jobs[0].JobID), nil
}

// RunBulkJobs submits one job for each index from begin to end by step, all under one idempotency key as in RunJob. At most
// maxParallel of them may run at a time; 0 or less: all.
func (s *JobSession) RunBulkJobs(ctx context.Context, template JobTemplate, begin, end, step,
	maxParallel int) (*JobArray, error) {
	submitted, err := s.submit(ctx, "/arrays", Submission{Template: template,
		Bulk: &Bulk{BeginIndex: begin, EndIndex: end, Step: step, MaxParallel: maxParallel}})
	if err != nil {
		return nil, err
	}
	array := &JobArray{client: s.client, ID: submitted.ArrayID}
	for _, info := range submitted.Jobs {
		array.Jobs = append(array.Jobs, s.job(info.JobID))
	}
	return array, nil
}

// submit posts a submission, under an idempotency key, until there is a response.
func (s *JobSession) submit(ctx context.Context, path string, submission Submission) (*Submitted, error) {
	if submission.Template.ImplementationSpecific[AttrKey] == "" {
		attributes := map[string]string{}
		maps.Copy(attributes, submission.Template.ImplementationSpecific)
		attributes[AttrKey] = newIdempotencyKey()
		submission.Template.ImplementationSpecific = attributes
	}
	submittedBefore := submission.Again
	var submitted Submitted
	err := s.client.retry(ctx, func(repeated bool) error {
		submission.Again = submittedBefore || repeated
		return s.client.call(ctx, http.MethodPost, s.path()+path, submission, &submitted)
	})
	return &submitted, err
}

func (s *JobSession) job(id string) *Job { return &Job{client: s.client, ID: id, SessionName: s.name} }

// Job finds a job by its ID; ErrInvalidArgument where the scheduler does not know it.
func (s *JobSession) Job(ctx context.Context, id string) (*Job, error) {
	job, err := s.client.Job(ctx, id)
	job.SessionName = s.name
	return job, err
}

// Jobs lists the session's jobs that match the filter; nil matches all. Of the filter, JobID, JobName, JobState,
// JobSubState and QueueName count where set.
func (s *JobSession) Jobs(ctx context.Context, filter *JobInfo) ([]*Job, error) {
	infos, err := s.client.SessionJobs(ctx, s.name, filter)
	if err != nil {
		return nil, err
	}
	jobs := make([]*Job, len(infos))
	for i := range infos {
		jobs[i] = s.job(infos[i].JobID)
	}
	return jobs, nil
}

// pageSize is how many jobs a list asks for at a time.
const pageSize = 1000

// listJobs lists all jobs below a path that match the filter, page by page.
func (c *Client) listJobs(ctx context.Context, path string, filter *JobInfo) ([]JobInfo, error) {
	var all []JobInfo
	for after := ""; ; {
		var page Submitted
		pagePath := fmt.Sprintf("%s?limit=%d&after=%s", path, pageSize, url.QueryEscape(after))
		if err := c.call(ctx, http.MethodGet, pagePath, nil, &page); err != nil {
			return nil, err
		}
		for i := range page.Jobs {
			if filter.matches(&page.Jobs[i]) {
				all = append(all, page.Jobs[i])
			}
		}
		if len(page.Jobs) < pageSize {
			return all, nil
		}
		after = page.Jobs[len(page.Jobs)-1].JobID
	}
}

// matches tells whether a job has the values that the filter sets. A nil filter matches every job.
func (i *JobInfo) matches(job *JobInfo) bool {
	return i == nil || (i.JobID == "" || i.JobID == job.JobID) && (i.JobName == "" || i.JobName == job.JobName) &&
		(i.JobState == "" || i.JobState == job.JobState) &&
		(i.JobSubState == "" || i.JobSubState == job.JobSubState) &&
		(i.QueueName == "" || i.QueueName == job.QueueName)
}

// JobCategories lists the classes that a template may name.
func (s *JobSession) JobCategories(ctx context.Context) ([]string, error) {
	drms, err := s.client.Drms(ctx)
	if err != nil {
		return nil, err
	}
	return drms.Categories, nil
}

// WaitAnyStarted waits until one of the jobs, all of this session, has started or ended, and returns it. ErrTimeout after
// the timeout, which may be InfiniteTime; ErrInvalidArgument without jobs.
func (s *JobSession) WaitAnyStarted(ctx context.Context, jobs []*Job, timeout time.Duration) (*Job, error) {
	return s.waitAny(ctx, jobs, timeout, JobState.Started)
}

// WaitAnyTerminated waits until one of the jobs has ended, in the same way as WaitAnyStarted.
func (s *JobSession) WaitAnyTerminated(ctx context.Context, jobs []*Job, timeout time.Duration) (*Job, error) {
	return s.waitAny(ctx, jobs, timeout, JobState.Terminated)
}

func (s *JobSession) waitAny(ctx context.Context, jobs []*Job, timeout time.Duration,
	reached func(JobState) bool) (*Job, error) {
	if len(jobs) == 0 {
		return nil, &Error{Code: InvalidArgument, Message: "no jobs to wait for"}
	}
	byID := map[string]*Job{}
	for _, job := range jobs {
		byID[job.ID] = job
	}
	var found *Job
	err := s.client.followEvents(ctx, s.path()+eventsPath, timeout, func(info *JobInfo) bool {
		if job := byID[info.JobID]; job != nil && reached(info.JobState) {
			found = job
		}
		return found != nil
	})
	return found, err
}

// Watch calls handle with every change of the session's jobs, first with all as they are now, until handle returns false
// (nil), the context ends (its error) or the scheduler is not reached for Client.RetryFor (ErrDrmCommunication). It
// continues over broken connections. Handle is called by the caller's goroutine; while it runs no events are read.
func (s *JobSession) Watch(ctx context.Context, handle func(JobInfo) bool) error {
	return s.client.watch(ctx, s.path()+eventsPath, handle)
}

func (c *Client) watch(ctx context.Context, path string, handle func(JobInfo) bool) error {
	return c.followEvents(ctx, path, InfiniteTime, func(info *JobInfo) bool { return !handle(*info) })
}
