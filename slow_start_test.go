package flaxshelf

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// A scheduler has an equal part of the budget; unanswered offers count.
func TestSlowStartBudgetPerScheduler(t *testing.T) {
	cfg := testConfig()
	cfg.Schedulers, cfg.SlowStartBudget = 3, 12
	p := startPlacer(t, cfg, nil)
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

// With far more schedulers than offers in the budget: all of them together, each with tasks waiting all the time, stay
// within the budget in any window, and use a good part of it.
func TestSlowStartSlotsOfManySchedulers(t *testing.T) {
	cfg := testConfig()
	cfg.Schedulers, cfg.SlowStartBudget = 300, 24
	offeredAt := map[string][]Time{}
	var placers []*Placer
	for i := range cfg.Schedulers {
		cfg.Index = i
		p, err := New(cfg, uint64(i))
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
			var events []Event
			if now == time.Second {
				events = append(events, MachinesUpdated{Complete: true, Machines: machines})
			}
			if now > time.Second {
				events = append(events, submit(fmt.Sprint(i, now), 0, now+time.Minute))
			}
			for _, offer := range offersOf(p.Step(now, events)) {
				offeredAt[offer.Machine] = append(offeredAt[offer.Machine], now)
				p.Step(now, []Event{AttemptEnded{Task: offer.Task, Machine: offer.Machine, Outcome: Completed, Final: true}})
			}
		}
	}
	for id, times := range offeredAt {
		most := maxWithin(cfg.OverloadWindow, times)
		if most > int(cfg.SlowStartBudget) || len(times) < 2*int(cfg.SlowStartBudget) {
			t.Errorf("%s: %d offers in a window, %d in all", id, most, len(times))
		}
	}
	if len(offeredAt) != len(machines) {
		t.Errorf("offers went to %d machines", len(offeredAt))
	}
}

// A restarted scheduler can't know what it sent, so its part of the budget counts as spent.
func TestSlowStartBudgetUnknownAfterRestart(t *testing.T) {
	p, _ := New(testConfig(), 1)
	now := 10 * time.Second
	actions := p.Step(now, []Event{
		MachinesUpdated{Complete: true, Stale: true, Machines: []Machine{{ID: "new", Started: now - time.Second}}},
		submit("t", 0, now+5*time.Second)})
	if len(offersOf(actions)) != 0 {
		t.Fatalf("offered to a machine in slow start right after the own start: %v", actions)
	}
	onlyOffer(t, p.Step(now+1600*millisecond, []Event{TimerFired{}}))
}

// slowStartFleet is schedulers that all have work for one machine that has just started; the other machine of the fleet is
// full.
type slowStartFleet struct {
	t          *testing.T
	cfg        Config
	random     *rand.Rand
	seed       uint64
	machine    Machine // the one in slow start
	schedulers []*slowStartScheduler
}

// slowStartScheduler is one of them.
type slowStartScheduler struct {
	placer    *Placer
	learnsAt  Time // when its machine list names the machine
	restartAt Time // 0: never
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

// start starts a scheduler, which knows the full machine alone.
func (f *slowStartFleet) start(s *slowStartScheduler, index int, now Time, seed uint64) {
	f.t.Helper()
	cfg := f.cfg
	cfg.Index = index
	var err error
	if s.placer, err = New(cfg, seed); err != nil {
		f.t.Fatal(err)
	}
	s.placer.Step(now, []Event{MachinesUpdated{Complete: true, Machines: []Machine{{ID: "full", Zone: "a"}}}})
}

// run returns when offers reached the machine during its slow start, in order.
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

// step makes a step of one scheduler and returns how many offers the machine in slow start gets.
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
		end := AttemptEnded{Task: offer.Task, Machine: offer.Machine, Outcome: Rejected, Reason: InsufficientCores}
		if offer.Machine == f.machine.ID {
			offers++
			end = AttemptEnded{Task: offer.Task, Machine: offer.Machine, Outcome: Completed, Final: true}
		}
		s.next = append(s.next, end)
	}
	return offers
}

// maxWithin is the most times within any window of that length.
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

// Whatever the numbers of schedulers and offers, with fractions of an offer for each, restarts of schedulers during the
// slow start and a start that schedulers learn of at different times: all together stay within the budget. Where tasks
// wait at each, they use half of it, less what restarted schedulers don't use.
func TestSlowStartBudgetOfFleet(t *testing.T) {
	for _, schedulers := range []int{1, 3, 4, 20, 30, 100} {
		for _, budget := range []float64{2, 3.5, 7, 12.4, 25} {
			for seed, restarts := range []bool{false, true} {
				fleet := newSlowStartFleet(t, schedulers, budget, restarts, uint64(seed))
				offeredAt, cfg := fleet.run(), fleet.cfg
				most := maxWithin(cfg.OverloadWindow, offeredAt)
				// All have learnt of the start after a second.
				windows := float64(cfg.SlowStartDuration-time.Second) / float64(cfg.OverloadWindow)
				used, least := float64(len(offeredAt))/windows, budget/2
				if restarts {
					least *= 0.8
				}
				if most > int(math.Ceil(budget)) || used < least {
					t.Errorf("%d schedulers, budget %v, restarts %v: %d at most in a window, %.2f on average",
						schedulers, budget, restarts, most, used)
				}
			}
		}
	}
}
