// Package trial runs days of scenarios over real processes and sockets on loopback, and has the recording checked. It must
// not place anything itself.
package trial

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"flaxshelf.example/flaxshelf"
	"flaxshelf.example/flaxshelf/internal/replay"
	"flaxshelf.example/flaxshelf/internal/testbed/recordproxy"
	"flaxshelf.example/flaxshelf/internal/testbed/rules"
	"flaxshelf.example/flaxshelf/internal/testbed/scenario"
)

// Options are how a day is run.
type Options struct {
	Seed uint64
	// Record is the file for the recording; empty: a temporary one.
	Record string
	// Keep is the directory for the schedulers' logs and configurations; empty: a temporary one.
	Keep string
	// Replay has the steps of the modules recorded and checked by a module alone.
	Replay bool
	// Also is, with Replay, another module that must answer the same; may be nil.
	Also Module
	// Command makes the command that runs flaxshelf with the arguments.
	Command func(args ...string) *exec.Cmd
	// Note is called with a line of text for each fault and each submission without outcome, by several goroutines; may be
	// nil.
	Note func(format string, args ...any)
}

// Module makes a module to which recorded steps are replayed.
type Module func(c flaxshelf.Config, seed uint64) (replay.Module, error)

// Result is the result of a day.
type Result struct {
	Verdict *rules.Verdict
	Tally   Tally
	Replays []string // one line for each incarnation of a scheduler
	Failed  []string // failures beside the rules
}

// OK reports whether all rules are kept, every submission is accounted for and nothing else failed.
func (r *Result) OK() bool { return r.Verdict.OK() && len(r.Failed) == 0 }

// String is the result for people, on several lines.
func (r *Result) String() string {
	var text strings.Builder
	text.WriteString(r.Verdict.String())
	text.WriteString(r.Tally.String())
	for _, line := range r.Replays {
		fmt.Fprintln(&text, line)
	}
	for _, line := range r.Failed {
		fmt.Fprintln(&text, "failed:", line)
	}
	return text.String()
}

// UnsupportedError is a day that a trial can't run.
type UnsupportedError struct {
	Day    string
	Reason string
}

// Error names the day and the reason.
func (e *UnsupportedError) Error() string { return fmt.Sprintf("trial: %s: %s", e.Day, e.Reason) }

// Run runs a day. The error is of the trial itself, an *UnsupportedError among others; what the trial shows of the
// schedulers is in the result.
func Run(ctx context.Context, d *scenario.Day, opt Options) (result *Result, err error) {
	for i := range d.Load {
		if d.Load[i].Retry > 0 {
			return nil, &UnsupportedError{Day: d.Name, Reason: "clients that retry are run by the emulator only"}
		}
	}
	if opt.Note == nil {
		opt.Note = func(string, ...any) {}
	}
	directory, remove, err := makeDirectory(opt.Keep)
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, remove()) }()
	if opt.Record == "" {
		opt.Record = filepath.Join(directory, "recording")
	}
	result, err = runCluster(ctx, d, opt, directory)
	if err != nil {
		return nil, err
	}
	if result.Verdict, err = check(opt.Record); err != nil {
		return nil, err
	}
	if open := result.Tally.Open; open > 0 {
		result.Failed = append(result.Failed, fmt.Sprintf("%d submissions are not accounted for", open))
	}
	return result, nil
}

// makeDirectory makes the directory of a trial. The function removes a temporary one.
func makeDirectory(keep string) (directory string, remove func() error, err error) {
	if keep != "" {
		if err := os.MkdirAll(keep, 0o700); err != nil {
			return "", nil, fmt.Errorf("trial: %w", err)
		}
		return keep, func() error { return nil }, nil
	}
	directory, err = os.MkdirTemp("", "flaxshelf-trial-")
	if err != nil {
		return "", nil, fmt.Errorf("trial: %w", err)
	}
	return directory, func() error { return os.RemoveAll(directory) }, nil
}

// runCluster records a day; the verdict is left to the caller.
func runCluster(ctx context.Context, d *scenario.Day, opt Options, directory string) (*Result, error) {
	figures, err := json.Marshal(d.Figures())
	if err != nil {
		return nil, fmt.Errorf("trial: figures: %w", err)
	}
	recorder, err := recordproxy.Create(opt.Record, figures)
	if err != nil {
		return nil, err
	}
	result := &Result{}
	c, err := newCluster(ctx, d, opt, directory, recorder)
	if err == nil {
		err = c.run(ctx, result)
	}
	if c != nil {
		if closeErr := c.close(); closeErr != nil {
			result.Failed = append(result.Failed, closeErr.Error())
		}
	}
	if err := errors.Join(err, recorder.Close()); err != nil {
		return nil, err
	}
	if opt.Replay {
		c.replaySteps(result)
	}
	return result, nil
}

// check judges a recording in a file.
func check(path string) (*rules.Verdict, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("trial: %w", err)
	}
	defer func() { _ = file.Close() }() // it was only read
	return rules.Check(file)
}

// run submits load and injects faults until the day is over and all is accounted for.
func (c *cluster) run(ctx context.Context, result *Result) error {
	begin := time.Now()
	load := newClients(c, begin)
	inner, cancel := context.WithCancel(ctx)
	defer cancel()
	wait, err := c.startFaults(inner, begin, load)
	if err != nil {
		load.close()
		return err
	}
	load.run(inner)
	err = wait()
	load.settle(inner)
	cancel()
	load.close()
	result.Tally = load.result()
	return errors.Join(err, ctx.Err())
}

// replaySteps replays the recorded steps of each incarnation to a module alone.
func (c *cluster) replaySteps(result *Result) {
	for _, p := range c.schedulers {
		for _, path := range p.stepFiles {
			line, err := checkSteps(path, nil)
			if err == nil && c.opt.Also != nil {
				_, err = checkSteps(path, c.opt.Also)
			}
			if err != nil {
				result.Failed = append(result.Failed, fmt.Sprintf("%s: %v", filepath.Base(path), err))
				continue
			}
			result.Replays = append(result.Replays, line)
		}
	}
}

// checkSteps replays recorded steps to the module that recorded them, or to another. A recording that a kill has cut off
// is replayed as far as it goes.
func checkSteps(path string, module Module) (string, error) {
	file, err := os.Open(path)
	if err != nil {
		return "", err
	}
	defer func() { _ = file.Close() }() // it was only read
	var replayed replay.Result
	if module == nil {
		replayed, err = replay.Check(file)
	} else {
		replayed, err = replay.CheckWith(file, module)
	}
	if err != nil && !errors.Is(err, io.EOF) {
		return "", err
	}
	return fmt.Sprintf("%s: the module alone answers the same: %d steps, %d events, %d actions", filepath.Base(path),
		replayed.Steps, replayed.Events, replayed.Actions), nil
}
