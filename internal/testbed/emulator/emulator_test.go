package emulator

import (
	"bytes"
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"flaxshelf.example/flaxshelf"
	"flaxshelf.example/flaxshelf/internal/scheduler"
	"flaxshelf.example/flaxshelf/internal/testbed/fault"
	"flaxshelf.example/flaxshelf/internal/testbed/reference"
	"flaxshelf.example/flaxshelf/internal/testbed/rules"
	"flaxshelf.example/flaxshelf/internal/testbed/scenario"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261201")
	_ = flag.Set("rapid.nofailfile", "true")
	flag.Parse()
	os.Exit(m.Run())
}

func day(t testing.TB, name string) *scenario.Day {
	t.Helper()
	d, err := scenario.Read(name)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// TestEmulatedDaysFollowTheRules checks that the days of the trials that need no sockets keep the rules on the simulated clock as
// well, by the very same checker; that every submission is accounted for; and that every decision is that of the
// reference module.
func TestEmulatedDaysFollowTheRules(t *testing.T) {
	emulated := 0
	for _, name := range scenario.Names() {
		switch name {
		case "bad-day", "links", "inventory", "rude-clients":
			continue // faults of connections, which only sockets have
		}
		emulated++
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var twins []*reference.Twin
			newTwin := func(config flaxshelf.Config, seed uint64) (scheduler.Module, error) {
				twin, err := reference.NewTwin(config, seed)
				twins = append(twins, twin)
				return twin, err
			}
			report, verdict, err := RunAndCheck(context.Background(), day(t, name), Options{Seed: 5, NewModule: newTwin})
			if err != nil {
				t.Fatal(err)
			}
			for i, twin := range twins {
				if twin.Err != nil || twin.Steps == 0 {
					t.Errorf("incarnation %d: %d steps, %v", i, twin.Steps, twin.Err)
				}
			}
			checked := verdict.Rules[rules.OneAnswer].Checked > 0 && verdict.Rules[rules.NoSecondStart].Checked > 0
			if !verdict.OK() || report.Unaccounted > 0 || verdict.Admitted == 0 || !checked {
				t.Errorf("%s%s", verdict, report)
			}
		})
	}
	if emulated < 12 {
		t.Errorf("%d days were emulated", emulated)
	}
}

// TestDeterminism checks that one seed gives one trace, whatever the number of workers, and another seed another one.
func TestDeterminism(t *testing.T) {
	run := func(seed uint64, workers int) string {
		report, err := Run(context.Background(), day(t, "mass-restart"), Options{Seed: seed, Workers: workers})
		if err != nil {
			t.Fatal(err)
		}
		return report.String()
	}
	want := run(3, 1)
	for _, workers := range []int{1, 2, 4, 7} {
		if got := run(3, workers); got != want {
			t.Errorf("with %d workers:\n%s\nwith one:\n%s", workers, got, want)
		}
	}
	if run(4, 1) == want {
		t.Error("another seed gives the same")
	}
	var a, b bytes.Buffer
	for _, buf := range []*bytes.Buffer{&a, &b} {
		if _, err := Run(context.Background(), day(t, "calm"), Options{Seed: 3, Record: buf}); err != nil {
			t.Fatal(err)
		}
	}
	if a.Len() == 0 || !bytes.Equal(a.Bytes(), b.Bytes()) {
		t.Error("two traces of one seed differ")
	}
}

// TestUnsupported checks that what the emulator can't do is an error, not half of a result.
func TestUnsupported(t *testing.T) {
	var unsupported *fault.UnsupportedError
	if _, err := Run(context.Background(), day(t, "links"), Options{Seed: 1}); !errors.As(err, &unsupported) {
		t.Errorf("faults of connections: %v", err)
	}
	var options *OptionsError
	withRecord := Options{Seed: 1, Workers: 2, Record: &bytes.Buffer{}}
	if _, err := Run(context.Background(), day(t, "calm"), withRecord); !errors.As(err, &options) || options.Value != 2 {
		t.Errorf("a recording by two workers: %v", err)
	}
	severalCores := day(t, "calm")
	severalCores.Cores = 2
	if _, err := Run(context.Background(), severalCores, Options{Seed: 1}); !errors.As(err, &options) {
		t.Errorf("schedulers of two cores: %v", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if _, err := Run(ctx, day(t, "calm"), Options{Seed: 1}); !errors.Is(err, context.Canceled) {
		t.Errorf("a canceled run: %v", err)
	}
}

// scaledDay is a fleet of n nodes and so many schedulers with load in proportion.
func scaledDay(t testing.TB, nodes, schedulers int, seconds float64) *scenario.Day {
	t.Helper()
	text := fmt.Sprintf(`#Town
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
]`, seconds, schedulers, nodes/3, nodes/3, nodes-2*(nodes/3), float64(nodes)*3, nodes*10, float64(nodes)*0.02+0.1, nodes)
	d, err := scenario.Parse("scaled", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// TestManySchedulers checks that the rules hold in an emulated cluster of 400 schedulers and 130 nodes.
func TestManySchedulers(t *testing.T) {
	report, verdict, err := RunAndCheck(context.Background(), scaledDay(t, 130, 400, 3), Options{Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	if !verdict.OK() || report.Unaccounted > 0 || verdict.Admitted < 900 {
		t.Errorf("%s%s", verdict, report)
	}
}

// BenchmarkScale reports simulated seconds a second of wall time, and the cost of a message.
func BenchmarkScale(b *testing.B) {
	for _, c := range []struct {
		nodes, schedulers int
		seconds           float64
	}{{33, 20, 30}, {130, 100, 30}, {1000, 100, 5}, {10000, 20, 3}} {
		for _, workers := range []int{1, 4} {
			b.Run(fmt.Sprintf("nodes=%d/schedulers=%d/workers=%d", c.nodes, c.schedulers, workers), func(b *testing.B) {
				d := scaledDay(b, c.nodes, c.schedulers, c.seconds)
				var simulated, wall float64
				var messages int64
				for b.Loop() {
					began := time.Now()
					report, err := Run(context.Background(), d, Options{Seed: 1, Workers: workers})
					if err != nil {
						b.Fatal(err)
					}
					wall += time.Since(began).Seconds()
					simulated += report.Seconds
					messages += report.Messages
				}
				b.ReportMetric(simulated/wall, "simulated-s/s")
				b.ReportMetric(wall/float64(messages)*1e9, "ns/message")
			})
		}
	}
}
