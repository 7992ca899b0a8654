package main

import (
	"context"
	"io"
	"os"
	"runtime"
	"strings"

	"flaxshelf.example/flaxshelf/internal/testbed/experiment"
)

type experimentCmd struct {
	File    string `arg:"" type:"existingfile" help:"A CUE file of the schema's type #Experiment."`
	Results string `placeholder:"FILE" help:"Completed runs, one per line, to resume from; default: the experiment with .runs."`
	Report  string `placeholder:"FILE" help:"Write a report to this file, as one self-contained HTML page."`
	Workers int    `default:"0" help:"Number of concurrent runs; 0: one for each processor."`
}

// Run executes the runs that the file of completed runs does not have yet, and prints a table of all results.
func (c *experimentCmd) Run(ctx context.Context, std *streams) error {
	text, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	plan, err := experiment.Parse(c.File, text)
	if err != nil {
		return err
	}
	if c.Results == "" {
		c.Results = strings.TrimSuffix(c.File, ".cue") + ".runs"
	}
	if c.Workers <= 0 {
		c.Workers = runtime.GOMAXPROCS(0)
	}
	runs, err := plan.Execute(ctx, c.Results, c.Workers, func(done, all int) {
		std.err.printf("\r%d of %d runs", done, all)
		if done == all {
			std.err.println()
		}
	})
	if err != nil {
		return err
	}
	rows := plan.Summaries(runs)
	if err := plan.WriteText(std.out, rows); err != nil || c.Report == "" {
		return err
	}
	return writeFile(c.Report, func(w io.Writer) error { return plan.WriteHTML(w, rows) })
}
