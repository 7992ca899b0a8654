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

// hardConstraintSeed is the seed of the plays of hard constraints.
const hardConstraintSeed = 5

// Each hard constraint has a day that breaks its rule without it, and that breaks none with it. Where a guard of the
// scheduler core enforces the same rule, either of the two is enough.
func TestHardConstraints(t *testing.T) {
	for _, h := range HardConstraints {
		t.Run(h.Constraint.String(), func(t *testing.T) {
			t.Parallel()
			play := func(guards scheduler.Guards, disabled ...flaxshelf.PolicyRule) []bool {
				broken, _, err := ViolatedRules(context.Background(), h.Day, EmulatorOptions(hardConstraintSeed, guards, disabled...))
				if err != nil {
					t.Fatal(err)
				}
				return broken
			}
			if !play(h.Guards, h.Constraint)[h.RuleIndex] {
				t.Errorf("%s does not break rule %d without the constraint: it proves nothing", h.Day, h.RuleIndex+1)
			}
			for i, broken := range play(h.Guards) {
				if broken {
					t.Errorf("%s breaks rule %d with the constraint and without the core's guard", h.Day, i+1)
				}
			}
			if h.Guards != (scheduler.Guards{}) {
				if play(scheduler.Guards{}, h.Constraint)[h.RuleIndex] {
					t.Errorf("%s breaks rule %d though the core guards it", h.Day, h.RuleIndex+1)
				}
			}
		})
	}
}

// The environment variables of the tests that take minutes and are for a person to run.
const (
	seedsVariable = "FLAXSHELF_MATRIX" // number of seeds
	daysVariable  = "FLAXSHELF_DAYS"   // names of days; empty: all
)

// TestMatrix disables each constraint on each day, and prints the tables of docs/ablation.md. It takes minutes and is for a
// person to run:
//
//	FLAXSHELF_MATRIX=20 go test -v -run Matrix -timeout 30m ./internal/testbed/ablation
//
// FLAXSHELF_DAYS limits it to some days.
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

// hardTable has a row for each hard constraint, and for each day the rules that are broken without it.
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

func hardCell(t *testing.T, h *HardConstraint, day string) string {
	t.Helper()
	brokenRules, report, err := ViolatedRules(context.Background(), day, EmulatorOptions(hardConstraintSeed, h.Guards, h.Constraint))
	if err != nil {
		t.Fatal(err)
	}
	cell := ""
	for i, broken := range brokenRules {
		if broken {
			cell += fmt.Sprintf(" %d", i+1)
		}
	}
	if report.OverloadCrashes > 0 && h.RuleIndex == rules.SlowStartRespected {
		cell += fmt.Sprintf(" (%d fell)", report.OverloadCrashes)
	}
	return cell
}

// softTable has a row for each soft constraint, with the days on which disabling it costs or gains something.
func softTable(t *testing.T, days []string, seeds int) string {
	t.Helper()
	with := map[string][]Result{}
	for _, day := range days {
		with[day] = measureDay(t, day, seeds)
	}
	var table strings.Builder
	for _, c := range flaxshelf.PolicyRules() {
		if c.IsHard() {
			continue
		}
		var costs, gains []string
		for _, day := range days {
			loss := Compare(with[day], measureDay(t, day, seeds, c))
			if loss.HasSignificantCost() {
				costs = append(costs, day+": "+loss.String())
			}
			if loss.HasSignificantGain() {
				gains = append(gains, day+": "+loss.String())
			}
		}
		fmt.Fprintf(&table, "| %s | %s | %s |\n", c, strings.Join(costs, "; "), strings.Join(gains, "; "))
		t.Logf("%s done", c)
	}
	return table.String()
}

func measureDay(t *testing.T, day string, seeds int, disabled ...flaxshelf.PolicyRule) []Result {
	t.Helper()
	outcomes, err := MeasureDay(context.Background(), day, seeds, disabled...)
	if err != nil {
		t.Fatal(err)
	}
	return outcomes
}
