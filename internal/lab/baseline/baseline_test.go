package baseline_test

import (
	"context"
	"testing"

	"flaxshelf.example/flaxshelf"
	"flaxshelf.example/flaxshelf/internal/lab/baseline"
	"flaxshelf.example/flaxshelf/internal/lab/emulator"
	"flaxshelf.example/flaxshelf/internal/lab/scenario"
	"flaxshelf.example/flaxshelf/internal/scheduler"
)

// Baselines keep the rules as the module does, so that what an experiment sees is the choice alone.
func TestBaselinesKeepTheRules(t *testing.T) {
	for _, how := range baseline.Names {
		for _, name := range []string{"calm", "failing-starts", "class-silence", "rolling-deploy", "lost-room", "schedulers", "hot-service"} {
			t.Run(how+"/"+name, func(t *testing.T) {
				t.Parallel()
				d, err := scenario.Read(name)
				if err != nil {
					t.Fatal(err)
				}
				rep, v, err := emulator.Judge(context.Background(), d, emulator.Options{Seed: 2,
					Make: func(cfg flaxshelf.Config, seed uint64) (scheduler.Module, error) {
						return baseline.New(how, cfg, seed)
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
	if _, err := baseline.New("odd", flaxshelf.Config{}, 1); err == nil {
		t.Error("an unknown chooser was made")
	}
}
