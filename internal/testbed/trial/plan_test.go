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

// Runs the planner's cases on sockets at 0.9 and 1.1 times the load at which the planner predicts the first limit. The rules must
// hold; the test logs the fraction of placed submissions and that of the emulator. It takes minutes and is run by hand:
//
//	FLAXSHELF_SOCKETS=1 go test -v -run PlanOnSockets -timeout 20m -parallel 3 ./internal/testbed/trial
func TestPlanOnSocketsRespectsTheRules(t *testing.T) {
	if os.Getenv(runAllDaysEnv) == "" {
		t.Skip("set FLAXSHELF_SOCKETS to run it")
	}
	for _, c := range plancheck.Cases {
		for _, limitFraction := range []float64{0.9, 1.1} {
			t.Run(fmt.Sprintf("%s at %v", c.Name, limitFraction), func(t *testing.T) {
				t.Parallel()
				day, err := c.Day()
				if err != nil {
					t.Fatal(err)
				}
				firstLimit, _ := planner.FirstLimits(planner.Limits(plancheck.PlannerInput(day)))
				day.Loads[0].PerSecond *= firstLimit.LoadMultiple * limitFraction
				day.Name = c.Name
				report, err := emulator.Run(context.Background(), day, emulator.Options{Seed: 1})
				if err != nil {
					t.Fatal(err)
				}
				result, err := Run(context.Background(), day, Options{Seed: 1, Command: schedulerCommand("")})
				if err != nil {
					t.Fatal(err)
				}
				if !result.OK() {
					t.Errorf("%s", result)
				}
				placedOnSockets := float64(result.ClientStats.EndCounts["placed"]) / float64(result.ClientStats.Submitted)
				placedEmulated := float64(report.Classes[0].Placed) / float64(report.Classes[0].Submitted)
				t.Logf("%-22s %-14s %.1f of %.2f: placed %.4f on sockets, %.4f emulated", c.Name, firstLimit.Name, limitFraction,
					firstLimit.LoadMultiple, placedOnSockets, placedEmulated)
			})
		}
	}
}
