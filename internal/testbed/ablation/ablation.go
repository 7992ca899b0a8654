// Package ablation measures what each constraint of flaxshelf.Placer contributes. It emulates days with one constraint
// disabled; the rules checker or a paired comparison with the full policy shows the effect.
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

// HardConstraint is a hard constraint with a day on which a rule is violated if the constraint is disabled.
type HardConstraint struct {
	Constraint flaxshelf.PolicyRule
	// Guards are the guards of the scheduler core that enforce the same rule. While they are enabled, the rule holds even
	// without the constraint.
	Guards    scheduler.Guards
	Day       string // name of the day
	RuleIndex int    // index in rules.Verdict.Rules
}

// HardConstraints lists the hard constraints on which a rule depends.
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
		ConfigureCore: func(cfg *scheduler.Config) { cfg.DisabledGuards = guards },
		NewModule: func(cfg flaxshelf.Config, seed uint64) (scheduler.Module, error) {
			placer, err := flaxshelf.New(cfg, seed)
			if err != nil {
				return nil, err
			}
			placer.Disable(disabled...)
			return placer, nil
		},
	}
}

// ViolatedRules emulates a day. Element i of the result reports whether rule i of the verdict was violated.
func ViolatedRules(ctx context.Context, day string, options emulator.Options) ([]bool, *emulator.Report, error) {
	scriptedDay, err := scenario.Read(day)
	if err != nil {
		return nil, nil, err
	}
	report, verdict, err := emulator.RunAndCheck(ctx, scriptedDay, options)
	if err != nil {
		return nil, nil, err
	}
	violated := make([]bool, len(verdict.Rules))
	for i, r := range verdict.Rules {
		violated[i] = len(r.Violations) > 0
	}
	return violated, report, nil
}

// MeasureDay emulates a day with constraints disabled, for the seeds from 1 to the given number, and returns the result of
// each seed. It runs up to GOMAXPROCS emulations concurrently.
func MeasureDay(ctx context.Context, day string, seeds int, disabled ...flaxshelf.PolicyRule) ([]Result, error) {
	scriptedDay, err := scenario.Read(day)
	if err != nil {
		return nil, err
	}
	results, errs := make([]Result, seeds), make([]error, seeds)
	slots := make(chan struct{}, runtime.GOMAXPROCS(0))
	var wg sync.WaitGroup
	for i := range seeds {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			report, err := emulator.Run(ctx, scriptedDay, EmulatorOptions(uint64(i+1), scheduler.Guards{}, disabled...))
			if err != nil {
				errs[i] = err
				return
			}
			results[i] = NewResult(scriptedDay, report)
		})
	}
	wg.Wait()
	if err := errors.Join(errs...); err != nil {
		return nil, err
	}
	return results, nil
}
