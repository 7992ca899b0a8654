package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"flaxshelf.example/flaxshelf/internal/testbed/load"
)

type loadCmd struct {
	Run     loadRunCmd     `cmd:"" help:"Send a load to a scheduler, open-loop; latency counts from the intended times."`
	Capture loadCaptureCmd `cmd:"" help:"Listen to a scheduler and write the load as a trace."`
	Import  loadImportCmd  `cmd:"" help:"Convert a log in the Standard Workload Format to a trace."`
	Show    loadShowCmd    `cmd:"" help:"Check a plan or trace and print a summary."`
}

// readLoad reads a plan (.cue) or a trace. A file that is not a trace is a usageError.
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

// readPlan reads a plan and generates its jobs.
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

// writeTrace writes a trace to a file, and prints its size. With a key, names are replaced by hashes.
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
	File    string        `arg:"" type:"existingfile" help:"A plan (.cue, as #Plan of the schema) or a trace."`
	Seed    uint64        `default:"1" help:"Seed of the random numbers of a plan."`
	Speed   float64       `default:"1" help:"Factor by which the load is sent faster."`
	Session string        `default:"load" help:"Job session."`
	Wait    time.Duration `default:"30s" help:"Time to wait for outcomes after the last submission."`
}

// Run sends the load.
func (c *loadRunCmd) Run(ctx context.Context, std *streams) error {
	if c.Speed <= 0 {
		return usageError{errors.New("--speed must be above 0")}
	}
	trace, err := readLoad(c.File, c.Seed)
	if err != nil {
		return err
	}
	client := c.client()
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
	For time.Duration `default:"1m" help:"Duration of the capture; an interrupt ends it earlier."`
	Out string        `required:"" placeholder:"FILE" help:"The trace."`
	Key string        `env:"FLAXSHELF_TRACE_KEY" help:"Replace names of services and tenants by hashes under this key."`
}

// Run captures a load.
func (c *loadCaptureCmd) Run(ctx context.Context, std *streams) error {
	client := c.client()
	defer client.Close()
	trace, err := load.Capture(ctx, client, c.For)
	if err != nil {
		return err
	}
	return writeTrace(std, trace, c.Out, c.Key)
}

type loadImportCmd struct {
	File  string `arg:"" type:"existingfile" help:"The log."`
	Class string `required:"" help:"Class of its jobs."`
	Out   string `required:"" placeholder:"FILE" help:"The trace."`
	Key   string `env:"FLAXSHELF_TRACE_KEY" help:"Replace names by hashes under this key."`
}

// Run imports a log.
func (c *loadImportCmd) Run(std *streams) error {
	skipped := 0
	trace, err := readFile(c.File, func(r io.Reader) (*load.Trace, error) {
		trace, left, err := load.ReadSWF(r, c.Class)
		if err != nil {
			return nil, usageError{fmt.Errorf("%s: %w", c.File, err)}
		}
		skipped = left
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
	File string `arg:"" type:"existingfile" help:"A plan (.cue) or a trace."`
	Seed uint64 `default:"1" help:"Seed of the random numbers of a plan."`
}

// Run prints a summary of the load.
func (c *loadShowCmd) Run(std *streams) error {
	trace, err := readLoad(c.File, c.Seed)
	if err != nil {
		return err
	}
	jobsByClass, censored := map[string]int{}, 0
	var runtimes time.Duration
	for _, job := range trace.Jobs {
		jobsByClass[job.Class]++
		runtimes += job.Runtime
		if job.Censored {
			censored++
		}
	}
	std.out.printf("from %s, anonymous %v: %d jobs in %v, %d gaps, %d censored runtimes\n", trace.Source, trace.Anonymous,
		len(trace.Jobs), trace.Duration().Round(time.Millisecond), len(trace.Gaps), censored)
	if count := len(trace.Jobs); count > 0 {
		const shortest = 1e-9 // seconds; all jobs of a trace may be submitted at once
		perSecond := float64(count) / max(trace.Duration().Seconds(), shortest)
		mean := (runtimes / time.Duration(count)).Round(time.Millisecond)
		std.out.printf("%.2f jobs per second, mean runtime %v, classes %v\n", perSecond, mean, jobsByClass)
	}
	return nil
}
