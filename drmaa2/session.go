package drmaa2

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"net/url"
	"time"
)

// JobSession is a named set of jobs, GFD.194 section 8.3. The session exists at the scheduler until it is destroyed or the
// scheduler stops. It need not be closed.
type JobSession struct {
	client *Client
	name   string
}

// Name returns the name of the session.
func (s *JobSession) Name() string { return s.name }

func (s *JobSession) path() string { return sessionPath(s.name) }

// RunJob submits a job, and returns before the job is placed. If it gets no response, it repeats the submission for
// Client.RetryFor under the same idempotency key, so that at most one job is created; the key is random if the template has no
// AttrKey. The error is ErrTryLater if the scheduler rejects the job for now; see Error.RetryAfter.
func (s *JobSession) RunJob(ctx context.Context, template JobTemplate) (*Job, error) {
	return s.runJob(ctx, template, false)
}

// ResubmitJob is like RunJob, for a template with an AttrKey whose earlier submission has no known outcome, for example because
// the scheduler crashed. The scheduler first determines whether a node still runs the job.
func (s *JobSession) ResubmitJob(ctx context.Context, template JobTemplate) (*Job, error) {
	return s.runJob(ctx, template, true)
}

func (s *JobSession) runJob(ctx context.Context, template JobTemplate, resubmission bool) (*Job, error) {
	submitted, err := s.submit(ctx, "/jobs", Submission{Template: template, Again: resubmission})
	if err != nil {
		return nil, err
	}
	if len(submitted.Jobs) != 1 {
		return nil, &Error{Code: DrmCommunication,
			Message: fmt.Sprintf("response to the submission has %d jobs, expected 1", len(submitted.Jobs))}
	}
	return s.job(submitted.Jobs[0].JobID), nil
}

// RunBulkJobs submits one job for each index from begin to end in increments of step. It submits them all under one
// idempotency key, as RunJob does. At most maxParallel of the jobs run at a time; zero or less means no limit.
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

// submit posts a submission, and repeats it for Client.RetryFor while there is no response. It adds a random idempotency key to a
// copy of the attributes if the template has none. Every repetition has Again set.
func (s *JobSession) submit(ctx context.Context, path string, submission Submission) (*Submitted, error) {
	if submission.Template.ImplementationSpecific[AttrKey] == "" {
		attributes := map[string]string{}
		maps.Copy(attributes, submission.Template.ImplementationSpecific)
		attributes[AttrKey] = newIdempotencyKey()
		submission.Template.ImplementationSpecific = attributes
	}
	isResubmission := submission.Again
	var response Submitted
	err := s.client.retry(ctx, func(repeated bool) error {
		submission.Again = isResubmission || repeated
		return s.client.call(ctx, http.MethodPost, s.path()+path, submission, &response)
	})
	return &response, err
}

func (s *JobSession) job(id string) *Job { return &Job{client: s.client, ID: id, SessionName: s.name} }

// Job returns the job with an ID. The error is ErrInvalidArgument if the scheduler does not know the job.
func (s *JobSession) Job(ctx context.Context, id string) (*Job, error) {
	job, err := s.client.Job(ctx, id)
	job.SessionName = s.name
	return job, err
}

// Jobs returns the jobs of the session that match the filter; a nil filter matches all jobs. A job matches if it has the values
// of those of JobID, JobName, JobState, JobSubState and QueueName that are set in the filter.
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

// pageSize is the number of jobs in one page of a list.
const pageSize = 1000

// listJobs reads the list of jobs at a path, page by page, and returns the information on those that match the filter.
func (c *Client) listJobs(ctx context.Context, path string, filter *JobInfo) ([]JobInfo, error) {
	var all []JobInfo
	for afterID := ""; ; {
		var page Submitted
		pagePath := fmt.Sprintf("%s?limit=%d&after=%s", path, pageSize, url.QueryEscape(afterID))
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
		afterID = page.Jobs[len(page.Jobs)-1].JobID
	}
}

// matches reports whether a job matches the filter; see JobSession.Jobs.
func (filter *JobInfo) matches(job *JobInfo) bool {
	return filter == nil || (filter.JobID == "" || filter.JobID == job.JobID) &&
		(filter.JobName == "" || filter.JobName == job.JobName) &&
		(filter.JobState == "" || filter.JobState == job.JobState) &&
		(filter.JobSubState == "" || filter.JobSubState == job.JobSubState) &&
		(filter.QueueName == "" || filter.QueueName == job.QueueName)
}

// JobCategories returns the names of the classes, which are the valid values of JobTemplate.JobCategory.
func (s *JobSession) JobCategories(ctx context.Context) ([]string, error) {
	drms, err := s.client.Drms(ctx)
	if err != nil {
		return nil, err
	}
	return drms.Categories, nil
}

// WaitAnyStarted waits until one of the jobs has started or ended, and returns that job. The jobs must belong to this session.
// The timeout may be InfiniteTime. The error is ErrTimeout after the timeout, and ErrInvalidArgument if there are no jobs.
func (s *JobSession) WaitAnyStarted(ctx context.Context, jobs []*Job, timeout time.Duration) (*Job, error) {
	return s.waitAny(ctx, jobs, timeout, JobState.Started)
}

// WaitAnyTerminated is like WaitAnyStarted, but waits until one of the jobs has ended.
func (s *JobSession) WaitAnyTerminated(ctx context.Context, jobs []*Job, timeout time.Duration) (*Job, error) {
	return s.waitAny(ctx, jobs, timeout, JobState.Terminated)
}

func (s *JobSession) waitAny(ctx context.Context, jobs []*Job, timeout time.Duration,
	reached func(JobState) bool) (*Job, error) {
	if len(jobs) == 0 {
		return nil, &Error{Code: InvalidArgument, Message: "got no jobs to wait for, expected at least 1"}
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

// Watch calls handle with the current state of each job of the session, and then with each change. It reconnects if the
// connection breaks. It returns nil when handle returns false, the error of the context when that ends, and ErrDrmCommunication
// if the scheduler can't be reached for Client.RetryFor. Watch calls handle on the calling goroutine, and reads no further
// events until handle returns.
func (s *JobSession) Watch(ctx context.Context, handle func(JobInfo) bool) error {
	return s.client.watch(ctx, s.path()+eventsPath, handle)
}

func (c *Client) watch(ctx context.Context, path string, handle func(JobInfo) bool) error {
	return c.followEvents(ctx, path, InfiniteTime, func(info *JobInfo) bool { return !handle(*info) })
}
