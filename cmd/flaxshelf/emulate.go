package main

import (
	"context"
	"fmt"
	"os"
	"runtime"
	"time"

	"flaxshelf.example/flaxshelf/internal/lab/emulator"
	"flaxshelf.example/flaxshelf/internal/lab/load"
	"flaxshelf.example/flaxshelf/internal/lab/scenario"
)

type emulateCmd struct {
	Day     string        `arg:"" help:"Name of a day that ships with the program, or a CUE file as #Trial of the schema."`
	Seed    uint64        `default:"1" help:"What is drawn, is drawn from this."`
	Workers int           `default:"1" help:"Run so many parts of the cluster at once; the trace stays the same."`
	Judge   bool          `help:"Have the rules' checker read the trace; exit 1 on a broken rule."`
	Plan    string        `type:"existingfile" xor:"load" placeholder:"FILE" help:"Play this load plan in place of the day's load."`
	Trace   string        `type:"existingfile" xor:"load" placeholder:"FILE" help:"Play this captured load in place of the day's load."`
	Every   time.Duration `placeholder:"TIME" help:"Tell of progress and memory each so much simulated time."`
	Record  string        `placeholder:"FILE" help:"Keep the trace as a recording; with one worker."`
}

// Run emulates a day on a simulated clock.
func (c *emulateCmd) Run(e *env) error {
	d, err := scenario.Read(c.Day)
	if err != nil {
		return err
	}
	if c.Workers < 1 || c.Workers > 1 && (c.Judge || c.Record != "") {
		return errUsage{fmt.Errorf("--workers is %d: expected 1 or more, and 1 with --judge or --record", c.Workers)}
	}
	played, err := c.load()
	if err != nil {
		return err
	}
	opt := emulator.Options{Seed: c.Seed, Workers: c.Workers, Load: played}
	if c.Every > 0 {
		opt.Progress = c.progress(e)
	}
	began := time.Now()
	if c.Judge {
		rep, v, err := emulator.Judge(e.ctx, d, opt)
		if err != nil {
			return err
		}
		fmt.Fprintf(e.out, "%s, seed %d, emulated\n%s%s", d.Name, c.Seed, v, rep)
		if !v.OK() || rep.Unaccounted > 0 {
			return errBroken
		}
		return nil
	}
	rep, err := c.run(e.ctx, d, opt)
	if err != nil {
		return err
	}
	wall := time.Since(began)
	fmt.Fprintf(e.out, "%s, seed %d, emulated\n%s%.2f s of wall time: %.1f simulated seconds a second\n",
		d.Name, c.Seed, rep,
		wall.Seconds(), rep.Seconds/wall.Seconds())
	return nil
}

// load is the plan or trace to be played; nil for the day's own load.
func (c *emulateCmd) load() (*load.Trace, error) {
	if c.Plan != "" {
		text, err := os.ReadFile(c.Plan)
		if err != nil {
			return nil, err
		}
		p, err := load.ParsePlan(c.Plan, text)
		if err != nil {
			return nil, err
		}
		return p.Jobs(c.Seed)
	}
	if c.Trace == "" {
		return nil, nil
	}
	f, err := os.Open(c.Trace)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return load.Read(f)
}

// progress tells of the simulated time and of the memory that is live then.
func (c *emulateCmd) progress(e *env) func(float64) {
	next := c.Every.Seconds()
	return func(seconds float64) {
		if seconds < next {
			return
		}
		next += c.Every.Seconds()
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		fmt.Fprintf(e.out, "%v simulated, %.1f MiB live\n", scenario.Seconds(seconds).Round(time.Second),
			float64(m.HeapAlloc)/(1<<20))
	}
}

func (c *emulateCmd) run(ctx context.Context, d *scenario.Day, opt emulator.Options) (*emulator.Report, error) {
	if c.Record == "" {
		return emulator.Run(ctx, d, opt)
	}
	f, err := os.Create(c.Record)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	opt.Record = f
	return emulator.Run(ctx, d, opt)
}
