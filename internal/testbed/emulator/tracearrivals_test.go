package emulator

import (
	"context"
	"errors"
	"testing"
	"time"

	"flaxshelf.example/flaxshelf/internal/settings"
	"flaxshelf.example/flaxshelf/internal/testbed/load"
	"flaxshelf.example/flaxshelf/internal/testbed/scenario"
)

// TestTraceArrivals checks that each job of a trace is submitted at its time, in place of the day's load.
func TestTraceArrivals(t *testing.T) {
	plan, err := load.ParsePlan("p.cue", []byte(`about: "two classes"
seconds: 20
streams: [
	{class: "sensor", shape: {kind: "burst", perSecond: 2, peak: 30, from: 5, for: 2}, lives: mean: "1s"},
	{class: "ledger", shape: perSecond: 3, lives: {law: "constant", mean: "2s"}},
]`))
	if err != nil {
		t.Fatal(err)
	}
	trace, err := plan.Jobs(4)
	if err != nil {
		t.Fatal(err)
	}
	report, verdict, err := RunAndCheck(context.Background(), day(t, "calm"), Options{Seed: 1, Load: trace})
	if err != nil {
		t.Fatal(err)
	}
	submitted, placed := 0, 0
	for _, class := range report.Classes {
		submitted += class.Submitted
		placed += class.Placed
	}
	if submitted != len(trace.Jobs) || placed < submitted*9/10 || !verdict.OK() || report.Unaccounted > 0 || report.Seconds < 20 {
		t.Errorf("%d jobs in the plan\n%s%s", len(trace.Jobs), verdict, report)
	}
	trace.Jobs[3].Class = "unknown"
	var options *OptionsError
	_, err = Run(context.Background(), day(t, "calm"), Options{Load: trace})
	if !errors.As(err, &options) || options.Value != "unknown" {
		t.Errorf("a class that the day does not have: %v", err)
	}
}

// TestStepCosts checks that a core whose steps take time is overloaded as on sockets: over its capacity jobs wait and time
// out, under it hardly anything changes.
func TestStepCosts(t *testing.T) {
	text := `#Town
about: "one scheduler"
schedulers: 1
seconds: 8
behaviour: {look: "1ms", startWork: "1ms", freshFactor: 1}
load: [{class: "sensor", perSecond: 200, services: 200, life: ["50ms", "100ms"]}]`
	run := func(inputCost time.Duration) *Report {
		d, err := scenario.Parse("work", []byte(text))
		if err != nil {
			t.Fatal(err)
		}
		d.CPU.Input = settings.Duration(inputCost)
		report, err := Run(context.Background(), d, Options{Seed: 2})
		if err != nil {
			t.Fatal(err)
		}
		return report
	}
	free, light, heavy := run(0), run(100*time.Microsecond), run(4*time.Millisecond)
	p99 := func(report *Report) time.Duration {
		return time.Duration(report.Classes[0].Wait.ValueAtQuantile(99)) * time.Microsecond
	}
	if free.Busiest != 0 || light.Busiest < 0.02 || light.Busiest > 0.5 || heavy.Busiest < 0.6 {
		t.Errorf("busy %.2f, %.2f and %.2f of the time", free.Busiest, light.Busiest, heavy.Busiest)
	}
	if light.Classes[0].Placed < free.Classes[0].Placed*98/100 || p99(light) > p99(free)+50*time.Millisecond {
		t.Errorf("a light load is changed: %s\n%s", free, light)
	}
	if heavy.Classes[0].InTime > free.Classes[0].InTime/2 || p99(heavy) < 2*p99(free) {
		t.Errorf("an overload is not seen: %s\n%s", free, heavy)
	}
}
