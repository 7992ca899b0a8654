package search

import (
	"slices"
	"time"

	"flaxshelf.example/flaxshelf/internal/testbed/platformsim"
)

// maxShrinkPlays is the maximum number of days that are played to make one smaller.
const maxShrinkPlays = 400

// shrinker makes a day smaller while it breaks the same rule.
type shrinker struct {
	rule    platformsim.Rule
	options platformsim.Options
	plays   int
}

// Shrink returns a smaller day that violates a rule as the given day does, and the violation. It removes faults, then makes the
// day shorter and its load and fleet smaller, then the faults, until nothing helps any more.
func Shrink(day *platformsim.Day, violation platformsim.Violation, options platformsim.Options) (*platformsim.Day,
	platformsim.Violation) {
	s := &shrinker{rule: violation.Rule, options: options}
	for changed := true; changed && s.plays < maxShrinkPlays; {
		changed = false
		for _, candidate := range candidates(day) {
			if found, ok := s.stillViolates(candidate); ok {
				day, violation, changed = candidate, found, true
				break
			}
		}
	}
	return day, violation
}

// stillViolates plays a candidate and returns its first violation of the rule.
func (s *shrinker) stillViolates(day *platformsim.Day) (platformsim.Violation, bool) {
	if s.plays++; s.plays > maxShrinkPlays {
		return platformsim.Violation{}, false
	}
	result, err := platformsim.Play(day, s.options)
	if err != nil {
		return platformsim.Violation{}, false
	}
	i := slices.IndexFunc(result.Violations, func(v platformsim.Violation) bool { return v.Rule == s.rule })
	if i < 0 {
		return platformsim.Violation{}, false
	}
	return result.Violations[i], true
}

// candidates returns smaller days, the smallest first.
func candidates(day *platformsim.Day) []*platformsim.Day {
	var all []*platformsim.Day
	add := func(change func(*platformsim.Day) bool) {
		smaller := *day
		smaller.Faults = slices.Clone(day.Faults)
		if change(&smaller) && smaller.Validate() == nil {
			all = append(all, &smaller)
		}
	}
	for i := range day.Faults {
		add(func(d *platformsim.Day) bool { d.Faults = slices.Delete(d.Faults, i, i+1); return true })
	}
	add(func(d *platformsim.Day) bool { d.Length /= 2; return d.Length >= time.Second })
	add(func(d *platformsim.Day) bool { d.Length -= time.Second; return d.Length >= time.Second })
	add(func(d *platformsim.Day) bool { d.Standby /= 2; return day.Standby > 0 })
	add(func(d *platformsim.Day) bool { d.Rate /= 2; return day.Rate > 0.2 })
	add(func(d *platformsim.Day) bool { d.Unsafe = 0; return day.Unsafe > 0 })
	add(func(d *platformsim.Day) bool { d.Keyed = 0; return day.Keyed > 0 })
	add(func(d *platformsim.Day) bool { return removeLastNode(d) })
	for i := range day.Faults {
		add(func(d *platformsim.Day) bool { d.Faults[i].Count /= 2; return d.Faults[i].Count > 0 })
		add(func(d *platformsim.Day) bool { d.Faults[i].For /= 2; return d.Faults[i].For >= 100*time.Millisecond })
		add(func(d *platformsim.Day) bool { d.Faults[i].Phase = ""; return day.Faults[i].Phase != "" })
	}
	return all
}

// removeLastNode removes the last node of a day. It returns false if a fault concerns it.
func removeLastNode(d *platformsim.Day) bool {
	d.Nodes--
	return !slices.ContainsFunc(d.Faults, func(f platformsim.Fault) bool { return f.Node >= d.Nodes })
}
