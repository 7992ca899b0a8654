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
			Classes:    []flaxshelf.TaskClass{{Name: "c", SpreadDomain: spread, MaxPerDomain: 3}},
		},
		Limits: scheduler.Limits{MaxPending: 10, MaxRunning: 11, MaxFinished: 2},
	}
}

// noBacklog is the backlog function of idle cores.
func noBacklog(int) int { return 0 }

// Submissions with the same key are passed to the core that has the job, in the same incarnation and in a later one with any
// number of cores, whether a node reports the job before or after the owner retries.
func TestKeyHasOneCore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		domains := []flaxshelf.TopologyDomain{flaxshelf.NoDomain, flaxshelf.ZoneDomain}
		spread := rapid.SampledFrom(domains).Draw(t, "spread")
		cores, laterCores := rapid.IntRange(1, 8).Draw(t, "cores"), rapid.IntRange(1, 8).Draw(t, "later cores")
		spec := scheduler.JobSpec{
			Key:     rapid.StringMatching("[a-z]{1,3}").Draw(t, "key"),
			Service: rapid.StringMatching("[a-z]{0,2}").Draw(t, "service"),
		}
		m := New("s", testConfig(time.Second, spread), cores)
		core := checkSameIncarnation(t, m, spec)
		id := CoreName("s", core, cores) + "." + "rs" + ".1" // 1,000 ms in base 36
		if got := m.CoreOfJob(id); got != core {
			t.Fatalf("core of %s: got %d, want %d", id, got, core)
		}
		later := New("s", testConfig(time.Minute, spread), laterCores)
		checkLaterIncarnation(t, later, spec, id, rapid.Bool().Draw(t, "owner first"))
	})
}

// checkSameIncarnation checks that submissions with the same key are passed to one core, and returns the core.
func checkSameIncarnation(t *rapid.T, m *Map, spec scheduler.JobSpec) int {
	t.Helper()
	core := m.CoreForSubmission(&spec, 5, noBacklog)
	if got := m.CoreForSubmission(&spec, 6, noBacklog); got != core {
		t.Fatalf("core of the second submission: got %d, want %d", got, core)
	}
	spec.Service = "elsewhere"
	if got := m.CoreForSubmission(&spec, 6, noBacklog); got != core {
		t.Fatalf("core of a submission with another service: got %d, want %d", got, core)
	}
	return core
}

// checkLaterIncarnation checks that the report of a node and a retry of the owner are passed to the same core.
func checkLaterIncarnation(t *rapid.T, m *Map, spec scheduler.JobSpec, id string, ownerFirst bool) {
	t.Helper()
	submittedTo := -1
	if ownerFirst {
		submittedTo = m.CoreForSubmission(&spec, 0, noBacklog)
	}
	reported := scheduler.ReportedAttempt{Attempt: id + "/1/0", Job: id, Spec: spec}
	adoptedBy := -1
	for core, part := range m.SplitReport(scheduler.NodeConnected{Node: "n", Accepted: []scheduler.ReportedAttempt{reported}}) {
		if part.Node != "n" {
			t.Fatalf("node of the report to core %d: got %q, want n", core, part.Node)
		}
		if len(part.Accepted) > 0 {
			adoptedBy = core
		}
	}
	if !ownerFirst {
		submittedTo = m.CoreForSubmission(&spec, 0, noBacklog)
	}
	if adoptedBy != submittedTo || m.CoreOfJob(id) != adoptedBy || m.CoreOfAttempt(reported.Attempt) != adoptedBy {
		t.Fatalf("got adoption by core %d, submission to %d, job on %d, attempt on %d, want the same core",
			adoptedBy, submittedTo, m.CoreOfJob(id), m.CoreOfAttempt(reported.Attempt))
	}
}

// With a spread limit, all keys of a service are on one core. Without one, they are distributed among all cores.
func TestServiceWithSpreadLimitHasOneCore(t *testing.T) {
	const cores = 5
	limited := New("s", testConfig(0, flaxshelf.CellDomain), cores)
	for service := range 20 {
		used := map[int]bool{}
		for key := range 30 {
			spec := scheduler.JobSpec{Service: fmt.Sprint(service), Key: fmt.Sprint(service, "-", key)}
			used[limited.CoreForSubmission(&spec, uint64(key), noBacklog)] = true
		}
		if len(used) != 1 {
			t.Errorf("cores of service %d with a spread limit: got %d, want 1", service, len(used))
		}
	}
	unlimited, used := New("s", testConfig(0, flaxshelf.NoDomain), cores), map[int]bool{}
	for key := range 50 {
		used[unlimited.CoreForSubmission(&scheduler.JobSpec{Service: "one", Key: fmt.Sprint(key)}, 0, noBacklog)] = true
	}
	if len(used) != cores {
		t.Errorf("cores of a service without a spread limit: got %d, want %d", len(used), cores)
	}
}

// Submissions without a key are distributed round-robin, except to an overloaded core.
func TestSubmissionsWithoutKeyAreDistributedRoundRobin(t *testing.T) {
	m := New("s", testConfig(0, flaxshelf.NoDomain), 4)
	count := [4]int{}
	for turn := range 400 {
		count[m.CoreForSubmission(&scheduler.JobSpec{}, uint64(turn), noBacklog)]++
	}
	if want := [4]int{100, 100, 100, 100}; count != want {
		t.Errorf("submissions by core: got %v, want %v", count, want)
	}
	backlog := []int{3, 5000, 9, 7}
	for turn := range 100 {
		if core := m.CoreForSubmission(&scheduler.JobSpec{}, uint64(turn), func(core int) int { return backlog[core] }); core == 1 {
			t.Fatalf("submission %d: got the overloaded core 1, want another", turn)
		}
	}
}

// Each core is configured as a separate scheduler, and the limits of the cores add up to those of the scheduler.
func TestConfigForSeveralCores(t *testing.T) {
	indexes, seeds := map[int]bool{}, map[uint64]bool{}
	pending, running := 0, 0
	for core := range 4 {
		cfg := ConfigForCore(testConfig(0, flaxshelf.ZoneDomain), core, 4)
		indexes[cfg.Module.Index], seeds[cfg.Seed] = true, true
		pending, running = pending+cfg.Limits.MaxPending, running+cfg.Limits.MaxRunning
		if cfg.Module.Schedulers != 12 || cfg.Module.Index/4 != 2 {
			t.Errorf("core %d: got scheduler %d of %d, want 8 to 11 of 12", core, cfg.Module.Index, cfg.Module.Schedulers)
		}
		if cfg.Limits.MaxFinished < 1 || cfg.Module.Classes[0].MaxPerDomain != 3 {
			t.Errorf("core %d: got MaxFinished %d, MaxPerDomain %d, want at least 1, and 3", core, cfg.Limits.MaxFinished,
				cfg.Module.Classes[0].MaxPerDomain)
		}
	}
	if len(indexes) != 4 || len(seeds) != 4 {
		t.Errorf("got indexes %v, seeds %v, want 4 different ones each", indexes, seeds)
	}
	if pending != 10 || running != 11 {
		t.Errorf("sum of limits: got %d pending and %d running, want 10 and 11", pending, running)
	}
}

// A single core has the configuration of the scheduler.
func TestConfigForOneCore(t *testing.T) {
	if cfg := ConfigForCore(testConfig(0, flaxshelf.ZoneDomain), 0, 1); cfg.Name != "s" || cfg.Seed != 7 || cfg.Module.Index != 2 {
		t.Errorf("got name %q, seed %d, index %d, want those of the scheduler", cfg.Name, cfg.Seed, cfg.Module.Index)
	}
}

func TestCheckCoreCountAcceptsUpToMaxCores(t *testing.T) {
	for _, test := range []struct {
		cores int
		valid bool
	}{
		{-1, false},
		{0, false},
		{1, true},
		{MaxCores, true},
		{MaxCores + 1, false},
	} {
		t.Run(fmt.Sprintf("%d cores", test.cores), func(t *testing.T) {
			err := CheckCoreCount(test.cores)
			if test.valid {
				if err != nil {
					t.Errorf("got error %v, want none", err)
				}
				return
			}
			var countError *CoreCountError
			if !errors.As(err, &countError) || countError.Cores != test.cores {
				t.Errorf("got error %v, want a *CoreCountError of %d cores", err, test.cores)
			}
		})
	}
}

// Merge returns lists in the order of IDs, or an error if any core has one.
func TestMerge(t *testing.T) {
	query := scheduler.Query{Limit: 3}
	t.Run("jobs are ordered and limited", func(t *testing.T) {
		got := Merge(query, []scheduler.Answer{
			{Jobs: []scheduler.JobInfo{{ID: "b"}, {ID: "d"}}},
			{Jobs: []scheduler.JobInfo{{ID: "a"}, {ID: "c"}}},
		})
		if len(got.Jobs) != 3 || got.Jobs[0].ID != "a" || got.Jobs[1].ID != "b" || got.Jobs[2].ID != "c" {
			t.Errorf("got jobs %v, want a, b, c", got.Jobs)
		}
	})
	t.Run("jobs of a machine are added up", func(t *testing.T) {
		first := scheduler.MachineInfo{Machine: flaxshelf.Machine{ID: "m"}, Jobs: 2}
		second := scheduler.MachineInfo{Machine: flaxshelf.Machine{ID: "m"}, Jobs: 3, Connected: true}
		other := scheduler.MachineInfo{Machine: flaxshelf.Machine{ID: "a"}}
		got := Merge(scheduler.Machines{}, []scheduler.Answer{
			{Machines: []scheduler.MachineInfo{first}},
			{Machines: []scheduler.MachineInfo{second, other}},
		})
		if len(got.Machines) != 2 || got.Machines[0].ID != "a" || got.Machines[1].Jobs != 5 || !got.Machines[1].Connected {
			t.Errorf("got machines %+v, want a, and m connected with 5 jobs", got.Machines)
		}
	})
	t.Run("an error is returned instead of other answers", func(t *testing.T) {
		got := Merge(query, []scheduler.Answer{{}, {Err: &scheduler.Error{Code: scheduler.TryLater}}})
		if got.Err == nil {
			t.Errorf("got answer %+v, want the error", got)
		}
	})
}

func TestPositionsAreParsed(t *testing.T) {
	for _, test := range []struct{ name, text, want string }{
		{"valid", "3-0-12", "3-0-12"},
		{"empty", "", "0-0-0"},
		{"too few cores", "3", "0-0-0"},
		{"not a number", "3-x-1", "0-0-0"},
		{"too many cores", "1-2-3-4", "0-0-0"},
		{"leading separator", "-1-2-3", "0-0-0"},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := ParsePosition(test.text, 3).String(); got != test.want {
				t.Errorf("position of %q: got %s, want %s", test.text, got, test.want)
			}
		})
	}
}

func TestDecodeTokenInvertsEncodeToken(t *testing.T) {
	const token = 9
	for _, core := range []int{0, 1, MaxCores - 1} {
		t.Run(fmt.Sprintf("core %d", core), func(t *testing.T) {
			if gotCore, gotToken := DecodeToken(EncodeToken(core, token)); gotCore != core || gotToken != token {
				t.Errorf("got core %d, token %d, want core %d, token %d", gotCore, gotToken, core, token)
			}
		})
	}
}
