package trial

import (
	"context"
	"errors"
	"time"

	"flaxshelf.example/flaxshelf/drmaa2"
	"flaxshelf.example/flaxshelf/internal/testbed/scenario"
)

// sessionName is the name of the job session in which the clients of a trial submit jobs.
const sessionName = "trial"

const (
	// sessionRetryPause is how long a client waits before it tries again to open the session.
	sessionRetryPause = 50 * time.Millisecond
	// releaseRetryPause is how long a client waits before it tries again to release a job.
	releaseRetryPause = 100 * time.Millisecond
)

// session opens the session at a scheduler, or creates it. After broken connections it retries until the context is canceled.
func (c *clients) session(ctx context.Context, scheduler int) (*drmaa2.JobSession, error) {
	pool := c.pools[scheduler]
	for {
		session, err := pool.OpenJobSession(ctx, sessionName)
		if errors.Is(err, drmaa2.ErrInvalidArgument) {
			session, err = pool.CreateJobSession(ctx, sessionName)
		}
		switch {
		case errors.Is(err, drmaa2.ErrInvalidArgument): // another client has created it in the meantime
			continue
		case !errors.Is(err, drmaa2.ErrDrmCommunication):
			return session, err
		}
		sleep(ctx, sessionRetryPause)
		if err := ctx.Err(); err != nil {
			return nil, err
		}
	}
}

// controlJob terminates the job, or holds and releases it, or does nothing, as the arrival's ControlDraw determines.
func (c *clients) controlJob(ctx context.Context, job *drmaa2.Job, arrival *scenario.Arrival) {
	load := arrival.Load
	switch {
	case arrival.ControlDraw < load.TerminateFraction:
		sleep(ctx, arrival.ControlDelay)
		c.countCommand("terminate", job.Terminate(ctx))
	case arrival.ControlDraw < load.TerminateFraction+load.HoldFraction:
		err := job.Hold(ctx)
		c.countCommand("hold", err)
		if err == nil || errors.Is(err, drmaa2.ErrDrmCommunication) { // the job may be held although the response was lost
			sleep(ctx, arrival.ControlDelay)
			c.countCommand("release", release(ctx, job))
		}
	}
}

// release releases a job. It retries after broken connections, since a job that is not released stays held forever.
func release(ctx context.Context, job *drmaa2.Job) error {
	for {
		err := job.Release(ctx)
		if !errors.Is(err, drmaa2.ErrDrmCommunication) || canceled(ctx) {
			return err
		}
		sleep(ctx, releaseRetryPause)
	}
}

func (c *clients) countCommand(name string, err error) {
	if err != nil {
		name += " (" + errorLabel(err) + ")"
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stats.CommandCounts[name]++
}
