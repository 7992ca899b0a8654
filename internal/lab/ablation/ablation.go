// Package ablation owns what each bar of the module is worth: emulated days are played again with one of them taken out,
// and the rules' checker or a paired comparison says what that did. It must not decide anything about placement.
package ablation

import (
	"context"
	"fmt"
	"runtime"
	"sync"

	"flaxshelf.example/flaxshelf"
	"flaxshelf.example/flaxshelf/internal/lab/emulator"
	"flaxshelf.example/flaxshelf/internal/lab/experiment"
	"flaxshelf.example/flaxshelf/internal/lab/rules"
	"flaxshelf.example/flaxshelf/internal/lab/scenario"
	"flaxshelf.example/flaxshelf/internal/scheduler"
)

// Hard is a hard bar, the day that shows what it is for, and the rule that breaks without it. Guards are those of the
// core that keep the same rule again: with them in place nothing is seen.
type Hard struct {
	Bar    flaxshelf.Constraint
	Guards scheduler.Guards
	Day    string
	Rule   int // index in a verdict
}

// HardRows is every hard bar.
var HardRows = []Hard{
	{Bar: flaxshelf.DrainConstraint, Guards: scheduler.Guards{Drain: true}, Day: "shrink", Rule: rules.DrainsKept},
	{Bar: flaxshelf.RetrySafetyConstraint, Day: "class-silence", Rule: rules.NoSecondStart},
	{Bar: flaxshelf.SpreadConstraint, Day: "hot-service", Rule: rules.SpreadKept},
	{Bar: flaxshelf.SlowStartConstraint, Day: "mass-restart", Rule: rules.ColdKept},
	{Bar: flaxshelf.AnswerDeadlineConstraint, Guards: scheduler.Guards{Answer: true}, Day: "hot-service", Rule: rules.OneAnswer},
}

// Days names the days that the emulator plays.
func Days() (names []string) {
	for _, name := range scenario.Names() {
		switch name {
		case "bad-day", "links", "inventory", "rude-clients": // of connections, which only sockets have
		default:
			names = append(names, name)
		}
	}
	return names
}

// Options take bars and guards out of every scheduler of a day.
func Options(seed uint64, guards scheduler.Guards, out ...flaxshelf.Constraint) emulator.Options {
	return emulator.Options{Seed: seed,
		Core: func(c *scheduler.Config) { c.DisabledGuards = guards },
		Make: func(c flaxshelf.Config, seed uint64) (scheduler.Module, error) {
			p, err := flaxshelf.New(c, seed)
			if err != nil {
				return nil, err
			}
			p.Disable(out...)
			return p, nil
		}}
}

// Broken tells which rules a day breaks, by index, with what is taken out.
func Broken(ctx context.Context, day string, opt emulator.Options) ([]bool, *emulator.Report, error) {
	d, err := scenario.Read(day)
	if err != nil {
		return nil, nil, err
	}
	rep, v, err := emulator.Judge(ctx, d, opt)
	if err != nil {
		return nil, nil, err
	}
	broken := make([]bool, len(v.Rules))
	for i, r := range v.Rules {
		broken[i] = len(r.Broken) > 0
	}
	return broken, rep, nil
}

// Measure is what a day brought: the share of the worth of all submissions that was earned, and the median and the 99th
// percentile of the time to the first placement in seconds.
type Measure struct{ Worth, P50, P99 float64 }

// Measured reads a report.
func Measured(d *scenario.Day, r *emulator.Report) Measure {
	var earned, all float64
	wait := r.Classes[0].Wait
	for i, c := range r.Classes {
		worth, late := 1.0, 0.0
		for _, k := range d.Classes {
			if k.Name == c.Class {
				worth, late = k.PriorityWeight, k.LateStartWeight
			}
		}
		all += worth * float64(c.Submitted)
		earned += worth * (float64(c.InTime) + late*float64(c.Placed-c.InTime))
		if i > 0 {
			wait.Merge(c.Wait)
		}
	}
	m := Measure{P50: float64(wait.ValueAtQuantile(50)) / 1e6, P99: float64(wait.ValueAtQuantile(99)) / 1e6}
	if all > 0 {
		m.Worth = earned / all
	}
	return m
}

// Loss is what taking something out costs, over pairs of one seed: the share of the worth, and seconds at p99.
type Loss struct{ Worth, P99 experiment.Estimate }

// Seen tells that it costs worth or time beyond the 95% interval.
func (l Loss) Seen() bool {
	return l.Worth.Mean > l.Worth.HalfWidth || l.P99.Mean > l.P99.HalfWidth
}

// Hurts tells that taking it out earns worth beyond the interval: that it does harm there.
func (l Loss) Hurts() bool { return -l.Worth.Mean > l.Worth.HalfWidth }

func (l Loss) String() string {
	return fmt.Sprintf("worth %+.4f ± %.4f, p99 %+.3f ± %.3f s", l.Worth.Mean, l.Worth.HalfWidth, l.P99.Mean, l.P99.HalfWidth)
}

// Play measures a day over seeds with bars taken out, several at a time.
func Play(ctx context.Context, day string, seeds int, out ...flaxshelf.Constraint) ([]Measure, error) {
	d, err := scenario.Read(day)
	if err != nil {
		return nil, err
	}
	all, errs := make([]Measure, seeds), make([]error, seeds)
	var wg sync.WaitGroup
	gate := make(chan struct{}, runtime.GOMAXPROCS(0))
	for i := range seeds {
		wg.Add(1)
		gate <- struct{}{}
		go func() {
			defer func() { <-gate; wg.Done() }()
			var rep *emulator.Report
			if rep, errs[i] = emulator.Run(ctx, d, Options(uint64(i+1), scheduler.Guards{}, out...)); errs[i] == nil {
				all[i] = Measured(d, rep)
			}
		}()
	}
	wg.Wait()
	for _, err := range errs {
		if err != nil {
			return nil, err
		}
	}
	return all, nil
}

// Compare is what is lost from with to without, seed by seed.
func Compare(with, without []Measure) Loss {
	worth, p99 := make([]float64, len(with)), make([]float64, len(with))
	for i := range with {
		worth[i], p99[i] = with[i].Worth-without[i].Worth, without[i].P99-with[i].P99
	}
	return Loss{experiment.EstimateMean(worth), experiment.EstimateMean(p99)}
}
