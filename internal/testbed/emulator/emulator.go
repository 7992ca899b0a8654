// Package emulator runs simulated clusters: the schedulers' cores, the node models and the inventory model, which are the
// same code that runs on sockets, under one simulated clock. A seed determines the trace, whatever the number of workers;
// therefore the package must not read a clock or open sockets.
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

// Options are how a day is emulated.
type Options struct {
	// Seed determines all random numbers.
	Seed uint64
	// Workers is the number of goroutines that run entities. Zero means one.
	Workers int
	// Record, when set, receives a recording for rules.Check. It requires one worker.
	Record io.Writer
	// NewModule returns the module of each scheduler; nil means flaxshelf.New.
	NewModule func(cfg flaxshelf.Config, seed uint64) (scheduler.Module, error)
	// ConfigureCore, when set, may change the configuration of each scheduler's core, as for tests without a guard.
	ConfigureCore func(cfg *scheduler.Config)
	// Load, when set, replaces the day's own load; the day lasts at least as long.
	Load *load.Trace
	// MeasureFrom is the time in seconds from which on submissions count in the reports of the classes. Those before it
	// only fill the fleet.
	MeasureFrom float64
	// Progress, when set, is called with the simulated seconds every 1,000 windows.
	Progress func(seconds float64)
}

// OptionsError is returned for a combination of a day and options that can't be emulated.
type OptionsError struct {
	Option string // a field of Options or of the day
	Value  any
	Reason string
}

// Error names the option, its value and the reason.
func (e *OptionsError) Error() string {
	return fmt.Sprintf("emulator: %s %v %s", e.Option, e.Value, e.Reason)
}

// Intervals, in windows, of the calls of Options.Progress and of the checks of the context.
const (
	progressWindows    = 1000
	cancelCheckWindows = 256
)

// Run emulates a day. It returns the error of the context, an *OptionsError, the error of a fault that the emulator does
// not support, or an error of a core or of writing the recording.
func Run(ctx context.Context, d *scenario.Day, opt Options) (*Report, error) {
	s, err := newSimulation(d, opt)
	if err != nil {
		return nil, err
	}
	if err := s.faults.plan(ctx); err != nil {
		return nil, fmt.Errorf("emulator: %w", err)
	}
	end := Epoch + warmUpDuration + scenario.Seconds(s.day.Seconds+d.After)
	windows := 0
	s.engine.run(end, func() bool {
		windows++
		if windows%progressWindows == 0 && opt.Progress != nil {
			opt.Progress((Time(s.engine.wheel.lastWindow) * window).Seconds())
		}
		return s.err != nil || windows%cancelCheckWindows == 0 && ctx.Err() != nil
	})
	if s.err != nil {
		return nil, fmt.Errorf("emulator: %w", s.err)
	}
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	if opt.Record != nil {
		figures, err := json.Marshal(d.Figures())
		if err != nil {
			return nil, fmt.Errorf("emulator: figures: %w", err)
		}
		if err := s.recorder.write(opt.Record, figures, end); err != nil {
			return nil, err
		}
	}
	return s.report(end), nil
}

// RunAndCheck emulates a day and checks its recording with rules.Check. opt.Record is ignored.
func RunAndCheck(ctx context.Context, d *scenario.Day, opt Options) (*Report, *rules.Verdict, error) {
	recording, out := io.Pipe()
	type checked struct {
		verdict *rules.Verdict
		err     error
	}
	done := make(chan checked, 1)
	go func() { // ends when the pipe is closed
		verdict, err := rules.Check(recording)
		_ = recording.CloseWithError(err) // it never fails
		done <- checked{verdict, err}
	}()
	opt.Record = out
	report, err := Run(ctx, d, opt)
	_ = out.CloseWithError(err) // it never fails
	check := <-done
	if err != nil {
		return nil, nil, err
	}
	return report, check.verdict, check.err
}
