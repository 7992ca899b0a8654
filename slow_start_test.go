package flaxshelf

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// Each scheduler has an equal share of the budget, and offers without an answer count against it.
func TestSlowStartBudgetIsDividedBySchedulers(t *testing.T) {
	cfg := testConfig()
	cfg.Schedulers, cfg.SlowStartBudget = 3, 12
	p := startPlacer(t, cfg, nil)
	now := 10 * time.Second
	events := []Event{MachinesUpdated{Machines: []Machine{{ID: "new", Zone: "a", Started: now - millisecond}}}}
	for i := range 20 {
		events = append(events, newSubmission(fmt.Sprint("t", i), 0, now+5*time.Second))
	}
	if n := len(offersOf(p.Step(now, events))); n != 4 {
		t.Errorf("got %d offers in one step, want 4: a third of 12", n)
	}
	if n := len(offersOf(p.Step(now+900*millisecond, []Event{TimerFired{}}))); n != 0 {
		t.Errorf("got %d more offers within the window, want 0", n)
	}
	if n := len(offersOf(p.Step(now+1600*millisecond, []Event{TimerFired{}}))); n != 4 {
		t.Errorf("got %d offers after the window, want 4", n)
	}
}

// There are far more schedulers than offers in the budget, and each has queued tasks all the time. Together they stay within
// the budget in each window and make at least twice as many offers in all.
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
				events = append(events, newSubmission(fmt.Sprint(i, now), 0, now+time.Minute))
			}
			for _, offer := range offersOf(p.Step(now, events)) {
				offeredAt[offer.Machine] = append(offeredAt[offer.Machine], now)
				ended := firstAttemptEnded(offer, Completed)
				ended.Final = true
				p.Step(now, []Event{ended})
			}
		}
	}
	for id, times := range offeredAt {
		maxOffers := maxInWindow(cfg.OverloadWindow, times)
		if maxOffers > int(cfg.SlowStartBudget) || len(times) < 2*int(cfg.SlowStartBudget) {
			t.Errorf("%s: got up to %d offers in a window and %d in all, want at most %v and at least %v",
				id, maxOffers, len(times), cfg.SlowStartBudget, 2*cfg.SlowStartBudget)
		}
	}
	if len(offeredAt) != len(machines) {
		t.Errorf("got offers to %d machines, want %d", len(offeredAt), len(machines))
	}
}

// A restarted scheduler does not know its offers from before the restart, so it makes no offer until those can no longer
// count against the budget.
func TestSlowStartBudgetCountsAsSpentAfterRestart(t *testing.T) {
	p := newPlacer(t, testConfig(), testSeed)
	now := 10 * time.Second
	actions := p.Step(now, []Event{
		MachinesUpdated{Complete: true, Stale: true, Machines: []Machine{{ID: "new", Started: now - time.Second}}},
		newSubmission("t", 0, now+5*time.Second)})
	if len(offersOf(actions)) != 0 {
		t.Fatalf("got actions %+v in the scheduler's first step, want no offer", actions)
	}
	onlyOffer(t, p.Step(now+1600*millisecond, []Event{TimerFired{}}))
}

// slowStartFleet is a simulation of schedulers that all have queued tasks and send them to a machine that has just started,
// since the only other machine rejects everything.
type slowStartFleet struct {
	t          *testing.T
	cfg        Config
	random     *rand.Rand
	seed       uint64
	machine    Machine // in slow start
	schedulers []*slowStartScheduler
}

// slowStartScheduler is one scheduler of a slowStartFleet.
type slowStartScheduler struct {
	placer         *Placer
	discoversAt    Time // when its machine list gets the machine in slow start
	restartAt      Time // zero means no restart
	hasDiscovered  bool
	submittedCount int
	nextEvents     []Event // events of its next step
}

// newSlowStartFleet returns a fleet whose schedulers discover the machine at random times within a second of its start. If
// restarts is set, about half of them restart at a random time during the slow start.
func newSlowStartFleet(t *testing.T, schedulers int, budget float64, restarts bool, seed uint64) *slowStartFleet {
	t.Helper()
	cfg := testConfig()
	cfg.Schedulers, cfg.SlowStartBudget = schedulers, budget
	cfg.OverloadWindow, cfg.SlowStartDuration = time.Second, 10*time.Second
	f := &slowStartFleet{t: t, cfg: cfg, random: rand.New(rand.NewPCG(seed, 3)), seed: seed,
		machine: Machine{ID: fmt.Sprint("cold", seed), Zone: "a", Started: 100 * time.Second}}
	for i := range schedulers {
		s := &slowStartScheduler{discoversAt: f.machine.Started + Time(f.random.Int64N(int64(time.Second)))}
		f.startScheduler(s, i, f.machine.Started-time.Minute, uint64(i))
		if restarts && f.random.IntN(2) == 0 {
			s.restartAt = f.machine.Started + Time(f.random.Int64N(int64(cfg.SlowStartDuration)))
		}
		f.schedulers = append(f.schedulers, s)
	}
	return f
}

// startScheduler starts or restarts a scheduler. Its machine list has only the machine that rejects everything.
func (f *slowStartFleet) startScheduler(s *slowStartScheduler, index int, now Time, seed uint64) {
	f.t.Helper()
	cfg := f.cfg
	cfg.Index = index
	s.placer = newPlacer(f.t, cfg, seed)
	s.placer.Step(now, []Event{MachinesUpdated{Complete: true, Machines: []Machine{{ID: "full", Zone: "a"}}}})
}

// run simulates the slow start and returns the times at which offers reached the machine, in order. Each offer arrives up to
// one step after it was sent.
func (f *slowStartFleet) run() (offeredAt []Time) {
	const step = 20 * millisecond
	for now := f.machine.Started; now < f.machine.Started+f.cfg.SlowStartDuration; now += step {
		for i, s := range f.schedulers {
			if s.restartAt > 0 && now >= s.restartAt {
				s.restartAt, s.hasDiscovered, s.nextEvents = 0, false, nil
				f.startScheduler(s, i, now, f.seed^uint64(now)^uint64(i))
				s.discoversAt = now
			}
			for range f.step(s, i, now) {
				offeredAt = append(offeredAt, now+Time(f.random.Int64N(int64(step))))
			}
		}
	}
	slices.Sort(offeredAt)
	return offeredAt
}

// step runs a step of one scheduler and returns the number of its offers to the machine in slow start.
func (f *slowStartFleet) step(s *slowStartScheduler, index int, now Time) (offers int) {
	events := s.nextEvents
	s.nextEvents = nil
	if !s.hasDiscovered && now >= s.discoversAt {
		s.hasDiscovered = true
		events = append(events, MachinesUpdated{Machines: []Machine{f.machine}})
	}
	if f.random.IntN(3) == 0 {
		s.submittedCount++
		e := newSubmission(fmt.Sprintf("t%d.%d.%d", index, s.submittedCount, now), 0, now+4*time.Second)
		e.Task.Service = fmt.Sprint("s", f.random.IntN(50))
		events = append(events, e)
	}
	for _, offer := range offersOf(s.placer.Step(now, events)) {
		ended := firstAttemptEnded(offer, Rejected)
		ended.Reason = InsufficientCores
		if offer.Machine == f.machine.ID {
			offers++
			ended = firstAttemptEnded(offer, Completed)
			ended.Final = true
		}
		s.nextEvents = append(s.nextEvents, ended)
	}
	return offers
}

// maxInWindow returns the largest number of times within any window of the given length.
func maxInWindow(window time.Duration, times []Time) (maxCount int) {
	first := 0
	for last := range times {
		for times[last]-times[first] > window {
			first++
		}
		maxCount = max(maxCount, last-first+1)
	}
	return maxCount
}

// All schedulers together stay within the budget, also where a scheduler's share is a fraction of an offer, schedulers restart
// during the slow start, or they discover the machine at different times. With tasks queued at each they use at least half of
// the budget, and 0.8 of that half where restarted schedulers leave their shares unused for a while.
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

// checkBudget runs the simulation and checks the number of offers in each window and their mean per window.
func (f *slowStartFleet) checkBudget(restarts bool) {
	f.t.Helper()
	offeredAt, budget := f.run(), f.cfg.SlowStartBudget
	maxOffers := maxInWindow(f.cfg.OverloadWindow, offeredAt)
	// The first second does not count as a window, since not all schedulers have discovered the machine.
	windows := float64(f.cfg.SlowStartDuration-time.Second) / float64(f.cfg.OverloadWindow)
	meanOffers, minMeanOffers := float64(len(offeredAt))/windows, budget/2
	if restarts {
		minMeanOffers *= 0.8
	}
	if maxOffers > int(math.Ceil(budget)) || meanOffers < minMeanOffers {
		f.t.Errorf("got up to %d offers in a window and a mean of %.2f, want at most %v and a mean of at least %.2f",
			maxOffers, meanOffers, math.Ceil(budget), minMeanOffers)
	}
}
