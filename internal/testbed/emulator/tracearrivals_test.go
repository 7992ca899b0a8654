package emulator

import (
	"context"
	"errors"
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"flaxshelf.example/flaxshelf/internal/settings"
	"flaxshelf.example/flaxshelf/internal/testbed/load"
)

// planTrace returns a trace of about 20 s with two classes, drawn from a load plan.
func planTrace(t *testing.T) *load.Trace {
	t.Helper()
	plan, err := load.ParsePlan("p.cue", []byte(`about: "two classes"
seconds: 20
streams: [
	{class: "sensor", shape: {kind: "burst", perSecond: 2, peak: 30, from: 5, for: 2}, runtimes: mean: "1s"},
	{class: "ledger", shape: perSecond: 3, runtimes: {law: "constant", mean: "2s"}},
]`))
	if err != nil {
		t.Fatal(err)
	}
	trace, err := plan.GenerateTrace(4)
	if err != nil {
		t.Fatal(err)
	}
	return trace
}

func TestTraceReplacesLoadOfDay(t *testing.T) {
	trace := planTrace(t)
	report, _ := emulateByRules(t, readDay(t, "calm"), Options{Seed: 1, Load: trace})
	submitted, placed := 0, 0
	for _, class := range report.Classes {
		submitted += class.Submitted
		placed += class.Placed
	}
	if want := len(trace.Jobs); submitted != want {
		t.Errorf("got %d submissions, want the %d of the trace", submitted, want)
	}
	if want := submitted * 9 / 10; placed < want {
		t.Errorf("got %d placed submissions, want at least %d", placed, want)
	}
	if report.SimulatedSeconds < 20 {
		t.Errorf("got a day of %v s, want at least the 20 s of the trace", report.SimulatedSeconds)
	}
}

func TestTraceOfUnknownClassIsAnError(t *testing.T) {
	trace := planTrace(t)
	trace.Jobs[3].Class = "unknown"
	_, err := Run(context.Background(), readDay(t, "calm"), Options{Load: trace})
	var got *OptionsError
	if !errors.As(err, &got) || got.Value != "unknown" {
		t.Errorf("got error %v, want an OptionsError with value unknown", err)
	}
}

// Guards against step costs that have no effect or too much. Above the core's capacity jobs must wait and time out, as on
// sockets; below it the results must hardly change.
func TestStepCostsOverloadCore(t *testing.T) {
	text := `#Town
about: "one scheduler"
schedulers: 1
seconds: 8
behaviour: {look: "1ms", startWork: "1ms", freshFactor: 1}
load: [{class: "sensor", perSecond: 200, services: 200, life: ["50ms", "100ms"]}]`
	run := func(inputCost time.Duration) *Report {
		day := parseDay(t, text)
		day.CPU.Input = settings.Duration(inputCost)
		return emulate(t, day, Options{Seed: 2})
	}
	free, light, heavy := run(0), run(100*time.Microsecond), run(4*time.Millisecond)
	p99 := func(report *Report) time.Duration {
		return time.Duration(report.Classes[0].WaitMicros.ValueAtQuantile(99)) * time.Microsecond
	}
	for _, c := range []struct {
		name             string
		report           *Report
		minBusy, maxBusy float64
	}{
		{"no cost is never busy", free, 0, 0},
		{"light load is sometimes busy", light, 0.02, 0.5},
		{"heavy load is mostly busy", heavy, 0.6, math.Inf(1)},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := c.report.MaxCoreUtilization; got < c.minBusy || got > c.maxBusy {
				t.Errorf("got a core that is busy %.2f of the time, want %v to %v", got, c.minBusy, c.maxBusy)
			}
		})
	}
	t.Run("a busy core is in the report", func(t *testing.T) {
		want := fmt.Sprintf("the busiest core is busy %.0f%% of the time", 100*heavy.MaxCoreUtilization)
		if got := heavy.String(); !strings.Contains(got, want) {
			t.Errorf("got report\n%s\nwant it to contain %q", got, want)
		}
	})
	t.Run("light load changes hardly anything", func(t *testing.T) {
		if got, want := light.Classes[0].Placed, free.Classes[0].Placed*98/100; got < want {
			t.Errorf("got %d placed submissions, want at least %d", got, want)
		}
		if got, want := p99(light), p99(free)+50*time.Millisecond; got > want {
			t.Errorf("got a p99 wait of %v, want at most %v", got, want)
		}
	})
	t.Run("heavy load delays jobs", func(t *testing.T) {
		if got, want := heavy.Classes[0].WithinObjective, free.Classes[0].WithinObjective/2; got > want {
			t.Errorf("got %d submissions in time, want at most %d", got, want)
		}
		if got, want := p99(heavy), 2*p99(free); got < want {
			t.Errorf("got a p99 wait of %v, want at least %v", got, want)
		}
	})
}
