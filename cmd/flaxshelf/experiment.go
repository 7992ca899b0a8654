package main

import (
	"errors"
	"fmt"
	"os"
	"runtime"
	"strings"

	"flaxshelf.example/flaxshelf/internal/lab/experiment"
)

type experimentCmd struct {
	File    string `arg:"" type:"existingfile" help:"The experiment, a CUE file as #Experiment of the schema."`
	Results string `placeholder:"FILE" help:"Runs that are done, a line each; the next start goes on from there. Default: the file's name with .runs."`
	Report  string `placeholder:"FILE" help:"Write one self-contained HTML page."`
	Workers int    `default:"0" help:"Runs at a time; 0: one for each processor."`
}

// Run runs what is not done yet and reports.
func (c *experimentCmd) Run(e *env) error {
	text, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	p, err := experiment.Parse(c.File, text)
	if err != nil {
		return err
	}
	if c.Results == "" {
		c.Results = strings.TrimSuffix(c.File, ".cue") + ".runs"
	}
	if c.Workers <= 0 {
		c.Workers = runtime.GOMAXPROCS(0)
	}
	runs, err := p.Execute(e.ctx, c.Results, c.Workers, func(done, all int) {
		fmt.Fprintf(e.err, "\r%d of %d runs", done, all)
		if done == all {
			fmt.Fprintln(e.err)
		}
	})
	if err != nil {
		return err
	}
	rows := p.Table(runs)
	if err := p.Text(e.out, rows); err != nil || c.Report == "" {
		return err
	}
	f, err := os.Create(c.Report)
	if err != nil {
		return err
	}
	return errors.Join(p.HTML(f, rows), f.Close())
}
