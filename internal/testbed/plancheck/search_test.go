package plancheck

import (
	"context"
	"errors"
	"math"
	"testing"
	"time"

	"flaxshelf.example/flaxshelf/internal/planner"
	"flaxshelf.example/flaxshelf/internal/settings"
	"flaxshelf.example/flaxshelf/internal/testbed/scenario"
)

// plannedDay is the base day with replacements.
func plannedDay(t testing.TB, replacements ...string) *scenario.Day {
	t.Helper()
	day, err := Case{Replacements: replacements}.Day()
	if err != nil {
		t.Fatal(err)
	}
	return day
}

// searchAround is a search around a predicted first limit.
func searchAround(first planner.Limit) Search {
	return Search{Low: first.Multiple * 0.5, High: first.Multiple * 1.6, RelativeWidth: 0.03, Seeds: 2}
}

// middle is the multiple that stands for a breaking point.
func middle(point BreakingPoint) float64 { return math.Sqrt(point.Low * point.High) }

// Where each of many schedulers sees little of nodes that hold few jobs, they prefer the same nodes and the prediction is
// too high; docs/planner.md lists it. This keeps the size of that error in view.
func TestOptimisticPrediction(t *testing.T) {
	day := plannedDay(t, "$CORES", "4", "$RATE", "6", "$SCHEDULERS", "16")
	first, _ := planner.First(planner.Limits(Model(day)))
	point, err := FindBreakingPoint(context.Background(), day, Goal{MinPlacedFraction: 0.99, WarmupSeconds: 10},
		searchAround(first))
	if err != nil {
		t.Fatal(err)
	}
	deviation := first.Multiple/middle(point) - 1
	t.Logf("predicted %.2f, emulated %.2f to %.2f (%+.0f%%)", first.Multiple, point.Low, point.High, 100*deviation)
	if deviation < 0 || deviation > 0.3 {
		t.Errorf("off by %.0f%%: correct docs/planner.md", 100*deviation)
	}
}

// The first limit and its load as predicted, compared with emulated load that rises until 1 job in 100 is not placed.
func TestPredictions(t *testing.T) {
	for _, c := range Cases {
		t.Run(c.Name, func(t *testing.T) {
			t.Parallel()
			day, err := c.Day()
			if err != nil {
				t.Fatal(err)
			}
			first, _ := planner.First(planner.Limits(Model(day)))
			if first.Name != c.Limit {
				t.Errorf("first is %v", first)
			}
			point, err := FindBreakingPoint(context.Background(), day, Goal{MinPlacedFraction: 0.99, WarmupSeconds: 10},
				searchAround(first))
			if err != nil {
				t.Fatalf("%v (predicted %v)", err, first)
			}
			deviation := first.Multiple/middle(point) - 1
			t.Logf("%s predicted at %.2f, emulated %.2f to %.2f (%+.0f%%), %d runs", first.Name, first.Multiple, point.Low,
				point.High, 100*deviation, point.Runs)
			if math.Abs(deviation) > 0.1 {
				t.Errorf("off by %.0f%%", 100*deviation)
			}
		})
	}
}

// Clients that retry after a second or two keep a surge alive: with long patience and slow offers, a load that held while
// it rose does not hold after one. Without retries both breaking points are within a fifth.
func TestBreakingPointAfterSurge(t *testing.T) {
	for _, c := range []struct {
		name  string
		retry time.Duration
		lower bool
	}{
		{"no retries", 0, false},
		{"retries", 1500 * time.Millisecond, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			day := plannedDay(t, "$LOOK", "200ms", "$CORES", "0.05", "$MEMORY", "0.1")
			day.Seconds, day.After, day.Load[0].To = 60, 5, 60
			day.Load[0].Retry, day.Load[0].Patience = settings.Duration(c.retry), settings.Duration(30*time.Second)
			goal := Goal{MinPlacedFraction: 0.98, WarmupSeconds: 40, Surge: Surge{Factor: 6, Seconds: 8}}
			rising, falling, err := FindWithSurge(context.Background(), day, goal,
				Search{Low: 1, High: 3.5, RelativeWidth: 0.08, Seeds: 1})
			t.Logf("rising %.2f to %.2f, falling %.2f to %.2f, %v", rising.Low, rising.High, falling.Low, falling.High, err)
			if err != nil {
				t.Fatal(err)
			}
			if c.lower != (falling.High < 0.8*rising.Low) {
				t.Errorf("the falling breaking point is lower by a fifth: %v, wanted %v", !c.lower, c.lower)
			}
		})
	}
}

// A breaking point outside of the search is an error that names the bound which shows it.
func TestBreakingPointOutOfRange(t *testing.T) {
	day := plannedDay(t)
	day.Seconds, day.Load[0].To = 20, 20
	for _, c := range []struct {
		name   string
		search Search
		want   OutOfRangeError
	}{
		{"above", Search{Low: 0.1, High: 0.2, Seeds: 1}, OutOfRangeError{Low: 0.1, High: 0.2, Multiple: 0.2, GoalMet: true}},
		{"below", Search{Low: 8, High: 9, Seeds: 1}, OutOfRangeError{Low: 8, High: 9, Multiple: 8, GoalMet: false}},
	} {
		t.Run(c.name, func(t *testing.T) {
			point, err := FindBreakingPoint(context.Background(), day, Goal{MinPlacedFraction: 0.99, WarmupSeconds: 5}, c.search)
			var got *OutOfRangeError
			if !errors.As(err, &got) {
				t.Fatalf("%v is not an OutOfRangeError", err)
			}
			if *got != c.want || point.Low != c.want.Multiple || point.High != c.want.Multiple {
				t.Errorf("%+v at %+v, want %+v", *got, point, c.want)
			}
		})
	}
}
