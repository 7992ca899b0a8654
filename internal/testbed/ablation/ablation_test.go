package ablation

import (
	"context"
	"fmt"
	"os"
	"strings"
	"testing"

	"flaxshelf.example/flaxshelf"
	"flaxshelf.example/flaxshelf/internal/scheduler"
	"flaxshelf.example/flaxshelf/internal/testbed/rules"
)

// hardConstraintSeed is the seed of the emulations that test hard constraints.
const hardConstraintSeed = 5

// Guards against a hard constraint that has no effect. Without it, its rule must be violated on its day; with it, no rule.
// Where a guard of the scheduler core enforces the same rule, the guard alone must suffice.
func TestHardConstraints(t *testing.T) {
	for _, h := range HardConstraints {
		t.Run(h.Constraint.String(), func(t *testing.T) {
			t.Parallel()
			emulate := func(guards scheduler.Guards, disabled ...flaxshelf.PolicyRule) []bool {
				violated, _, err := ViolatedRules(context.Background(), h.Day,
					EmulatorOptions(hardConstraintSeed, guards, disabled...))
				if err != nil {
					t.Fatal(err)
				}
				return violated
			}
			if !emulate(h.Guards, h.Constraint)[h.RuleIndex] {
				t.Errorf("%s without the constraint: got no violation of rule %d, want one", h.Day, h.RuleIndex+1)
			}
			for i, isViolated := range emulate(h.Guards) {
				if isViolated {
					t.Errorf("%s with the constraint and without the core's guard: got a violation of rule %d, want none", h.Day,
						i+1)
				}
			}
			if h.Guards != (scheduler.Guards{}) {
				if emulate(scheduler.Guards{}, h.Constraint)[h.RuleIndex] {
					t.Errorf("%s without the constraint and with the core's guard: got a violation of rule %d, want none", h.Day,
						h.RuleIndex+1)
				}
			}
		})
	}
}

// Environment variables that enable and limit the tests that take minutes and are run by hand.
const (
	seedsVariable = "FLAXSHELF_MATRIX" // number of seeds
	daysVariable  = "FLAXSHELF_DAYS"   // names of days, separated by spaces; empty: all
)

// TestMatrix disables each constraint on each day, and prints the tables of docs/ablation.md. It takes minutes and is run by
// hand:
//
//	FLAXSHELF_MATRIX=20 go test -v -run Matrix -timeout 30m ./internal/testbed/ablation
//
// FLAXSHELF_DAYS limits it to some days. The hard constraints run with one seed, the soft ones with the given number of seeds.
func TestMatrix(t *testing.T) {
	seeds := 0
	if _, err := fmt.Sscan(os.Getenv(seedsVariable), &seeds); err != nil {
		t.Skipf("set %s to a number of seeds to run it", seedsVariable)
	}
	days := EmulatedDays()
	if names := os.Getenv(daysVariable); names != "" {
		days = strings.Fields(names)
	}
	hard, soft := hardTable(t, days), softTable(t, days, seeds)
	t.Logf("hard, days %s\n%s\nsoft\n%s", strings.Join(days, " | "), hard, soft)
}

// hardTable returns a table with a row for each hard constraint and a column for each day. A cell has the numbers of the rules
// that are violated without the constraint.
func hardTable(t *testing.T, days []string) string {
	t.Helper()
	var table strings.Builder
	for _, h := range HardConstraints {
		fmt.Fprintf(&table, "| %s |", h.Constraint)
		for _, day := range days {
			fmt.Fprintf(&table, "%s |", hardCell(t, &h, day))
		}
		table.WriteString("\n")
	}
	return table.String()
}

// hardCell returns the text of a cell of hardTable.
func hardCell(t *testing.T, h *HardConstraint, day string) string {
	t.Helper()
	violatedRules, report, err := ViolatedRules(context.Background(), day,
		EmulatorOptions(hardConstraintSeed, h.Guards, h.Constraint))
	if err != nil {
		t.Fatal(err)
	}
	cell := ""
	for i, violated := range violatedRules {
		if violated {
			cell += fmt.Sprintf(" %d", i+1)
		}
	}
	if report.OverloadCrashes > 0 && h.RuleIndex == rules.SlowStartRespected {
		cell += fmt.Sprintf(" (%d fell)", report.OverloadCrashes)
	}
	return cell
}

// softTable returns a table with a row for each soft rule of the policy, and the days on which disabling it has a significant
// cost or gain.
func softTable(t *testing.T, days []string, seeds int) string {
	t.Helper()
	withConstraint := map[string][]Result{}
	for _, day := range days {
		withConstraint[day] = measureDay(t, day, seeds)
	}
	var table strings.Builder
	for _, c := range flaxshelf.PolicyRules() {
		if c.IsHard() {
			continue
		}
		var costs, gains []string
		for _, day := range days {
			loss := Compare(withConstraint[day], measureDay(t, day, seeds, c))
			if loss.HasSignificantCost() {
				costs = append(costs, day+": "+loss.String())
			}
			if loss.HasSignificantGain() {
				gains = append(gains, day+": "+loss.String())
			}
		}
		fmt.Fprintf(&table, "| %s | %s | %s |\n", c, strings.Join(costs, "; "), strings.Join(gains, "; "))
		t.Logf("measured %s on all days", c)
	}
	return table.String()
}

func measureDay(t *testing.T, day string, seeds int, disabled ...flaxshelf.PolicyRule) []Result {
	t.Helper()
	results, err := MeasureDay(context.Background(), day, seeds, disabled...)
	if err != nil {
		t.Fatal(err)
	}
	return results
}
