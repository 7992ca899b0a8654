package emulator

import (
	"bytes"
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"flaxshelf.example/flaxshelf"
	"flaxshelf.example/flaxshelf/internal/scheduler"
	"flaxshelf.example/flaxshelf/internal/testbed/fault"
	"flaxshelf.example/flaxshelf/internal/testbed/rules"
	"flaxshelf.example/flaxshelf/internal/testbed/scenario"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261201")
	_ = flag.Set("rapid.nofailfile", "true")
	flag.Parse()
	os.Exit(m.Run())
}

// emulatedDays returns the names of the days that the emulator supports, which are those without connection faults.
func emulatedDays() []string {
	return slices.DeleteFunc(scenario.Names(), func(name string) bool {
		return slices.Contains([]string{"bad-day", "links", "inventory", "rude-clients"}, name)
	})
}

func readDay(t testing.TB, name string) *scenario.Day {
	t.Helper()
	day, err := scenario.Read(name)
	if err != nil {
		t.Fatal(err)
	}
	return day
}

func parseDay(t testing.TB, text string) *scenario.Day {
	t.Helper()
	day, err := scenario.Parse("test", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return day
}

// emulate emulates a day and returns its report.
func emulate(t testing.TB, day *scenario.Day, options Options) *Report {
	t.Helper()
	report, err := Run(context.Background(), day, options)
	if err != nil {
		t.Fatal(err)
	}
	return report
}

// emulateByRules emulates a day and fails the test if a rule is violated or a submission is unaccounted for.
func emulateByRules(t *testing.T, day *scenario.Day, options Options) (*Report, *rules.Verdict) {
	t.Helper()
	report, verdict, err := RunAndCheck(context.Background(), day, options)
	if err != nil {
		t.Fatal(err)
	}
	if !verdict.OK() || report.Unaccounted > 0 {
		t.Errorf("got verdict and report\n%s%s\nwant no violated rule and no submission unaccounted for", verdict, report)
	}
	return report, verdict
}

// Guards against rule violations and lost submissions on the scripted days in simulated time, with the checker of the trials.
// TestChoicesOfDaysEqualPlainScans of package flaxshelf compares the choices on these days with those of linear scans.
func TestEmulatedDaysSatisfyRules(t *testing.T) {
	days := emulatedDays()
	if len(days) < 12 {
		t.Errorf("got %d days, want at least 12", len(days))
	}
	for _, name := range days {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			_, verdict := emulateByRules(t, readDay(t, name), Options{Seed: 5})
			answers, starts := verdict.Rules[rules.OneOutcome].Checked, verdict.Rules[rules.NoDuplicateStart].Checked
			if verdict.Admitted == 0 || answers == 0 || starts == 0 {
				t.Errorf("got %d admitted jobs, %d checked answers and %d checked starts, want some of each", verdict.Admitted,
					answers, starts)
			}
		})
	}
}

func TestReportDependsOnSeedOnly(t *testing.T) {
	reportOf := func(t *testing.T, seed uint64, workers int) string {
		t.Helper()
		return emulate(t, readDay(t, "mass-restart"), Options{Seed: seed, Workers: workers}).String()
	}
	want := reportOf(t, 3, 1)
	for _, workers := range []int{1, 2, 4, 7} {
		t.Run(fmt.Sprintf("the same with %d workers", workers), func(t *testing.T) {
			if got := reportOf(t, 3, workers); got != want {
				t.Errorf("got\n%s\nwant the report of one worker\n%s", got, want)
			}
		})
	}
	t.Run("another with another seed", func(t *testing.T) {
		if got := reportOf(t, 4, 1); got == want {
			t.Errorf("got the report of seed 3, want another:\n%s", got)
		}
	})
}

func TestRecordingDependsOnSeedOnly(t *testing.T) {
	record := func() []byte {
		var recording bytes.Buffer
		emulate(t, readDay(t, "calm"), Options{Seed: 3, Record: &recording})
		return recording.Bytes()
	}
	first, second := record(), record()
	if len(first) == 0 || !bytes.Equal(first, second) {
		t.Errorf("got recordings of %d and %d bytes that differ, want the same bytes", len(first), len(second))
	}
}

// Guards against a partial result where the emulator does not support a combination of options.
func TestUnsupportedOptionsAreErrors(t *testing.T) {
	severalCores := readDay(t, "calm")
	severalCores.Shards = 2
	for _, c := range []struct {
		name    string
		day     *scenario.Day
		options Options
		want    any // value of the OptionsError
		text    string
	}{
		{"recording by two workers", readDay(t, "calm"), Options{Seed: 1, Workers: 2, Record: &bytes.Buffer{}}, 2,
			"emulator: Workers 2 can't make a recording"},
		{"schedulers of two cores", severalCores, Options{Seed: 1}, 2, "emulator: calm: cores 2 can't be emulated"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := Run(context.Background(), c.day, c.options)
			var got *OptionsError
			if !errors.As(err, &got) || got.Value != c.want {
				t.Fatalf("got error %v, want an OptionsError with value %v", err, c.want)
			}
			if !strings.HasPrefix(got.Error(), c.text) {
				t.Errorf("got text %q, want it to begin with %q", got, c.text)
			}
		})
	}
}

func TestFaultsOfConnectionsAreUnsupported(t *testing.T) {
	var unsupported *fault.UnsupportedError
	if _, err := Run(context.Background(), readDay(t, "links"), Options{Seed: 1}); !errors.As(err, &unsupported) {
		t.Errorf("got error %v, want an UnsupportedError", err)
	}
}

func TestRunEndsWithContext(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if _, err := Run(ctx, readDay(t, "calm"), Options{Seed: 1}); !errors.Is(err, context.Canceled) {
		t.Errorf("got error %v, want %v", err, context.Canceled)
	}
}

func TestErrorOfModuleEndsRun(t *testing.T) {
	want := errors.New("no module")
	newModule := func(flaxshelf.Config, uint64) (scheduler.Module, error) { return nil, want }
	if _, err := Run(context.Background(), readDay(t, "calm"), Options{NewModule: newModule}); !errors.Is(err, want) {
		t.Errorf("got error %v, want %v", err, want)
	}
}

// Guards against clients that do not retry jobs that were not placed, or that retry although the load has no retries. In both
// cases every submission must be accounted for.
func TestClientsRetryWhilePatient(t *testing.T) {
	retriesWith := func(t *testing.T, fields string) int {
		t.Helper()
		day := parseDay(t, `#Town
about: "more load than the schedulers handle"
schedulers: 1
seconds: 4
after: 6
behaviour: {look: "100ms", startWork: "1ms"}
load: [{class: "sensor", perSecond: 200, services: 50, life: ["1s", "2s"]`+fields+`}]`)
		report, _ := emulateByRules(t, day, Options{Seed: 1})
		return report.Retries
	}
	t.Run("with retries", func(t *testing.T) {
		if got := retriesWith(t, `, retry: "200ms", patience: "3s"`); got == 0 {
			t.Error("got no retries, want some")
		}
	})
	t.Run("without retries", func(t *testing.T) {
		if got := retriesWith(t, ""); got != 0 {
			t.Errorf("got %d retries, want none", got)
		}
	})
}

// scaledDay returns a day with the given numbers of nodes and schedulers. Its load is proportional to the number of nodes.
func scaledDay(t testing.TB, nodes, schedulers int, seconds float64) *scenario.Day {
	t.Helper()
	return parseDay(t, fmt.Sprintf(`#Town
about: "scaled"
seconds: %v
after: 2
schedulers: %d
behaviour: {look: "2ms", noteEvery: "0s"}
fleet: [
	{name: "a", count: %d, kind: "medium", zone: "room-a"},
	{name: "b", count: %d, kind: "large", zone: "room-b"},
	{name: "c", count: %d, kind: "medium", zone: "room-c"},
]
load: [
	{class: "sensor", perSecond: %v, services: %d, life: ["10s", "28s"]},
	{class: "simulation", perSecond: %v, services: %d, life: ["21s", "58s"], rerunnable: true},
]`, seconds, schedulers, nodes/3, nodes/3, nodes-2*(nodes/3), float64(nodes)*3, nodes*10, float64(nodes)*0.02+0.1, nodes))
}

func TestRulesHoldWithFourHundredSchedulers(t *testing.T) {
	_, verdict := emulateByRules(t, scaledDay(t, 130, 400, 3), Options{Seed: 1})
	if verdict.Admitted < 900 {
		t.Errorf("got %d admitted jobs, want at least 900", verdict.Admitted)
	}
}

// BenchmarkScale reports the simulated seconds per second of wall time, and the wall time per message.
func BenchmarkScale(b *testing.B) {
	for _, c := range []struct {
		nodes, schedulers int
		seconds           float64
	}{{33, 20, 30}, {130, 100, 30}, {1000, 100, 5}, {10000, 20, 3}} {
		for _, workers := range []int{1, 4} {
			b.Run(fmt.Sprintf("nodes=%d/schedulers=%d/workers=%d", c.nodes, c.schedulers, workers), func(b *testing.B) {
				day := scaledDay(b, c.nodes, c.schedulers, c.seconds)
				var simulated, wall float64
				var messages int64
				for b.Loop() {
					start := time.Now()
					report := emulate(b, day, Options{Seed: 1, Workers: workers})
					wall += time.Since(start).Seconds()
					simulated += report.SimulatedSeconds
					messages += report.Messages
				}
				b.ReportMetric(simulated/wall, "simulated-s/s")
				b.ReportMetric(wall/float64(messages)*1e9, "ns/message")
			})
		}
	}
}
