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

// errRuleViolated reports that a recording or a trace violates a rule. The verdict, which is printed, names the rule.
var errRuleViolated = errors.New("a rule was violated")

// missingOutcomesError reports how many submissions have no outcome at the end of an emulated day.
type missingOutcomesError struct{ submissions int }

func (e missingOutcomesError) Error() string {
	return fmt.Sprintf("%d submissions have no outcome", e.submissions)
}

// trialsFailedError reports how many trials violated a rule or failed another check. Their results have been printed.
type trialsFailedError struct{ failed, total int }

func (e trialsFailedError) Error() string {
	return fmt.Sprintf("the trial has failed on %d of %d seeds", e.failed, e.total)
}

type trialCmd struct {
	Day           string `arg:"" help:"A built-in scripted day, a CUE file of the schema's type #Trial, or list for the days."`
	Seed          uint64 `default:"1" help:"Seed of the random number generator."`
	Seeds         int    `default:"1" help:"Number of trials to run one after the other, with consecutive seeds from --seed on."`
	Cores         int    `placeholder:"N" help:"Number of cores of each scheduler; overrides the day."`
	Record        string `placeholder:"FILE" help:"Write the recording of the traffic here; with several seeds, of the last."`
	KeepDirectory string `name:"keep" type:"path" placeholder:"DIR" help:"Keep the logs and configurations of schedulers here."`
	Replay        bool   `default:"true" negatable:"" help:"Also replay the recorded steps to a placer and compare the actions."`
	Quiet         bool   `short:"q" help:"Don't print faults and submissions without an outcome."`
}

// Run plays a scripted day over real sockets, once for each seed, and prints the results. With the name list it prints the
// built-in days instead.
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
	executable, err := os.Executable()
	if err != nil {
		return err
	}
	failed := 0
	for i := range c.Seeds {
		options := trial.Options{Seed: c.Seed + uint64(i), RecordingPath: c.Record, Directory: c.KeepDirectory, Replay: c.Replay,
			Command: func(args ...string) *exec.Cmd { return exec.Command(executable, args...) }}
		if !c.Quiet {
			options.Logf = func(format string, args ...any) { std.out.printf(format+"\n", args...) }
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
		return trialsFailedError{failed: failed, total: c.Seeds}
	}
	return nil
}

// listDays prints the built-in scripted days with their descriptions.
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
