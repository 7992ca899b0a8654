package drmaa2

import (
	"context"
	"net/http"
	"net/url"
	"time"
)

// Job is one job, GFD.194 section 8.4. It holds no state: each call asks the scheduler. Its fields are not to be changed.
type Job struct {
	client *Client
	// ID names the job to this scheduler.
	ID string
	// SessionName is the job session; empty where the job was found by its ID alone.
	SessionName string
}

func jobPath(id string) string { return "/jobs/" + url.PathEscape(id) }

// Template returns the template that the job was submitted with. A job that a restarted scheduler found on a
// node has none: ErrInvalidState.
func (j *Job) Template(ctx context.Context) (*JobTemplate, error) {
	var template JobTemplate
	if err := j.client.call(ctx, http.MethodGet, jobPath(j.ID)+"/template", nil, &template); err != nil {
		return nil, err
	}
	return &template, nil
}

// Info returns what the scheduler knows of the job now; ErrInvalidArgument where it does not know the job.
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

// State returns the state and the sub-state; Undetermined with an error.
func (j *Job) State(ctx context.Context) (JobState, string, error) {
	info, err := j.Info(ctx)
	if err != nil {
		return Undetermined, "", err
	}
	return info.JobState, info.JobSubState, nil
}

// Suspend is ErrUnsupportedOperation: nodes don't suspend.
func (j *Job) Suspend(context.Context) error { return unsupportedError("suspend") }

// Resume is ErrUnsupportedOperation: nodes don't suspend.
func (j *Job) Resume(context.Context) error { return unsupportedError("resume") }

// Hold keeps a queued job from being placed. One that is being offered to a node is held if the node does not accept it.
// ErrInvalidState for a job that is not queued.
func (j *Job) Hold(ctx context.Context) error { return j.client.Hold(ctx, j.ID) }

// Release lets a held job be placed; ErrInvalidState for one that is not held.
func (j *Job) Release(ctx context.Context) error { return j.client.Release(ctx, j.ID) }

// Terminate ends the job. It returns when the scheduler has accepted the request; the job may run a little longer. See
// WaitTerminated. ErrInvalidState for a job that has ended.
func (j *Job) Terminate(ctx context.Context) error { return j.client.Terminate(ctx, j.ID) }

// Reap has the scheduler forget an ended job; ErrInvalidState for one that has not ended.
func (j *Job) Reap(ctx context.Context) error { return j.client.Reap(ctx, j.ID) }

// WaitStarted waits until the job runs or has ended, and returns what is known then. ErrTimeout after the timeout, which
// may be InfiniteTime; ErrDrmCommunication where the scheduler is not reached for Client.RetryFor.
func (j *Job) WaitStarted(ctx context.Context, timeout time.Duration) (*JobInfo, error) {
	return j.wait(ctx, timeout, JobState.Started)
}

// WaitTerminated waits until the job has ended, in the same way as WaitStarted.
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

// JobArray is the jobs of one RunBulkJobs, GFD.194 section 8.5. Its operations act on those of its jobs whose state allows
// them. It holds no state: each call asks the scheduler. Its fields are not to be changed.
type JobArray struct {
	client *Client
	// ID names the array to this scheduler.
	ID string
	// Jobs are its jobs by rising index.
	Jobs []*Job
}

// Hold holds the jobs that are queued; see Job.Hold.
func (a *JobArray) Hold(ctx context.Context) error { return a.client.Hold(ctx, a.ID) }

// Release lets the held jobs be placed; see Job.Release.
func (a *JobArray) Release(ctx context.Context) error { return a.client.Release(ctx, a.ID) }

// Terminate ends all jobs of the array; see Job.Terminate.
func (a *JobArray) Terminate(ctx context.Context) error { return a.client.Terminate(ctx, a.ID) }

// Infos returns what the scheduler knows of each job now.
func (a *JobArray) Infos(ctx context.Context) ([]JobInfo, error) {
	return a.client.JobInfos(ctx, a.ID)
}

// WaitTerminated waits until all jobs have ended. ErrTimeout after the timeout, which may be InfiniteTime.
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

// Job finds a job by its ID; ErrInvalidArgument where the scheduler does not know it.
func (c *Client) Job(ctx context.Context, id string) (*Job, error) {
	j := &Job{client: c, ID: id}
	_, err := j.Info(ctx)
	return j, err
}

// JobInfos returns what the scheduler knows of a job, or of each job of an array.
func (c *Client) JobInfos(ctx context.Context, id string) ([]JobInfo, error) {
	var found Submitted
	err := c.call(ctx, http.MethodGet, jobPath(id), nil, &found)
	return found.Jobs, err
}

// SessionJobs lists what the scheduler knows of a session's jobs that match the filter; see JobSession.Jobs.
func (c *Client) SessionJobs(ctx context.Context, session string, filter *JobInfo) ([]JobInfo, error) {
	return c.listJobs(ctx, sessionPath(session)+"/jobs", filter)
}

// Hold is Job.Hold of a job or an array by its ID, for callers without its session.
func (c *Client) Hold(ctx context.Context, id string) error { return c.control(ctx, id, "hold") }

// Release is Job.Release of a job or an array by its ID.
func (c *Client) Release(ctx context.Context, id string) error { return c.control(ctx, id, "release") }

// Terminate is Job.Terminate of a job or an array by its ID.
func (c *Client) Terminate(ctx context.Context, id string) error {
	return c.control(ctx, id, "terminate")
}

// Reap is Job.Reap of a job or an array by its ID.
func (c *Client) Reap(ctx context.Context, id string) error {
	return c.call(ctx, http.MethodDelete, jobPath(id), nil, nil)
}

func (c *Client) control(ctx context.Context, id, operation string) error {
	return c.call(ctx, http.MethodPost, jobPath(id)+"/"+operation, nil, nil)
}
