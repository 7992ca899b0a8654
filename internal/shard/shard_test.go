package shard

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"flaxshelf.example/flaxshelf"
	"flaxshelf.example/flaxshelf/internal/scheduler"
)

func config(boot scheduler.Time, spread flaxshelf.TopologyDomain) scheduler.Config {
	return scheduler.Config{Name: "s", StartedAt: boot, Seed: 7,
		Module: flaxshelf.Config{Index: 2, Schedulers: 3, Classes: []flaxshelf.Class{{Name: "c", SpreadDomain: spread, MaxPerDomain: 3}}},
		Limits: scheduler.Limits{MaxPending: 10, MaxRunning: 11, MaxFinished: 2}}
}

func idle(int) int { return 0 }

// Work that is asked for again under its key comes to the core that has it, in the same life, and in a later one of any
// number of cores where a node tells of it before or after the owner asks.
func TestAKeyComesToOneCore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		spread := rapid.SampledFrom([]flaxshelf.TopologyDomain{flaxshelf.NoDomain, flaxshelf.ZoneDomain}).Draw(t, "spread")
		n, later := rapid.IntRange(1, 8).Draw(t, "cores"), rapid.IntRange(1, 8).Draw(t, "cores later")
		spec := scheduler.Spec{Key: rapid.StringMatching("[a-z]{1,3}").Draw(t, "key"),
			Service: rapid.StringMatching("[a-z]{0,2}").Draw(t, "service")}
		m := New("s", config(time.Second, spread), n)
		core := m.Submit(&spec, 5, idle)
		if again := m.Submit(&spec, 6, idle); again != core {
			t.Fatalf("first to core %d, then to %d", core, again)
		}
		other := spec
		other.Service = "elsewhere"
		if again := m.Submit(&other, 6, idle); again != core {
			t.Fatalf("with another service to %d, not %d", again, core)
		}
		id := CoreName("s", core, n) + "." + "rs" + ".1" // 1,000 ms in base 36
		if got := m.Job(id); got != core {
			t.Fatalf("%s belongs to core %d, not %d", id, got, core)
		}
		next := New("s", config(time.Minute, spread), later)
		asked := -1
		if rapid.Bool().Draw(t, "asks first") {
			asked = next.Submit(&spec, 0, idle)
		}
		held := scheduler.RunningAttempt{Attempt: id + "/1/0", Job: id, Spec: spec}
		at := -1
		for i, p := range next.Split(scheduler.NodeUp{Node: "n", Running: []scheduler.RunningAttempt{held}}) {
			if p.Node != "n" {
				t.Fatalf("core %d is not told of the node", i)
			}
			if len(p.Running) > 0 {
				at = i
			}
		}
		if asked < 0 {
			asked = next.Submit(&spec, 0, idle)
		}
		if at != asked || next.Job(id) != at || next.Attempt(held.Attempt) != at {
			t.Fatalf("adopted by core %d, asked for at %d, found at %d and %d", at, asked, next.Job(id), next.Attempt(held.Attempt))
		}
	})
}

// Where spread is bounded, a service is one core's, whatever the keys: its count is then exact.
func TestABoundedServiceIsOneCores(t *testing.T) {
	m := New("s", config(0, flaxshelf.CellDomain), 5)
	for service := range 20 {
		cores := map[int]bool{}
		for key := range 30 {
			cores[m.Submit(&scheduler.Spec{Service: fmt.Sprint(service), Key: fmt.Sprint(service, "-", key)}, uint64(key), idle)] = true
		}
		if len(cores) != 1 {
			t.Errorf("service %d is on %d cores", service, len(cores))
		}
	}
	free, used := New("s", config(0, flaxshelf.NoDomain), 5), map[int]bool{}
	for key := range 50 {
		used[free.Submit(&scheduler.Spec{Service: "one", Key: fmt.Sprint(key)}, 0, idle)] = true
	}
	if len(used) != 5 {
		t.Errorf("an unbounded service uses %d of 5 cores", len(used))
	}
}

// Work without a key goes round, and past a core that is behind.
func TestTurns(t *testing.T) {
	m := New("s", config(0, flaxshelf.NoDomain), 4)
	count := [4]int{}
	for i := range 400 {
		count[m.Submit(&scheduler.Spec{}, uint64(i), idle)]++
	}
	if count != [4]int{100, 100, 100, 100} {
		t.Errorf("turns %v", count)
	}
	for i := range 100 {
		if core := m.Submit(&scheduler.Spec{}, uint64(i), func(c int) int { return []int{3, 5000, 9, 7}[c] }); core == 1 {
			t.Fatal("work went to the core that is behind")
		}
	}
}

// The cores are schedulers of their own to the module, and their bounds add up to the scheduler's.
func TestDivide(t *testing.T) {
	seen, open, jobs, seeds := map[int]bool{}, 0, 0, map[uint64]bool{}
	for i := range 4 {
		c := Divide(config(0, flaxshelf.ZoneDomain), i, 4)
		seen[c.Module.Index], seeds[c.Seed] = true, true
		open, jobs = open+c.Limits.MaxPending, jobs+c.Limits.MaxRunning
		if c.Module.Schedulers != 12 || c.Module.Index/4 != 2 || c.Limits.MaxFinished < 1 || c.Module.Classes[0].MaxPerDomain != 3 {
			t.Errorf("core %d: %+v", i, c)
		}
	}
	if len(seen) != 4 || len(seeds) != 4 || open != 10 || jobs != 11 {
		t.Errorf("indexes %v, seeds %v, open %d, jobs %d", seen, seeds, open, jobs)
	}
	one := config(0, flaxshelf.ZoneDomain)
	if c := Divide(one, 0, 1); c.Name != "s" || c.Seed != 7 || c.Module.Index != 2 {
		t.Errorf("one core is not the scheduler itself: %+v", c)
	}
	if Check(0) == nil || Check(MaxCores+1) == nil || Check(MaxCores) != nil {
		t.Error("numbers of cores")
	}
}

func TestMerge(t *testing.T) {
	q := scheduler.Query{Limit: 3}
	got := Merge(q, []scheduler.Answer{{Jobs: []scheduler.Info{{ID: "b"}, {ID: "d"}}}, {Jobs: []scheduler.Info{{ID: "a"}, {ID: "c"}}}})
	if len(got.Jobs) != 3 || got.Jobs[0].ID+got.Jobs[2].ID != "ac" {
		t.Errorf("jobs %v", got.Jobs)
	}
	one := scheduler.MachineInfo{Machine: flaxshelf.Machine{ID: "m"}, Jobs: 2}
	two := scheduler.MachineInfo{Machine: flaxshelf.Machine{ID: "m"}, Jobs: 3, Connected: true}
	got = Merge(scheduler.Machines{}, []scheduler.Answer{{Machines: []scheduler.MachineInfo{one}},
		{Machines: []scheduler.MachineInfo{two, {Machine: flaxshelf.Machine{ID: "a"}}}}})
	if len(got.Machines) != 2 || got.Machines[0].ID != "a" || got.Machines[1].Jobs != 5 || !got.Machines[1].Connected {
		t.Errorf("machines %+v", got.Machines)
	}
	if got := Merge(q, []scheduler.Answer{{}, {Err: &scheduler.Error{Code: scheduler.TryLater}}}); got.Err == nil {
		t.Error("an error was lost")
	}
}

func TestPositionsAndTokens(t *testing.T) {
	if p := ParsePosition("3-0-12", 3); p.String() != "3-0-12" {
		t.Errorf("position %v", p)
	}
	for _, s := range []string{"", "3", "3-x-1", "1-2-3-4", "-1-2-3"} {
		if p := ParsePosition(s, 3); p.String() != "0-0-0" {
			t.Errorf("%q is taken for %v", s, p)
		}
	}
	for _, core := range []int{0, 1, MaxCores - 1} {
		if c, tok := Untoken(Token(core, 9)); c != core || tok != 9 {
			t.Errorf("token of core %d comes back as %d of %d", core, tok, c)
		}
	}
}
