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

// Goal is the service level that must be reached.
type Goal struct {
	MinPlacedFraction float64 // minimum fraction of the submissions of each class that must be placed
	WarmupSeconds     float64 // initial time of the day whose submissions are not counted
	Surge             Surge   // surge at the start of the day, during the warm-up; the zero value means none
}

// Surge is a temporary increase of the load at the start of a day. If clients retry, a fleet that can handle a constant load may
// not recover at that load after a surge.
type Surge struct {
	Factor  float64 // factor for the submission rates
	Seconds float64 // duration
}

// SearchOptions has the bounds and the precision of the search for a breaking point.
type SearchOptions struct {
	Low, High     float64 // bounds, as multiples of the load
	RelativeWidth float64 // the search ends when the interval is at most this wide, relative to its lower bound
	SeedCount     int     // number of emulated days per multiple; the goal applies to all their submissions together
}

// BreakingPoint is an interval of the load that contains the highest load at which the goal is met.
type BreakingPoint struct {
	Low, High      float64 // multiples of the load: the goal is met at Low and missed at High
	Days           int     // number of emulated days
	Class          string  // class that missed the goal at High
	PlacedFraction float64 // fraction of the submissions of Class that were placed at High
}

// OutOfRangeError is returned if the breaking point is outside the bounds of the search.
type OutOfRangeError struct {
	Low, High    float64 // bounds of the search, as multiples of the load
	LoadMultiple float64 // the bound that the breaking point is beyond
	GoalMet      bool    // whether the goal is met at LoadMultiple
}

// Error describes the bound that the breaking point is beyond.
func (e *OutOfRangeError) Error() string {
	result := "missed"
	if e.GoalMet {
		result = "met"
	}
	return fmt.Sprintf("plancheck: the goal is %s at %.3g times the load: its breaking point is not between %.3g and %.3g",
		result, e.LoadMultiple, e.Low, e.High)
}

// FindBreakingPoint searches by bisection for the multiple of the day's load above which the goal is missed. It returns an
// *OutOfRangeError if the goal is missed at the lower bound or met at the upper one; both bounds of the result are then that
// bound. Errors of the emulation, such as that of the context, are returned too.
func FindBreakingPoint(ctx context.Context, day *scenario.Day, goal Goal, search SearchOptions) (BreakingPoint, error) {
	point := BreakingPoint{Low: search.Low, High: search.High}
	goalMet := func(multiple float64) (bool, error) {
		point.Days += search.SeedCount
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

// FindBreakingPointsWithSurge searches for two breaking points: one without the surge of the goal, and one with it. If the second
// is lower, the fleet is metastable at the loads in between: it handles them until something overloads it, and then does not
// recover. If the goal is missed after the surge even at the lower bound of the search, afterSurge ranges from 0 to that bound.
func FindBreakingPointsWithSurge(ctx context.Context, day *scenario.Day, goal Goal, search SearchOptions) (withoutSurge,
	afterSurge BreakingPoint, err error) {
	goalWithoutSurge := goal
	goalWithoutSurge.Surge = Surge{}
	if withoutSurge, err = FindBreakingPoint(ctx, day, goalWithoutSurge, search); err != nil {
		return withoutSurge, afterSurge, fmt.Errorf("without the surge: %w", err)
	}
	afterSurge, err = FindBreakingPoint(ctx, day, goal, search)
	var outOfRange *OutOfRangeError
	if errors.As(err, &outOfRange) && outOfRange.LoadMultiple == search.Low {
		// The goal is missed at the lower bound, so the breaking point is below it.
		afterSurge.Low, afterSurge.High = 0, search.Low
		return withoutSurge, afterSurge, nil
	}
	if err != nil {
		return withoutSurge, afterSurge, fmt.Errorf("after the surge: %w", err)
	}
	return withoutSurge, afterSurge, nil
}

// worstClass emulates the day at a multiple of its load. It returns the class with the lowest fraction of placed submissions over
// all seeds, and that fraction.
func worstClass(ctx context.Context, day *scenario.Day, goal Goal, multiple float64, seeds int) (string, float64, error) {
	reports, err := emulateSeeds(ctx, scaledDay(day, goal.Surge, multiple), goal.WarmupSeconds, seeds)
	if err != nil {
		return "", 0, err
	}
	worst, lowestFraction, counted := "", 1.0, 0
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
		if fraction := float64(placed) / float64(submitted); fraction < lowestFraction {
			worst, lowestFraction = reports[0].Classes[i].Class, fraction
		}
	}
	if counted == 0 { // without submissions the goal would always be met
		return "", 0, fmt.Errorf("plancheck: no job was submitted after the warm-up of %v s, expected a load that lasts longer",
			goal.WarmupSeconds)
	}
	return worst, lowestFraction, nil
}

// scaledDay returns a copy of the day at a multiple of its load, with a surge at its start.
func scaledDay(day *scenario.Day, surge Surge, multiple float64) *scenario.Day {
	scaled := *day
	scaled.Loads = slices.Clone(day.Loads)
	for i := range scaled.Loads {
		scaled.Loads[i].PerSecond *= multiple
	}
	if surge.Seconds > 0 {
		scaled.Faults = append(slices.Clone(day.Faults),
			scenario.Fault{Kind: "burst", At: 0, Duration: surge.Seconds, Factor: surge.Factor, Fraction: 1})
	}
	return &scaled
}

// emulateSeeds emulates the day once for each seed, at most GOMAXPROCS days at a time, and returns the reports ordered by seed.
func emulateSeeds(ctx context.Context, day *scenario.Day, warmupSeconds float64, seeds int) ([]*emulator.Report, error) {
	reports, errs := make([]*emulator.Report, seeds), make([]error, seeds)
	semaphore := make(chan struct{}, runtime.GOMAXPROCS(0))
	var runs sync.WaitGroup
	for i := range seeds {
		runs.Go(func() {
			semaphore <- struct{}{}
			defer func() { <-semaphore }()
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
