package main

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"flaxshelf.example/flaxshelf/drmaa2"
)

// newJobNotDoneError returns the error for a job that ended in a state other than DONE.
func newJobNotDoneError(id string, state drmaa2.JobState) error {
	return fmt.Errorf("job %s ended in state %s, expected %s", id, state, drmaa2.Done)
}

// printWaitResult prints the state that a job has after a wait. It returns an error if the job has failed.
func printWaitResult(std *streams, info *drmaa2.JobInfo) error {
	std.out.println(info.JobState, info.JobSubState, info.Annotation)
	if info.JobState == drmaa2.Failed {
		return newJobNotDoneError(info.JobID, info.JobState)
	}
	return nil
}

type jobStateCmd struct{ jobArgument }

// Run prints the state and the sub-state of the job.
func (c *jobStateCmd) Run(ctx context.Context, std *streams) error {
	return c.withJob(ctx, func(job *drmaa2.Job) error {
		state, subState, err := job.State(ctx)
		if err != nil {
			return err
		}
		std.out.println(state, subState)
		return nil
	})
}

type jobWaitCmd struct {
	jobArgument
	For     string        `enum:"started,terminated" default:"terminated" help:"Event to wait for: started or terminated."`
	Timeout time.Duration `help:"Longest time to wait; 0: no limit."`
}

// Run waits for the job to start or end, and prints its state.
func (c *jobWaitCmd) Run(ctx context.Context, std *streams) error {
	return c.withJob(ctx, func(job *drmaa2.Job) error {
		timeout := drmaa2.InfiniteTime
		if c.Timeout > 0 {
			timeout = c.Timeout
		}
		wait := job.WaitTerminated
		if c.For == "started" {
			wait = job.WaitStarted
		}
		info, err := wait(ctx, timeout)
		if err != nil {
			return err
		}
		return printWaitResult(std, info)
	})
}

type jobInfoCmd struct{ jobArgument }

// Run prints the JobInfo of the job, or of each job of the array, as JSON.
func (c *jobInfoCmd) Run(ctx context.Context, std *streams) error {
	client := c.newClient()
	defer client.Close()
	infos, err := client.JobInfos(ctx, c.Job)
	if err != nil {
		return err
	}
	encoder := json.NewEncoder(std.out)
	encoder.SetIndent("", "  ")
	if len(infos) == 1 {
		return encoder.Encode(infos[0])
	}
	return encoder.Encode(infos)
}

type jobListCmd struct {
	serverFlag
	Session string `help:"List only the jobs of this job session."`
	State   string `help:"List only the jobs in this state, such as RUNNING."`
}

// Run prints a table of the jobs that match the flags.
func (c *jobListCmd) Run(ctx context.Context, std *streams) error {
	client := c.newClient()
	defer client.Close()
	monitoring, err := client.OpenMonitoringSession(ctx)
	if err != nil {
		return err
	}
	filter := &drmaa2.JobInfo{JobState: drmaa2.JobState(c.State)}
	var infos []drmaa2.JobInfo
	if c.Session == "" {
		infos, err = monitoring.AllJobs(ctx, filter)
	} else {
		infos, err = client.SessionJobs(ctx, c.Session, filter)
	}
	if err != nil {
		return err
	}
	printJobs(std, infos)
	return nil
}

// printJobs prints a table with one row for each job.
func printJobs(std *streams, infos []drmaa2.JobInfo) {
	rows := [][]string{{"JOB", "STATE", "SUB", "NODE", "NAME", "SUBMITTED", "NOTE"}}
	for _, info := range infos {
		rows = append(rows, []string{info.JobID, string(info.JobState), info.JobSubState,
			info.ImplementationSpecific[drmaa2.AttrNode], info.JobName, info.SubmissionTime.Format(time.RFC3339),
			info.Annotation})
	}
	std.out.table(rows)
}
