package shard

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"flaxshelf.example/flaxshelf"
	"flaxshelf.example/flaxshelf/internal/scheduler"
)

func testConfig(startedAt scheduler.Time, spread flaxshelf.TopologyDomain) scheduler.Config {
	return scheduler.Config{
		Name:      "s",
		StartedAt: startedAt,
		Seed:      7,
		Module: flaxshelf.Config{
			Index:      2,
			Schedulers: 3,
			Classes:    []flaxshelf.Class{{Name: "c", SpreadDomain: spread, MaxPerDomain: 3}},
		},
		Limits: scheduler.Limits{MaxPending: 10, MaxRunning: 11, MaxFinished: 2},
	}
}

// noBacklog is the backlog of cores that are idle.
func noBacklog(int) int { return 0 }

// A key leads to the core that has its work: in the same incarnation, and in a later one of any number of cores, where
// a node reports the work before or after the owner retries.
func TestKeyLeadsToOneCore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		domains := []flaxshelf.TopologyDomain{flaxshelf.NoDomain, flaxshelf.ZoneDomain}
		spread := rapid.SampledFrom(domains).Draw(t, "spread")
		cores, laterCores := rapid.IntRange(1, 8).Draw(t, "cores"), rapid.IntRange(1, 8).Draw(t, "later cores")
		spec := scheduler.Spec{
			Key:     rapid.StringMatching("[a-z]{1,3}").Draw(t, "key"),
			Service: rapid.StringMatching("[a-z]{0,2}").Draw(t, "service"),
		}
		m := New("s", testConfig(time.Second, spread), cores)
		core := checkSameIncarnation(t, m, spec)
		id := CoreName("s", core, cores) + "." + "rs" + ".1" // 1,000 ms in base 36
		if got := m.Job(id); got != core {
			t.Fatalf("%s belongs to core %d, not %d", id, got, core)
		}
		later := New("s", testConfig(time.Minute, spread), laterCores)
		checkLaterIncarnation(t, later, spec, id, rapid.Bool().Draw(t, "owner first"))
	})
}

// checkSameIncarnation submits the same work several times and returns its core.
func checkSameIncarnation(t *rapid.T, m *Map, spec scheduler.Spec) int {
	core := m.Submit(&spec, 5, noBacklog)
	if got := m.Submit(&spec, 6, noBacklog); got != core {
		t.Fatalf("first to core %d, then to %d", core, got)
	}
	spec.Service = "elsewhere"
	if got := m.Submit(&spec, 6, noBacklog); got != core {
		t.Fatalf("with another service to %d, not %d", got, core)
	}
	return core
}

// checkLaterIncarnation has a node report the work and its owner submit it again.
func checkLaterIncarnation(t *rapid.T, m *Map, spec scheduler.Spec, id string, ownerFirst bool) {
	submittedTo := -1
	if ownerFirst {
		submittedTo = m.Submit(&spec, 0, noBacklog)
	}
	reported := scheduler.RunningAttempt{Attempt: id + "/1/0", Job: id, Spec: spec}
	adoptedBy := -1
	for core, part := range m.Split(scheduler.NodeUp{Node: "n", Running: []scheduler.RunningAttempt{reported}}) {
		if part.Node != "n" {
			t.Fatalf("core %d is not notified of the node", core)
		}
		if len(part.Running) > 0 {
			adoptedBy = core
		}
	}
	if !ownerFirst {
		submittedTo = m.Submit(&spec, 0, noBacklog)
	}
	if adoptedBy != submittedTo || m.Job(id) != adoptedBy || m.Attempt(reported.Attempt) != adoptedBy {
		t.Fatalf("adopted by core %d, submitted to %d, found at %d and %d",
			adoptedBy, submittedTo, m.Job(id), m.Attempt(reported.Attempt))
	}
}

// Where spread is bounded, a service has one core, whatever the keys, whose count is then exact. Otherwise the keys of
// a service use all cores.
func TestBoundedServiceHasOneCore(t *testing.T) {
	const cores = 5
	bounded := New("s", testConfig(0, flaxshelf.CellDomain), cores)
	for service := range 20 {
		used := map[int]bool{}
		for key := range 30 {
			spec := scheduler.Spec{Service: fmt.Sprint(service), Key: fmt.Sprint(service, "-", key)}
			used[bounded.Submit(&spec, uint64(key), noBacklog)] = true
		}
		if len(used) != 1 {
			t.Errorf("service %d is on %d cores", service, len(used))
		}
	}
	unbounded, used := New("s", testConfig(0, flaxshelf.NoDomain), cores), map[int]bool{}
	for key := range 50 {
		used[unbounded.Submit(&scheduler.Spec{Service: "one", Key: fmt.Sprint(key)}, 0, noBacklog)] = true
	}
	if len(used) != cores {
		t.Errorf("an unbounded service uses %d of %d cores", len(used), cores)
	}
}

// Work without a key goes round, and past a core that is overloaded.
func TestWorkWithoutKeyGoesRound(t *testing.T) {
	m := New("s", testConfig(0, flaxshelf.NoDomain), 4)
	count := [4]int{}
	for turn := range 400 {
		count[m.Submit(&scheduler.Spec{}, uint64(turn), noBacklog)]++
	}
	if count != [4]int{100, 100, 100, 100} {
		t.Errorf("submissions by core %v", count)
	}
	backlog := []int{3, 5000, 9, 7}
	for turn := range 100 {
		if core := m.Submit(&scheduler.Spec{}, uint64(turn), func(core int) int { return backlog[core] }); core == 1 {
			t.Fatal("work went to the core that is overloaded")
		}
	}
}

// The cores are schedulers of their own to the module, and their limits add up to the scheduler's.
func TestDivide(t *testing.T) {
	indexes, seeds := map[int]bool{}, map[uint64]bool{}
	pending, running := 0, 0
	for core := range 4 {
		cfg := Divide(testConfig(0, flaxshelf.ZoneDomain), core, 4)
		indexes[cfg.Module.Index], seeds[cfg.Seed] = true, true
		pending, running = pending+cfg.Limits.MaxPending, running+cfg.Limits.MaxRunning
		if cfg.Module.Schedulers != 12 || cfg.Module.Index/4 != 2 {
			t.Errorf("core %d is scheduler %d of %d", core, cfg.Module.Index, cfg.Module.Schedulers)
		}
		if cfg.Limits.MaxFinished < 1 || cfg.Module.Classes[0].MaxPerDomain != 3 {
			t.Errorf("core %d: %+v", core, cfg)
		}
	}
	if len(indexes) != 4 || len(seeds) != 4 {
		t.Errorf("indexes %v, seeds %v", indexes, seeds)
	}
	if pending != 10 || running != 11 {
		t.Errorf("limits add up to %d pending and %d running", pending, running)
	}
}

// A single core is the scheduler itself.
func TestDivideAmongOneCore(t *testing.T) {
	if cfg := Divide(testConfig(0, flaxshelf.ZoneDomain), 0, 1); cfg.Name != "s" || cfg.Seed != 7 || cfg.Module.Index != 2 {
		t.Errorf("one core is not the scheduler itself: %+v", cfg)
	}
}

func TestCheck(t *testing.T) {
	for cores, ok := range map[int]bool{-1: false, 0: false, 1: true, MaxCores: true, MaxCores + 1: false} {
		err := Check(cores)
		if ok != (err == nil) {
			t.Errorf("%d cores: %v", cores, err)
		}
		var countError *CoreCountError
		if !ok && (!errors.As(err, &countError) || countError.Cores != cores) {
			t.Errorf("%d cores: error %v", cores, err)
		}
	}
}

func TestMerge(t *testing.T) {
	query := scheduler.Query{Limit: 3}
	t.Run("jobs", func(t *testing.T) {
		got := Merge(query, []scheduler.Answer{
			{Jobs: []scheduler.Info{{ID: "b"}, {ID: "d"}}},
			{Jobs: []scheduler.Info{{ID: "a"}, {ID: "c"}}},
		})
		if len(got.Jobs) != 3 || got.Jobs[0].ID != "a" || got.Jobs[1].ID != "b" || got.Jobs[2].ID != "c" {
			t.Errorf("jobs %v", got.Jobs)
		}
	})
	t.Run("machines", func(t *testing.T) {
		first := scheduler.MachineInfo{Machine: flaxshelf.Machine{ID: "m"}, Jobs: 2}
		second := scheduler.MachineInfo{Machine: flaxshelf.Machine{ID: "m"}, Jobs: 3, Connected: true}
		other := scheduler.MachineInfo{Machine: flaxshelf.Machine{ID: "a"}}
		got := Merge(scheduler.Machines{}, []scheduler.Answer{
			{Machines: []scheduler.MachineInfo{first}},
			{Machines: []scheduler.MachineInfo{second, other}},
		})
		if len(got.Machines) != 2 || got.Machines[0].ID != "a" || got.Machines[1].Jobs != 5 || !got.Machines[1].Connected {
			t.Errorf("machines %+v", got.Machines)
		}
	})
	t.Run("error", func(t *testing.T) {
		got := Merge(query, []scheduler.Answer{{}, {Err: &scheduler.Error{Code: scheduler.TryLater}}})
		if got.Err == nil {
			t.Error("an error was lost")
		}
	})
}

func TestPositions(t *testing.T) {
	if p := ParsePosition("3-0-12", 3); p.String() != "3-0-12" {
		t.Errorf("position %v", p)
	}
	for _, invalid := range []string{"", "3", "3-x-1", "1-2-3-4", "-1-2-3"} {
		if p := ParsePosition(invalid, 3); p.String() != "0-0-0" {
			t.Errorf("%q is taken for %v", invalid, p)
		}
	}
}

func TestTokens(t *testing.T) {
	for _, core := range []int{0, 1, MaxCores - 1} {
		if gotCore, gotToken := DecodeToken(EncodeToken(core, 9)); gotCore != core || gotToken != 9 {
			t.Errorf("token of core %d comes back as %d of %d", core, gotToken, gotCore)
		}
	}
}
