package reference_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"flaxshelf.example/flaxshelf"
	"flaxshelf.example/flaxshelf/internal/lab/reference"
)

var eventLimit = flag.Int("former.events", 60_000, "events of random worlds that both texts are given")

const millisecond = time.Millisecond

// randomConfig draws a deployment: priced machines and told room, asked-for discovery, or neither, as the deployments that
// the module was made for.
func randomConfig(t *rapid.T) flaxshelf.Config {
	n := func(most int, what string) int { return rapid.IntRange(0, most).Draw(t, what) }
	yes := func(what string) bool { return rapid.Bool().Draw(t, what) }
	c := flaxshelf.Config{Index: 0, Schedulers: 1 + n(40, "schedulers"), Zone: "z0",
		Kinds:          []flaxshelf.Kind{{Name: "small", Cores: 16, Memory: 50}, {Name: "big", Cores: 64, Memory: 200}},
		Tenants:        []flaxshelf.Tenant{{Name: "a", QuotaFraction: 1, QuotaCores: 4}, {Name: "b", QuotaFraction: 1}},
		CoreOvercommit: 1 + float64(n(4, "accept"))/4, MemoryOvercommit: 1.1,
		PlacedWhenRunning: yes("runs when placed"), ListsFreeCapacity: yes("lists free"), DiscoveryOnRequest: yes("discovery asks"),
		CanCancel: yes("withdraw"), MaxAttempts: n(3, "attempts"), Tick: 2 * millisecond, ConnectTimeout: 100 * millisecond,
		DrainGrace: time.Second, DiscoveryPollDeadline: time.Second, SlowStartDuration: 2 * time.Second, OverloadWindow: time.Second,
		SlowStartBudget: float64(1 + n(40, "cold offers")), OverQuotaWeight: 0.3}
	c.Prices.Fleet = float64(n(1, "fleet priced"))
	for i, e := range []flaxshelf.Idempotency{flaxshelf.Idempotent, flaxshelf.Idempotent, flaxshelf.IdempotentByKey, flaxshelf.NonIdempotent} {
		c.Classes = append(c.Classes, flaxshelf.Class{Name: fmt.Sprint(i), Idempotency: e,
			KeyDomain: flaxshelf.MachineDomain + flaxshelf.TopologyDomain(n(3, "group")),
			KeyTTL:    time.Duration(1+n(3, "window")) * 500 * millisecond, LatencyObjective: 300 * millisecond, Kind: n(2, "kind") - 1,
			SpreadDomain: flaxshelf.TopologyDomain(n(3, "spread")), MaxPerDomain: 1 + n(12, "most")})
	}
	return c
}

type pendingAttempt struct {
	task, machine string
	number        int
	due           flaxshelf.Time
	placed        bool
}

// eventSource answers a module's offers, moves its list of machines and asks it for tasks, as r draws it.
type eventSource struct {
	random             *rand.Rand
	cfg                flaxshelf.Config
	now                flaxshelf.Time
	machines           []flaxshelf.Machine
	pending            []pendingAttempt
	attempts           map[string]int
	done               map[string]bool
	taskCount          int
	submissionsPerStep int // tasks a step at most
	maxWait            int // in ms
	maxLifetime        int // in ms
	services           int
	machineCount       int // machines ever
}

func (w *eventSource) machine() flaxshelf.Machine {
	w.machineCount++
	m := flaxshelf.Machine{ID: fmt.Sprintf("m%d", (w.machineCount*7919)%100003), Kind: w.random.IntN(2), Zone: fmt.Sprint("z", w.random.IntN(3)),
		Cell: w.random.IntN(5)}
	w.setFreeCapacity(&m)
	return m
}

func (w *eventSource) setFreeCapacity(m *flaxshelf.Machine) {
	if w.cfg.ListsFreeCapacity {
		k := w.cfg.Kinds[max(m.Kind, 0)]
		m.FreeCores, m.FreeMemory = k.Cores*w.random.Float64(), k.Memory*w.random.Float64()
	}
}

// discoveryEvent moves the list.
func (w *eventSource) discoveryEvent() flaxshelf.Event {
	r := w.random
	if r.IntN(12) == 0 {
		return flaxshelf.DiscoveryFailed{}
	}
	if r.IntN(20) == 0 {
		return flaxshelf.MachinesUpdated{Complete: true, Machines: append([]flaxshelf.Machine(nil), w.machines...)}
	}
	var some []flaxshelf.Machine
	for range 1 + r.IntN(4) {
		i := r.IntN(len(w.machines))
		m := &w.machines[i]
		switch r.IntN(12) {
		case 0:
			m.State = flaxshelf.Draining
		case 1:
			m.State = flaxshelf.Removed
		case 2:
			m.Started, m.State = w.now, flaxshelf.Active
		case 3: // replaced
			some = append(some, *m)
			some[len(some)-1].State = flaxshelf.Removed
			*m = w.machine()
			m.Started = w.now
		case 4:
			m.Kind = r.IntN(3) - 1
		case 5:
			m.Zone, m.Cell = fmt.Sprint("z", r.IntN(3)), r.IntN(5)
		default:
			m.State = flaxshelf.Active
			w.setFreeCapacity(m)
		}
		some = append(some, *m)
	}
	return flaxshelf.MachinesUpdated{Machines: some}
}

// attemptEvents ends or places what is due.
func (w *eventSource) attemptEvents() (es []flaxshelf.Event) {
	r := w.random
	load := func() flaxshelf.LoadReport {
		return flaxshelf.LoadReport{Present: r.IntN(2) == 0, HasCores: true, HasMemory: r.IntN(2) == 0,
			FreeCores: 16 * r.Float64(), FreeMemory: 50 * r.Float64()}
	}
	kept := w.pending[:0]
	for _, a := range w.pending {
		switch {
		case w.now < a.due:
			if a.placed && r.IntN(50) == 0 {
				es = append(es, flaxshelf.UsageReport{Task: a.task, Machine: a.machine, Attempt: a.number,
					Kind: flaxshelf.UsageKind(1 + r.IntN(5)), Amount: r.Float64()})
			}
		case !a.placed && r.IntN(4) > 0:
			es = append(es, flaxshelf.AttemptPlaced{Task: a.task, Machine: a.machine, Attempt: a.number, Latency: 20 * millisecond})
			a.placed, a.due = true, w.now+time.Duration(r.IntN(w.maxLifetime))*millisecond
			w.done[a.task] = true
		default:
			v := flaxshelf.Outcome(1 + r.IntN(7))
			if a.placed {
				v = []flaxshelf.Outcome{flaxshelf.Completed, flaxshelf.Completed, flaxshelf.Lost}[r.IntN(3)]
			}
			es = append(es, flaxshelf.AttemptEnded{Task: a.task, Machine: a.machine, Attempt: a.number, Outcome: v,
				Final: w.done[a.task], Reason: flaxshelf.Reason(r.IntN(8)), Load: load()})
			continue
		}
		kept = append(kept, a)
	}
	w.pending = kept
	return es
}

func (w *eventSource) events() (es []flaxshelf.Event) {
	es = w.attemptEvents()
	r := w.random
	task := func() flaxshelf.Task {
		w.taskCount++
		t := flaxshelf.Task{ID: fmt.Sprint("t", w.taskCount), Service: fmt.Sprint("s", r.IntN(w.services)),
			Class: r.IntN(4), Cores: []float64{0.1, 1, 2.3, 9}[r.IntN(4)], Memory: 3 * r.Float64(), Tenant: r.IntN(3) - 1,
			Deadline: w.now + time.Duration(20+r.IntN(w.maxWait))*millisecond}
		if r.IntN(3) == 0 {
			t.ExpectedRuntime = time.Duration(r.IntN(5000)) * millisecond
		}
		return t
	}
	for range r.IntN(w.submissionsPerStep + 1) {
		es = append(es, flaxshelf.TaskSubmitted{Task: task()})
	}
	if r.IntN(30) == 0 {
		es = append(es, flaxshelf.TaskAdopted{Task: task(), Machine: w.machines[r.IntN(len(w.machines))].ID})
	}
	if r.IntN(8) == 0 {
		es = append(es, w.discoveryEvent())
	}
	if r.IntN(40) == 0 {
		es = append(es, flaxshelf.HealthChecked{Machine: w.machines[r.IntN(len(w.machines))].ID, Load: flaxshelf.LoadReport{Present: true,
			HasCores: true, FreeCores: 8}})
	}
	if w.taskCount > 0 && r.IntN(40) == 0 {
		es = append(es, flaxshelf.TaskCanceled{Task: fmt.Sprint("t", 1+r.IntN(w.taskCount))})
	}
	return append(es, flaxshelf.TimerFired{})
}

// The module with sets and columns answers as the reference does, action by action, in worlds of all sorts.
func TestSameDecisions(t *testing.T) {
	given, offers, held := 0, 0, 0
	for round := uint64(0); given < *eventLimit; round++ {
		rapid.Check(t, func(t *rapid.T) {
			c := randomConfig(t)
			seed := rapid.Uint64().Draw(t, "seed")
			r := rand.New(rand.NewPCG(seed, round))
			w := &eventSource{random: r, cfg: c, now: time.Second, attempts: map[string]int{}, done: map[string]bool{},
				submissionsPerStep: 1 + r.IntN(8), maxWait: 1 + r.IntN(4000), maxLifetime: 1 + r.IntN(8000), services: 1 + r.IntN(20)}
			for range 2 + r.IntN(150) {
				w.machines = append(w.machines, w.machine())
			}
			twin, err := reference.NewTwin(c, seed)
			if err != nil {
				t.Fatal(err)
			}
			es := []flaxshelf.Event{flaxshelf.MachinesUpdated{Complete: true, Machines: append([]flaxshelf.Machine(nil), w.machines...)}}
			for range 120 {
				got := twin.Step(w.now, es)
				if twin.Err != nil {
					t.Fatalf("%v\nafter %v", twin.Err, es)
				}
				for _, a := range got {
					switch a := a.(type) {
					case flaxshelf.Offer:
						offers++
						w.pending = append(w.pending, pendingAttempt{task: a.Task, machine: a.Machine, number: w.attempts[a.Task],
							due: w.now + time.Duration(r.Int64N(int64(a.Timeout)+1))})
						w.attempts[a.Task]++
					case flaxshelf.Reject:
						held++
						w.done[a.Task] = true
					case flaxshelf.Fail:
						w.done[a.Task] = true
					}
				}
				w.now += time.Duration(1+r.IntN(30)) * 2 * millisecond
				es = w.events()
			}
			given += twin.Events
		})
		if t.Failed() {
			return
		}
	}
	t.Logf("%d events, %d offers, %d refusals", given, offers, held)
	if offers < given/20 || held == 0 {
		t.Errorf("%d events, %d offers, %d refusals: the worlds exercise too little", given, offers, held)
	}
}
