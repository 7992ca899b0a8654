package emulator

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"flaxshelf.example/flaxshelf"
	"flaxshelf.example/flaxshelf/internal/lab/reference"
	"flaxshelf.example/flaxshelf/internal/lab/scenario"
	"flaxshelf.example/flaxshelf/internal/scheduler"
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

// The days of the trials, as far as they need no sockets, keep the rules on the simulated clock as well, by the very
// same checker; every submission is accounted for; and every decision is that of the module's former text.
func TestDaysKeepTheRules(t *testing.T) {
	played := 0
	for _, name := range scenario.Names() {
		switch name {
		case "bad-day", "links", "inventory", "rude-clients":
			continue // of connections, which only sockets have
		}
		played++
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var twins []*reference.Twin
			twin := func(c flaxshelf.Config, seed uint64) (scheduler.Module, error) {
				x, err := reference.NewTwin(c, seed)
				twins = append(twins, x)
				return x, err
			}
			rep, v, err := Judge(context.Background(), day(t, name), Options{Seed: 5, Make: twin})
			if err != nil {
				t.Fatal(err)
			}
			for i, x := range twins {
				if x.Err != nil || x.Steps == 0 {
					t.Errorf("life %d of a scheduler: %d steps, %v", i, x.Steps, x.Err)
				}
			}
			if !v.OK() || rep.Unaccounted > 0 || v.Admitted == 0 || v.Rules[0].Checked == 0 || v.Rules[1].Checked == 0 {
				t.Errorf("%s%s", v, rep)
			}
		})
	}
	if played < 12 {
		t.Errorf("%d days were played", played)
	}
}

// One seed gives one trace, whatever the number of workers; another seed another one.
func TestDeterminism(t *testing.T) {
	text := func(seed uint64, workers int) string {
		rep, err := Run(context.Background(), day(t, "mass-restart"), Options{Seed: seed, Workers: workers})
		if err != nil {
			t.Fatal(err)
		}
		return rep.String()
	}
	one := text(3, 1)
	for _, workers := range []int{1, 2, 4, 7} {
		if got := text(3, workers); got != one {
			t.Errorf("with %d workers:\n%s\nwith one:\n%s", workers, got, one)
		}
	}
	if text(4, 1) == one {
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

// What the emulator can't play it says, and does not play half.
func TestNotPlayed(t *testing.T) {
	if _, err := Run(context.Background(), day(t, "links"), Options{Seed: 1}); err == nil {
		t.Error("a day of cut links was played")
	}
	opt := Options{Seed: 1, Workers: 2, Record: &bytes.Buffer{}}
	if _, err := Run(context.Background(), day(t, "calm"), opt); err == nil {
		t.Error("a recording was made by two workers")
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if _, err := Run(ctx, day(t, "calm"), Options{Seed: 1}); err == nil {
		t.Error("a run that was called off gave a report")
	}
}

// scaled is a fleet of n nodes and so many schedulers with load in proportion.
func scaled(t testing.TB, nodes, schedulers int, seconds float64) *scenario.Day {
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

// The rules hold in an emulated cluster of 400 schedulers and 130 nodes.
func TestManySchedulers(t *testing.T) {
	rep, v, err := Judge(context.Background(), scaled(t, 130, 400, 3), Options{Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	if !v.OK() || rep.Unaccounted > 0 || v.Admitted < 900 {
		t.Errorf("%s%s", v, rep)
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
				d := scaled(b, c.nodes, c.schedulers, c.seconds)
				var simulated, wall float64
				var messages int64
				for b.Loop() {
					began := time.Now()
					rep, err := Run(context.Background(), d, Options{Seed: 1, Workers: workers})
					if err != nil {
						b.Fatal(err)
					}
					wall += time.Since(began).Seconds()
					simulated += rep.Seconds
					messages += rep.Messages
				}
				b.ReportMetric(simulated/wall, "simulated-s/s")
				b.ReportMetric(wall/float64(messages)*1e9, "ns/message")
			})
		}
	}
}
