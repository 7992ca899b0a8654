// Package trial runs days of scenarios with real processes and sockets on loopback, and judges their recordings with the
// rules checker. It must not place tasks itself.
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

	"flaxshelf.example/flaxshelf/internal/replay"
	"flaxshelf.example/flaxshelf/internal/testbed/recordproxy"
	"flaxshelf.example/flaxshelf/internal/testbed/rules"
	"flaxshelf.example/flaxshelf/internal/testbed/scenario"
)

// Options are the options of a run.
type Options struct {
	Seed uint64
	// Record is the file for the recording; empty means a temporary file.
	Record string
	// Directory is where the logs and configurations of the schedulers are written; empty means a temporary directory.
	Directory string
	// Replay records the steps of the modules, and replays them to a module by itself, which must return the same actions.
	Replay bool
	// Command returns the command that runs flaxshelf with the arguments.
	Command func(args ...string) *exec.Cmd
	// Note is called with a line of text for each fault and each submission without an outcome. It is called concurrently; it
	// may be nil.
	Note func(format string, args ...any)
}

// Result is the result of a run.
type Result struct {
	Verdict *rules.Verdict
	Tally   Tally
	Replays []string // one line for each recording of steps: each core of each incarnation of a scheduler
	Failed  []string // failures other than violations of the rules
}

// OK reports whether no rule is violated, every submission is accounted for and nothing else failed.
func (r *Result) OK() bool { return r.Verdict.OK() && len(r.Failed) == 0 }

// String returns the result as text of several lines.
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

// UnsupportedError reports a day that a trial can't run.
type UnsupportedError struct {
	Day    string
	Reason string
}

// Error returns a message with the day and the reason.
func (e *UnsupportedError) Error() string { return fmt.Sprintf("trial: %s: %s", e.Day, e.Reason) }

// Run runs a day. The error is an *UnsupportedError or another failure of the trial itself; failures of the schedulers are in
// the result.
func Run(ctx context.Context, d *scenario.Day, opt Options) (result *Result, err error) {
	for i := range d.Loads {
		if d.Loads[i].RetryDelay > 0 {
			return nil, &UnsupportedError{Day: d.Name, Reason: "only the emulator has clients that retry"}
		}
	}
	if opt.Note == nil {
		opt.Note = func(string, ...any) {}
	}
	directory, remove, err := makeDirectory(opt.Directory)
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
	if count := result.Tally.Unaccounted; count > 0 {
		result.Failed = append(result.Failed, fmt.Sprintf("%d submissions are unaccounted for", count))
	}
	return result, nil
}

// makeDirectory creates the given directory, or a temporary one if path is empty. The returned function removes a temporary
// directory.
func makeDirectory(path string) (directory string, remove func() error, err error) {
	if path != "" {
		if err := os.MkdirAll(path, 0o700); err != nil {
			return "", nil, fmt.Errorf("trial: %w", err)
		}
		return path, func() error { return nil }, nil
	}
	directory, err = os.MkdirTemp("", "flaxshelf-trial-")
	if err != nil {
		return "", nil, fmt.Errorf("trial: %w", err)
	}
	return directory, func() error { return os.RemoveAll(directory) }, nil
}

// runCluster runs and records a day. The caller sets the verdict of the result.
func runCluster(ctx context.Context, d *scenario.Day, opt Options, directory string) (*Result, error) {
	figures, err := json.Marshal(d.RuleLimits())
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

// check judges the recording in a file.
func check(path string) (*rules.Verdict, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("trial: %w", err)
	}
	defer func() { _ = file.Close() }() // it was only read
	return rules.Check(file)
}

// run submits the load and injects the faults until the day is over and all submissions are accounted for.
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

// replaySteps replays the recorded steps of each incarnation to a module by itself.
func (c *cluster) replaySteps(result *Result) {
	for _, p := range c.schedulers {
		for _, path := range p.stepFiles {
			line, err := checkSteps(path)
			if err != nil {
				result.Failed = append(result.Failed, fmt.Sprintf("%s: %v", filepath.Base(path), err))
				continue
			}
			result.Replays = append(result.Replays, line)
		}
	}
}

// checkSteps replays recorded steps to a new instance of the module. A recording that was truncated by a kill is replayed up to
// its last complete step.
func checkSteps(path string) (string, error) {
	file, err := os.Open(path)
	if err != nil {
		return "", err
	}
	defer func() { _ = file.Close() }() // it was only read
	replayed, err := replay.Check(file)
	if err != nil && !errors.Is(err, io.EOF) {
		return "", err
	}
	return fmt.Sprintf("%s: the replayed module returns the same actions: %d steps, %d events, %d actions", filepath.Base(path),
		replayed.Steps, replayed.Events, replayed.Actions), nil
}
