package scenario

import (
	"math"
	"reflect"
	"slices"
	"testing"
	"time"
)

// arrivals returns all submissions of the first load of the day at its unmodified rate.
func arrivals(d *Day, seed uint64, hotServiceFraction float64) []Arrival {
	var all []Arrival
	draws := d.Arrivals(0, seed)
	for {
		arrival, ok := draws.Next(1, hotServiceFraction)
		if !ok {
			return all
		}
		all = append(all, arrival)
	}
}

func TestArrivalsDependOnDayAndSeed(t *testing.T) {
	d := parseDay(t)
	first := arrivals(d, 7, 0)
	if len(first) == 0 {
		t.Fatal("got no arrivals, want some")
	}
	if again := arrivals(d, 7, 0); !reflect.DeepEqual(again, first) {
		t.Errorf("got %v, want the arrivals of the first draw, %v", again, first)
	}
	if other := arrivals(d, 8, 0); reflect.DeepEqual(other, first) {
		t.Error("got the same arrivals for another seed, want others")
	}
}

func TestArrivalsAreWithinTheBoundsOfTheirLoad(t *testing.T) {
	d := parseDay(t)
	load := &d.Loads[0]
	var last time.Duration
	keys := map[string]bool{}
	for _, a := range arrivals(d, 7, 0) {
		if a.At < last || a.At < Seconds(load.From) || a.At >= Seconds(load.To) {
			t.Errorf("got an arrival at %v after one at %v, want them in order from %v s to %v s", a.At, last, load.From, load.To)
		}
		last = a.At
		if a.Runtime < load.RuntimeBounds[0].Duration() || a.Runtime > load.RuntimeBounds[1].Duration() {
			t.Errorf("got runtime %v, want one of %v", a.Runtime, load.RuntimeBounds)
		}
		if a.Scheduler < 0 || a.Scheduler >= d.Schedulers {
			t.Errorf("got scheduler %d, want one of %d", a.Scheduler, d.Schedulers)
		}
		if a.ControlDelay < 0 || a.ControlDelay > Seconds(maxControlDelay) {
			t.Errorf("got control delay %v, want %v s at most", a.ControlDelay, maxControlDelay)
		}
		if keys[a.Key] {
			t.Errorf("got key %s twice, want unique keys", a.Key)
		}
		keys[a.Key] = true
	}
}

func TestHotServiceGetsItsFractionOfTheArrivals(t *testing.T) {
	d := parseDay(t)
	want := d.Loads[0].Class + "-0"
	for _, a := range arrivals(d, 7, 1) {
		if a.Service != want {
			t.Errorf("got service %s, want %s", a.Service, want)
		}
	}
}

func TestPickNodesDrawsTheFractionOfTheZone(t *testing.T) {
	d, err := Read("calm")
	if err != nil {
		t.Fatal(err)
	}
	nodes := d.Nodes()
	zone := nodes[0].Group.Zone
	inZone := 0
	for _, node := range nodes {
		if node.Group.Zone == zone {
			inZone++
		}
	}
	for _, c := range []struct {
		name     string
		fault    Fault
		wantSize int
	}{
		{"all nodes", Fault{Fraction: 1}, len(nodes)},
		{"all nodes of a zone", Fault{Zone: zone, Fraction: 1}, inZone},
		{"a tenth of a zone, rounded up", Fault{Zone: zone, Fraction: 0.1}, int(math.Ceil(float64(inZone) * 0.1))},
		{"no nodes", Fault{}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			picked := d.PickNodes(&c.fault, d.FaultRand(0, 7))
			if again := d.PickNodes(&c.fault, d.FaultRand(0, 7)); !slices.Equal(again, picked) {
				t.Errorf("got nodes %v, want those of the first draw, %v", again, picked)
			}
			slices.Sort(picked)
			if got := len(slices.Compact(picked)); got != c.wantSize {
				t.Errorf("got %d different nodes, want %d", got, c.wantSize)
			}
			for _, index := range picked {
				if got := nodes[index].Group.Zone; c.fault.Zone != "" && got != c.fault.Zone {
					t.Errorf("got a node of zone %s, want %s", got, c.fault.Zone)
				}
			}
		})
	}
}

func TestSchedulersAreSpreadOverTheZonesOfTheFleet(t *testing.T) {
	d := Day{Fleet: []NodeGroup{{Zone: "a"}, {Zone: "b"}, {Zone: "a"}}}
	for i, want := range []string{"a", "b", "a", "b"} {
		if got := d.SchedulerZone(i); got != want {
			t.Errorf("scheduler %d: got zone %s, want %s", i, got, want)
		}
	}
}

func TestStepTimeIncludesEachInput(t *testing.T) {
	d := parseDay(t)
	step, input := d.CPU.Step.Duration(), d.CPU.Input.Duration()
	if got, want := d.CPU.StepTime(3), step+3*input; got != want {
		t.Errorf("got %v, want %v", got, want)
	}
}
