package drmaa2

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"time"
)

// Job identifies a job, GFD.194 section 8.4. It caches no state: each call queries the scheduler. Its fields must not be
// modified.
type Job struct {
	client *Client
	// ID is the ID of the job at this scheduler.
	ID string
	// SessionName is the name of the job session in which the job was submitted or found; empty if Client.Job returned it.
	SessionName string
}

// jobPath returns the path of a job or array, relative to apiPath.
func jobPath(id string) string { return "/jobs/" + url.PathEscape(id) }

// Template returns the template with which the job was submitted. The error is ErrInvalidState for a job without a template,
// which a restarted scheduler has adopted from a node.
func (j *Job) Template(ctx context.Context) (*JobTemplate, error) {
	var template JobTemplate
	if err := j.client.call(ctx, http.MethodGet, jobPath(j.ID)+"/template", nil, &template); err != nil {
		return nil, err
	}
	return &template, nil
}

// Info returns the current information on the job. The error is ErrInvalidArgument if the scheduler does not know the job.
func (j *Job) Info(ctx context.Context) (*JobInfo, error) {
	infos, err := j.client.JobInfos(ctx, j.ID)
	if err != nil {
		return nil, err
	}
	if len(infos) != 1 {
		return nil, &Error{Code: InvalidArgument,
			Message: fmt.Sprintf("ID %s refers to %d jobs, expected 1", j.ID, len(infos))}
	}
	return &infos[0], nil
}

// State returns the state and the sub-state of the job. The state is Undetermined if there is an error.
func (j *Job) State(ctx context.Context) (JobState, string, error) {
	info, err := j.Info(ctx)
	if err != nil {
		return Undetermined, "", err
	}
	return info.JobState, info.JobSubState, nil
}

// Suspend returns ErrUnsupportedOperation, because nodes can't suspend jobs.
func (j *Job) Suspend(context.Context) error { return unsupportedError("suspend") }

// Resume returns ErrUnsupportedOperation, because nodes can't suspend jobs.
func (j *Job) Resume(context.Context) error { return unsupportedError("resume") }

// Hold puts a queued job on hold: it is not placed until Release. If an offer of the job to a node is pending, the hold takes
// effect only if the node rejects the offer. The error is ErrInvalidState for a job that is not queued.
func (j *Job) Hold(ctx context.Context) error { return j.client.Hold(ctx, j.ID) }

// Release ends the hold of a job. The error is ErrInvalidState for a job that is not on hold.
func (j *Job) Release(ctx context.Context) error { return j.client.Release(ctx, j.ID) }

// Terminate terminates the job. It returns when the scheduler has accepted the request, and does not wait for the end of the
// job; use WaitTerminated for that. The error is ErrInvalidState for a job that has ended.
func (j *Job) Terminate(ctx context.Context) error { return j.client.Terminate(ctx, j.ID) }

// Reap removes an ended job from the scheduler. The error is ErrInvalidState for a job that has not ended.
func (j *Job) Reap(ctx context.Context) error { return j.client.Reap(ctx, j.ID) }

// WaitStarted waits until the job runs or has ended, and then returns the information on it. The timeout may be InfiniteTime. The
// error is ErrTimeout after the timeout, and ErrDrmCommunication if the scheduler can't be reached for Client.RetryFor.
func (j *Job) WaitStarted(ctx context.Context, timeout time.Duration) (*JobInfo, error) {
	return j.wait(ctx, timeout, JobState.Started)
}

// WaitTerminated is like WaitStarted, but waits until the job has ended.
func (j *Job) WaitTerminated(ctx context.Context, timeout time.Duration) (*JobInfo, error) {
	return j.wait(ctx, timeout, JobState.Terminated)
}

func (j *Job) wait(ctx context.Context, timeout time.Duration, reached func(JobState) bool) (*JobInfo, error) {
	var latest *JobInfo
	err := j.client.followEvents(ctx, jobPath(j.ID)+eventsPath, timeout, func(info *JobInfo) bool {
		latest = info
		return reached(info.JobState)
	})
	return latest, err
}

// JobArray is the set of jobs that one call of RunBulkJobs submitted, GFD.194 section 8.5. An operation on it applies to the jobs
// whose state allows the operation. It caches no state: each call queries the scheduler. Its fields must not be modified.
type JobArray struct {
	client *Client
	// ID is the ID of the array at this scheduler.
	ID string
	// Jobs are the jobs of the array, ordered by index.
	Jobs []*Job
}

// Hold puts the queued jobs on hold; see Job.Hold.
func (a *JobArray) Hold(ctx context.Context) error { return a.client.Hold(ctx, a.ID) }

// Release ends the hold of the jobs; see Job.Release.
func (a *JobArray) Release(ctx context.Context) error { return a.client.Release(ctx, a.ID) }

// Terminate terminates all jobs of the array; see Job.Terminate.
func (a *JobArray) Terminate(ctx context.Context) error { return a.client.Terminate(ctx, a.ID) }

// Infos returns the current information on each job.
func (a *JobArray) Infos(ctx context.Context) ([]JobInfo, error) {
	return a.client.JobInfos(ctx, a.ID)
}

// WaitTerminated waits until all jobs of the array have ended. The timeout may be InfiniteTime. The error is ErrTimeout after the
// timeout.
func (a *JobArray) WaitTerminated(ctx context.Context, timeout time.Duration) error {
	unfinished := map[string]bool{}
	for _, job := range a.Jobs {
		unfinished[job.ID] = true
	}
	return a.client.followEvents(ctx, jobPath(a.ID)+eventsPath, timeout, func(info *JobInfo) bool {
		if info.JobState.Terminated() {
			delete(unfinished, info.JobID)
		}
		return len(unfinished) == 0
	})
}

// Job returns the job with an ID. The error is ErrInvalidArgument if the scheduler does not know the job.
func (c *Client) Job(ctx context.Context, id string) (*Job, error) {
	job := &Job{client: c, ID: id}
	_, err := job.Info(ctx)
	return job, err
}

// JobInfos returns the current information on a job, or on each job of an array.
func (c *Client) JobInfos(ctx context.Context, id string) ([]JobInfo, error) {
	var response Submitted
	err := c.call(ctx, http.MethodGet, jobPath(id), nil, &response)
	return response.Jobs, err
}

// SessionJobs returns the information on the jobs of a session that match the filter; see JobSession.Jobs.
func (c *Client) SessionJobs(ctx context.Context, session string, filter *JobInfo) ([]JobInfo, error) {
	return c.listJobs(ctx, sessionPath(session)+"/jobs", filter)
}

// Hold puts the job or array with an ID on hold; see Job.Hold.
func (c *Client) Hold(ctx context.Context, id string) error { return c.control(ctx, id, "hold") }

// Release ends the hold of the job or array with an ID; see Job.Release.
func (c *Client) Release(ctx context.Context, id string) error { return c.control(ctx, id, "release") }

// Terminate terminates the job or array with an ID; see Job.Terminate.
func (c *Client) Terminate(ctx context.Context, id string) error {
	return c.control(ctx, id, "terminate")
}

// Reap removes the job or array with an ID; see Job.Reap.
func (c *Client) Reap(ctx context.Context, id string) error {
	return c.call(ctx, http.MethodDelete, jobPath(id), nil, nil)
}

// control requests an operation on a job or array: hold, release or terminate.
func (c *Client) control(ctx context.Context, id, operation string) error {
	return c.call(ctx, http.MethodPost, jobPath(id)+"/"+operation, nil, nil)
}
