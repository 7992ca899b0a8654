package ablation

import (
	"context"
	"os"
	"strings"
	"testing"

	"flaxshelf.example/flaxshelf"
	"flaxshelf.example/flaxshelf/internal/lab/emulator"
	"flaxshelf.example/flaxshelf/internal/lab/scenario"
	"flaxshelf.example/flaxshelf/internal/scheduler"
)

// overload asks four nodes for so many times what they bear.
const overload = `#Town
about: "many times what four nodes bear"
seconds: 20
schedulers: 2
limits: maxOpen: 100000
fleet: [{name: "a", count: 2, kind: "medium", zone: "room-a"}, {name: "b", count: 2, kind: "large", zone: "room-b"}]

load: [{class: "simulation", perSecond: %RATE%, services: 40, life: ["2s", "4s"]}]
`

// TestOverloadOrder sets the order among tasks that wait beside another: of equals the one that came last first. It plays
// minutes of overload and is for a person to run, as TestMatrix:
//
//	FLAXSHELF_MATRIX=20 go test -v -run OverloadOrder ./internal/lab/ablation
func TestOverloadOrder(t *testing.T) {
	if os.Getenv("FLAXSHELF_MATRIX") == "" {
		t.Skip("set FLAXSHELF_MATRIX to play it")
	}
	for _, x := range []struct{ name, rate string }{{"1.2 times", "15"}, {"2 times", "26"}, {"10 times", "130"}, {"50 times", "640"}} {
		d, err := scenario.Parse("overload", []byte(strings.Replace(overload, "%RATE%", x.rate, 1)))
		if err != nil {
			t.Fatal(err)
		}
		play := func(out ...flaxshelf.Constraint) (all []Measure) {
			for seed := range 10 {
				rep, err := emulator.Run(context.Background(), d, Options(uint64(seed+1), scheduler.Guards{}, out...))
				if err != nil {
					t.Fatal(err)
				}
				all = append(all, Measured(d, rep))
			}
			return all
		}
		oldest, newest := play(), play(flaxshelf.ArrivalOrder)
		t.Logf("%-10s oldest first earns %.4f of the worth, p50 %.2f s; the newest first instead: %s, p50 %.2f s", x.name,
			oldest[0].Worth, oldest[0].P50, Compare(newest, oldest), newest[0].P50)
	}
}
