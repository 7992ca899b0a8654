// Package trial runs a scripted day with real processes and sockets on loopback, records the traffic, and judges the recording
// with the rules checker. It must not place tasks itself.
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

// Options are the options of Run.
type Options struct {
	Seed uint64
	// RecordingPath is the file for the recording; empty means a file in Directory.
	RecordingPath string
	// Directory is where the logs, configurations and step recordings of the schedulers are written; empty means a temporary
	// directory, which Run removes.
	Directory string
	// Replay records the steps of the schedulers' modules and replays them to a new instance of the module, which must return
	// the same actions.
	Replay bool
	// Command returns the command that runs flaxshelf with the given arguments.
	Command func(args ...string) *exec.Cmd
	// Logf logs a line for each fault and for each submission without an outcome. It is called concurrently. Nil means no log.
	Logf func(format string, args ...any)
}

// Result is the result of Run.
type Result struct {
	Verdict         *rules.Verdict
	ClientStats     ClientStats
	ReplaySummaries []string // a line for each step recording, of which each core of each incarnation has one
	Failures        []string // other than violations of the rules
}

// OK reports whether no rule is violated, every submission is accounted for and nothing else failed.
func (r *Result) OK() bool { return r.Verdict.OK() && len(r.Failures) == 0 }

// String returns the result as several lines of text.
func (r *Result) String() string {
	var text strings.Builder
	text.WriteString(r.Verdict.String())
	text.WriteString(r.ClientStats.String())
	for _, line := range r.ReplaySummaries {
		fmt.Fprintln(&text, line)
	}
	for _, line := range r.Failures {
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

// Run runs a day and judges its recording. The error is an *UnsupportedError or another failure of the trial itself. Failures of
// the schedulers are in the result: violated rules, unaccounted submissions, unclean exits and failed replays.
func Run(ctx context.Context, day *scenario.Day, options Options) (result *Result, err error) {
	for i := range day.Loads {
		if day.Loads[i].RetryDelay > 0 {
			return nil, &UnsupportedError{Day: day.Name, Reason: "only the emulator has clients that retry"}
		}
	}
	if options.Logf == nil {
		options.Logf = func(string, ...any) {}
	}
	directory, remove, err := makeDirectory(options.Directory)
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, remove()) }()
	if options.RecordingPath == "" {
		options.RecordingPath = filepath.Join(directory, "recording")
	}
	result, err = runCluster(ctx, day, options, directory)
	if err != nil {
		return nil, err
	}
	if result.Verdict, err = checkRecording(options.RecordingPath); err != nil {
		return nil, err
	}
	if count := result.ClientStats.Unaccounted; count > 0 {
		result.Failures = append(result.Failures, fmt.Sprintf("%d submissions are unaccounted for", count))
	}
	return result, nil
}

// makeDirectory creates the given directory, or a temporary one if path is empty. The returned function removes a temporary
// directory.
func makeDirectory(path string) (directory string, remove func() error, err error) {
	if path != "" {
		if err := os.MkdirAll(path, 0o700); err != nil {
			return "", nil, fmt.Errorf("trial: create the directory of the trial: %w", err)
		}
		return path, func() error { return nil }, nil
	}
	directory, err = os.MkdirTemp("", "flaxshelf-trial-")
	if err != nil {
		return "", nil, fmt.Errorf("trial: create the directory of the trial: %w", err)
	}
	return directory, func() error { return os.RemoveAll(directory) }, nil
}

// runCluster runs and records a day, and replays the recorded steps if the options say so. The verdict of the result is not set.
func runCluster(ctx context.Context, day *scenario.Day, options Options, directory string) (*Result, error) {
	checkLimits, err := json.Marshal(day.RuleLimits())
	if err != nil {
		return nil, fmt.Errorf("trial: encode the limits for the rules checker: %w", err)
	}
	recorder, err := recordproxy.NewFileRecorder(options.RecordingPath, checkLimits)
	if err != nil {
		return nil, err
	}
	result := &Result{}
	c, err := newCluster(ctx, day, options, directory, recorder)
	if err == nil {
		err = c.run(ctx, result)
	}
	if c != nil {
		if closeErr := c.shutdown(); closeErr != nil {
			result.Failures = append(result.Failures, closeErr.Error())
		}
	}
	if err := errors.Join(err, recorder.Close()); err != nil {
		return nil, err
	}
	if options.Replay {
		c.replaySteps(result)
	}
	return result, nil
}

// checkRecording judges the recording in a file.
func checkRecording(path string) (*rules.Verdict, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("trial: open the recording: %w", err)
	}
	defer func() { _ = file.Close() }() // it was only read
	return rules.Check(file)
}

// run submits the load and injects the faults, and waits until the day is over and all submissions are accounted for.
func (c *cluster) run(ctx context.Context, result *Result) error {
	startTime := time.Now()
	clients := newClients(c, startTime)
	dayCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	wait, err := c.startFaults(dayCtx, startTime, clients)
	if err != nil {
		clients.close()
		return err
	}
	clients.run(dayCtx)
	err = wait()
	clients.awaitEndOfDay(dayCtx)
	cancel()
	clients.close()
	result.ClientStats = clients.finalStats()
	return errors.Join(err, ctx.Err())
}

// replaySteps replays each step recording and adds the summary or the failure to the result.
func (c *cluster) replaySteps(result *Result) {
	for _, p := range c.schedulers {
		for _, path := range p.stepFiles {
			line, err := replayStepFile(path)
			if err != nil {
				result.Failures = append(result.Failures, fmt.Sprintf("%s: %v", filepath.Base(path), err))
				continue
			}
			result.ReplaySummaries = append(result.ReplaySummaries, line)
		}
	}
}

// replayStepFile replays recorded steps to a new instance of the module and returns a summary. A recording that was truncated
// because its scheduler was killed is replayed up to its last complete step.
func replayStepFile(path string) (string, error) {
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
