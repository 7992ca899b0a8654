package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"flaxshelf.example/flaxshelf/internal/lab/emulator"
	"flaxshelf.example/flaxshelf/internal/lab/scenario"
)

type emulateCmd struct {
	Day     string `arg:"" help:"Name of a day that ships with the program, or a CUE file as #Trial of the schema."`
	Seed    uint64 `default:"1" help:"What is drawn, is drawn from this."`
	Workers int    `default:"1" help:"Run so many parts of the cluster at once; the trace stays the same."`
	Judge   bool   `help:"Have the rules' checker read the trace; exit 1 on a broken rule."`
	Record  string `placeholder:"FILE" help:"Keep the trace as a recording; with one worker."`
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
	began := time.Now()
	if c.Judge {
		rep, v, err := emulator.Judge(e.ctx, d, emulator.Options{Seed: c.Seed})
		if err != nil {
			return err
		}
		fmt.Fprintf(e.out, "%s, seed %d, emulated\n%s%s", d.Name, c.Seed, v, rep)
		if !v.OK() || rep.Unaccounted > 0 {
			return errBroken
		}
		return nil
	}
	rep, err := c.run(e.ctx, d)
	if err != nil {
		return err
	}
	wall := time.Since(began)
	fmt.Fprintf(e.out, "%s, seed %d, emulated\n%s%.2f s of wall time: %.1f simulated seconds a second\n",
		d.Name, c.Seed, rep,
		wall.Seconds(), rep.Seconds/wall.Seconds())
	return nil
}

func (c *emulateCmd) run(ctx context.Context, d *scenario.Day) (*emulator.Report, error) {
	opt := emulator.Options{Seed: c.Seed, Workers: c.Workers}
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
