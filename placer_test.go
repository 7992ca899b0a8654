package flaxshelf

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/bits-and-blooms/bitset"
)

const millisecond = time.Millisecond

// testConfig is a plain setting that tests change to taste.
func testConfig() Config {
	return Config{
		Schedulers: 1, Zone: "a", Kinds: []Kind{{"k", 32, 100}}, CoreOvercommit: 2, MemoryOvercommit: 1.5,
		Classes:     []Class{{Name: "c", Idempotency: Idempotent, LatencyObjective: time.Second, Kind: -1}},
		MaxAttempts: 3, CanCancel: true, Tick: 2 * millisecond, OverloadWindow: time.Second, SlowStartDuration: 10 * time.Second,
		SlowStartBudget: 12, DiscoveryPollDeadline: 10 * time.Second,
	}
}

func testMachines(n int) []Machine {
	var ms []Machine
	for i := range n {
		ms = append(ms, Machine{ID: fmt.Sprintf("m%d", i), Zone: "a", Cell: i / 2})
	}
	return ms
}

func startPlacer(t *testing.T, c Config, machines []Machine) *Placer {
	t.Helper()
	p, err := New(c, 7)
	if err != nil {
		t.Fatal(err)
	}
	p.Step(time.Second, []Event{MachinesUpdated{Complete: true, Machines: machines}})
	return p
}

func submit(id string, class int, until Time) TaskSubmitted {
	return TaskSubmitted{Task{ID: id, Service: "s", Class: class, Cores: 1, Memory: 1, Deadline: until, Tenant: -1}}
}

// offersOf lists the offers among actions.
func offersOf(as []Action) (out []Offer) {
	for _, a := range as {
		if o, ok := a.(Offer); ok {
			out = append(out, o)
		}
	}
	return out
}

func onlyOffer(t *testing.T, as []Action) Offer {
	t.Helper()
	os := offersOf(as)
	if len(os) != 1 {
		t.Fatalf("want one offer, got %v", as)
	}
	return os[0]
}

// allMachines is the set of all machines; everyone has them all vote, without ranks.
func allMachines(p *Placer) *bitset.BitSet {
	p.refresh()
	s := bitset.MustNew(uint(len(p.machinesByID)))
	return s.FlipRange(0, uint(len(p.machinesByID)))
}

func allCandidates(p *Placer) (list []candidate) {
	for i := range allMachines(p).EachSet() {
		list = append(list, candidate{machine: int32(i)})
	}
	return list
}

// reviewAll has the index see what a test wrote into machines.
func reviewAll(p *Placer) {
	for _, m := range p.machinesByID {
		p.requestReview(m)
	}
}

func hasAction(as []Action, want Action) bool { return slices.Contains(as, want) }

func TestNewReportsInvalidField(t *testing.T) {
	for _, c := range []struct {
		want   ConfigError
		text   string
		change func(*Config)
	}{
		{ConfigError{"Kinds[0].Cores", 0.0, "must be above 0"}, "flaxshelf: Config.Kinds[0].Cores is 0: must be above 0",
			func(c *Config) { c.Kinds[0].Cores = 0 }},
		{ConfigError{"Kinds[0].Memory", -1.0, "must be above 0"}, "flaxshelf: Config.Kinds[0].Memory is -1: must be above 0",
			func(c *Config) { c.Kinds[0].Memory = -1 }},
		{ConfigError{"Classes[0].Kind", 3, "no such kind"}, "flaxshelf: Config.Classes[0].Kind is 3: no such kind",
			func(c *Config) { c.Classes[0].Kind = 3 }},
		{ConfigError{"Classes[0].Idempotency", 9, "no such idempotency"},
			"flaxshelf: Config.Classes[0].Idempotency is 9: no such idempotency",
			func(c *Config) { c.Classes[0].Idempotency = 9 }},
		{ConfigError{"Classes[0].KeyDomain", 0, "an idempotency key needs a domain"},
			"flaxshelf: Config.Classes[0].KeyDomain is 0: an idempotency key needs a domain",
			func(c *Config) { c.Classes[0].Idempotency = IdempotentByKey }},
		{ConfigError{"Classes[0].SpreadDomain", 4, "no domain to spread over"},
			"flaxshelf: Config.Classes[0].SpreadDomain is 4: no domain to spread over",
			func(c *Config) { c.Classes[0].SpreadDomain = FleetDomain }},
		{ConfigError{"Classes[0].MaxPerDomain", 0, "a bounded spread needs 1 or more"},
			"flaxshelf: Config.Classes[0].MaxPerDomain is 0: a bounded spread needs 1 or more",
			func(c *Config) { c.Classes[0].SpreadDomain = ZoneDomain }},
		{ConfigError{"Tick", -time.Nanosecond, "must not be negative"}, "flaxshelf: Config.Tick is -1ns: must not be negative",
			func(c *Config) { c.Tick = -1 }},
		{ConfigError{"MaxAttempts", -1, "must not be negative"}, "flaxshelf: Config.MaxAttempts is -1: must not be negative",
			func(c *Config) { c.MaxAttempts = -1 }},
	} {
		cfg := testConfig()
		c.change(&cfg)
		_, err := New(cfg, 1)
		var got *ConfigError
		if !errors.As(err, &got) || *got != c.want || err.Error() != c.text {
			t.Errorf("got %v, want %v", err, c.text)
		}
	}
}

// Second rule: what may follow each outcome, for each kind of class.
func TestRetryAfterOutcome(t *testing.T) {
	groups := []Machine{{ID: "m0", Zone: "a"}, {ID: "m1", Zone: "a"}, {ID: "m2", Zone: "b", Cell: 1}}
	for _, effect := range []Idempotency{Idempotent, IdempotentByKey, NonIdempotent} {
		for v := Completed + 1; v <= NotSent; v++ {
			c := testConfig()
			c.Classes[0].Idempotency, c.Classes[0].KeyDomain, c.Classes[0].KeyTTL = effect, ZoneDomain, 2*time.Second
			p := startPlacer(t, c, groups)
			first := onlyOffer(t, p.Step(time.Second, []Event{submit("t", 0, 9*time.Second)}))
			as := p.Step(time.Second+millisecond, []Event{AttemptEnded{Task: "t", Machine: first.Machine, Outcome: v}})
			proved := v == Rejected || v == Unreachable || v == NotSent
			next := offersOf(as)
			zone := func(id string) string { return p.machines[id].Zone }
			switch {
			case proved || effect == Idempotent:
				if len(next) != 1 || next[0].Machine == first.Machine {
					t.Errorf("effect %d, verdict %d: want another machine, got %v", effect, v, as)
				}
			case effect == NonIdempotent:
				if len(next) != 0 || !hasAction(as, Fail{"t"}) {
					t.Errorf("unsafe, verdict %d: want a failure, got %v", v, as)
				}
			default:
				if len(next) > 1 || len(next) == 1 && zone(next[0].Machine) != zone(first.Machine) {
					t.Errorf("keyed, verdict %d: left the group: %v", v, as)
				}
				if hasAction(as, Reject{"t"}) {
					t.Errorf("keyed, verdict %d: refused though it may have run", v)
				}
			}
		}
	}
}

func TestNoRetryAfterKeyTTL(t *testing.T) {
	c := testConfig()
	c.Classes[0].Idempotency, c.Classes[0].KeyDomain, c.Classes[0].KeyTTL = IdempotentByKey, FleetDomain, 500*millisecond
	p := startPlacer(t, c, testMachines(4))
	o := onlyOffer(t, p.Step(time.Second, []Event{submit("t", 0, 9*time.Second)}))
	as := p.Step(time.Second+500*millisecond, []Event{AttemptEnded{Task: "t", Machine: o.Machine, Outcome: TimedOut}})
	if len(offersOf(as)) != 0 || !hasAction(as, Reject{"t"}) {
		t.Errorf("window over, group everywhere: want a refusal, got %v", as)
	}
}

// Third rule.
func TestDrainingAndRemovedMachinesGetNoOffers(t *testing.T) {
	for _, s := range []MachineState{Draining, Removed} {
		p := startPlacer(t, testConfig(), testMachines(2))
		as := p.Step(2*time.Second, []Event{
			MachinesUpdated{Machines: []Machine{{ID: "m0", Zone: "a", State: s}}}, submit("t", 0, 9*time.Second)})
		if o := onlyOffer(t, as); o.Machine != "m1" {
			t.Errorf("state %d: offered to %s", s, o.Machine)
		}
	}
	p := startPlacer(t, testConfig(), testMachines(2))
	as := p.Step(2*time.Second, []Event{MachinesUpdated{Complete: true, Machines: testMachines(1)}, submit("t", 0, 9*time.Second)})
	if o := onlyOffer(t, as); o.Machine != "m0" {
		t.Errorf("absent from a whole list: offered to %s", o.Machine)
	}
}

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

// Fifth rule: attempts, placed tasks and tasks told as running all count.
func TestSpread(t *testing.T) {
	for _, at := range []TopologyDomain{MachineDomain, CellDomain, ZoneDomain} {
		c := testConfig()
		c.Classes[0].SpreadDomain, c.Classes[0].MaxPerDomain = at, 2
		p := startPlacer(t, c, []Machine{{ID: "m0", Zone: "a"}, {ID: "m1", Zone: "b", Cell: 1}})
		events := []Event{TaskAdopted{submit("r", 0, 0).Task, "m0"}}
		for i := range 6 {
			events = append(events, submit(fmt.Sprint("t", i), 0, 9*time.Second))
		}
		count := map[string]int{"m0": 1}
		for _, o := range offersOf(p.Step(2*time.Second, events)) {
			count[o.Machine]++
		}
		if count["m0"] != 2 || count["m1"] != 2 {
			t.Errorf("extent %d: %v", at, count)
		}
		as := p.Step(3*time.Second, []Event{AttemptEnded{Task: "r", Machine: "m0", Outcome: Completed, Final: true}})
		if o := onlyOffer(t, as); o.Machine != "m0" {
			t.Errorf("extent %d: the freed place went to %s", at, o.Machine)
		}
	}
}

// First rule: every open task is answered before its owner gives up, whatever is missing.
func TestAnswerBeforeDeadline(t *testing.T) {
	for _, n := range []int{0, 1} { // no machine at all; one that never answers
		p := startPlacer(t, testConfig(), testMachines(n))
		until := 4 * time.Second
		as := p.Step(time.Second, []Event{submit("t", 0, until)})
		for i := 0; i < 1000; i++ {
			w := slices.IndexFunc(as, func(a Action) bool { _, ok := a.(SetTimer); return ok })
			if w < 0 {
				t.Fatalf("%d machines: no wake while a task is open", n)
			}
			now := p.now + as[w].(SetTimer).After
			as = p.Step(now, []Event{TimerFired{}})
			if hasAction(as, Reject{"t"}) {
				if now >= until {
					t.Errorf("%d machines: answered at %v", n, now)
				}
				break
			}
			if now > until {
				t.Fatalf("%d machines: no answer", n)
			}
		}
		if len(p.openTasks) != 0 {
			t.Errorf("%d machines: still open", n)
		}
	}
}

func TestMaxAttempts(t *testing.T) {
	p := startPlacer(t, testConfig(), testMachines(9))
	as := p.Step(time.Second, []Event{submit("t", 0, 9*time.Second)})
	for i := range 3 {
		o := onlyOffer(t, as)
		e := AttemptEnded{Task: "t", Machine: o.Machine, Attempt: i, Outcome: Unreachable}
		as = p.Step(time.Second+Time(i+1)*millisecond, []Event{e})
	}
	if len(offersOf(as)) != 0 || !hasAction(as, Reject{"t"}) {
		t.Errorf("after three attempts: %v", as)
	}
}

// Odd events: no action, no crash.
func TestUnknownReferencesAreIgnored(t *testing.T) {
	p := startPlacer(t, testConfig(), testMachines(2))
	as := p.Step(2*time.Second, []Event{
		AttemptEnded{Task: "x", Machine: "y"}, AttemptPlaced{Task: "x"}, UsageReport{Task: "x", Kind: 99}, TaskCanceled{"x"},
		HealthChecked{Machine: "y"}, GossipReceived{From: 3}, TimerFired{}, AttemptEnded{Task: "t", Machine: "m0", Attempt: -1}})
	if len(as) != 0 {
		t.Errorf("got %v", as)
	}
	as = p.Step(2*time.Second, []Event{submit("odd", 77, 9*time.Second)})
	if !hasAction(as, Reject{"odd"}) {
		t.Errorf("unknown class: %v", as)
	}
}

func TestSubscribeRetriesAfterDiscoveryFailure(t *testing.T) {
	c := testConfig()
	c.DiscoveryOnRequest = true
	p, _ := New(c, 1)
	as := p.Step(time.Second, []Event{MachinesUpdated{Complete: true, Stale: true, Machines: testMachines(1)}})
	if !hasAction(as, Subscribe{}) {
		t.Fatalf("no subscription at the start: %v", as)
	}
	now, calls := time.Second, 0
	for range 20 {
		p.Step(now+millisecond, []Event{DiscoveryFailed{}})
		for now += 10 * millisecond; ; now += 10 * millisecond {
			if hasAction(p.Step(now, []Event{TimerFired{}}), Subscribe{}) {
				calls++
				break
			}
			if now > time.Minute {
				t.Fatal("never asked again")
			}
		}
	}
	if calls != 20 || now > 60*time.Second || now < 10*time.Second {
		t.Errorf("%d calls in %v", calls, now)
	}
}

// By hand: each machine's survival chance is 1 or 0, so every run names the one without a living task.
func TestVotePicksMachineWithoutLivingTask(t *testing.T) {
	p := startPlacer(t, testConfig(), testMachines(3))
	p.now = 10 * time.Second
	for i, hint := range []time.Duration{20 * time.Second, time.Second, 20 * time.Second} {
		b := &placement{machine: p.machinesByID[i], placedAt: 5 * time.Second, cores: 4, memory: 1, expectedRuntime: hint}
		p.history = append(p.history, b)
		p.indexPlacement(b)
	}
	for range 50 {
		if m := p.vote(allCandidates(p)); m.ID != "m1" {
			t.Fatalf("named %s, though only m1's task has ended", m.ID)
		}
	}
}

// The larger of the cores and memory shares is the load.
func TestVoteUsesLargerOfCoresAndMemory(t *testing.T) {
	p := startPlacer(t, testConfig(), testMachines(2))
	p.now = 10 * time.Second
	p.history = []*placement{
		{machine: p.machinesByID[0], placedAt: p.now, cores: 1, memory: 50, expectedRuntime: time.Hour},
		{machine: p.machinesByID[1], placedAt: p.now, cores: 8, memory: 1, expectedRuntime: time.Hour},
	}
	for _, b := range p.history {
		p.indexPlacement(b)
	}
	if m := p.vote(allCandidates(p)); m.ID != "m1" {
		t.Errorf("named %s", m.ID)
	}
}

// What others asked by the list's word counts in each run; our own part of that word counts once.
func TestVoteCountsExternalLoad(t *testing.T) {
	c := testConfig()
	c.ListsFreeCapacity = true
	machines := testMachines(2)
	for i := range machines {
		machines[i].FreeCores, machines[i].FreeMemory = 32, 100
	}
	machines[0].FreeCores = 12
	p := startPlacer(t, c, machines)
	for i := range 8 {
		as := p.Step(time.Second, []Event{submit(fmt.Sprint("t", i), 0, time.Minute)})
		if o := onlyOffer(t, as); o.Machine != "m1" {
			t.Errorf("offer %d went to the machine that others fill", i)
		}
	}
	machines[0].FreeCores, machines[1].FreeCores = 32, 24 // the word now: m1 holds our eight, others have left
	p.Step(4*time.Second, []Event{MachinesUpdated{Machines: machines}})
	for _, m := range p.machinesByID {
		if o := p.externalLoad(m); o != 0 {
			t.Errorf("%s: others hold %v of it, want nothing", m.ID, o)
		}
	}
}

// Ties go to the better home, and large machines are home to more services: with an empty history neither may
// every service start anew on all of its homes, nor the small machines fill first.
func TestTiesGoToHigherAffinity(t *testing.T) {
	c := testConfig()
	c.Kinds = append(c.Kinds, Kind{"big", 96, 300})
	machines := testMachines(8)
	for i := range 4 {
		machines[i].Kind = 1
	}
	p, q := startPlacer(t, c, machines), startPlacer(t, c, machines)
	big := 0
	for i := range 1000 {
		one := &task{Task: Task{Service: fmt.Sprint("s", i), Cores: 1}, class: &c.Classes[0]}
		m := p.chooseMachine(one)
		if other := q.chooseMachine(one); other.ID != m.ID {
			t.Fatalf("two schedulers chose %s and %s", m.ID, other.ID)
		}
		if m.Kind == 1 {
			big++
		}
	}
	if big < 700 || big > 800 {
		t.Errorf("machines of three times the size got %d of 1000", big)
	}
}

// Ties go at random: an empty history spreads evenly.
func TestVoteTiesAreRandom(t *testing.T) {
	p := startPlacer(t, testConfig(), testMachines(4))
	count := map[string]int{}
	for range 4000 {
		count[p.vote(allCandidates(p)).ID]++
	}
	for id, n := range count {
		if n < 850 || n > 1150 {
			t.Errorf("%s named %d times of 4000", id, n)
		}
	}
}

// Exponential lives: a bind of age a is alive in a share exp(-a/mean) of the runs.
func TestSurvivalAndMeanLifetime(t *testing.T) {
	p := startPlacer(t, testConfig(), testMachines(2))
	p.now = 70 * time.Second
	b := &placement{machine: p.machinesByID[0], placedAt: 10 * time.Second}
	if got := p.survival(b); math.Abs(got-math.Exp(-1)) > 1e-9 {
		t.Errorf("alive %v after one first mean life", got)
	}
	p.lifetimes[0] = lifetimeStats{observed: 180 * time.Second, ended: 3}
	if m := p.meanLifetime(0); m != 60*time.Second {
		t.Errorf("mean life %v, want (180+60)/4", m)
	}
	// Two that still run, seen for 40 s and 60 s, count as time without an ending.
	p.lifetimes[0].running, p.lifetimes[0].startSum = 2, 30*time.Second+10*time.Second
	if m := p.meanLifetime(0); m != 85*time.Second {
		t.Errorf("mean life %v, want (180+40+60+60)/4", m)
	}
}

func TestRejectedPlacementLeavesHistory(t *testing.T) {
	p := startPlacer(t, testConfig(), testMachines(2))
	o := onlyOffer(t, p.Step(time.Second, []Event{submit("t", 0, 9*time.Second)}))
	p.Step(time.Second+millisecond, []Event{AttemptEnded{Task: "t", Machine: o.Machine, Outcome: Rejected, Reason: InsufficientCores}})
	if len(p.history) != 1 || p.history[0].machine.ID == o.Machine {
		t.Errorf("history %v", p.history)
	}
}

// A machine that started anew doesn't keep the replayed tasks of its former life.
func TestRestartedMachineLosesPlacements(t *testing.T) {
	p := startPlacer(t, testConfig(), testMachines(1))
	o := onlyOffer(t, p.Step(time.Second, []Event{submit("t", 0, 9*time.Second)}))
	p.Step(2*time.Second, []Event{AttemptPlaced{Task: "t", Machine: o.Machine}})
	anew := Machine{ID: "m0", Zone: "a", Started: 8 * time.Second}
	p.Step(9*time.Second, []Event{MachinesUpdated{Machines: []Machine{anew}}})
	if len(p.history) != 0 {
		t.Errorf("history %v", p.history)
	}
}

// Incident i4c1909: while the list tells no room anywhere, tasks are held, then tried once at last.
func TestTaskHeldWithoutListedCapacity(t *testing.T) {
	c := testConfig()
	c.ListsFreeCapacity = true
	full := []Machine{{ID: "m0", Zone: "a", FreeCores: -32, FreeMemory: -50}}
	p := startPlacer(t, c, full)
	if as := p.Step(time.Second, []Event{submit("t", 0, 5*time.Second)}); len(offersOf(as)) != 0 {
		t.Fatalf("offered to a full machine: %v", as)
	}
	onlyOffer(t, p.Step(4100*millisecond, []Event{TimerFired{}}))
	p = startPlacer(t, c, full)
	p.Step(time.Second, []Event{submit("t", 0, 5*time.Second)})
	full[0].FreeCores, full[0].FreeMemory = 10, 10
	onlyOffer(t, p.Step(2*time.Second, []Event{MachinesUpdated{Machines: full}}))
}

// After a refusal one offer finds out whether a machine has recovered, without a rush onto it.
func TestOfferWindowAfterRejection(t *testing.T) {
	p := startPlacer(t, testConfig(), testMachines(1))
	o := onlyOffer(t, p.Step(time.Second, []Event{submit("t", 0, 2*time.Second)}))
	e := AttemptEnded{Task: "t", Machine: o.Machine, Outcome: Rejected, Final: true, Reason: InsufficientCores}
	p.Step(time.Second+millisecond, []Event{e})
	m := p.machinesByID[0]
	full := func() bool {
		reviewAll(p)
		return p.withoutCapacity(&task{Task: submit("x", 0, 0).Task}, allMachines(p)).Test(uint(m.number))
	}
	if p.now = 4 * time.Second; full() {
		t.Fatal("still barred after its time")
	}
	m.pendingOffers = 1
	if !full() {
		t.Error("a second offer at once")
	}
	m.offerWindow++ // as after an acceptance
	if full() {
		t.Error("no second offer after an acceptance")
	}
}

// The same after a failure: the offer that probes keeps the others away until it is answered.
func TestTrialPlacementAfterFailure(t *testing.T) {
	p := startPlacer(t, testConfig(), testMachines(4))
	h := p.machinesByID[2].healthOf(0)
	p.recordFailure(h)
	p.now = h.ejectedUntil
	p.startTrial(h)
	if p.now >= h.ejectedUntil {
		t.Error("nothing keeps others from following the offer that probes")
	}
	if p.recordSuccess(h); p.now < h.ejectedUntil {
		t.Error("barred though it served")
	}
}

// Bad evidence never stops placing: with every machine failing, offers go on.
func TestAllMachinesFailingStillPlaces(t *testing.T) {
	p := startPlacer(t, testConfig(), testMachines(4))
	for _, m := range p.machinesByID {
		p.recordFailure(&m.health)
		p.recordFailure(m.healthOf(0))
	}
	reviewAll(p)
	onlyOffer(t, p.Step(time.Second+millisecond, []Event{submit("t", 0, 9*time.Second)}))
}

func TestFailingMachineIsAvoided(t *testing.T) {
	p := startPlacer(t, testConfig(), testMachines(4))
	p.recordFailure(&p.machinesByID[2].health)
	reviewAll(p)
	for i := range 40 {
		as := p.Step(time.Second+millisecond, []Event{submit(fmt.Sprint("t", i), 0, 9*time.Second)})
		if o := onlyOffer(t, as); o.Machine == "m2" {
			t.Fatal("offered to the failing machine")
		}
	}
}

// One class fails on most machines, another is served there: the first keeps to those that serve it, the other
// goes on using all. Where nothing was served the machine itself is taken to fail.
func TestClassFailureOnMostMachines(t *testing.T) {
	c := testConfig()
	c.Classes = append(c.Classes, c.Classes[0])
	p := startPlacer(t, c, testMachines(8))
	failing, other := &task{Task: Task{Class: 0}}, &task{Task: Task{Class: 1}}
	failing.class, other.class = &p.cfg.Classes[0], &p.cfg.Classes[1]
	for _, m := range p.machinesByID[:6] {
		p.recordSuccess(m.healthOf(1))
		p.recordTaskFailure(failing, m)
	}
	reviewAll(p)
	names := func(t *task) (out []string) {
		for _, m := range p.machinesByID {
			if p.now >= m.health.ejectedUntil && p.now >= m.healthOf(t.Class).ejectedUntil {
				out = append(out, m.ID)
			}
		}
		return out
	}
	if got := names(failing); !slices.Equal(got, []string{"m6", "m7"}) {
		t.Errorf("the failing class is left %v", got)
	}
	if got := names(other); len(got) != 8 {
		t.Errorf("the other class is left %v", got)
	}
	for range 20 {
		if m := p.chooseMachine(failing); m.ID != "m6" && m.ID != "m7" {
			t.Errorf("the failing class went to %s", m.ID)
		}
	}
	p.recordTaskFailure(failing, p.machinesByID[7])
	if got := names(other); len(got) != 7 {
		t.Errorf("a machine that served nothing is not barred: %v", got)
	}
}

// An error is blamed on its machine once another has placed the task, or when the task ends with it alone; a task that
// several machines answer with an error and none places, as bad clients send, bars none of them. Where the class was
// not served lately, or there is no second attempt to tell, the machine is struck at once.
func TestTaskFaultEjectsNoMachine(t *testing.T) {
	for _, c := range []struct {
		name   string
		effect Idempotency
		served bool
		errors int
		placed bool
		barred int
	}{
		{"errors everywhere", Idempotent, true, 3, false, 0},
		{"placed by the second", Idempotent, true, 1, true, 1},
		{"placed by the third", Idempotent, true, 2, true, 2},
		{"nothing served there", Idempotent, false, 3, false, 3},
		{"no second attempt", NonIdempotent, true, 1, false, 1},
	} {
		cfg := testConfig()
		cfg.Classes[0].Idempotency = c.effect
		p := startPlacer(t, cfg, testMachines(6))
		if c.served {
			for _, m := range p.machinesByID {
				p.recordSuccess(m.healthOf(0))
			}
		}
		reviewAll(p)
		as := p.Step(time.Second+millisecond, []Event{submit("t", 0, 9*time.Second)})
		for n := range c.errors {
			o := onlyOffer(t, as)
			as = p.Step(time.Second+Time(n+2)*millisecond, []Event{AttemptEnded{Task: "t", Machine: o.Machine, Attempt: n, Outcome: Failed}})
		}
		if c.placed {
			o := onlyOffer(t, as)
			p.Step(time.Second+9*millisecond, []Event{AttemptPlaced{Task: "t", Machine: o.Machine, Attempt: c.errors}})
		} else if len(offersOf(as)) > 0 {
			t.Errorf("%s: offered once more: %v", c.name, as)
		}
		barred := 0
		for _, m := range p.machinesByID {
			if p.now < m.healthOf(0).ejectedUntil {
				barred++
			}
		}
		if barred != c.barred {
			t.Errorf("%s: %d machines barred, want %d", c.name, barred, c.barred)
		}
	}
}

// What our tasks lack of full service counts as load in the vote for a while; a machine that serves worse loses to one
// that serves better, also when both serve badly, and a fuller one that serves in full wins over both.
func TestServiceShortfallCountsAsLoad(t *testing.T) {
	p := startPlacer(t, testConfig(), testMachines(3))
	p.Step(time.Second, []Event{
		TaskAdopted{Task: Task{ID: "a", Service: "x", Cores: 1, Memory: 1, Tenant: -1}, Machine: "m0"},
		TaskAdopted{Task: Task{ID: "b", Service: "y", Cores: 1, Memory: 1, Tenant: -1}, Machine: "m1"},
		TaskAdopted{Task: Task{ID: "c", Service: "z", Cores: 8, Memory: 1, Tenant: -1}, Machine: "m2"}})
	p.Step(time.Second+millisecond, []Event{UsageReport{Task: "a", Machine: "m0", Kind: ServiceLevel, Amount: 0.4},
		UsageReport{Task: "b", Machine: "m1", Kind: ServiceLevel, Amount: 0.8}})
	p.refresh()
	if m := p.vote(allCandidates(p)); m.ID != "m2" {
		t.Errorf("%s wins over the one that serves in full", m.ID)
	}
	if m := p.vote(allCandidates(p)[:2]); m.ID != "m1" {
		t.Errorf("%s wins over the one that serves better", m.ID)
	}
	p.now += 2 * overloadDuration
	reviewAll(p)
	p.refresh()
	if m := p.vote(allCandidates(p)); m.ID == "m2" {
		t.Error("old notes count still")
	}
	p.Step(p.now, []Event{UsageReport{Task: "a", Machine: "m0", Kind: MemoryPressure, Amount: 0.99}})
	if p.refresh(); p.vote(allCandidates(p)[:2]).ID != "m1" {
		t.Error("short memory does not count")
	}
}

// With few binds beside the machines a bar lasts until we would come by again.
func TestEjectionLastsTrialInterval(t *testing.T) {
	p := startPlacer(t, testConfig(), testMachines(10))
	for i := range 4 {
		p.Step(time.Second+Time(i+1)*400*millisecond, []Event{submit(fmt.Sprint("t", i), 0, time.Minute)})
	}
	if h := &p.machinesByID[0].health; h.ejectedUntil == 0 {
		p.recordFailure(h)
		if h.ejectedUntil-p.now < 2*time.Second {
			t.Errorf("barred for %v", h.ejectedUntil-p.now)
		}
	}
	if p.trialInterval() > failureMemory {
		t.Error("a visit is not bounded")
	}
}

// State stays bounded.
func TestStateIsBounded(t *testing.T) {
	p := startPlacer(t, testConfig(), testMachines(3))
	now := time.Second
	for i := range 5000 {
		now += 20 * millisecond
		id := fmt.Sprint("t", i)
		for _, o := range offersOf(p.Step(now, []Event{submit(id, 0, now+5*time.Second)})) {
			p.Step(now, []Event{AttemptPlaced{Task: o.Task, Machine: o.Machine}})
			p.Step(now, []Event{AttemptEnded{Task: o.Task, Machine: o.Machine, Outcome: Completed, Final: true}})
		}
		passing := Machine{ID: fmt.Sprint("x", i/50)}
		p.Step(now, []Event{MachinesUpdated{Complete: true, Machines: append(testMachines(3), passing)}})
	}
	if len(p.history) > maxHistory || len(p.tasks) > 10 || len(p.machinesByID) > 100 {
		t.Errorf("history %d, tasks %d, machines %d", len(p.history), len(p.tasks), len(p.machinesByID))
	}
}

// Incident i959772 and a crash met on the way: nothing is left when every machine is told full.
func TestTaskHeldWhenAllMachinesReject(t *testing.T) {
	p := startPlacer(t, testConfig(), testMachines(2))
	for _, m := range p.machinesByID {
		m.rejectsUntil = time.Hour
	}
	reviewAll(p)
	as := p.Step(time.Second+millisecond, []Event{submit("t", 0, 9*time.Second)})
	if len(offersOf(as)) != 0 || hasAction(as, Reject{"t"}) {
		t.Errorf("want the task held, got %v", as)
	}
}

// All schedulers name the same first home, and the vote keeps more than one machine.
func TestPreferredMachines(t *testing.T) {
	task := &task{Task: submit("t", 0, 0).Task}
	a, b := startPlacer(t, testConfig(), testMachines(6)), startPlacer(t, testConfig(), testMachines(6))
	for _, service := range []string{"s", "u", "v"} {
		task.Service = service
		ha, hb := a.preferredMachines(task, allMachines(a)), b.preferredMachines(task, allMachines(b))
		if len(ha) != minCandidates {
			t.Fatalf("%d homes", len(ha))
		}
		for _, c := range ha {
			if !slices.Contains(hb, c) {
				t.Errorf("service %s: the other scheduler does not name %s", service, a.machinesByID[c.machine].ID)
			}
		}
	}
	for _, m := range a.machinesByID[:4] {
		a.addResidency("s", m)
	}
	task.Service = "s"
	if h := a.preferredMachines(task, allMachines(a)); len(h) < 4 || len(h) > 5 {
		t.Errorf("with tasks on four machines: %d homes", len(h))
	}
}

// A report far over its peers' bars a machine while the report is fresh, a small difference does not.
func TestReportedLoadConstraint(t *testing.T) {
	for _, c := range []struct {
		free   float64
		age    time.Duration
		barred bool
	}{{2, 0, true}, {24, 0, false}, {2, time.Minute, false}} {
		p := startPlacer(t, testConfig(), testMachines(4))
		p.now = 2 * time.Minute
		for i, m := range p.machinesByID {
			m.loadReport, m.loadReportedAt = LoadReport{Present: true, HasCores: true, FreeCores: 28}, p.now
			if i == 0 {
				m.loadReport.FreeCores, m.loadReportedAt = c.free, p.now-c.age
			}
			p.addResidency("s", m)
		}
		reviewAll(p)
		left := p.applySoftConstraints(&task{Task: submit("t", 0, time.Hour).Task, class: &p.cfg.Classes[0]}, allMachines(p))
		if barred := !slices.ContainsFunc(left, func(c candidate) bool { return c.machine == 0 }); barred != c.barred {
			t.Errorf("free %v, age %v: barred %v", c.free, c.age, barred)
		}
	}
}

// Where machines in use are priced, placing keeps to as many as the fleet's asks need.
func TestConsolidation(t *testing.T) {
	c := testConfig()
	c.ListsFreeCapacity, c.Prices.Fleet = true, 0.25
	ms := testMachines(6)
	for i := range ms {
		ms[i].FreeCores, ms[i].FreeMemory = 16, 50 // half of what each has is asked for
	}
	p := startPlacer(t, c, ms)
	if used := p.consolidationSet(allMachines(p)).Count(); used < 3 || used > 4 {
		t.Errorf("%d of 6 half-full machines in use", used)
	}
	for i := range ms {
		ms[i].FreeMemory = 50 - float64(i%2)
	}
	p.Step(2*time.Second, []Event{MachinesUpdated{Machines: ms}})
	for _, id := range []string{"m1", "m3", "m5"} {
		if !p.consolidationSet(allMachines(p)).Test(uint(p.machines[id].number)) {
			t.Errorf("%s, one of the fullest, is not kept in use", id)
		}
	}
}

// What tenants ask beyond their share waits behind the others.
func TestOverQuotaTaskIsServedLast(t *testing.T) {
	c := testConfig()
	c.Tenants = []Tenant{{Name: "a", QuotaCores: 1}, {Name: "b", QuotaCores: 100}}
	p := startPlacer(t, c, testMachines(2))
	p.tenantCores[0], p.tenantCores[1] = 5, 5
	over, within := &task{class: &c.Classes[0]}, &task{class: &c.Classes[0]}
	within.Tenant = 1
	over.submittedAt, within.submittedAt = p.now, p.now
	if p.queueRankOf(over) <= p.queueRankOf(within) {
		t.Errorf("ranks %d and %d", p.queueRankOf(over), p.queueRankOf(within))
	}
	within.submittedAt = p.now - time.Minute
	if p.queueRankOf(over) <= p.queueRankOf(within) {
		t.Error("a late task within its share goes before one beyond it")
	}
}

// Settings that a site leaves out: no classes, kinds, limits, zones or list; what is asked is still answered.
func TestMinimalConfig(t *testing.T) {
	p, err := New(Config{Kinds: []Kind{{"k", 8, 8}}, Classes: []Class{{Name: "c", Kind: -1}}}, 1)
	if err != nil {
		t.Fatal(err)
	}
	p.Step(time.Second, []Event{MachinesUpdated{Complete: true}})
	if as := p.Step(time.Second, []Event{submit("t", 0, 3*time.Second)}); len(offersOf(as)) != 0 {
		t.Fatalf("no machine, yet %v", as)
	}
	o := onlyOffer(t, p.Step(2*time.Second, []Event{MachinesUpdated{Machines: []Machine{{ID: "m"}}}}))
	if o.Machine != "m" || o.Timeout <= 0 {
		t.Errorf("got %v", o)
	}
	if p, err = New(Config{}, 1); err != nil {
		t.Fatal(err)
	}
	if as := p.Step(time.Second, []Event{submit("t", 0, 3*time.Second)}); !hasAction(as, Reject{"t"}) {
		t.Errorf("no classes: %v", as)
	}
}

// A task that is served badly for a while is moved, once; not where it would not pay, or nothing better is known.
func TestMigration(t *testing.T) {
	served := func(task, machine string, amount float64) Event {
		return UsageReport{Task: task, Machine: machine, Kind: ServiceLevel, Amount: amount}
	}
	for _, c := range []struct {
		name      string
		change    func(*Config)
		told      [3]float64 // of task a, a second apart
		elsewhere float64    // told of a task on each other machine
		failing   bool
		refuses   bool
		alone     bool // nothing of ours stands elsewhere
		every     time.Duration
		want      int
	}{
		{name: "half is lacking, told twice", told: [3]float64{0.4, 0.4, 0.3}, elsewhere: 1, want: 1},
		{name: "a little is lacking", told: [3]float64{0.8, 0.8, 0.8}, elsewhere: 1},
		{name: "told once, then well", told: [3]float64{0.4, 1, 0.4}, elsewhere: 1, every: 600 * millisecond},
		{name: "of the others nothing is told", told: [3]float64{0.4, 0.4, 0.4}, alone: true},
		{name: "all serve badly", told: [3]float64{0.4, 0.4, 0.4}, elsewhere: 0.6},
		{name: "its class fails elsewhere", told: [3]float64{0.4, 0.4, 0.4}, elsewhere: 1, failing: true},
		{name: "a machine refuses", told: [3]float64{0.4, 0.4, 0.4}, elsewhere: 1, refuses: true},
		{name: "a move costs more", change: func(c *Config) { c.Prices.Migration = 0.9 },
			told: [3]float64{0.4, 0.4, 0.4}, elsewhere: 1},
		{name: "starts take longer than lives", change: func(c *Config) { c.Classes[0].LatencyObjective = time.Minute },
			told: [3]float64{0.4, 0.4, 0.4}, elsewhere: 1},
		{name: "taken out", told: [3]float64{0.4, 0.4, 0.4}, elsewhere: 1},
	} {
		cfg := testConfig()
		if c.change != nil {
			c.change(&cfg)
		}
		p := startPlacer(t, cfg, testMachines(4))
		if c.name == "taken out" {
			p.Disable(Migrations)
		}
		var events []Event
		for i, id := range []string{"a", "b", "c", "d"} {
			if i > 0 && c.alone {
				break
			}
			task := submit(id, 0, 0).Task
			task.Service = id
			events = append(events, TaskAdopted{Task: task, Machine: fmt.Sprintf("m%d", i)})
		}
		p.Step(2*time.Second, events)
		moves := 0
		for i, amount := range c.told {
			now := 3*time.Second + Time(i)*cmp.Or(c.every, time.Second)
			if c.failing {
				p.recordFailure(p.findOrAddMachine("m3").healthOf(0))
				p.requestReview(p.findOrAddMachine("m3"))
			}
			if c.refuses {
				p.findOrAddMachine("m3").rejectsUntil = now + time.Second
				p.requestReview(p.findOrAddMachine("m3"))
			}
			all := []Event{served("b", "m1", c.elsewhere), served("c", "m2", c.elsewhere), served("d", "m3", c.elsewhere),
				served("a", "m0", amount)}
			for _, a := range p.Step(now, all) {
				if m, ok := a.(Migrate); ok && m.Task == "a" {
					moves++
				} else if ok {
					t.Errorf("%s: %s was moved", c.name, m.Task)
				}
			}
		}
		if moves != c.want {
			t.Errorf("%s: moved %d times, want %d", c.name, moves, c.want)
		}
	}
}

// Both homes of a service serve badly: its large tasks may go to the two next that don't, small ones stay.
func TestLargeTasksAvoidOverloadedPreferredMachines(t *testing.T) {
	for _, cores := range []float64{1, 16} {
		p := startPlacer(t, testConfig(), testMachines(6))
		task := p.addTask(Task{ID: "t", Service: "s", Cores: cores, Memory: 1})
		names := func() (all []string) {
			for _, c := range p.preferredMachines(task, allMachines(p)) {
				all = append(all, p.machinesByID[c.machine].ID)
			}
			return all
		}
		homes := names()
		if len(homes) != minCandidates {
			t.Fatalf("%v cores: homes %v", cores, homes)
		}
		for _, name := range homes {
			p.markOverloaded(p.findOrAddMachine(name), overloadDuration, 1)
		}
		now, more := names(), 0
		for _, name := range now {
			if p.findOrAddMachine(name).overloadedUntil == 0 {
				more++
			}
		}
		if want := map[float64]int{1: 0, 16: minCandidates}[cores]; more != want || !slices.Equal(now[:minCandidates], homes) {
			t.Errorf("%v cores: %v where %v serve badly, want %d more", cores, now, homes, want)
		}
	}
}
