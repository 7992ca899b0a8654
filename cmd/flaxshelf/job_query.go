package main

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"flaxshelf.example/flaxshelf/drmaa2"
)

// errJobNotDone reports that a job ended in another state than DONE.
var errJobNotDone = errors.New("the job did not end as DONE")

// printWaitResult prints the state of a job after a wait. The error is errJobNotDone if the job failed.
func printWaitResult(std *streams, info *drmaa2.JobInfo) error {
	std.out.println(info.JobState, info.JobSubState, info.Annotation)
	if info.JobState == drmaa2.Failed {
		return errJobNotDone
	}
	return nil
}

type jobStateCmd struct{ jobArgument }

// Run prints the state.
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
	For     string        `enum:"started,terminated" default:"terminated" help:"What to wait for: started or terminated."`
	Timeout time.Duration `help:"Limit of the wait; 0: no limit."`
}

// Run waits, and prints the state.
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
	Session string `help:"Only of this job session."`
	State   string `help:"Only in this state, as RUNNING."`
}

// Run lists jobs.
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

// printJobs prints a table with a row for each job.
func printJobs(std *streams, infos []drmaa2.JobInfo) {
	rows := [][]string{{"JOB", "STATE", "SUB", "NODE", "NAME", "SUBMITTED", "NOTE"}}
	for _, info := range infos {
		rows = append(rows, []string{info.JobID, string(info.JobState), info.JobSubState,
			info.ImplementationSpecific[drmaa2.AttrNode], info.JobName, info.SubmissionTime.Format(time.RFC3339),
			info.Annotation})
	}
	std.out.table(rows)
}
