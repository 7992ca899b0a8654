package drmaa2

import (
	"context"
	"net/http"
	"net/url"
	"time"
)

// Job is one job, GFD.194 section 8.4. It has no state: each call queries the scheduler. Its fields must not be modified.
type Job struct {
	client *Client
	// ID names the job to this scheduler.
	ID string
	// SessionName is the name of its job session; empty if the job was found by its ID alone.
	SessionName string
}

func jobPath(id string) string { return "/jobs/" + url.PathEscape(id) }

// Template returns the template that the job was submitted with. The error is ErrInvalidState for a job that a restarted
// scheduler adopted from a node, which has none.
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
		return nil, &Error{Code: InvalidArgument, Message: j.ID + " is not a single job"}
	}
	return &infos[0], nil
}

// State returns the state and the sub-state. The state is Undetermined if there is an error.
func (j *Job) State(ctx context.Context) (JobState, string, error) {
	info, err := j.Info(ctx)
	if err != nil {
		return Undetermined, "", err
	}
	return info.JobState, info.JobSubState, nil
}

// Suspend returns ErrUnsupportedOperation: nodes don't suspend jobs.
func (j *Job) Suspend(context.Context) error { return unsupportedError("suspend") }

// Resume returns ErrUnsupportedOperation: nodes don't suspend jobs.
func (j *Job) Resume(context.Context) error { return unsupportedError("resume") }

// Hold prevents the placement of a queued job until Release. A job with a pending offer is put on hold if the node rejects
// the offer. The error is ErrInvalidState for a job that is not queued.
func (j *Job) Hold(ctx context.Context) error { return j.client.Hold(ctx, j.ID) }

// Release ends the hold of a job. The error is ErrInvalidState for a job that is not on hold.
func (j *Job) Release(ctx context.Context) error { return j.client.Release(ctx, j.ID) }

// Terminate terminates the job. It returns when the scheduler has accepted the request; WaitTerminated waits for the end of
// the job. The error is ErrInvalidState for a job that has ended.
func (j *Job) Terminate(ctx context.Context) error { return j.client.Terminate(ctx, j.ID) }

// Reap removes an ended job from the scheduler. The error is ErrInvalidState for a job that has not ended.
func (j *Job) Reap(ctx context.Context) error { return j.client.Reap(ctx, j.ID) }

// WaitStarted waits until the job runs or has ended, and returns its information then. The timeout may be InfiniteTime. The
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

// JobArray has the jobs of one call of RunBulkJobs, GFD.194 section 8.5. Its operations act on those of its jobs whose state
// allows them. It has no state: each call queries the scheduler. Its fields must not be modified.
type JobArray struct {
	client *Client
	// ID names the array to this scheduler.
	ID string
	// Jobs are its jobs in the order of their indexes.
	Jobs []*Job
}

// Hold prevents the placement of the queued jobs; see Job.Hold.
func (a *JobArray) Hold(ctx context.Context) error { return a.client.Hold(ctx, a.ID) }

// Release ends the hold of the jobs; see Job.Release.
func (a *JobArray) Release(ctx context.Context) error { return a.client.Release(ctx, a.ID) }

// Terminate terminates all jobs of the array; see Job.Terminate.
func (a *JobArray) Terminate(ctx context.Context) error { return a.client.Terminate(ctx, a.ID) }

// Infos returns the current information on each job.
func (a *JobArray) Infos(ctx context.Context) ([]JobInfo, error) {
	return a.client.JobInfos(ctx, a.ID)
}

// WaitTerminated waits until all jobs have ended. The timeout may be InfiniteTime; the error is ErrTimeout after it.
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

// Job returns the job of an ID. The error is ErrInvalidArgument if the scheduler does not know the job.
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

// Hold is like Job.Hold, for a job or an array by its ID.
func (c *Client) Hold(ctx context.Context, id string) error { return c.control(ctx, id, "hold") }

// Release is like Job.Release, for a job or an array by its ID.
func (c *Client) Release(ctx context.Context, id string) error { return c.control(ctx, id, "release") }

// Terminate is like Job.Terminate, for a job or an array by its ID.
func (c *Client) Terminate(ctx context.Context, id string) error {
	return c.control(ctx, id, "terminate")
}

// Reap is like Job.Reap, for a job or an array by its ID.
func (c *Client) Reap(ctx context.Context, id string) error {
	return c.call(ctx, http.MethodDelete, jobPath(id), nil, nil)
}

func (c *Client) control(ctx context.Context, id, operation string) error {
	return c.call(ctx, http.MethodPost, jobPath(id)+"/"+operation, nil, nil)
}
