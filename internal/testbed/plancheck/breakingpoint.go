package plancheck

import (
	"context"
	"errors"
	"fmt"
	"math"
	"runtime"
	"slices"
	"sync"

	"flaxshelf.example/flaxshelf/internal/testbed/emulator"
	"flaxshelf.example/flaxshelf/internal/testbed/scenario"
)

// Goal is the service level that a load must get.
type Goal struct {
	MinPlacedFraction float64 // of the submissions of each class
	WarmupSeconds     float64 // time at the start of the day whose submissions don't count
	Surge             Surge   // during the warmup; the zero value means none
}

// Surge is a higher load at the start of a day. If clients retry, a fleet that handles a load may not recover at the same
// load after a surge.
type Surge struct {
	Factor  float64 // multiple of the load
	Seconds float64 // length
}

// Search is the interval in which a breaking point is searched for, and the precision.
type SearchOptions struct {
	Low, High     float64 // multiples of the load
	RelativeWidth float64 // width of the resulting interval, relative to its lower bound
	SeedCount     int     // emulated days for each multiple; the goal is met if their mean meets it
}

// BreakingPoint is the interval of the load in which the goal breaks.
type BreakingPoint struct {
	Low, High      float64 // the goal is met at Low and missed at High, in multiples of the load
	EmulatedDays   int     // emulated days
	Class          string  // that missed the goal at the lowest multiple at which it was missed
	PlacedFraction float64 // of the submissions of Class at that multiple
}

// OutOfRangeError is returned for a breaking point outside the bounds of the search.
type OutOfRangeError struct {
	Low, High    float64 // bounds of the search
	LoadMultiple float64 // the bound beyond which the breaking point is
	GoalMet      bool    // whether the goal is met at Multiple
}

// Error names the bound.
func (e *OutOfRangeError) Error() string {
	result := "missed"
	if e.GoalMet {
		result = "met"
	}
	return fmt.Sprintf("plancheck: the goal is %s at %.3g times the load: its breaking point is not between %.3g and %.3g",
		result, e.LoadMultiple, e.Low, e.High)
}

// FindBreakingPoint searches by bisection for the multiple of the day's load at which the goal is missed. It returns an
// *OutOfRangeError, or an error of the emulation, such as that of the context.
func FindBreakingPoint(ctx context.Context, day *scenario.Day, goal Goal, search SearchOptions) (BreakingPoint, error) {
	point := BreakingPoint{Low: search.Low, High: search.High}
	goalMet := func(multiple float64) (bool, error) {
		point.EmulatedDays += search.SeedCount
		class, placedFraction, err := worstClass(ctx, day, goal, multiple, search.SeedCount)
		if err != nil {
			return false, err
		}
		met := placedFraction >= goal.MinPlacedFraction
		if !met {
			point.Class, point.PlacedFraction = class, placedFraction
		}
		return met, nil
	}
	for _, bound := range []struct {
		multiple float64
		wantMet  bool
	}{{search.Low, true}, {search.High, false}} {
		met, err := goalMet(bound.multiple)
		if err != nil {
			return point, err
		}
		if met != bound.wantMet {
			point.Low, point.High = bound.multiple, bound.multiple
			return point, &OutOfRangeError{Low: search.Low, High: search.High, LoadMultiple: bound.multiple, GoalMet: met}
		}
	}
	for point.High/point.Low > 1+search.RelativeWidth {
		middle := math.Sqrt(point.Low * point.High)
		met, err := goalMet(middle)
		if err != nil {
			return point, err
		}
		if met {
			point.Low = middle
		} else {
			point.High = middle
		}
	}
	return point, nil
}

// FindWithSurge searches for the breaking point without the goal's surge, rising, and with it, falling. If the second is
// lower, the loads between are metastable: the fleet handles them until something overloads it, and then does not recover.
func FindBreakingPointsWithSurge(ctx context.Context, day *scenario.Day, goal Goal, search SearchOptions) (rising, falling BreakingPoint,
	err error) {
	withoutSurge := goal
	withoutSurge.Surge = Surge{}
	if rising, err = FindBreakingPoint(ctx, day, withoutSurge, search); err != nil {
		return rising, falling, fmt.Errorf("rising: %w", err)
	}
	falling, err = FindBreakingPoint(ctx, day, goal, search)
	var outOfRange *OutOfRangeError
	if errors.As(err, &outOfRange) && outOfRange.LoadMultiple == search.Low { // the fleet does not recover even at the lower bound
		falling.Low, falling.High = 0, search.Low
		return rising, falling, nil
	}
	if err != nil {
		return rising, falling, fmt.Errorf("falling: %w", err)
	}
	return rising, falling, nil
}

// worstClass emulates the day at a multiple of its load, and returns the class with the lowest fraction of placed
// submissions, and that fraction.
func worstClass(ctx context.Context, day *scenario.Day, goal Goal, multiple float64, seeds int) (string, float64, error) {
	reports, err := emulate(ctx, scaledDay(day, goal.Surge, multiple), goal.WarmupSeconds, seeds)
	if err != nil {
		return "", 0, err
	}
	worst, leastFraction, counted := "", 1.0, 0
	for i := range reports[0].Classes {
		placed, submitted := 0, 0
		for _, report := range reports {
			placed += report.Classes[i].Placed
			submitted += report.Classes[i].Submitted
		}
		counted += submitted
		if submitted == 0 {
			continue
		}
		if fraction := float64(placed) / float64(submitted); fraction < leastFraction {
			worst, leastFraction = reports[0].Classes[i].Class, fraction
		}
	}
	if counted == 0 { // no load at all must not meet a goal
		return "", 0, fmt.Errorf("plancheck: no submission counts: the load ends before %v s", goal.WarmupSeconds)
	}
	return worst, leastFraction, nil
}

// scaledDay returns the day at a multiple of its load, with a surge at its start.
func scaledDay(day *scenario.Day, surge Surge, multiple float64) *scenario.Day {
	scaled := *day
	scaled.Load = slices.Clone(day.Load)
	for i := range scaled.Load {
		scaled.Load[i].PerSecond *= multiple
	}
	if surge.Seconds > 0 {
		scaled.Faults = append(slices.Clone(day.Faults),
			scenario.Fault{Kind: "burst", At: 0, For: surge.Seconds, Factor: surge.Factor, Fraction: 1})
	}
	return &scaled
}

// emulate emulates the day once for each seed, GOMAXPROCS days at a time, and returns their reports in the order of seeds.
func emulate(ctx context.Context, day *scenario.Day, warmupSeconds float64, seeds int) ([]*emulator.Report, error) {
	reports, errs := make([]*emulator.Report, seeds), make([]error, seeds)
	slots := make(chan struct{}, runtime.GOMAXPROCS(0))
	var runs sync.WaitGroup
	for i := range seeds {
		runs.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			reports[i], errs[i] = emulator.Run(ctx, day,
				emulator.Options{Seed: uint64(i + 1), MeasureFrom: warmupSeconds})
		})
	}
	runs.Wait()
	for _, err := range errs {
		if err != nil {
			return nil, err
		}
	}
	return reports, nil
}
