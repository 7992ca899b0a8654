package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"time"

	"flaxshelf.example/flaxshelf/drmaa2"
)

// templateFlags are the flags and arguments that set attributes of a JobTemplate, and the job session to submit to.
type templateFlags struct {
	Session         string        `default:"default" help:"Name of the job session, which is created if it does not exist."`
	File            string        `type:"existingfile" placeholder:"FILE" help:"JobTemplate in JSON; flags override its values."`
	Class           string        `placeholder:"NAME" help:"Class of the job (jobCategory)."`
	Tenant          string        `placeholder:"NAME" help:"Tenant of the job (accountingId)."`
	Name            string        `help:"Name of the job (jobName)."`
	Service         string        `help:"Service that the job belongs to."`
	Key             string        `help:"Idempotency key; submissions with the same key create the job once."`
	Cores           string        `help:"Number of cores requested."`
	Memory          string        `help:"Memory requested, in GiB."`
	ExpectedRuntime time.Duration `help:"Expected runtime of the job."`

	PlacementTimeout time.Duration `help:"Time within which the job must start."`

	Hold       bool     `help:"Submit the job on hold."`
	Rerunnable bool     `help:"Restart the job if it is evicted or its node is lost."`
	Command    string   `arg:"" optional:"" help:"Command of the job (remoteCommand)."`
	Args       []string `arg:"" optional:"" passthrough:"" help:"Arguments of the command."`

	DeprecatedLife   time.Duration `name:"life" replacement:"expected-runtime" help:"Deprecated: use --expected-runtime; removed in 0.2.0."`
	DeprecatedGiveUp time.Duration `name:"give-up" replacement:"placement-timeout" help:"Deprecated: use --placement-timeout; removed in 0.2.0."`
}

// template returns the template of --file, or an empty one without --file, with the attributes that other flags set. It returns
// a usageError if there is no command.
func (f *templateFlags) template() (drmaa2.JobTemplate, error) {
	template, err := f.readTemplate()
	if err != nil {
		return template, err
	}
	setIfNotEmpty(&template.RemoteCommand, f.Command)
	setIfNotEmpty(&template.JobCategory, f.Class)
	setIfNotEmpty(&template.AccountingID, f.Tenant)
	setIfNotEmpty(&template.JobName, f.Name)
	if len(f.Args) > 0 {
		template.Args = f.Args
	}
	template.SubmitAsHold = template.SubmitAsHold || f.Hold
	template.Rerunnable = template.Rerunnable || f.Rerunnable
	if template.ImplementationSpecific == nil {
		template.ImplementationSpecific = map[string]string{}
	}
	for name, value := range f.implementationSpecific() {
		if value != "" {
			template.ImplementationSpecific[name] = value
		}
	}
	if template.RemoteCommand == "" {
		return template, usageError{errors.New("no command: expected one as an argument, or as remoteCommand in --file")}
	}
	return template, nil
}

// readTemplate returns the template of --file, or an empty one if the flag is not set.
func (f *templateFlags) readTemplate() (drmaa2.JobTemplate, error) {
	var template drmaa2.JobTemplate
	if f.File == "" {
		return template, nil
	}
	text, err := os.ReadFile(f.File)
	if err != nil {
		return template, err
	}
	if err := json.Unmarshal(text, &template); err != nil {
		return template, usageError{fmt.Errorf("%s: decode JobTemplate: %w", f.File, err)}
	}
	return template, nil
}

// implementationSpecific returns the values of the flags for the implementation-specific attributes of flaxshelf, by attribute.
// The value is empty for a flag that is not set.
func (f *templateFlags) implementationSpecific() map[string]string {
	return map[string]string{
		drmaa2.AttrService:          f.Service,
		drmaa2.AttrKey:              f.Key,
		drmaa2.AttrCores:            f.Cores,
		drmaa2.AttrMemory:           f.Memory,
		drmaa2.AttrExpectedRuntime:  formatDuration(f.ExpectedRuntime),
		drmaa2.AttrPlacementTimeout: formatDuration(f.PlacementTimeout),
	}
}

// setIfNotEmpty sets *target to value, unless value is empty.
func setIfNotEmpty(target *string, value string) {
	if value != "" {
		*target = value
	}
}

// formatDuration formats a duration. It returns the empty string for zero, the value of a flag that is not set.
func formatDuration(d time.Duration) string {
	if d == 0 {
		return ""
	}
	return d.String()
}

// openSession opens the job session, and creates it if it does not exist.
func (f *templateFlags) openSession(ctx context.Context, client *drmaa2.Client) (*drmaa2.JobSession, error) {
	session, err := client.OpenJobSession(ctx, f.Session)
	if !errors.Is(err, drmaa2.ErrInvalidArgument) {
		return session, err
	}
	session, err = client.CreateJobSession(ctx, f.Session)
	if errors.Is(err, drmaa2.ErrInvalidArgument) { // another client has created it since
		session, err = client.OpenJobSession(ctx, f.Session)
	}
	return session, err
}

// submitFlags are the flags of the commands that submit jobs.
type submitFlags struct {
	serverFlag
	templateFlags
}

// withSession opens the job session, calls submit with it and the template, and closes the client afterwards.
func (f *submitFlags) withSession(ctx context.Context,
	submit func(*drmaa2.JobSession, drmaa2.JobTemplate) error) error {
	template, err := f.template()
	if err != nil {
		return err
	}
	client := f.newClient()
	defer client.Close()
	session, err := f.openSession(ctx, client)
	if err != nil {
		return err
	}
	return submit(session, template)
}

type jobRunCmd struct {
	submitFlags
	Wait bool `help:"Wait until the job has ended; exit code 1 unless its state is DONE."`
}

// Run submits a job and prints its ID. With --wait it also waits for the end of the job.
func (c *jobRunCmd) Run(ctx context.Context, std *streams) error {
	return c.withSession(ctx, func(session *drmaa2.JobSession, template drmaa2.JobTemplate) error {
		job, err := session.RunJob(ctx, template)
		if err != nil {
			return err
		}
		std.out.println(job.ID)
		if !c.Wait {
			return nil
		}
		return waitForJob(ctx, std, job)
	})
}

// waitForJob waits for a job to start and end. It prints the node that runs the job, and the state in which the job ends.
func waitForJob(ctx context.Context, std *streams, job *drmaa2.Job) error {
	started, err := job.WaitStarted(ctx, drmaa2.InfiniteTime)
	if err != nil {
		return err
	}
	if started.JobState == drmaa2.Running {
		std.out.println("RUNNING on", started.ImplementationSpecific[drmaa2.AttrNode])
	}
	info, err := job.WaitTerminated(ctx, drmaa2.InfiniteTime)
	if err != nil {
		return err
	}
	return printWaitResult(std, info)
}

type jobBulkCmd struct {
	submitFlags
	Begin       int  `default:"1" help:"First index of the array."`
	End         int  `required:"" help:"Last index of the array."`
	Step        int  `default:"1" help:"Difference between two consecutive indexes."`
	MaxParallel int  `help:"Number of jobs that may run at a time; 0: no limit."`
	Wait        bool `help:"Wait until all jobs have ended; exit code 1 unless all are DONE."`
}

// Run submits a job array and prints its ID. With --wait it also waits for the end of its jobs.
func (c *jobBulkCmd) Run(ctx context.Context, std *streams) error {
	return c.withSession(ctx, func(session *drmaa2.JobSession, template drmaa2.JobTemplate) error {
		array, err := session.RunBulkJobs(ctx, template, c.Begin, c.End, c.Step, c.MaxParallel)
		if err != nil {
			return err
		}
		std.out.println(array.ID)
		if !c.Wait {
			return nil
		}
		return waitForArray(ctx, std, array)
	})
}

// waitForArray waits for all jobs of an array to end, and prints a table of them. It returns an error for the first job that
// did not end in state DONE.
func waitForArray(ctx context.Context, std *streams, array *drmaa2.JobArray) error {
	if err := array.WaitTerminated(ctx, drmaa2.InfiniteTime); err != nil {
		return err
	}
	infos, err := array.Infos(ctx)
	if err != nil {
		return err
	}
	printJobs(std, infos)
	for _, info := range infos {
		if info.JobState != drmaa2.Done {
			return newJobNotDoneError(info.JobID, info.JobState)
		}
	}
	return nil
}
