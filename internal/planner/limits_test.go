package planner

import (
	"math"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func testFleet() *Fleet {
	return &Fleet{
		Schedulers:            4,
		CoreOvercommit:        1.5,
		MemoryOvercommit:      1.5,
		OfferReviewSeconds:    0.01,
		StartSlots:            4,
		CachedStartSeconds:    0.05,
		UncachedStartFactor:   8,
		MaxAttempts:           3,
		PlacementsPerSecond:   1000,
		SlowStartBudget:       30,
		OverloadWindowSeconds: 2,
		SlowStartSeconds:      15,
		Groups: []Group{
			{Name: "a", Kind: "small", Zone: "a", Cell: 0, Count: 4, Cores: 16, Memory: 64},
			{Name: "b", Kind: "large", Zone: "b", Cell: 1, Count: 4, Cores: 32, Memory: 128},
			{Name: "c", Kind: "small", Zone: "c", Cell: 2, Count: 4, Cores: 16, Memory: 64},
		},
	}
}

func testClass() Class {
	return Class{Name: "service", JobsPerSecond: 10, MeanRuntimeSeconds: 10, Cores: 1, Memory: 1, CoreUsage: 0.5,
		MemoryUsage: 0.5, Services: 50}
}

// Each limit is the first where the load is nearest to it.
func TestFirst(t *testing.T) {
	for _, c := range []struct {
		name         string
		change       func(f *Fleet, c *Class)
		want         LimitName
		movedByNodes bool
	}{
		{"requested cores", func(*Fleet, *Class) {}, RequestedCores, true},
		{"requested memory", func(_ *Fleet, c *Class) { c.Memory = 10 }, RequestedMemory, true},
		{"cores in use", func(_ *Fleet, c *Class) { c.CoreUsage = 1.5 }, UsedCores, true},
		{"memory in use", func(_ *Fleet, c *Class) { c.Memory, c.MemoryUsage = 10, 1.5 }, UsedMemory, true},
		{"start rate", func(f *Fleet, _ *Class) { f.CachedStartSeconds = 2 }, StartRate, true},
		{"offer review", func(f *Fleet, _ *Class) { f.OfferReviewSeconds = 1 }, OfferReview, true},
		{"scheduler CPU", func(f *Fleet, _ *Class) { f.PlacementsPerSecond = 3 }, SchedulerCPU, false},
		{"spread over zones", func(_ *Fleet, c *Class) { c.Services, c.SpreadDomain, c.MaxPerDomain = 2, "zone", 2 },
			SpreadCapacity, false},
		{"spread over machines", func(_ *Fleet, c *Class) { c.Services, c.SpreadDomain, c.MaxPerDomain = 1, "machine", 1 },
			SpreadCapacity, true},
		{"too large", func(_ *Fleet, c *Class) { c.Cores = 100 }, NoNodeLargeEnough, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			fleet, class := testFleet(), testClass()
			c.change(fleet, &class)
			first, byClass := First(Limits(fleet, []Class{class}))
			if first.Name != c.want || first.MovedByNodes != c.movedByNodes || first.Reason == "" {
				t.Errorf("first is %v (moved by nodes: %v), want %v (%v)", first, first.MovedByNodes, c.want, c.movedByNodes)
			}
			if byClass["service"].Name != c.want {
				t.Errorf("first of the class is %v, want %v", byClass["service"], c.want)
			}
		})
	}
}

// A class has its own first limit beside that of all.
func TestByClass(t *testing.T) {
	big := testClass()
	big.Name, big.Cores, big.JobsPerSecond, big.MeanRuntimeSeconds = "big", 40, 0.1, 10
	all, byClass := First(Limits(testFleet(), []Class{testClass(), big}))
	if byClass["big"].Class != "big" || byClass["big"].Name != ClassCapacity || all != byClass["big"] {
		t.Errorf("all %v, big %v", all, byClass["big"])
	}
	if byClass["service"].Name != RequestedCores || byClass["service"].Multiple <= all.Multiple {
		t.Errorf("service meets %v, all meet %v", byClass["service"], all)
	}
}

// What a goal needs is the least number of nodes that meets it, or a reason why no number does.
func TestRequiredNodes(t *testing.T) {
	fleet, class := testFleet(), testClass()
	for _, r := range RequiredNodes(fleet, []Class{class}, 4) {
		if r.Nodes < 1 || !strings.Contains(r.Reason, string(RequestedCores)) {
			t.Errorf("%+v", r)
		}
	}
	for _, r := range RequiredNodes(fleet, []Class{class}, 0.5) {
		if r.Nodes != 0 {
			t.Errorf("%+v", r)
		}
	}
	class.Services, class.SpreadDomain, class.MaxPerDomain = 2, "zone", 2
	for _, r := range RequiredNodes(fleet, []Class{class}, 50) {
		if r.Nodes != NoNumberOfNodes || !strings.Contains(r.Reason, string(SpreadCapacity)) {
			t.Errorf("%+v", r)
		}
	}
	class = testClass()
	class.Cores = 45 // only the large kind holds it
	nodesByKind := map[string]int{}
	for _, r := range RequiredNodes(fleet, []Class{class}, 1) {
		nodesByKind[r.Kind] = r.Nodes
	}
	if nodesByKind["large"] < 1 {
		t.Errorf("%v", nodesByKind)
	}
}

// A fleet without a part has the other nodes, and stays as it is itself.
func TestWithout(t *testing.T) {
	fleet := testFleet()
	for _, c := range []struct {
		zone  string
		cell  int
		kind  string
		nodes int
	}{
		{"b", -1, "", 8},
		{"a", 0, "", 8},
		{"", -1, "small", 4},
		{"", -1, "", 0},
		{"z", -1, "", 12},
	} {
		if got := fleet.Without(c.zone, c.cell, c.kind).Nodes(); got != c.nodes {
			t.Errorf("without %+v: %d nodes", c, got)
		}
	}
	if fleet.Nodes() != 12 {
		t.Error("the fleet itself has changed")
	}
	if r := fleet.ReplacementCost(6); r.MissingStartFraction != 0.5 || r.OffersPerSecond != 10 {
		t.Errorf("%+v", r)
	}
}

// More load is never further from a limit, more nodes never nearer to one; the estimate lies within its interval.
func TestLimitsAreMonotone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const slack = 0.000001 // of rounding
		fleet, class := testFleet(), testClass()
		class.JobsPerSecond = rapid.Float64Range(0.1, 100).Draw(t, "rate")
		class.Cores = rapid.Float64Range(0.1, 20).Draw(t, "cores")
		class.Memory = rapid.Float64Range(0.1, 80).Draw(t, "memory")
		fleet.Schedulers = rapid.IntRange(1, 200).Draw(t, "schedulers")
		limits := Limits(fleet, []Class{class})
		for _, l := range limits {
			within := l.Low <= l.Multiple*(1+slack) && l.Multiple <= l.High*(1+slack)
			if l.Name != NoNodeLargeEnough && !within || math.IsNaN(l.Multiple) {
				t.Fatalf("%v is not between %v and %v", l, l.Low, l.High)
			}
		}
		before := limits[0].Multiple
		moreLoad := class
		moreLoad.JobsPerSecond *= 1.5
		if after := Limits(fleet, []Class{moreLoad})[0].Multiple; after > before*(1+slack) {
			t.Fatalf("at more load the limit is %v, before %v", after, before)
		}
		moreNodes := *fleet
		moreNodes.Groups = append(slices.Clone(fleet.Groups),
			Group{Name: "d", Kind: "small", Zone: "a", Cell: 0, Count: 4, Cores: 16, Memory: 64})
		if after := Limits(&moreNodes, []Class{class})[0].Multiple; after < before*(1-slack) {
			t.Fatalf("with more nodes the limit is %v, before %v", after, before)
		}
	})
}

// Erlang's formula against values from tables: 10 servers lose 1 in 100 at 4.46 erlangs, 100 at 84.1.
func TestErlangLossFormula(t *testing.T) {
	for servers, want := range map[float64]float64{1: 0.0101, 10: 4.46, 100: 84.1} {
		if got := loadAtLoss(servers, 0.01); math.Abs(got-want) > 0.01*want {
			t.Errorf("%v servers: %v, want %v", servers, got, want)
		}
	}
}
