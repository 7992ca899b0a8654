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

// templateFlags are the attributes of a JobTemplate that have a flag.
type templateFlags struct {
	Session         string        `default:"default" help:"Job session; it is created if it does not exist."`
	File            string        `type:"existingfile" placeholder:"FILE" help:"A JobTemplate as JSON; flags override it."`
	Class           string        `placeholder:"NAME" help:"jobCategory: the class."`
	Tenant          string        `placeholder:"NAME" help:"accountingId: the tenant."`
	Name            string        `help:"jobName."`
	Service         string        `help:"The service that the job belongs to."`
	Key             string        `help:"Idempotency key: a retry under the same key is the same job."`
	Cores           string        `help:"Cores requested."`
	Memory          string        `help:"Memory requested, in GiB."`
	ExpectedRuntime time.Duration `help:"Expected runtime."`

	PlacementTimeout time.Duration `help:"Limit of the wait for a start."`

	Hold       bool     `help:"Submit the job held."`
	Rerunnable bool     `help:"Restart the job if it is evicted or its node is lost."`
	Command    string   `arg:"" optional:"" help:"remoteCommand."`
	Args       []string `arg:"" optional:"" passthrough:"" help:"Arguments of the command."`

	DeprecatedLife   time.Duration `name:"life" replacement:"expected-runtime" help:"Deprecated: use --expected-runtime; removed in 0.2.0."`
	DeprecatedGiveUp time.Duration `name:"give-up" replacement:"placement-timeout" help:"Deprecated: use --placement-timeout; removed in 0.2.0."`
}

// template returns the template of the file, if there is one, with the attributes that flags set.
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
		return template, usageError{errors.New("no command: name one, or a --file that has a remoteCommand")}
	}
	return template, nil
}

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
		return template, usageError{fmt.Errorf("%s: not a JobTemplate: %w", f.File, err)}
	}
	return template, nil
}

// implementationSpecific returns the attributes that are specific to flaxshelf. Those that no flag sets are empty.
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

func setIfNotEmpty(target *string, value string) {
	if value != "" {
		*target = value
	}
}

// formatDuration returns a duration as text, or the empty string for zero.
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
	if errors.Is(err, drmaa2.ErrInvalidArgument) { // another client created it in between
		session, err = client.OpenJobSession(ctx, f.Session)
	}
	return session, err
}

// submitFlags are the flags of the commands that submit.
type submitFlags struct {
	serverFlag
	templateFlags
}

// withSession calls submit with the session and the template, and closes the client afterwards.
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
	Wait bool `help:"Wait until it has ended; exit 1 unless it is DONE."`
}

// Run submits a job and prints its ID.
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

// waitForJob prints where a job starts and how it ends.
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
	Begin       int  `default:"1" help:"First index."`
	End         int  `required:"" help:"Last index."`
	Step        int  `default:"1" help:"Step between indexes."`
	MaxParallel int  `help:"Limit of jobs that run at a time; 0: no limit."`
	Wait        bool `help:"Wait until all have ended; exit 1 unless all are DONE."`
}

// Run submits an array and prints its ID.
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

// waitForArray prints how the jobs of an array end.
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
			return errJobNotDone
		}
	}
	return nil
}
