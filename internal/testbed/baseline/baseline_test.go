package baseline_test

import (
	"context"
	"errors"
	"testing"

	"flaxshelf.example/flaxshelf"
	"flaxshelf.example/flaxshelf/internal/scheduler"
	"flaxshelf.example/flaxshelf/internal/testbed/baseline"
	"flaxshelf.example/flaxshelf/internal/testbed/emulator"
	"flaxshelf.example/flaxshelf/internal/testbed/scenario"
)

// Guards against baselines that violate a rule or lose a submission. Experiments would otherwise compare more than the choice
// of machines.
func TestBaselinesObeyRules(t *testing.T) {
	for _, strategy := range baseline.Strategies {
		for _, name := range []string{"calm", "failing-starts", "class-silence", "rolling-deploy", "lost-room", "schedulers", "hot-service"} {
			t.Run(string(strategy)+"/"+name, func(t *testing.T) {
				t.Parallel()
				day, err := scenario.Read(name)
				if err != nil {
					t.Fatal(err)
				}
				report, verdict, err := emulator.RunAndCheck(context.Background(), day, emulator.Options{Seed: 2,
					NewModule: func(cfg flaxshelf.Config, seed uint64) (scheduler.Module, error) {
						return baseline.New(strategy, cfg, seed)
					}})
				if err != nil {
					t.Fatal(err)
				}
				if !verdict.OK() || report.Unaccounted > 0 || verdict.Outcomes["placed"] == 0 {
					t.Errorf("got verdict and report\n%s%s\nwant no violated rule, no submission unaccounted for and some placed tasks",
						verdict, report)
				}
			})
		}
	}
}

// Guards against an unknown strategy that is accepted.
func TestUnknownStrategy(t *testing.T) {
	_, err := baseline.New("odd", flaxshelf.Config{}, 1)
	var unknown *baseline.UnknownStrategyError
	if !errors.As(err, &unknown) || unknown.Strategy != "odd" {
		t.Errorf("got error %v, want an UnknownStrategyError for strategy odd", err)
	}
}
