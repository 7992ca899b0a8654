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

// TestPlanOnSockets plays the planner's cases over sockets a tenth under and a tenth over the predicted first limit, and
// sets the share of submissions placed beside the emulator's. It takes minutes and is for a person to run:
//
//	FLAXSHELF_SOCKETS=1 go test -v -run PlanOnSockets -timeout 20m -parallel 3 ./internal/testbed/trial
func TestPlanOnSockets(t *testing.T) {
	if os.Getenv(playAll) == "" {
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
				first, _ := planner.First(planner.Limits(plancheck.Model(d)))
				d.Load[0].PerSecond *= first.Multiple * m
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
				t.Logf("%-22s %-14s %.1f of %.2f: placed %.4f on sockets, %.4f emulated", c.Name, first.Name, m, first.Multiple, sockets,
					emulated)
			})
		}
	}
}
