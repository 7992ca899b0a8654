package main

import (
	"errors"
	"fmt"
	"os"
	"os/exec"

	"flaxshelf.example/flaxshelf/internal/lab/rules"
	"flaxshelf.example/flaxshelf/internal/lab/scenario"
	"flaxshelf.example/flaxshelf/internal/lab/trial"
	"flaxshelf.example/flaxshelf/internal/replay"
)

// errBroken is a trial in which a rule was broken or something else went wrong.
var errBroken = errors.New("the trial has failed")

type trialCmd struct {
	Day    string `arg:"" help:"Name of a day that ships with the program, or a CUE file as #Trial of the schema. 'list' lists them."`
	Seed   uint64 `default:"1" help:"What is drawn, is drawn from this."`
	Seeds  int    `default:"1" help:"Play so many seeds, one after the other, from --seed on."`
	Cores  int    `placeholder:"N" help:"Schedulers decide on so many cores instead of what the day says."`
	Record string `placeholder:"FILE" help:"Keep the recording of the traffic here; with several seeds, the last one's."`
	Keep   string `type:"path" placeholder:"DIR" help:"Keep the schedulers' logs and configurations here."`
	Replay bool   `default:"true" negatable:"" help:"Also check that the module alone, given what it was given, answers the same."`
	Quiet  bool   `short:"q" help:"Don't tell of each trouble."`
}

// Run plays a day.
func (c *trialCmd) Run(e *env) error {
	if c.Day == "list" {
		for _, name := range scenario.Names() {
			d, err := scenario.Read(name)
			if err != nil {
				return err
			}
			fmt.Fprintf(e.out, "%-20s %s\n", name, d.About)
		}
		return nil
	}
	d, err := scenario.Read(c.Day)
	if err != nil {
		return err
	}
	if c.Cores != 0 {
		d.Cores = c.Cores
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	failed := 0
	for i := range c.Seeds {
		opt := trial.Options{Seed: c.Seed + uint64(i), Record: c.Record, Keep: c.Keep, Replay: c.Replay,
			Command: func(args ...string) *exec.Cmd { return exec.Command(self, args...) }}
		if !c.Quiet {
			opt.Note = func(format string, args ...any) { fmt.Fprintf(e.out, format+"\n", args...) }
		}
		res, err := trial.Run(e.ctx, d, opt)
		if err != nil {
			return err
		}
		fmt.Fprintf(e.out, "%s, seed %d\n%s", d.Name, opt.Seed, res)
		if !res.OK() {
			failed++
		}
	}
	if failed > 0 {
		return fmt.Errorf("%w on %d of %d seeds", errBroken, failed, c.Seeds)
	}
	return nil
}

type verifyCmd struct {
	File   string   `arg:"" type:"existingfile" help:"The recording."`
	Follow []string `placeholder:"WORD" help:"Print the frames in which each of these words occurs, instead of judging."`
}

// Run judges a recording.
func (c *verifyCmd) Run(e *env) error {
	f, err := os.Open(c.File)
	if err != nil {
		return err
	}
	defer f.Close()
	if len(c.Follow) > 0 {
		return rules.Follow(f, e.out, c.Follow...)
	}
	v, err := rules.Check(f)
	if err != nil {
		return errUsage{err}
	}
	fmt.Fprint(e.out, v)
	if !v.OK() {
		return errBroken
	}
	return nil
}

func checkTrial(path string) error {
	_, err := scenario.Read(path)
	return err
}

type replayCmd struct {
	File string `arg:"" type:"existingfile" help:"What a scheduler wrote to the file that its setting tap names."`
}

// Run plays the steps.
func (c *replayCmd) Run(e *env) error {
	f, err := os.Open(c.File)
	if err != nil {
		return err
	}
	defer f.Close()
	res, err := replay.Check(f)
	if err != nil {
		return err
	}
	fmt.Fprintf(e.out, "%d steps, %d events, %d actions: the module alone answers the same\n", res.Steps, res.Events,
		res.Actions)
	return nil
}
