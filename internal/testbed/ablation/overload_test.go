package ablation

import (
	"context"
	"os"
	"strings"
	"testing"

	"flaxshelf.example/flaxshelf"
	"flaxshelf.example/flaxshelf/internal/scheduler"
	"flaxshelf.example/flaxshelf/internal/testbed/emulator"
	"flaxshelf.example/flaxshelf/internal/testbed/scenario"
)

// overloadDay submits to four nodes a multiple of what they can run; ratePlaceholder is replaced by the rate.
const overloadDay = `#Town
about: "many times what four nodes bear"
seconds: 20
schedulers: 2
limits: maxOpen: 100000
fleet: [{name: "a", count: 2, kind: "medium", zone: "room-a"}, {name: "b", count: 2, kind: "large", zone: "room-b"}]

load: [{class: "simulation", perSecond: %RATE%, services: 40, life: ["2s", "4s"]}]
`

const (
	ratePlaceholder = "%RATE%"
	overloadSeeds   = 10
)

// TestOverloadOrder compares two orders of waiting tasks of equal priority under overload: the oldest first, and the newest
// first. It plays minutes of overload and is for a person to run, as TestMatrix:
//
//	FLAXSHELF_MATRIX=20 go test -v -run OverloadOrder ./internal/testbed/ablation
func TestOverloadOrder(t *testing.T) {
	if os.Getenv(seedsVariable) == "" {
		t.Skipf("set %s to run it", seedsVariable)
	}
	for _, c := range []struct{ name, rate string }{
		{"1.2 times", "15"},
		{"2 times", "26"},
		{"10 times", "130"},
		{"50 times", "640"},
	} {
		d, err := scenario.Parse("overload", []byte(strings.Replace(overloadDay, ratePlaceholder, c.rate, 1)))
		if err != nil {
			t.Fatal(err)
		}
		oldest, newest := playOverload(t, d), playOverload(t, d, flaxshelf.ArrivalOrder)
		t.Logf("%-10s oldest first earns %.4f of the worth, p50 %.2f s; the newest first instead: %s, p50 %.2f s", c.name,
			oldest[0].EarnedFraction, oldest[0].P50, Compare(newest, oldest), newest[0].P50)
	}
}

func playOverload(t *testing.T, d *scenario.Day, disabled ...flaxshelf.PolicyRule) []Result {
	t.Helper()
	var outcomes []Result
	for i := range overloadSeeds {
		report, err := emulator.Run(context.Background(), d, EmulatorOptions(uint64(i+1), scheduler.Guards{}, disabled...))
		if err != nil {
			t.Fatal(err)
		}
		outcomes = append(outcomes, NewResult(d, report))
	}
	return outcomes
}
