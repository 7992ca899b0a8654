package shard_test

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"flaxshelf.example/flaxshelf"
	"flaxshelf.example/flaxshelf/internal/lab/chart"
	"flaxshelf.example/flaxshelf/internal/scheduler"
	"flaxshelf.example/flaxshelf/internal/shard"
)

// played is one core of a scheduler whose 130 nodes accept at once and run each job for a second of its own clock.
type played struct {
	c     *scheduler.Core
	now   scheduler.Time
	n     int
	ends  []scheduler.AttemptEnded
	at    []scheduler.Time
	in    []scheduler.Input
	steps []time.Duration
}

func newPlayed(t testing.TB, i, n int) *played {
	cfg := scheduler.Config{Name: "s", Seed: 1, StartedAt: time.Second, Module: flaxshelf.Config{Schedulers: 1, MaxAttempts: 3,
		CoreOvercommit: 2, MemoryOvercommit: 2, Tick: 2 * time.Millisecond, ConnectTimeout: time.Second, AnswerSlack: 100 * time.Millisecond,
		DrainGrace: 2 * time.Second, DiscoveryPollDeadline: 10 * time.Second, Kinds: []flaxshelf.Kind{{Name: "k", Cores: 64, Memory: 256}},
		Classes: []flaxshelf.Class{{Name: "c", LatencyObjective: time.Second, Kind: -1}}},
		Limits: scheduler.Limits{MaxPending: 1 << 20, MaxRunning: 1 << 20, MaxFinished: 1000, MaxSessions: 1, Retention: time.Second,
			SettleTime: time.Second, StallThreshold: time.Hour, PlacementTimeouts: []time.Duration{10 * time.Second}}}
	c, err := scheduler.New(shard.Divide(cfg, i, n))
	if err != nil {
		t.Fatal(err)
	}
	p := &played{c: c, now: time.Second}
	var list scheduler.NodesUpdated
	list.Complete = true
	in := []scheduler.Input{}
	for m := range 130 {
		name := fmt.Sprintf("n%d", m)
		list.Machines = append(list.Machines, flaxshelf.Machine{ID: name, Zone: fmt.Sprint("z", m%3), Cell: m / 8})
		in = append(in, scheduler.NodeUp{Node: name})
	}
	p.c.Step(p.now, append([]scheduler.Input{list}, in...))
	return p
}

// step brings ten submissions and what the nodes have to say.
func (p *played) step() (placed int) {
	p.now += 2 * time.Millisecond
	for range 10 {
		p.n++
		p.in = append(p.in, scheduler.Submit{Spec: scheduler.Spec{Tenant: -1, Service: fmt.Sprint("v", p.n%200), Cores: 0.25, Memory: 0.5}})
	}
	done := 0
	for done < len(p.ends) && p.at[done] <= p.now {
		p.in = append(p.in, p.ends[done])
		done++
	}
	p.ends, p.at = p.ends[done:], p.at[done:]
	began := time.Now()
	out := p.c.Step(p.now, p.in)
	p.steps = append(p.steps, time.Since(began))
	p.in = p.in[:0]
	for _, e := range out.Effects {
		if o, ok := e.(scheduler.SendOffer); ok {
			placed++
			p.in = append(p.in, scheduler.AttemptAccepted{Node: o.Node, Attempt: o.Attempt}, scheduler.AttemptStarted{Node: o.Node, Attempt: o.Attempt})
			p.ends, p.at = append(p.ends, scheduler.AttemptEnded{Node: o.Node, Attempt: o.Attempt}), append(p.at, p.now+time.Second)
		}
	}
	return placed
}

// TestCoresFigure has 1 to 8 cores decide at once, without sockets, and draws placements a second and the 99th percentile
// of a step:
//
//	FLAXSHELF_FIGURES=$PWD/docs/figures go test -v -run CoresFigure ./internal/shard
func TestCoresFigure(t *testing.T) {
	dir := os.Getenv("FLAXSHELF_FIGURES")
	if dir == "" {
		t.Skip("set FLAXSHELF_FIGURES to a folder to draw it")
	}
	rate, tail := chart.Line{Name: "thousand placements a second"}, chart.Line{Name: "p99 of a step that takes ten, microseconds"}
	for _, n := range []int{1, 2, 4, 8} {
		var wg sync.WaitGroup
		placed, steps := make([]int, n), make([][]time.Duration, n)
		cores := make([]*played, n)
		for i := range n {
			cores[i] = newPlayed(t, i, n)
		}
		began := time.Now()
		for i := range n {
			wg.Add(1)
			go func() {
				defer wg.Done()
				for time.Since(began) < 3*time.Second {
					placed[i] += cores[i].step()
				}
				steps[i] = cores[i].steps
			}()
		}
		wg.Wait()
		took := time.Since(began).Seconds()
		sum := 0
		for _, p := range placed {
			sum += p
		}
		all := slices.Concat(steps...)
		slices.Sort(all)
		p99 := all[len(all)*99/100]
		t.Logf("%d cores: %.0f placements a second, p99 of a step %v", n, float64(sum)/took, p99)
		rate.X, rate.Y = append(rate.X, float64(n)), append(rate.Y, float64(sum)/took/1000)
		tail.X, tail.Y = append(tail.X, float64(n)), append(tail.Y, p99.Seconds()*1e6)
	}
	c := chart.Chart{Title: "cores that decide at once, 130 nodes, 4 CPUs", XLabel: "cores", Lines: []chart.Line{rate, tail}}
	if err := c.Write(filepath.Join(dir, "cores.svg")); err != nil {
		t.Fatal(err)
	}
}
