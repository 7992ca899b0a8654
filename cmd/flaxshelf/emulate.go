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
	Day              string        `arg:"" help:"A built-in scripted day, or a CUE file of the schema's type #Trial."`
	Seed             uint64        `default:"1" help:"Seed of the random number generator."`
	Workers          int           `default:"1" help:"Parts of the cluster to simulate in parallel; does not change the trace."`
	Verify           bool          `help:"Check the trace against the rules; exit code 1 on a violation."`
	Plan             string        `type:"existingfile" xor:"load" placeholder:"FILE" help:"Play this load plan, not the day's."`
	Trace            string        `type:"existingfile" xor:"load" placeholder:"FILE" help:"Play this trace, not the day's load."`
	ProgressInterval time.Duration `placeholder:"TIME" help:"Simulated time between progress reports; 0: no reports."`
	Record           string        `placeholder:"FILE" help:"Write the trace to this file as a recording; needs --workers 1."`

	DeprecatedJudge bool          `name:"judge" replacement:"verify" help:"Deprecated: use --verify; removed in 0.2.0."`
	DeprecatedEvery time.Duration `name:"every" replacement:"progress-interval" placeholder:"TIME" help:"Deprecated: use --progress-interval; removed in 0.2.0."`
}

// Run emulates a scripted day on a simulated clock.
func (c *emulateCmd) Run(ctx context.Context, std *streams) error {
	day, err := scenario.Read(c.Day)
	if err != nil {
		return err
	}
	if c.Workers < 1 || c.Workers > 1 && (c.Verify || c.Record != "") {
		return usageError{fmt.Errorf("--workers is %d: expected at least 1, and exactly 1 with --verify or --record", c.Workers)}
	}
	trace, err := c.readLoad()
	if err != nil {
		return err
	}
	options := emulator.Options{Seed: c.Seed, Workers: c.Workers, Load: trace}
	if c.ProgressInterval > 0 {
		options.Progress = c.progressReporter(std)
	}
	if c.Verify {
		return c.runAndVerify(ctx, std, day, options)
	}
	return c.runAndMeasure(ctx, std, day, options)
}

// runAndVerify emulates the day and checks the trace against the rules. It returns errRuleViolated if a rule was violated, and
// a missingOutcomesError if submissions have no outcome.
func (c *emulateCmd) runAndVerify(ctx context.Context, std *streams, day *scenario.Day, options emulator.Options) error {
	report, verdict, err := emulator.RunAndCheck(ctx, day, options)
	if err != nil {
		return err
	}
	std.out.printf("%s, seed %d, emulated\n%s%s", day.Name, c.Seed, verdict, report)
	if !verdict.OK() {
		return errRuleViolated
	}
	if report.Unaccounted > 0 {
		return missingOutcomesError{submissions: report.Unaccounted}
	}
	return nil
}

// runAndMeasure emulates the day and prints the wall time that it took and the ratio of simulated time to wall time.
func (c *emulateCmd) runAndMeasure(ctx context.Context, std *streams, day *scenario.Day, options emulator.Options) error {
	start := time.Now()
	report, err := c.runEmulator(ctx, day, options)
	if err != nil {
		return err
	}
	elapsed := time.Since(start).Seconds()
	std.out.printf("%s, seed %d, emulated\n%s%.2f s of wall time, %.1f simulated seconds per second\n",
		day.Name, c.Seed, report, elapsed, report.SimulatedSeconds/elapsed)
	return nil
}

// runEmulator emulates the day, and writes the trace as a recording if --record is set.
func (c *emulateCmd) runEmulator(ctx context.Context, day *scenario.Day,
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

// readLoad returns the load of --plan or --trace, or nil if neither is set and the emulator uses the load of the day.
func (c *emulateCmd) readLoad() (*load.Trace, error) {
	switch {
	case c.Plan != "":
		return readPlan(c.Plan, c.Seed)
	case c.Trace != "":
		return readFile(c.Trace, load.ReadTrace)
	}
	return nil, nil
}

const bytesPerMebibyte = 1 << 20

// progressReporter returns a function that prints the simulated time and the live heap, at most once in each
// --progress-interval of simulated time. Its argument is the simulated time in seconds.
func (c *emulateCmd) progressReporter(std *streams) func(float64) {
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
