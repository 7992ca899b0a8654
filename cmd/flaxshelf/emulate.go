package main

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"time"

	"flaxshelf.example/flaxshelf/internal/testbed/emulator"
	"flaxshelf.example/flaxshelf/internal/testbed/load"
	"flaxshelf.example/flaxshelf/internal/testbed/scenario"
)

type emulateCmd struct {
	Day              string        `arg:"" help:"Name of a day that ships with the program, or a CUE file as #Trial of the schema."`
	Seed             uint64        `default:"1" help:"Seed of the random numbers."`
	Workers          int           `default:"1" help:"Parts of the cluster that are simulated in parallel; the trace does not depend on it."`
	Verify           bool          `help:"Check the trace against the rules; exit 1 on a violation."`
	Plan             string        `type:"existingfile" xor:"load" placeholder:"FILE" help:"Use this load plan instead of the day's load."`
	Trace            string        `type:"existingfile" xor:"load" placeholder:"FILE" help:"Use this captured load instead of the day's load."`
	ProgressInterval time.Duration `placeholder:"TIME" help:"Simulated time between reports of progress and memory."`
	Record           string        `placeholder:"FILE" help:"Write the trace as a recording; with one worker."`

	DeprecatedJudge bool          `name:"judge" replacement:"verify" help:"Deprecated: use --verify; removed in 0.2.0."`
	DeprecatedEvery time.Duration `name:"every" replacement:"progress-interval" placeholder:"TIME" help:"Deprecated: use --progress-interval; removed in 0.2.0."`
}

// Run emulates a day on a simulated clock.
func (c *emulateCmd) Run(ctx context.Context, std *streams) error {
	day, err := scenario.Read(c.Day)
	if err != nil {
		return err
	}
	if c.Workers < 1 || c.Workers > 1 && (c.Verify || c.Record != "") {
		return usageError{fmt.Errorf("--workers is %d: expected 1 or more, and 1 with --verify or --record", c.Workers)}
	}
	played, err := c.load()
	if err != nil {
		return err
	}
	options := emulator.Options{Seed: c.Seed, Workers: c.Workers, Load: played}
	if c.ProgressInterval > 0 {
		options.Progress = c.progress(std)
	}
	if c.Verify {
		return c.verify(ctx, std, day, options)
	}
	return c.measure(ctx, std, day, options)
}

// verify emulates the day and checks the trace against the rules.
func (c *emulateCmd) verify(ctx context.Context, std *streams, day *scenario.Day, options emulator.Options) error {
	report, verdict, err := emulator.RunAndCheck(ctx, day, options)
	if err != nil {
		return err
	}
	std.out.printf("%s, seed %d, emulated\n%s%s", day.Name, c.Seed, verdict, report)
	if !verdict.OK() {
		return errRuleViolated
	}
	if report.Unaccounted > 0 {
		return unaccountedError{submissions: report.Unaccounted}
	}
	return nil
}

// measure emulates the day and prints the simulated time per second of wall time.
func (c *emulateCmd) measure(ctx context.Context, std *streams, day *scenario.Day, options emulator.Options) error {
	start := time.Now()
	report, err := c.emulate(ctx, day, options)
	if err != nil {
		return err
	}
	elapsed := time.Since(start).Seconds()
	std.out.printf("%s, seed %d, emulated\n%s%.2f s of wall time, %.1f simulated seconds per second\n",
		day.Name, c.Seed, report, elapsed, report.SimulatedSeconds/elapsed)
	return nil
}

// emulate emulates the day, and writes the recording if --record is set.
func (c *emulateCmd) emulate(ctx context.Context, day *scenario.Day,
	options emulator.Options) (*emulator.Report, error) {
	if c.Record == "" {
		return emulator.Run(ctx, day, options)
	}
	var report *emulator.Report
	err := writeFile(c.Record, func(recording io.Writer) error {
		options.Record = recording
		var err error
		report, err = emulator.Run(ctx, day, options)
		return err
	})
	return report, err
}

// load returns the jobs of the plan or trace, or nil for the day's own load.
func (c *emulateCmd) load() (*load.Trace, error) {
	switch {
	case c.Plan != "":
		return readPlan(c.Plan, c.Seed)
	case c.Trace != "":
		return readFile(c.Trace, load.Read)
	}
	return nil, nil
}

const bytesPerMebibyte = 1 << 20

// progress prints the simulated time and the memory in use, at most once in each interval of simulated time.
func (c *emulateCmd) progress(std *streams) func(float64) {
	next := c.ProgressInterval.Seconds()
	return func(seconds float64) {
		if seconds < next {
			return
		}
		next += c.ProgressInterval.Seconds()
		runtime.GC()
		var memory runtime.MemStats
		runtime.ReadMemStats(&memory)
		std.out.printf("%v simulated, %.1f MiB live\n", scenario.Seconds(seconds).Round(time.Second),
			float64(memory.HeapAlloc)/bytesPerMebibyte)
	}
}
