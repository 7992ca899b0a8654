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

// errTrialFailed is a trial in which a rule was broken or something else went wrong.
var errTrialFailed = errors.New("the trial has failed")

type trialCmd struct {
	Day           string `arg:"" help:"Name of a day that ships with the program, or a CUE file as #Trial of the schema. 'list' lists them."`
	Seed          uint64 `default:"1" help:"Seed of the random numbers."`
	Seeds         int    `default:"1" help:"Play so many seeds, one after the other, from --seed on."`
	Cores         int    `placeholder:"N" help:"Schedulers decide on so many cores instead of what the day says."`
	Record        string `placeholder:"FILE" help:"Write the recording of the traffic here; with several seeds, the last one's."`
	KeepDirectory string `name:"keep" type:"path" placeholder:"DIR" help:"Keep the schedulers' logs and configurations here."`
	Replay        bool   `default:"true" negatable:"" help:"Also check that the module alone, with the same inputs, answers the same."`
	Quiet         bool   `short:"q" help:"Don't report each fault."`
}

// Run plays a day.
func (c *trialCmd) Run(ctx context.Context, std *streams) error {
	if c.Day == "list" {
		return listDays(std)
	}
	day, err := scenario.Read(c.Day)
	if err != nil {
		return err
	}
	if c.Cores != 0 {
		day.Cores = c.Cores
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
		return fmt.Errorf("%w on %d of %d seeds", errTrialFailed, failed, c.Seeds)
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
		std.out.printf("%-20s %s\n", name, day.About)
	}
	return nil
}
