package trial

import (
	"context"
	"fmt"
	"os"
	"testing"

	"flaxshelf.example/flaxshelf/internal/planner"
	"flaxshelf.example/flaxshelf/internal/testbed/emulator"
	"flaxshelf.example/flaxshelf/internal/testbed/plancheck"
)

// The planner's cases are run on sockets with a tenth less and a tenth more than the predicted first limit; the test logs the
// fraction of placed submissions with that of the emulator. It takes minutes and is run by hand:
//
//	FLAXSHELF_SOCKETS=1 go test -v -run PlanOnSockets -timeout 20m -parallel 3 ./internal/testbed/trial
func TestPlanOnSocketsRespectsTheRules(t *testing.T) {
	if os.Getenv(runAllDays) == "" {
		t.Skip("set FLAXSHELF_SOCKETS to run it")
	}
	for _, c := range plancheck.Cases {
		for _, m := range []float64{0.9, 1.1} {
			t.Run(fmt.Sprintf("%s at %v", c.Name, m), func(t *testing.T) {
				t.Parallel()
				d, err := c.Day()
				if err != nil {
					t.Fatal(err)
				}
				first, _ := planner.FirstLimits(planner.Limits(plancheck.PlannerInput(d)))
				d.Load[0].PerSecond *= first.LoadMultiple * m
				d.Name = c.Name
				rep, err := emulator.Run(context.Background(), d, emulator.Options{Seed: 1})
				if err != nil {
					t.Fatal(err)
				}
				res, err := Run(context.Background(), d, Options{Seed: 1, Command: command("")})
				if err != nil {
					t.Fatal(err)
				}
				if !res.OK() {
					t.Errorf("%s", res)
				}
				sockets := float64(res.Tally.Ends["placed"]) / float64(res.Tally.Submitted)
				emulated := float64(rep.Classes[0].Placed) / float64(rep.Classes[0].Submitted)
				t.Logf("%-22s %-14s %.1f of %.2f: placed %.4f on sockets, %.4f emulated", c.Name, first.Name, m, first.LoadMultiple, sockets,
					emulated)
			})
		}
	}
}
