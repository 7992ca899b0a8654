package flaxshelf

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// Unanswered offers count.
func TestSlowStartBudgetIsDividedBySchedulers(t *testing.T) {
	cfg := testConfig()
	cfg.Schedulers, cfg.SlowStartBudget = 3, 12
	p := startPlacer(t, cfg, nil)
	now := 10 * time.Second
	events := []Event{MachinesUpdated{Machines: []Machine{{ID: "new", Zone: "a", Started: now - millisecond}}}}
	for i := range 20 {
		events = append(events, submit(fmt.Sprint("t", i), 0, now+5*time.Second))
	}
	if n := len(offersOf(p.Step(now, events))); n != 4 {
		t.Errorf("got %d offers in one step, want 12/3", n)
	}
	if n := len(offersOf(p.Step(now+900*millisecond, []Event{TimerFired{}}))); n != 0 {
		t.Errorf("got %d more offers within the window, want none", n)
	}
	if n := len(offersOf(p.Step(now+1600*millisecond, []Event{TimerFired{}}))); n != 4 {
		t.Errorf("got %d offers after the window, want 4", n)
	}
}

// There are far more schedulers than offers in the budget, and tasks are queued at each of them all the time. They also use
// a good part of the budget.
func TestManySchedulersStayWithinSlowStartBudget(t *testing.T) {
	cfg := testConfig()
	cfg.Schedulers, cfg.SlowStartBudget = 300, 24
	offeredAt := map[string][]Time{}
	var placers []*Placer
	for i := range cfg.Schedulers {
		cfg.Index = i
		placers = append(placers, newPlacer(t, cfg, uint64(i)))
	}
	machines := testMachines(3)
	for i := range machines {
		machines[i].Started = time.Second + Time(i)*70*millisecond
	}
	for now := time.Second; now < 9*time.Second; now += 50 * millisecond {
		for i, p := range placers {
			var events []Event
			if now == time.Second {
				events = append(events, MachinesUpdated{Complete: true, Machines: machines})
			}
			if now > time.Second {
				events = append(events, submit(fmt.Sprint(i, now), 0, now+time.Minute))
			}
			for _, offer := range offersOf(p.Step(now, events)) {
				offeredAt[offer.Machine] = append(offeredAt[offer.Machine], now)
				ended := endOf(offer, Completed)
				ended.Final = true
				p.Step(now, []Event{ended})
			}
		}
	}
	for id, times := range offeredAt {
		most := maxWithin(cfg.OverloadWindow, times)
		if most > int(cfg.SlowStartBudget) || len(times) < 2*int(cfg.SlowStartBudget) {
			t.Errorf("%s: got %d offers in a window and %d in all, want at most %v and at least twice that",
				id, most, len(times), cfg.SlowStartBudget)
		}
	}
	if len(offeredAt) != len(machines) {
		t.Errorf("offers to %d machines, want %d", len(offeredAt), len(machines))
	}
}

// A restarted scheduler does not know what it offered before.
func TestSlowStartBudgetCountsAsSpentAfterRestart(t *testing.T) {
	p := newPlacer(t, testConfig(), testSeed)
	now := 10 * time.Second
	actions := p.Step(now, []Event{
		MachinesUpdated{Complete: true, Stale: true, Machines: []Machine{{ID: "new", Started: now - time.Second}}},
		submit("t", 0, now+5*time.Second)})
	if len(offersOf(actions)) != 0 {
		t.Fatalf("got %v right after the scheduler's own start, want no offer", actions)
	}
	onlyOffer(t, p.Step(now+1600*millisecond, []Event{TimerFired{}}))
}

// slowStartFleet is a number of schedulers that all have tasks for one machine that has just started; the other machine of
// the fleet is full.
type slowStartFleet struct {
	t          *testing.T
	cfg        Config
	random     *rand.Rand
	seed       uint64
	machine    Machine // the one in slow start
	schedulers []*slowStartScheduler
}

// slowStartScheduler is one scheduler of a slowStartFleet.
type slowStartScheduler struct {
	placer    *Placer
	learnsAt  Time // when its machine list names the machine
	restartAt Time // zero means never
	listed    bool
	submitted int
	next      []Event // of its next step
}

// newSlowStartFleet makes the schedulers. Each learns of the machine's start at its own time within a second, and with
// restarts some restart while the machine is in slow start.
func newSlowStartFleet(t *testing.T, schedulers int, budget float64, restarts bool, seed uint64) *slowStartFleet {
	t.Helper()
	cfg := testConfig()
	cfg.Schedulers, cfg.SlowStartBudget = schedulers, budget
	cfg.OverloadWindow, cfg.SlowStartDuration = time.Second, 10*time.Second
	f := &slowStartFleet{t: t, cfg: cfg, random: rand.New(rand.NewPCG(seed, 3)), seed: seed,
		machine: Machine{ID: fmt.Sprint("cold", seed), Zone: "a", Started: 100 * time.Second}}
	for i := range schedulers {
		s := &slowStartScheduler{learnsAt: f.machine.Started + Time(f.random.Int64N(int64(time.Second)))}
		f.start(s, i, f.machine.Started-time.Minute, uint64(i))
		if restarts && f.random.IntN(2) == 0 {
			s.restartAt = f.machine.Started + Time(f.random.Int64N(int64(cfg.SlowStartDuration)))
		}
		f.schedulers = append(f.schedulers, s)
	}
	return f
}

// start starts a scheduler whose machine list has the full machine alone.
func (f *slowStartFleet) start(s *slowStartScheduler, index int, now Time, seed uint64) {
	f.t.Helper()
	cfg := f.cfg
	cfg.Index = index
	s.placer = newPlacer(f.t, cfg, seed)
	s.placer.Step(now, []Event{MachinesUpdated{Complete: true, Machines: []Machine{{ID: "full", Zone: "a"}}}})
}

// run returns the times, in order, at which offers reached the machine during its slow start.
func (f *slowStartFleet) run() (offeredAt []Time) {
	const step = 20 * millisecond
	for now := f.machine.Started; now < f.machine.Started+f.cfg.SlowStartDuration; now += step {
		for i, s := range f.schedulers {
			if s.restartAt > 0 && now >= s.restartAt {
				s.restartAt, s.listed, s.next = 0, false, nil
				f.start(s, i, now, f.seed^uint64(now)^uint64(i))
				s.learnsAt = now
			}
			for range f.step(s, i, now) {
				offeredAt = append(offeredAt, now+Time(f.random.Int64N(int64(step))))
			}
		}
	}
	slices.Sort(offeredAt)
	return offeredAt
}

// step makes a step of one scheduler and returns the number of offers to the machine in slow start.
func (f *slowStartFleet) step(s *slowStartScheduler, index int, now Time) (offers int) {
	events := s.next
	s.next = nil
	if !s.listed && now >= s.learnsAt {
		s.listed = true
		events = append(events, MachinesUpdated{Machines: []Machine{f.machine}})
	}
	if f.random.IntN(3) == 0 {
		s.submitted++
		e := submit(fmt.Sprintf("t%d.%d.%d", index, s.submitted, now), 0, now+4*time.Second)
		e.Task.Service = fmt.Sprint("s", f.random.IntN(50))
		events = append(events, e)
	}
	for _, offer := range offersOf(s.placer.Step(now, events)) {
		ended := endOf(offer, Rejected)
		ended.Reason = InsufficientCores
		if offer.Machine == f.machine.ID {
			offers++
			ended = endOf(offer, Completed)
			ended.Final = true
		}
		s.next = append(s.next, ended)
	}
	return offers
}

// maxWithin returns the largest number of times within any window of the given length.
func maxWithin(window time.Duration, times []Time) (most int) {
	first := 0
	for last := range times {
		for times[last]-times[first] > window {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// The schedulers together stay within the budget, for fractions of an offer for each, restarts of schedulers during the slow
// start, and a start that schedulers learn of at different times. Since tasks are queued at each, they use half of it, less
// what restarted schedulers don't use.
func TestSlowStartBudgetOfFleet(t *testing.T) {
	for _, schedulers := range []int{1, 3, 4, 20, 30, 100} {
		for _, budget := range []float64{2, 3.5, 7, 12.4, 25} {
			for seed, restarts := range []bool{false, true} {
				name := fmt.Sprintf("schedulers=%d/budget=%v/restarts=%v", schedulers, budget, restarts)
				t.Run(name, func(t *testing.T) {
					newSlowStartFleet(t, schedulers, budget, restarts, uint64(seed)).checkBudget(restarts)
				})
			}
		}
	}
}

// checkBudget checks the number of offers in any window and on average.
func (f *slowStartFleet) checkBudget(restarts bool) {
	f.t.Helper()
	offeredAt, budget := f.run(), f.cfg.SlowStartBudget
	most := maxWithin(f.cfg.OverloadWindow, offeredAt)
	// All have learnt of the start after a second.
	windows := float64(f.cfg.SlowStartDuration-time.Second) / float64(f.cfg.OverloadWindow)
	used, least := float64(len(offeredAt))/windows, budget/2
	if restarts {
		least *= 0.8
	}
	if most > int(math.Ceil(budget)) || used < least {
		f.t.Errorf("got %d offers at most in a window and %.2f on average, want at most %v and at least %.2f",
			most, used, math.Ceil(budget), least)
	}
}
