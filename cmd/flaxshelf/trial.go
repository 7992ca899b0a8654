package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"

	"flaxshelf.example/flaxshelf/internal/testbed/scenario"
	"flaxshelf.example/flaxshelf/internal/testbed/trial"
)

// errRuleViolated reports a recording or a trace that violates a rule.
var errRuleViolated = errors.New("a rule was violated")

// unaccountedError reports submissions without an outcome.
type unaccountedError struct{ submissions int }

func (e unaccountedError) Error() string {
	return fmt.Sprintf("%d submissions have no outcome", e.submissions)
}

// trialsFailedError reports trials in which a rule was violated or another check failed; their results are printed.
type trialsFailedError struct{ failed, played int }

func (e trialsFailedError) Error() string {
	return fmt.Sprintf("the trial has failed on %d of %d seeds", e.failed, e.played)
}

type trialCmd struct {
	Day           string `arg:"" help:"Name of a day that ships with the program, or a CUE file as #Trial of the schema. 'list' lists them."`
	Seed          uint64 `default:"1" help:"Seed of the random numbers."`
	Seeds         int    `default:"1" help:"Number of seeds to play one after the other, from --seed on."`
	Cores         int    `placeholder:"N" help:"Cores of each scheduler; overrides the day."`
	Record        string `placeholder:"FILE" help:"Write the recording of the traffic here; with several seeds, the last one's."`
	KeepDirectory string `name:"keep" type:"path" placeholder:"DIR" help:"Keep the schedulers' logs and configurations here."`
	Replay        bool   `default:"true" negatable:"" help:"Also replay the recorded steps to the module and compare its actions."`
	Quiet         bool   `short:"q" help:"Don't report each fault."`
}

// Run plays a day over real sockets, once for each seed.
func (c *trialCmd) Run(ctx context.Context, std *streams) error {
	if c.Day == "list" {
		return listDays(std)
	}
	day, err := scenario.Read(c.Day)
	if err != nil {
		return err
	}
	if c.Cores != 0 {
		day.Shards = c.Cores
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	failed := 0
	for i := range c.Seeds {
		options := trial.Options{Seed: c.Seed + uint64(i), Record: c.Record, Directory: c.KeepDirectory, Replay: c.Replay,
			Command: func(args ...string) *exec.Cmd { return exec.Command(self, args...) }}
		if !c.Quiet {
			options.Note = func(format string, args ...any) { std.out.printf(format+"\n", args...) }
		}
		result, err := trial.Run(ctx, day, options)
		if err != nil {
			return err
		}
		std.out.printf("%s, seed %d\n%s", day.Name, options.Seed, result)
		if !result.OK() {
			failed++
		}
	}
	if failed > 0 {
		return trialsFailedError{failed: failed, played: c.Seeds}
	}
	return nil
}

// listDays prints the days that ship with the program.
func listDays(std *streams) error {
	for _, name := range scenario.Names() {
		day, err := scenario.Read(name)
		if err != nil {
			return err
		}
		std.out.printf("%-20s %s\n", name, day.Description)
	}
	return nil
}
