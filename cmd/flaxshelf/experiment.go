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
	File    string `arg:"" type:"existingfile" help:"The experiment, a CUE file as #Experiment of the schema."`
	Results string `placeholder:"FILE" help:"Completed runs, one per line; the next start resumes from them. Default: the file's name with .runs."`
	Report  string `placeholder:"FILE" help:"Write one self-contained HTML page."`
	Workers int    `default:"0" help:"Concurrent runs; 0: one for each processor."`
}

// Run executes the runs that are not completed yet, and prints the results.
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
