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

// Baselines obey the same rules as the module, so that an experiment compares the choice of machines alone.
func TestBaselinesObeyRules(t *testing.T) {
	for _, strategy := range baseline.Strategies {
		for _, name := range []string{"calm", "failing-starts", "class-silence", "rolling-deploy", "lost-room", "schedulers", "hot-service"} {
			t.Run(string(strategy)+"/"+name, func(t *testing.T) {
				t.Parallel()
				d, err := scenario.Read(name)
				if err != nil {
					t.Fatal(err)
				}
				rep, v, err := emulator.RunAndCheck(context.Background(), d, emulator.Options{Seed: 2,
					NewModule: func(cfg flaxshelf.Config, seed uint64) (scheduler.Module, error) {
						return baseline.New(strategy, cfg, seed)
					}})
				if err != nil {
					t.Fatal(err)
				}
				if !v.OK() || rep.Unaccounted > 0 || v.Outcomes["placed"] == 0 {
					t.Errorf("%s%s", v, rep)
				}
			})
		}
	}
}

// A strategy that there is not is reported.
func TestUnknownStrategy(t *testing.T) {
	_, err := baseline.New("odd", flaxshelf.Config{}, 1)
	var unknown *baseline.UnknownStrategyError
	if !errors.As(err, &unknown) || unknown.Strategy != "odd" {
		t.Errorf("got %v, want an UnknownStrategyError", err)
	}
}
