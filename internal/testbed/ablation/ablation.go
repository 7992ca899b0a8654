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
	Guards scheduler.Guards
	Day    string
	Rule   int // index in a verdict
}

// HardConstraints lists the hard constraints that a rule depends on.
var HardConstraints = []HardConstraint{
	{
		Constraint: flaxshelf.DrainConstraint,
		Guards:     scheduler.Guards{Drain: true},
		Day:        "shrink",
		Rule:       rules.DrainRespected,
	},
	{Constraint: flaxshelf.RetrySafetyConstraint, Day: "class-silence", Rule: rules.NoDuplicateStart},
	{Constraint: flaxshelf.SpreadConstraint, Day: "hot-service", Rule: rules.SpreadRespected},
	{Constraint: flaxshelf.SlowStartConstraint, Day: "mass-restart", Rule: rules.SlowStartRespected},
	{
		Constraint: flaxshelf.AnswerDeadlineConstraint,
		Guards:     scheduler.Guards{PlacementDeadline: true},
		Day:        "hot-service",
		Rule:       rules.OneOutcome,
	},
}

// Days returns the names of the days that the emulator plays in full. The others have faults of connections, which only
// trials on sockets can have.
func Days() []string {
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

// Options returns options that disable guards and constraints in every scheduler of a day.
func Options(seed uint64, guards scheduler.Guards, disabled ...flaxshelf.PolicyRule) emulator.Options {
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

// BrokenRules plays a day and returns which rules it breaks, by index in a verdict.
func BrokenRules(ctx context.Context, day string, opt emulator.Options) ([]bool, *emulator.Report, error) {
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
func MeasureDay(ctx context.Context, day string, seeds int, disabled ...flaxshelf.PolicyRule) ([]Outcome, error) {
	d, err := scenario.Read(day)
	if err != nil {
		return nil, err
	}
	outcomes, errs := make([]Outcome, seeds), make([]error, seeds)
	slots := make(chan struct{}, runtime.GOMAXPROCS(0))
	var wg sync.WaitGroup
	for i := range seeds {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			report, err := emulator.Run(ctx, d, Options(uint64(i+1), scheduler.Guards{}, disabled...))
			if err != nil {
				errs[i] = err
				return
			}
			outcomes[i] = OutcomeOf(d, report)
		})
	}
	wg.Wait()
	if err := errors.Join(errs...); err != nil {
		return nil, err
	}
	return outcomes, nil
}
