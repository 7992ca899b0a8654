package main

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"

	"flaxshelf.example/flaxshelf/internal/planner"
	"flaxshelf.example/flaxshelf/internal/testbed/plancheck"
	"flaxshelf.example/flaxshelf/internal/testbed/scenario"
)

// Parameters of the search by emulation.
const (
	searchFrom       = 0.4  // lower bound, as a multiple of the predicted first limit
	searchTo         = 2    // upper bound, likewise
	searchWidth      = 0.03 // relative width to which the search narrows
	searchWidthSurge = 0.05 // the same with a surge, which needs two searches
)

type planCmd struct {
	Day     string  `arg:"" help:"A day with the fleet and the load: one that ships with the program, or a CUE file as #Trial of the schema. Its faults are ignored."`
	Goal    float64 `default:"1.5" help:"The multiple of the load that the fleet must support."`
	Trace   string  `type:"existingfile" placeholder:"FILE" help:"Plan for this captured load instead of the day's."`
	Emulate bool    `help:"Also search for the breaking point by emulation: the load at which the fraction placed of the worst class falls below --placed."`
	Placed  float64 `default:"0.99" help:"Fraction of submissions that must be placed."`
	Warmup  float64 `default:"10" help:"Seconds at the start of each emulated day that are not measured."`
	Surge   float64 `help:"With --emulate: also search for the breaking point after a surge by this factor in the first quarter of --warmup."`
	Seeds   int     `default:"2" help:"Emulated days for each load."`

	DeprecatedWarm float64 `name:"warm" replacement:"warmup" help:"Deprecated: use --warmup; removed in 0.2.0."`
}

// Run plans.
func (c *planCmd) Run(ctx context.Context, std *streams) error {
	day, err := scenario.Read(c.Day)
	if err != nil {
		return err
	}
	if err := c.validate(day); err != nil {
		return err
	}
	fleet, load := plancheck.PlannerInput(day)
	if c.Trace != "" {
		if load, err = c.captured(std, day); err != nil {
			return err
		}
	}
	limits := planner.Limits(fleet, load)
	printLimits(std, fleet, load, limits)
	c.printRequiredNodes(std, fleet, load)
	printLosses(std, fleet, load)
	std.out.printf("\nreplacing a tenth of the nodes at once: %s\n", fleet.ReplacementCost((fleet.NodeCount()+9)/10).Reason)
	if !c.Emulate {
		return nil
	}
	first, _ := planner.FirstLimits(limits)
	return c.emulate(ctx, std, day, first)
}

func (c *planCmd) validate(day *scenario.Day) error {
	if c.Goal <= 0 || c.Placed <= 0 || c.Placed > 1 || c.Seeds < 1 || c.Emulate && c.Warmup >= day.Seconds {
		return usageError{fmt.Errorf("--goal above 0, --placed above 0 and at most 1, --seeds at least 1 and --warmup under the "+
			"day's %v s are needed", day.Seconds)}
	}
	if c.Trace != "" && c.Emulate {
		return usageError{errors.New("--emulate plays the load of the day, not of a --trace")}
	}
	return nil
}

// printLimits prints the first limit of all and of each class, and then every limit.
func printLimits(std *streams, fleet *planner.Fleet, load []planner.Class, limits []planner.Limit) {
	first, byClass := planner.FirstLimits(limits)
	std.out.printf("%d nodes, %d schedulers\n\nfirst: %v\n", fleet.NodeCount(), fleet.Schedulers, first)
	for _, class := range load {
		std.out.printf("  class %s: %v\n", class.Name, byClass[class.Name])
	}
	std.out.printf("\nall limits:\n%s\n", planner.FormatLimits(limits))
}

// printRequiredNodes prints how many more nodes of each kind the goal needs.
func (c *planCmd) printRequiredNodes(std *streams, fleet *planner.Fleet, load []planner.Class) {
	std.out.printf("for %.3g times the load:\n", c.Goal)
	for _, required := range planner.RequiredNodes(fleet, load, c.Goal) {
		if required.AdditionalNodes == planner.Unattainable {
			std.out.printf("  no number of nodes of kind %s is enough: %s\n", required.Kind, required.Reason)
			continue
		}
		std.out.printf("  %d more nodes of kind %s; %s\n", required.AdditionalNodes, required.Kind, required.Reason)
	}
}

// printLosses prints the first limit of the fleet without each of its failure domains.
func printLosses(std *streams, fleet *planner.Fleet, load []planner.Class) {
	std.out.println("\ncapacity after the loss of a failure domain:")
	for _, domain := range failureDomains(fleet) {
		rest := fleet.Without(domain.zone, domain.cell, domain.kind)
		if rest.NodeCount() == 0 {
			std.out.printf("  %s: no nodes\n", domain.name)
			continue
		}
		first, _ := planner.FirstLimits(planner.Limits(rest, load))
		std.out.printf("  %s: %d nodes; %v\n", domain.name, rest.NodeCount(), first)
	}
}

// emulate searches for the load at which the goal breaks by emulation, around the predicted first limit.
func (c *planCmd) emulate(ctx context.Context, std *streams, day *scenario.Day, first planner.Limit) error {
	goal := plancheck.Goal{MinPlacedFraction: c.Placed, WarmupSeconds: c.Warmup}
	search := plancheck.SearchOptions{Low: first.LoadMultiple * searchFrom, High: first.LoadMultiple * searchTo,
		RelativeWidth: searchWidth, SeedCount: c.Seeds}
	var point, afterSurge plancheck.BreakingPoint
	var err error
	if c.Surge > 0 {
		goal.Surge = plancheck.Surge{Factor: c.Surge, Seconds: c.Warmup / 4}
		search.RelativeWidth = searchWidthSurge
		point, afterSurge, err = plancheck.FindBreakingPointsWithSurge(ctx, day, goal, search)
	} else {
		point, err = plancheck.FindBreakingPoint(ctx, day, goal, search)
	}
	if err != nil {
		return err
	}
	std.out.printf(
		"\nemulated: the goal is met at %.2f and missed at %.2f times the load, by class %s (%.2f%% placed); predicted %.2f; "+
			"%d emulated days\n", point.Low, point.High, point.Class, 100*point.PlacedFraction, first.LoadMultiple, point.Days)
	if c.Surge > 0 {
		std.out.printf("after a surge it is met at %.2f and missed at %.2f times the load\n", afterSurge.Low, afterSurge.High)
	}
	return nil
}

// captured returns the load of a trace. It prints the estimates with their errors and warnings.
func (c *planCmd) captured(std *streams, day *scenario.Day) ([]planner.Class, error) {
	const seed = 1 // of a plan; a trace is not random
	trace, err := readLoad(c.Trace, seed)
	if err != nil {
		return nil, err
	}
	classes, err := plancheck.EstimateLoad(trace, day)
	if err != nil {
		return nil, usageError{err}
	}
	var load []planner.Class
	for _, class := range classes {
		std.out.printf(
			"captured %s: %.3g per second, mean runtime %.3g s, each within %.0f%%; %d jobs, %d censored runtimes\n", class.Name,
			class.JobsPerSecond, class.MeanRuntimeSeconds, 100*class.RelativeError, class.Jobs, class.CensoredRuntimes)
		for _, warning := range class.Warnings {
			std.out.printf("  warning: %s\n", warning)
		}
		load = append(load, class.Class)
	}
	std.out.println()
	return load, nil
}

// anyCell is the cell of a failure domain that covers all cells.
const anyCell = -1

// failureDomain is a set of nodes that may fail together. An empty zone or kind matches any.
type failureDomain struct {
	name, zone, kind string
	cell             int
}

// failureDomains returns the zones, cells and kinds of a fleet, sorted by name.
func failureDomains(fleet *planner.Fleet) []failureDomain {
	byName := map[string]failureDomain{}
	for _, group := range fleet.Groups {
		for _, domain := range []failureDomain{
			{name: "zone " + group.Zone, zone: group.Zone, cell: anyCell},
			{name: fmt.Sprintf("cell %d of %s", group.Cell, group.Zone), zone: group.Zone, cell: group.Cell},
			{name: "kind " + group.Kind, kind: group.Kind, cell: anyCell},
		} {
			byName[domain.name] = domain
		}
	}
	return slices.SortedFunc(maps.Values(byName), func(a, b failureDomain) int { return cmp.Compare(a.name, b.name) })
}
