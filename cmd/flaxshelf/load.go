package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"flaxshelf.example/flaxshelf/internal/testbed/load"
)

type loadCmd struct {
	Run     loadRunCmd     `cmd:"" help:"Send a load to a scheduler, open-loop; latencies begin at the scheduled send times."`
	Capture loadCaptureCmd `cmd:"" help:"Watch the jobs of a scheduler and write them to a trace."`
	Import  loadImportCmd  `cmd:"" help:"Convert a log in the Standard Workload Format (SWF) to a trace."`
	Show    loadShowCmd    `cmd:"" help:"Check a plan or trace and print a summary."`
}

// readLoad reads a load plan, whose name ends in .cue, or a trace. The seed is that of the jobs of a plan. The error is a
// usageError if the file is not a valid trace.
func readLoad(path string, seed uint64) (*load.Trace, error) {
	if strings.HasSuffix(path, ".cue") {
		return readPlan(path, seed)
	}
	return readFile(path, func(r io.Reader) (*load.Trace, error) {
		trace, err := load.ReadTrace(r)
		if err != nil {
			return nil, usageError{fmt.Errorf("%s: %w", path, err)}
		}
		return trace, nil
	})
}

// readPlan reads a load plan and generates its jobs with the seed.
func readPlan(path string, seed uint64) (*load.Trace, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	plan, err := load.ParsePlan(path, text)
	if err != nil {
		return nil, err
	}
	return plan.GenerateTrace(seed)
}

// writeTrace writes a trace to a file, and prints the number of its jobs and its length. Unless key is empty, it replaces the
// names in the trace by hashes under the key.
func writeTrace(std *streams, trace *load.Trace, path, key string) error {
	if key != "" {
		if err := trace.Anonymise(key); err != nil {
			return err
		}
	}
	if err := writeFile(path, trace.Write); err != nil {
		return err
	}
	std.out.printf("%s: %d jobs in %v\n", path, len(trace.Jobs), trace.Duration().Round(time.Millisecond))
	return nil
}

type loadRunCmd struct {
	serverFlag
	File    string        `arg:"" type:"existingfile" help:"A load plan (a .cue file of the schema's type #Plan) or a trace."`
	Seed    uint64        `default:"1" help:"Seed of the random number generator; for a load plan only."`
	Speed   float64       `default:"1" help:"Factor by which to send the load faster."`
	Session string        `default:"load" help:"Name of the job session to submit to."`
	Wait    time.Duration `default:"30s" help:"Time to wait for outcomes after the last submission."`
}

// Run sends the load and prints the result.
func (c *loadRunCmd) Run(ctx context.Context, std *streams) error {
	if c.Speed <= 0 {
		return usageError{fmt.Errorf("--speed is %v: expected a number above 0", c.Speed)}
	}
	trace, err := readLoad(c.File, c.Seed)
	if err != nil {
		return err
	}
	client := c.newClient()
	defer client.Close()
	result, err := load.Send(ctx, client, trace, load.SendOptions{SessionName: c.Session, Speed: c.Speed, OutcomeTimeout: c.Wait,
		KeyPrefix: fmt.Sprintf("load-%x", time.Now().UnixNano())})
	if result != nil {
		std.out.print(result)
	}
	return err
}

type loadCaptureCmd struct {
	serverFlag
	For time.Duration `default:"1m" help:"Duration of the capture; an interrupt ends it early."`
	Out string        `required:"" placeholder:"FILE" help:"Trace to write."`
	Key string        `env:"FLAXSHELF_TRACE_KEY" help:"Replace the names of services and tenants by hashes under this key."`
}

// Run captures the load of a scheduler and writes it to a trace.
func (c *loadCaptureCmd) Run(ctx context.Context, std *streams) error {
	client := c.newClient()
	defer client.Close()
	trace, err := load.Capture(ctx, client, c.For)
	if err != nil {
		return err
	}
	return writeTrace(std, trace, c.Out, c.Key)
}

type loadImportCmd struct {
	File  string `arg:"" type:"existingfile" help:"Log in the Standard Workload Format."`
	Class string `required:"" help:"Class to give to the jobs."`
	Out   string `required:"" placeholder:"FILE" help:"Trace to write."`
	Key   string `env:"FLAXSHELF_TRACE_KEY" help:"Replace the names in the trace by hashes under this key."`
}

// Run converts a log in the Standard Workload Format to a trace.
func (c *loadImportCmd) Run(std *streams) error {
	skipped := 0
	trace, err := readFile(c.File, func(r io.Reader) (*load.Trace, error) {
		trace, skippedJobs, err := load.ReadSWF(r, c.Class)
		if err != nil {
			return nil, usageError{fmt.Errorf("%s: %w", c.File, err)}
		}
		skipped = skippedJobs
		return trace, nil
	})
	if err != nil {
		return err
	}
	if skipped > 0 {
		std.err.printf("%d jobs without a submission time or processors were skipped\n", skipped)
	}
	return writeTrace(std, trace, c.Out, c.Key)
}

type loadShowCmd struct {
	File string `arg:"" type:"existingfile" help:"A load plan (a .cue file) or a trace."`
	Seed uint64 `default:"1" help:"Seed of the random number generator; for a load plan only."`
}

// Run prints a summary of the load.
func (c *loadShowCmd) Run(std *streams) error {
	trace, err := readLoad(c.File, c.Seed)
	if err != nil {
		return err
	}
	jobsByClass, censored := map[string]int{}, 0
	var totalRuntime time.Duration
	for _, job := range trace.Jobs {
		jobsByClass[job.Class]++
		totalRuntime += job.Runtime
		if job.Censored {
			censored++
		}
	}
	std.out.printf("from %s, anonymous %v: %d jobs in %v, %d gaps, %d censored runtimes\n", trace.Source, trace.Anonymous,
		len(trace.Jobs), trace.Duration().Round(time.Millisecond), len(trace.Gaps), censored)
	if count := len(trace.Jobs); count > 0 {
		const minSeconds = 1e-9 // avoids a division by zero: all jobs of a trace may be submitted at the same time
		perSecond := float64(count) / max(trace.Duration().Seconds(), minSeconds)
		mean := (totalRuntime / time.Duration(count)).Round(time.Millisecond)
		std.out.printf("%.2f jobs per second, mean runtime %v, classes %v\n", perSecond, mean, jobsByClass)
	}
	return nil
}
