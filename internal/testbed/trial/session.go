package trial

import (
	"context"
	"errors"
	"time"

	"flaxshelf.example/flaxshelf/drmaa2"
	"flaxshelf.example/flaxshelf/internal/testbed/scenario"
)

// sessionName is the job session in which a trial's clients submit.
const sessionName = "trial"

// The pauses before a client retries a request itself.
const (
	sessionRetryPause = 50 * time.Millisecond
	releaseRetryPause = 100 * time.Millisecond
)

// session opens or creates the session at a scheduler, and retries until the context is canceled.
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

// command terminates the job, holds and releases it, or does neither, by the arrival's draw.
func (c *clients) command(ctx context.Context, job *drmaa2.Job, arrival *scenario.Arrival) {
	load := arrival.Load
	switch {
	case arrival.ControlDraw < load.TerminateFraction:
		sleep(ctx, arrival.ControlDelay)
		c.countCommand("terminate", job.Terminate(ctx))
	case arrival.ControlDraw < load.TerminateFraction+load.HoldFraction:
		err := job.Hold(ctx)
		c.countCommand("hold", err)
		if err == nil || errors.Is(err, drmaa2.ErrDrmCommunication) { // the job may be held even if the response was lost
			sleep(ctx, arrival.ControlDelay)
			c.countCommand("release", release(ctx, job))
		}
	}
}

// release releases a job. It retries after broken connections, since otherwise the job would be held forever.
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
		name += " (" + errorText(err) + ")"
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tally.Commands[name]++
}
