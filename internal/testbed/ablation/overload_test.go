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

// overloadDay is a day that overloads four nodes. ratePlaceholder stands for the submissions per second.
const overloadDay = `#Town
about: "several times the load that four nodes can run"
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
// first. It emulates minutes of overload and is run by hand:
//
//	FLAXSHELF_MATRIX=20 go test -v -run OverloadOrder ./internal/testbed/ablation
func TestOverloadOrder(t *testing.T) {
	if os.Getenv(seedsVariable) == "" {
		t.Skipf("set %s to a non-empty value to run it", seedsVariable)
	}
	for _, c := range []struct{ name, rate string }{
		{"1.2 times", "15"},
		{"2 times", "26"},
		{"10 times", "130"},
		{"50 times", "640"},
	} {
		day, err := scenario.Parse("overload", []byte(strings.Replace(overloadDay, ratePlaceholder, c.rate, 1)))
		if err != nil {
			t.Fatal(err)
		}
		oldest, newest := emulateOverload(t, day), emulateOverload(t, day, flaxshelf.ArrivalOrder)
		t.Logf("%-10s oldest first: earned fraction %.4f, p50 %.2f s; newest first: gain %s, p50 %.2f s", c.name,
			oldest[0].EarnedFraction, oldest[0].P50, Compare(newest, oldest), newest[0].P50)
	}
}

func emulateOverload(t *testing.T, day *scenario.Day, disabled ...flaxshelf.PolicyRule) []Result {
	t.Helper()
	var results []Result
	for i := range overloadSeeds {
		report, err := emulator.Run(context.Background(), day, EmulatorOptions(uint64(i+1), scheduler.Guards{}, disabled...))
		if err != nil {
			t.Fatal(err)
		}
		results = append(results, NewResult(day, report))
	}
	return results
}
