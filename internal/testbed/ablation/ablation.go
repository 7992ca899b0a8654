// Package ablation measures what each constraint of the module contributes: emulated days are played with one of them
// disabled, and the rules checker or a paired comparison shows the effect.
package ablation

import (
	"context"
	"errors"
	"runtime"
	"sync"

	"flaxshelf.example/flaxshelf"
	"flaxshelf.example/flaxshelf/internal/scheduler"
	"flaxshelf.example/flaxshelf/internal/testbed/emulator"
	"flaxshelf.example/flaxshelf/internal/testbed/rules"
	"flaxshelf.example/flaxshelf/internal/testbed/scenario"
)

// HardConstraint is a hard constraint with a day on which a rule is broken without it.
type HardConstraint struct {
	Constraint flaxshelf.PolicyRule
	// Guards are those of the scheduler core that enforce the same rule once more: with them enabled, no rule is broken.
	Guards    scheduler.Guards
	Day       string
	RuleIndex int // index in a verdict
}

// HardConstraints lists the hard constraints that a rule depends on.
var HardConstraints = []HardConstraint{
	{
		Constraint: flaxshelf.DrainConstraint,
		Guards:     scheduler.Guards{Drain: true},
		Day:        "shrink",
		RuleIndex:  rules.DrainRespected,
	},
	{Constraint: flaxshelf.RetrySafetyConstraint, Day: "class-silence", RuleIndex: rules.NoDuplicateStart},
	{Constraint: flaxshelf.SpreadConstraint, Day: "hot-service", RuleIndex: rules.SpreadRespected},
	{Constraint: flaxshelf.SlowStartConstraint, Day: "mass-restart", RuleIndex: rules.SlowStartRespected},
	{
		Constraint: flaxshelf.AnswerDeadlineConstraint,
		Guards:     scheduler.Guards{PlacementDeadline: true},
		Day:        "hot-service",
		RuleIndex:  rules.OneOutcome,
	},
}

// EmulatedDays returns the names of the scripted days that the emulator supports. The others have connection faults, which
// only trials on sockets can inject.
func EmulatedDays() []string {
	var names []string
	for _, name := range scenario.Names() {
		switch name {
		case "bad-day", "links", "inventory", "rude-clients":
		default:
			names = append(names, name)
		}
	}
	return names
}

// EmulatorOptions returns options that disable the given guards and constraints in every scheduler of a day.
func EmulatorOptions(seed uint64, guards scheduler.Guards, disabled ...flaxshelf.PolicyRule) emulator.Options {
	return emulator.Options{
		Seed:          seed,
		ConfigureCore: func(c *scheduler.Config) { c.DisabledGuards = guards },
		NewModule: func(c flaxshelf.Config, seed uint64) (scheduler.Module, error) {
			p, err := flaxshelf.New(c, seed)
			if err != nil {
				return nil, err
			}
			p.Disable(disabled...)
			return p, nil
		},
	}
}

// ViolatedRules emulates a day. Element i of the result reports whether rule i of the verdict was violated.
func ViolatedRules(ctx context.Context, day string, opt emulator.Options) ([]bool, *emulator.Report, error) {
	d, err := scenario.Read(day)
	if err != nil {
		return nil, nil, err
	}
	report, verdict, err := emulator.RunAndCheck(ctx, d, opt)
	if err != nil {
		return nil, nil, err
	}
	broken := make([]bool, len(verdict.Rules))
	for i, r := range verdict.Rules {
		broken[i] = len(r.Violations) > 0
	}
	return broken, report, nil
}

// MeasureDay plays a day with constraints disabled, over the seeds from 1 on, and returns the outcome of each. It plays
// as many at a time as there are processors.
func MeasureDay(ctx context.Context, day string, seeds int, disabled ...flaxshelf.PolicyRule) ([]Result, error) {
	d, err := scenario.Read(day)
	if err != nil {
		return nil, err
	}
	outcomes, errs := make([]Result, seeds), make([]error, seeds)
	slots := make(chan struct{}, runtime.GOMAXPROCS(0))
	var wg sync.WaitGroup
	for i := range seeds {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			report, err := emulator.Run(ctx, d, EmulatorOptions(uint64(i+1), scheduler.Guards{}, disabled...))
			if err != nil {
				errs[i] = err
				return
			}
			outcomes[i] = NewResult(d, report)
		})
	}
	wg.Wait()
	if err := errors.Join(errs...); err != nil {
		return nil, err
	}
	return outcomes, nil
}
