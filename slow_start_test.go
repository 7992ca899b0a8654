package flaxshelf

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// Fourth rule: this scheduler's share of the always-safe offers, unanswered ones counted.
func TestSlowStartBudgetShare(t *testing.T) {
	c := testConfig()
	c.Schedulers, c.SlowStartBudget = 3, 12
	p := startPlacer(t, c, nil)
	now := 10 * time.Second
	events := []Event{MachinesUpdated{Machines: []Machine{{ID: "new", Zone: "a", Started: now - millisecond}}}}
	for i := range 20 {
		events = append(events, submit(fmt.Sprint("t", i), 0, now+5*time.Second))
	}
	if n := len(offersOf(p.Step(now, events))); n != 4 {
		t.Errorf("offers at once: %d, want 12/3", n)
	}
	if n := len(offersOf(p.Step(now+900*millisecond, []Event{TimerFired{}}))); n != 0 {
		t.Errorf("within the window: %d more", n)
	}
	if n := len(offersOf(p.Step(now+1600*millisecond, []Event{TimerFired{}}))); n != 4 {
		t.Errorf("after the window: %d, want 4", n)
	}
}

// Fourth rule with far more schedulers than always-safe offers: all of them together, each with work all the
// time, stay within the budget in any window, and use a good part of it.
func TestSlowStartSlotsOfManySchedulers(t *testing.T) {
	c := testConfig()
	c.Schedulers, c.SlowStartBudget = 300, 24
	sends := map[string][]Time{}
	var placers []*Placer
	for i := range c.Schedulers {
		c.Index = i
		p, err := New(c, uint64(i))
		if err != nil {
			t.Fatal(err)
		}
		placers = append(placers, p)
	}
	machines := testMachines(3)
	for i := range machines {
		machines[i].Started = time.Second + Time(i)*70*millisecond
	}
	for now := time.Second; now < 9*time.Second; now += 50 * millisecond {
		for i, p := range placers {
			var es []Event
			if now == time.Second {
				es = append(es, MachinesUpdated{Complete: true, Machines: machines})
			}
			if now > time.Second {
				es = append(es, submit(fmt.Sprint(i, now), 0, now+time.Minute))
			}
			for _, o := range offersOf(p.Step(now, es)) {
				sends[o.Machine] = append(sends[o.Machine], now)
				p.Step(now, []Event{AttemptEnded{Task: o.Task, Machine: o.Machine, Outcome: Completed, Final: true}})
			}
		}
	}
	for id, at := range sends {
		most, first := 0, 0
		for last := range at {
			for at[last]-at[first] > c.OverloadWindow {
				first++
			}
			most = max(most, last-first+1)
		}
		if most > int(c.SlowStartBudget) || len(at) < 2*int(c.SlowStartBudget) {
			t.Errorf("%s: %d offers in a window, %d in all", id, most, len(at))
		}
	}
	if len(sends) != len(machines) {
		t.Errorf("offers went to %d machines", len(sends))
	}
}

// Fourth rule: a restarted scheduler can't know what it sent, so its share counts as spent.
func TestSlowStartBudgetUnknownAfterRestart(t *testing.T) {
	p, _ := New(testConfig(), 1)
	now := 10 * time.Second
	as := p.Step(now, []Event{
		MachinesUpdated{Complete: true, Stale: true, Machines: []Machine{{ID: "new", Started: now - time.Second}}},
		submit("t", 0, now+5*time.Second)})
	if len(offersOf(as)) != 0 {
		t.Fatalf("offered to a cold machine right after the start: %v", as)
	}
	onlyOffer(t, p.Step(now+1600*millisecond, []Event{TimerFired{}}))
}

// runSlowStartFleet plays schedulers that all have work for one machine that has just come up; the others of its fleet are full. It
// returns when offers reached the cold machine, in order. Each scheduler hears of the start at its own time within late, and
// a part of them starts anew while the machine is cold.
func runSlowStartFleet(t *testing.T, schedulers int, budget float64, restarts bool, seed uint64) (at []Time, c Config) {
	t.Helper()
	c = testConfig()
	c.Schedulers, c.SlowStartBudget, c.OverloadWindow, c.SlowStartDuration = schedulers, budget, time.Second, 10*time.Second
	rng := rand.New(rand.NewPCG(seed, 3))
	const step = 20 * millisecond
	full, cold := Machine{ID: "full", Zone: "a"}, Machine{ID: fmt.Sprint("cold", seed), Zone: "a", Started: 100 * time.Second}
	type one struct {
		p      *Placer
		hears  Time
		asked  int
		anew   Time
		listed bool
		next   []Event
	}
	begin := func(s *one, now Time, seed uint64) {
		var err error
		if s.p, err = New(c, seed); err != nil {
			t.Fatal(err)
		}
		s.p.Step(now, []Event{MachinesUpdated{Complete: true, Machines: []Machine{full}}})
	}
	fleet := make([]*one, schedulers)
	for i := range fleet {
		s := &one{hears: cold.Started + Time(rng.Int64N(int64(time.Second)))}
		c.Index = i
		begin(s, cold.Started-time.Minute, uint64(i))
		if restarts && rng.IntN(2) == 0 {
			s.anew = cold.Started + Time(rng.Int64N(int64(c.SlowStartDuration)))
		}
		fleet[i] = s
	}
	for now := cold.Started; now < cold.Started+c.SlowStartDuration; now += step {
		for i, s := range fleet {
			if s.anew > 0 && now >= s.anew {
				s.anew, s.listed, s.next = 0, false, nil
				c.Index = i
				begin(s, now, seed^uint64(now)^uint64(i))
				s.hears = now
			}
			events := s.next
			s.next = nil
			if !s.listed && now >= s.hears {
				s.listed = true
				events = append(events, MachinesUpdated{Machines: []Machine{cold}})
			}
			if rng.IntN(3) == 0 {
				s.asked++
				e := submit(fmt.Sprintf("t%d.%d.%d", i, s.asked, now), 0, now+4*time.Second)
				e.Task.Service = fmt.Sprint("s", rng.IntN(50))
				events = append(events, e)
			}
			for _, a := range s.p.Step(now, events) {
				o, ok := a.(Offer)
				switch {
				case !ok:
				case o.Machine == cold.ID:
					at = append(at, now+Time(rng.Int64N(int64(step))))
					s.next = append(s.next, AttemptEnded{Task: o.Task, Machine: o.Machine, Attempt: 0, Outcome: Completed, Final: true})
				default:
					s.next = append(s.next, AttemptEnded{Task: o.Task, Machine: o.Machine, Outcome: Rejected, Reason: InsufficientCores})
				}
			}
		}
	}
	slices.Sort(at)
	return at, c
}

// Fourth rule, for the fleet: whatever the counts of schedulers and offers, fractions of a share, restarts within the time in
// which the machine is cold and words of its start that come at different times, all schedulers together stay within what it
// always bears; and where work waits at each, they use half of it, less what schedulers started anew don't dare.
func TestSlowStartBudgetOfFleet(t *testing.T) {
	for _, schedulers := range []int{1, 3, 4, 20, 30, 100} {
		for _, budget := range []float64{2, 3.5, 7, 12.4, 25} {
			for seed, restarts := range []bool{false, true} {
				at, c := runSlowStartFleet(t, schedulers, budget, restarts, uint64(seed))
				worst, first := 0, 0
				for last := range at {
					for at[last]-at[first] > c.OverloadWindow {
						first++
					}
					worst = max(worst, last-first+1)
				}
				windows := float64(c.SlowStartDuration-time.Second) / float64(c.OverloadWindow) // all have heard of it after a second
				used, least := float64(len(at))/windows, budget/2
				if restarts {
					least *= 0.8
				}
				if worst > int(math.Ceil(budget)) || used < least {
					t.Errorf("%d schedulers, %v offers, restarts %v: %d at most in a window, %.2f on average",
						schedulers, budget, restarts, worst, used)
				}
			}
		}
	}
}
