package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime"

	"flaxshelf.example/flaxshelf/internal/testbed/platformsim"
	"flaxshelf.example/flaxshelf/internal/testbed/search"
)

type searchCmd struct {
	Day       string `arg:"" optional:"" help:"Play this stored day and print its trace, in place of a search."`
	Seed      uint64 `default:"1" help:"Seed of the first day; the days have consecutive seeds."`
	Days      int    `default:"1000" help:"Number of days to play."`
	Workers   int    `default:"0" help:"Number of days played at the same time; 0: one for each processor."`
	StopAfter int    `name:"stop-after" default:"0" placeholder:"N" help:"Stop after N days that violate a rule; 0: never."`
	Out       string `type:"path" placeholder:"DIR" help:"Write each day that violates a rule here, after it was made smaller."`
}

// Run plays drawn days, or one stored day, of the platform's scheduler in simulated time, and prints what violates a rule.
func (c *searchCmd) Run(ctx context.Context, std *streams) error {
	if c.Day != "" {
		return c.playStored(std)
	}
	if c.Workers <= 0 {
		c.Workers = runtime.GOMAXPROCS(0)
	}
	report, err := search.Run(ctx, search.Options{FirstSeed: c.Seed, Days: c.Days, Workers: c.Workers, MaxFound: c.StopAfter,
		Progress: func(done int) {
			if done%progressDays == 0 {
				std.err.printf("\r%d of %d days", done, c.Days)
			}
		}})
	std.err.println()
	if err != nil {
		return err
	}
	for i := range report.Findings {
		if err := c.writeFinding(std, &report.Findings[i]); err != nil {
			return err
		}
	}
	std.out.printf("%s\n%d days from seed %d in %.1f s: %d requests, %d placed; %d days violate a rule\n", report.Coverage,
		report.Days, c.Seed, report.Elapsed.Seconds(), report.Requests, report.Placed, len(report.Findings))
	if len(report.Findings) > 0 {
		return errRuleViolated
	}
	return nil
}

// progressDays is the number of days between two reports of the progress.
const progressDays = 20

// writeFinding prints a finding and, if Out is set, writes its day to a file.
func (c *searchCmd) writeFinding(std *streams, finding *search.Finding) error {
	day, err := json.Marshal(finding.Day)
	if err != nil {
		return err
	}
	std.out.printf("seed %d violates rule %s: %s\n%s\n", finding.Seed, finding.Violation.Rule, finding.Violation.Text, day)
	if c.Out == "" {
		return nil
	}
	if err := os.MkdirAll(c.Out, 0o755); err != nil {
		return err
	}
	return writeFile(filepath.Join(c.Out, fmt.Sprintf("seed-%d.json", finding.Seed)), func(w io.Writer) error {
		_, err := w.Write(append(day, '\n'))
		return err
	})
}

// playStored plays a stored day and prints its trace and its verdict.
func (c *searchCmd) playStored(std *streams) error {
	text, err := os.ReadFile(c.Day)
	if err != nil {
		return usageError{err}
	}
	day, err := platformsim.ParseDay(text)
	if err != nil {
		return usageError{fmt.Errorf("%s: %w", c.Day, err)}
	}
	result, err := platformsim.Play(day, platformsim.Options{Trace: true})
	var limit *platformsim.LimitError
	if errors.As(err, &limit) {
		return usageError{err}
	}
	if err != nil {
		return err
	}
	for _, line := range result.Trace {
		std.out.println(line)
	}
	std.out.printf("%d requests, %d placed, %d violations\n", result.Requests, result.Placed, len(result.Violations))
	if len(result.Violations) > 0 {
		return errRuleViolated
	}
	return nil
}
