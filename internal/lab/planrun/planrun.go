// Package planrun tries a planner's answers by emulation: it makes a fleet and a load of a scripted day, and looks for
// the multiple of the load at which a service goal breaks. It must not decide what the limits are.
package planrun

import (
	"context"
	"errors"
	"fmt"
	"math"
	"runtime"
	"slices"
	"sync"

	"flaxshelf.example/flaxshelf/internal/lab/emulator"
	"flaxshelf.example/flaxshelf/internal/lab/scenario"
	"flaxshelf.example/flaxshelf/internal/planner"
)

// Model is a day's fleet and load in the planner's words.
func Model(d *scenario.Day) (*planner.Fleet, []planner.Class) {
	b := &d.Behaviour
	f := &planner.Fleet{Schedulers: d.Schedulers, AcceptCores: d.Rules.CoreOvercommit,
		AcceptMemory: d.Rules.MemoryOvercommit,
		Look:         b.OfferReviewTime.Duration().Seconds(), StartSlots: b.StartSlots, StartWork: b.CachedStartTime.Duration().Seconds(),
		FreshFactor: b.UncachedStartFactor, ColdOffers: d.Rules.SlowStartBudget, FallWindow: d.Rules.OverloadWindow.Duration().Seconds(),
		ColdFor: d.Rules.SlowStartDuration.Duration().Seconds(), PlacementsPerSecond: placementsPerSecond,
		MaxAttempts: d.Rules.MaxAttempts}
	for _, g := range d.Fleet {
		x := planner.Group{Name: g.Name, Kind: g.Kind, Zone: g.Zone, Cell: g.Cell, Count: g.Count}
		for _, k := range d.Kinds {
			if k.Name == g.Kind {
				x.Cores, x.Memory = k.Cores, k.Memory
			}
		}
		f.Groups = append(f.Groups, x)
	}
	var load []planner.Class
	for _, l := range d.Load {
		c := d.Class(l.Class)
		x := planner.Class{Name: l.Class, PerSecond: l.PerSecond,
			Life:  (l.Life[0].Duration() + l.Life[1].Duration()).Seconds() / 2,
			Cores: c.Cores, Memory: c.Memory, UseCores: mean(b.CoreUsageRange), UseMemory: mean(b.MemoryUsageRange), Services: l.Services,
			Spread: c.SpreadDomain, Most: c.MaxPerDomain, GiveUp: c.PlacementTimeout.Duration().Seconds()}
		if l.Cores > 0 {
			x.Cores = l.Cores
		}
		if l.Memory > 0 {
			x.Memory = l.Memory
		}
		load = append(load, x)
	}
	return f, load
}

// placementsPerSecond is what one scheduler's process has borne at 33 nodes, see docs/results.md; half of it is planned
// with.
const placementsPerSecond = 10000

func mean(r [2]float64) float64 { return (r[0] + r[1]) / 2 }

// Goal is the service that a load must get: at least so large a share of each class's submissions placed.
type Goal struct {
	Placed float64
	Warm   float64 // seconds at the start that don't count
	// A surge before: the load times Factor for so many seconds from the start, within Warm. Where owners ask again, what
	// holds while load rises may not hold when it falls back from a surge.
	Factor, Surge float64
}

// Edge is where the goal breaks.
type Edge struct {
	Low, High float64 // held at Low, broken at High, in multiples of the load
	Runs      int
	Class     string // that broke it
	Placed    float64
}

// ErrOutside is an edge that is not where it was looked for.
var ErrOutside = errors.New("planrun: the edge is elsewhere")

// Find looks for the edge between lo and hi, to a relative width, with several seeds a point: a point holds when the
// mean over the seeds does. Its runs gather where the answer is uncertain.
func Find(ctx context.Context, d *scenario.Day, g Goal, lo, hi, width float64, seeds int) (Edge, error) {
	e := Edge{Low: lo, High: hi}
	at := func(m float64) (bool, error) {
		e.Runs += seeds
		class, placed, err := run(ctx, d, g, m, seeds)
		if err == nil && placed < g.Placed {
			e.Class, e.Placed = class, placed
		}
		return placed >= g.Placed, err
	}
	for _, edge := range []struct {
		m    float64
		want bool
	}{{lo, true}, {hi, false}} {
		ok, err := at(edge.m)
		if err != nil {
			return e, err
		}
		if ok != edge.want {
			return Edge{Low: edge.m, High: edge.m, Runs: e.Runs, Class: e.Class, Placed: e.Placed},
				fmt.Errorf("%w: the goal is met: %v at %.3g times the load, so its edge is not between %.3g and %.3g",
					ErrOutside, ok, edge.m, lo, hi)
		}
	}
	for e.High/e.Low > 1+width {
		mid := math.Sqrt(e.Low * e.High)
		ok, err := at(mid)
		if err != nil {
			return e, err
		}
		if ok {
			e.Low = mid
		} else {
			e.High = mid
		}
	}
	return e, nil
}

// Both looks for the edge while load rises, and for the edge when it has fallen back from a surge. Where the second is
// lower the load between is metastable: it holds until something pushes it over, and then does not hold.
func Both(ctx context.Context, d *scenario.Day, g Goal, factor, surge, lo, hi, width float64,
	seeds int) (rising, falling Edge,
	err error) {
	if rising, err = Find(ctx, d, g, lo, hi, width, seeds); err != nil {
		return rising, falling, fmt.Errorf("rising: %w", err)
	}
	g.Factor, g.Surge = factor, surge
	falling, err = Find(ctx, d, g, lo, hi, width, seeds)
	if errors.Is(err, ErrOutside) && falling.High == lo { // it does not even come back to lo
		return rising, Edge{0, lo, falling.Runs, falling.Class, falling.Placed}, nil
	}
	if err != nil {
		return rising, falling, fmt.Errorf("falling: %w", err)
	}
	return rising, falling, nil
}

// run emulates the day at a multiple of its load and returns the worst class and its share.
func run(ctx context.Context, d *scenario.Day, g Goal, multiple float64, seeds int) (string, float64, error) {
	day := *d
	day.Load = slices.Clone(d.Load)
	for i := range day.Load {
		day.Load[i].PerSecond *= multiple
	}
	if g.Surge > 0 {
		day.Troubles = append(slices.Clone(d.Troubles), scenario.Trouble{Do: "burst", At: 0, For: g.Surge,
			Factor: g.Factor, Share: 1})
	}
	reports, errs := make([]*emulator.Report, seeds), make([]error, seeds)
	var wg sync.WaitGroup
	gate := make(chan struct{}, runtime.GOMAXPROCS(0))
	for i := range seeds {
		wg.Add(1)
		go func() {
			defer wg.Done()
			gate <- struct{}{}
			defer func() { <-gate }()
			reports[i], errs[i] = emulator.Run(ctx, &day, emulator.Options{Seed: uint64(i + 1), MeasureFrom: g.Warm})
		}()
	}
	wg.Wait()
	for _, err := range errs {
		if err != nil {
			return "", 0, err
		}
	}
	worst, share, counted := "", 1.0, 0
	for c := range reports[0].Classes {
		placed, submitted := 0, 0
		for _, r := range reports {
			placed += r.Classes[c].Placed
			submitted += r.Classes[c].Submitted
		}
		counted += submitted
		if submitted == 0 {
			continue
		}
		if s := float64(placed) / float64(submitted); s < share {
			worst, share = reports[0].Classes[c].Class, s
		}
	}
	if counted == 0 { // else a goal would be met by nothing
		return "", 0, fmt.Errorf("planrun: no submission counts: the load ends before %v s", g.Warm)
	}
	return worst, share, nil
}
