package main

import (
	"context"

	"flaxshelf.example/flaxshelf/drmaa2"
)

// serverFlag is the flag of all client commands that selects the scheduler.
type serverFlag struct {
	Server string `default:"http://127.0.0.1:7171" env:"FLAXSHELF_SERVER" placeholder:"URL" help:"URL of the scheduler."`
}

// newClient returns a client of the scheduler. The caller must close it.
func (s *serverFlag) newClient() *drmaa2.Client { return drmaa2.NewClient(s.Server) }

type jobCmd struct {
	Run       jobRunCmd       `cmd:"" help:"Submit a job (RunJob)."`
	Bulk      jobBulkCmd      `cmd:"" help:"Submit a job array (RunBulkJobs)."`
	State     jobStateCmd     `cmd:"" help:"Print the state and the sub-state of a job."`
	Wait      jobWaitCmd      `cmd:"" help:"Wait for a job to start or end, and print its state."`
	Info      jobInfoCmd      `cmd:"" help:"Print the JobInfo of a job or array, as JSON."`
	List      jobListCmd      `cmd:"" help:"List jobs."`
	Hold      jobHoldCmd      `cmd:"" help:"Hold a queued job or an array."`
	Release   jobReleaseCmd   `cmd:"" help:"Release a held job or an array."`
	Terminate jobTerminateCmd `cmd:"" help:"Terminate a job or an array."`
	Reap      jobReapCmd      `cmd:"" help:"Remove a job that has ended."`
}

// jobArgument is the argument of the commands that act on one job or job array.
type jobArgument struct {
	serverFlag
	Job string `arg:"" help:"ID of the job or array."`
}

// withJob looks up the job, calls use with it, and closes the client afterwards.
func (a *jobArgument) withJob(ctx context.Context, use func(*drmaa2.Job) error) error {
	client := a.newClient()
	defer client.Close()
	job, err := client.Job(ctx, a.Job)
	if err != nil {
		return err
	}
	return use(job)
}

// control calls operation, a method of the client, with the ID of the job or array, and closes the client afterwards.
func (a *jobArgument) control(ctx context.Context, operation func(*drmaa2.Client, context.Context, string) error) error {
	client := a.newClient()
	defer client.Close()
	return operation(client, ctx, a.Job)
}

type jobHoldCmd struct{ jobArgument }

// Run holds the job or array.
func (c *jobHoldCmd) Run(ctx context.Context) error { return c.control(ctx, (*drmaa2.Client).Hold) }

type jobReleaseCmd struct{ jobArgument }

// Run releases the job or array from its hold.
func (c *jobReleaseCmd) Run(ctx context.Context) error {
	return c.control(ctx, (*drmaa2.Client).Release)
}

type jobTerminateCmd struct{ jobArgument }

// Run terminates the job or array.
func (c *jobTerminateCmd) Run(ctx context.Context) error {
	return c.control(ctx, (*drmaa2.Client).Terminate)
}

type jobReapCmd struct{ jobArgument }

// Run removes the ended job from the scheduler.
func (c *jobReapCmd) Run(ctx context.Context) error { return c.control(ctx, (*drmaa2.Client).Reap) }
