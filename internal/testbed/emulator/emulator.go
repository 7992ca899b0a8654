// Package emulator runs scripted days on simulated clusters in simulated time. It runs the scheduler cores, the node models
// and the inventory model that trials run on sockets, and replaces clocks and connections by a discrete-event simulation.
//
// The seed alone determines the result, for any number of workers. The package must therefore not read a clock or open
// sockets.
package emulator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"

	"flaxshelf.example/flaxshelf"
	"flaxshelf.example/flaxshelf/internal/scheduler"
	"flaxshelf.example/flaxshelf/internal/testbed/load"
	"flaxshelf.example/flaxshelf/internal/testbed/rules"
	"flaxshelf.example/flaxshelf/internal/testbed/scenario"
)

// Options configures the emulation of a day.
type Options struct {
	// Seed is the seed of all random numbers.
	Seed uint64
	// Workers is the number of goroutines that run the simulated parties. Zero means one.
	Workers int
	// Record, if not nil, receives a recording that rules.Check can read. It requires one worker.
	Record io.Writer
	// NewModule creates the placement module of each scheduler. Nil means flaxshelf.New.
	NewModule func(cfg flaxshelf.Config, seed uint64) (scheduler.Module, error)
	// ConfigureCore, if not nil, may change the configuration of each scheduler core, for example to disable a guard in a
	// test.
	ConfigureCore func(cfg *scheduler.Config)
	// Load, if not nil, replaces the load of the day. The day is extended to the length of the trace if it is shorter.
	Load *load.Trace
	// MeasureFrom is the time in seconds after the start of the day from which submissions count in the class reports.
	// Earlier submissions only fill the fleet.
	MeasureFrom float64
	// Progress, if not nil, is called every 1,000 windows of one millisecond with the simulated time in seconds.
	Progress func(seconds float64)
}

// OptionsError reports a combination of a day and options that the emulator does not support.
type OptionsError struct {
	Option string // name of the field of Options or of the day
	Value  any    // the unsupported value
	Reason string // continues a sentence that begins with the option and its value
}

// Error returns the option, its value and the reason as one sentence.
func (e *OptionsError) Error() string {
	return fmt.Sprintf("emulator: %s %v %s", e.Option, e.Value, e.Reason)
}

// Intervals, in windows, of calls to Options.Progress and of checks for cancellation of the context.
const (
	progressWindows    = 1000
	cancelCheckWindows = 256
)

// Run emulates a day. It returns an *OptionsError for unsupported options, the error of the context when that is canceled,
// a *fault.UnsupportedError for a fault that the emulator can't inject, or an error of a scheduler core or of writing the
// recording.
func Run(ctx context.Context, day *scenario.Day, options Options) (*Report, error) {
	s, err := newSimulation(day, options)
	if err != nil {
		return nil, err
	}
	if err := s.faults.plan(ctx); err != nil {
		return nil, fmt.Errorf("emulator: %w", err)
	}
	end := Epoch + warmUpDuration + scenario.Seconds(s.day.LoadSeconds+day.WaitSeconds)
	windows := 0
	s.engine.run(end, func() bool {
		windows++
		if windows%progressWindows == 0 && options.Progress != nil {
			options.Progress((Time(s.engine.wheel.lastWindow) * window).Seconds())
		}
		return s.err != nil || windows%cancelCheckWindows == 0 && ctx.Err() != nil
	})
	if s.err != nil {
		return nil, fmt.Errorf("emulator: %w", s.err)
	}
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	if options.Record != nil {
		figures, err := json.Marshal(day.RuleLimits())
		if err != nil {
			return nil, fmt.Errorf("emulator: encoding the rule limits of the day: %w", err)
		}
		if err := s.recorder.write(options.Record, figures, end); err != nil {
			return nil, err
		}
	}
	return s.report(end), nil
}

// RunAndCheck emulates a day and checks its recording with rules.Check. It ignores options.Record.
func RunAndCheck(ctx context.Context, day *scenario.Day, options Options) (*Report, *rules.Verdict, error) {
	recording, out := io.Pipe()
	type checked struct {
		verdict *rules.Verdict
		err     error
	}
	done := make(chan checked, 1)
	go func() { // ends when Run has returned and the pipe is closed
		verdict, err := rules.Check(recording)
		_ = recording.CloseWithError(err) // it never fails
		done <- checked{verdict, err}
	}()
	options.Record = out
	report, err := Run(ctx, day, options)
	_ = out.CloseWithError(err) // it never fails
	check := <-done
	if err != nil {
		return nil, nil, err
	}
	return report, check.verdict, check.err
}
