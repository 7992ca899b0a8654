package planner

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// testFleet returns a fleet of 12 nodes in three zones, one cell each.
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
		Groups: []NodeGroup{
			{Name: "a", Kind: "small", Zone: "a", Cell: 0, Count: 4, Cores: 16, Memory: 64},
			{Name: "b", Kind: "large", Zone: "b", Cell: 1, Count: 4, Cores: 32, Memory: 128},
			{Name: "c", Kind: "small", Zone: "c", Cell: 2, Count: 4, Cores: 16, Memory: 64},
		},
	}
}

// testClass returns a class for which the first limit of testFleet is RequestedCores.
func testClass() Class {
	return Class{Name: "service", JobsPerSecond: 10, MeanRuntimeSeconds: 10, Cores: 1, Memory: 1, CoreUsage: 0.5,
		MemoryUsage: 0.5, Services: 50}
}

func TestFirstLimitIsTheOneClosestToLoad(t *testing.T) {
	for _, c := range []struct {
		name          string
		change        func(f *Fleet, c *Class)
		want          LimitName
		raisedByNodes bool
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
			first, byClass := FirstLimits(Limits(fleet, []Class{class}))
			if first.Name != c.want || first.RaisedByNodes != c.raisedByNodes || first.Reason == "" {
				t.Errorf("got first limit %v (raised by nodes: %v), want %v (%v)", first, first.RaisedByNodes, c.want,
					c.raisedByNodes)
			}
			if byClass["service"].Name != c.want {
				t.Errorf("got first limit %v of the class, want %v", byClass["service"], c.want)
			}
		})
	}
}

func TestClassHasFirstLimitOfItsOwn(t *testing.T) {
	big := testClass()
	big.Name, big.Cores, big.JobsPerSecond, big.MeanRuntimeSeconds = "big", 40, 0.1, 10
	overall, byClass := FirstLimits(Limits(testFleet(), []Class{testClass(), big}))
	if byClass["big"].Class != "big" || byClass["big"].Name != ClassCapacity || overall != byClass["big"] {
		t.Errorf("got first limit %v of all and %v of big, want the class capacity of big for both", overall, byClass["big"])
	}
	if byClass["service"].Name != RequestedCores || byClass["service"].LoadMultiple <= overall.LoadMultiple {
		t.Errorf("got first limit %v of service and %v of all, want requested cores above that of all", byClass["service"],
			overall)
	}
}

// The requirement is the lowest number of additional nodes that meets the goal, or the reason why no number is sufficient.
func TestRequiredNodesByGoal(t *testing.T) {
	service := testClass()
	spread := testClass()
	spread.Services, spread.SpreadDomain, spread.MaxPerDomain = 2, "zone", 2
	for _, c := range []struct {
		name               string
		class              Class
		multiple           float64
		minNodes, maxNodes int
		reason             string
	}{
		{"more nodes are required", service, 4, 1, math.MaxInt, string(RequestedCores)},
		{"the present nodes are sufficient", service, 0.5, 0, 0, "the goal is met with the present nodes"},
		{"no number is sufficient", spread, 50, Unattainable, Unattainable, string(SpreadCapacity)},
	} {
		t.Run(c.name, func(t *testing.T) {
			for _, got := range RequiredNodes(testFleet(), []Class{c.class}, c.multiple) {
				if got.AdditionalNodes < c.minNodes || got.AdditionalNodes > c.maxNodes {
					t.Errorf("got %d nodes of kind %s, want %d to %d", got.AdditionalNodes, got.Kind, c.minNodes, c.maxNodes)
				}
				if !strings.Contains(got.Reason, c.reason) {
					t.Errorf("got reason %q for kind %s, want it to contain %q", got.Reason, got.Kind, c.reason)
				}
			}
		})
	}
}

func TestRequiredNodesForLargeJobsAreOfLargeKind(t *testing.T) {
	class := testClass()
	class.Cores = 45 // fits the large kind only
	for _, got := range RequiredNodes(testFleet(), []Class{class}, 1) {
		if got.Kind == "large" && got.AdditionalNodes >= 1 {
			return
		}
	}
	t.Error("got no required nodes of kind large, want at least 1")
}

func TestWithoutRemovesMatchingNodes(t *testing.T) {
	fleet := testFleet()
	for _, c := range []struct {
		name string
		zone string
		cell int
		kind string
		want int
	}{
		{"zone", "b", -1, "", 8},
		{"cell of a zone", "a", 0, "", 8},
		{"kind", "", -1, "small", 4},
		{"everything", "", -1, "", 0},
		{"unknown zone", "z", -1, "", 12},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := fleet.Without(c.zone, c.cell, c.kind).NodeCount(); got != c.want {
				t.Errorf("got %d nodes, want %d", got, c.want)
			}
			if got := fleet.NodeCount(); got != 12 {
				t.Errorf("Without changed its fleet to %d nodes, want 12", got)
			}
		})
	}
}

func TestReplacementCost(t *testing.T) {
	if got := testFleet().ReplacementCost(6); got.SlowStartFraction != 0.5 || got.OffersPerSecond != 10 {
		t.Errorf("got %+v, want a slow-start fraction of 0.5 and 10 offers per second", got)
	}
}

// More load never raises the first limit, more nodes never lower it, and each estimate lies between Low and High.
func TestLimitsAreMonotone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const slack = 0.000001 // for rounding errors
		fleet, class := testFleet(), testClass()
		class.JobsPerSecond = rapid.Float64Range(0.1, 100).Draw(t, "rate")
		class.Cores = rapid.Float64Range(0.1, 20).Draw(t, "cores")
		class.Memory = rapid.Float64Range(0.1, 80).Draw(t, "memory")
		fleet.Schedulers = rapid.IntRange(1, 200).Draw(t, "schedulers")
		limits := Limits(fleet, []Class{class})
		for _, l := range limits {
			within := l.Low <= l.LoadMultiple*(1+slack) && l.LoadMultiple <= l.High*(1+slack)
			if l.Name != NoNodeLargeEnough && !within || math.IsNaN(l.LoadMultiple) {
				t.Fatalf("got %v, want it between %v and %v", l, l.Low, l.High)
			}
		}
		before := limits[0].LoadMultiple
		moreLoad := class
		moreLoad.JobsPerSecond *= 1.5
		if after := Limits(fleet, []Class{moreLoad})[0].LoadMultiple; after > before*(1+slack) {
			t.Fatalf("got a limit at %v with more load, want at most %v", after, before)
		}
		moreNodes := *fleet
		moreNodes.Groups = append(slices.Clone(fleet.Groups),
			NodeGroup{Name: "d", Kind: "small", Zone: "a", Cell: 0, Count: 4, Cores: 16, Memory: 64})
		if after := Limits(&moreNodes, []Class{class})[0].LoadMultiple; after < before*(1-slack) {
			t.Fatalf("got a limit at %v with more nodes, want at least %v", after, before)
		}
	})
}

// The expected values are from tables of Erlang's loss formula, for a loss of 1%.
func TestLoadAtLossAgreesWithTables(t *testing.T) {
	for _, c := range []struct{ servers, want float64 }{{1, 0.0101}, {10, 4.46}, {100, 84.1}} {
		t.Run(fmt.Sprintf("%v servers", c.servers), func(t *testing.T) {
			if got := offeredLoadAtLoss(c.servers, 0.01); math.Abs(got-c.want) > 0.01*c.want {
				t.Errorf("got %v erlangs, want %v", got, c.want)
			}
		})
	}
}
