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

// Parameters of the search for the breaking point by emulation.
const (
	searchLowerFactor        = 0.4  // lower bound of the load, as a multiple of the predicted first limit
	searchUpperFactor        = 2    // upper bound of the load, as a multiple of the predicted first limit
	searchRelativeWidth      = 0.03 // the search ends when its interval is this narrow, relative to its lower bound
	surgeSearchRelativeWidth = 0.05 // the same with --surge; wider, because a surge needs two searches
)

type planCmd struct {
	Day     string  `arg:"" help:"Fleet and load: a built-in day, or a CUE file of the schema's type #Trial; faults are ignored."`
	Goal    float64 `default:"1.5" help:"Multiple of the load that the fleet must support."`
	Trace   string  `type:"existingfile" placeholder:"FILE" help:"Use the load of this captured trace instead of the day's."`
	Emulate bool    `help:"Also search by emulation for the breaking point, where the worst class falls below --placed."`
	Placed  float64 `default:"0.99" help:"Fraction of the submissions of each class that must be placed."`
	Warmup  float64 `default:"10" help:"Seconds at the start of each emulated day to leave out of the measurement."`
	Surge   float64 `help:"With --emulate: also search after a surge by this factor in the first quarter of --warmup."`
	Seeds   int     `default:"2" help:"Number of seeds to emulate at each load."`

	DeprecatedWarm float64 `name:"warm" replacement:"warmup" help:"Deprecated: use --warmup; removed in 0.2.0."`
}

// Run prints the limits of the fleet for the load and the nodes that the goal needs. With --emulate it also searches for the
// breaking point by emulation.
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
		if load, err = c.estimateCapturedLoad(std, day); err != nil {
			return err
		}
	}
	limits := planner.Limits(fleet, load)
	printLimits(std, fleet, load, limits)
	c.printRequiredNodes(std, fleet, load)
	printCapacityWithoutDomains(std, fleet, load)
	std.out.printf("\nreplacing a tenth of the nodes at once: %s\n", fleet.ReplacementCost((fleet.NodeCount()+9)/10).Reason)
	if !c.Emulate {
		return nil
	}
	firstLimit, _ := planner.FirstLimits(limits)
	return c.searchBreakingPoint(ctx, std, day, firstLimit)
}

func (c *planCmd) validate(day *scenario.Day) error {
	if c.Goal <= 0 || c.Placed <= 0 || c.Placed > 1 || c.Seeds < 1 || c.Emulate && c.Warmup >= day.LoadSeconds {
		return usageError{fmt.Errorf("--goal is %v, --placed is %v, --seeds is %d and --warmup is %v: expected a goal above 0, "+
			"a fraction placed above 0 and at most 1, at least 1 seed, and with --emulate a warm-up shorter than the day's %v s",
			c.Goal, c.Placed, c.Seeds, c.Warmup, day.LoadSeconds)}
	}
	if c.Trace != "" && c.Emulate {
		return usageError{errors.New("--emulate and --trace: expected only one, since --emulate uses the load of the day")}
	}
	return nil
}

// printLimits prints the limit that the load reaches first, the first one for each class, and then all limits.
func printLimits(std *streams, fleet *planner.Fleet, load []planner.Class, limits []planner.Limit) {
	firstLimit, firstByClass := planner.FirstLimits(limits)
	std.out.printf("%d nodes, %d schedulers\n\nfirst: %v\n", fleet.NodeCount(), fleet.Schedulers, firstLimit)
	for _, class := range load {
		std.out.printf("  class %s: %v\n", class.Name, firstByClass[class.Name])
	}
	std.out.printf("\nall limits:\n%s\n", planner.FormatLimits(limits))
}

// printRequiredNodes prints how many more nodes of each kind are needed to support --goal times the load.
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

// printCapacityWithoutDomains prints, for each failure domain, the first limit of the fleet after the loss of that domain.
func printCapacityWithoutDomains(std *streams, fleet *planner.Fleet, load []planner.Class) {
	std.out.println("\ncapacity after the loss of a failure domain:")
	for _, domain := range failureDomains(fleet) {
		remaining := fleet.Without(domain.zone, domain.cell, domain.kind)
		if remaining.NodeCount() == 0 {
			std.out.printf("  %s: no nodes\n", domain.name)
			continue
		}
		firstLimit, _ := planner.FirstLimits(planner.Limits(remaining, load))
		std.out.printf("  %s: %d nodes; %v\n", domain.name, remaining.NodeCount(), firstLimit)
	}
}

// searchBreakingPoint searches by emulation for the load above which the goal is missed, in an interval around the predicted
// first limit, and prints it. With --surge it also searches for that load after a surge.
func (c *planCmd) searchBreakingPoint(ctx context.Context, std *streams, day *scenario.Day, predicted planner.Limit) error {
	goal := plancheck.Goal{MinPlacedFraction: c.Placed, WarmupSeconds: c.Warmup}
	search := plancheck.SearchOptions{Low: predicted.LoadMultiple * searchLowerFactor,
		High: predicted.LoadMultiple * searchUpperFactor, RelativeWidth: searchRelativeWidth, SeedCount: c.Seeds}
	var point, afterSurge plancheck.BreakingPoint
	var err error
	if c.Surge > 0 {
		goal.Surge = plancheck.Surge{Factor: c.Surge, Seconds: c.Warmup / 4}
		search.RelativeWidth = surgeSearchRelativeWidth
		point, afterSurge, err = plancheck.FindBreakingPointsWithSurge(ctx, day, goal, search)
	} else {
		point, err = plancheck.FindBreakingPoint(ctx, day, goal, search)
	}
	if err != nil {
		return err
	}
	std.out.printf(
		"\nemulated: the goal is met at %.2f and missed at %.2f times the load, by class %s (%.2f%% placed); predicted %.2f; "+
			"%d emulated days\n",
		point.Low, point.High, point.Class, 100*point.PlacedFraction, predicted.LoadMultiple, point.Days)
	if c.Surge > 0 {
		std.out.printf("after a surge it is met at %.2f and missed at %.2f times the load\n", afterSurge.Low, afterSurge.High)
	}
	return nil
}

// estimateCapturedLoad estimates the load of each class from --trace. It prints the estimates with their relative errors and
// warnings.
func (c *planCmd) estimateCapturedLoad(std *streams, day *scenario.Day) ([]planner.Class, error) {
	const seed = 1 // only used if the file is a load plan; a trace is not random
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

// anyCell is the cell of a failure domain that is not limited to one cell.
const anyCell = -1

// failureDomain is a set of nodes that may fail together: those of the zone, cell and kind. An empty zone or kind, and anyCell,
// match all nodes.
type failureDomain struct {
	name, zone, kind string
	cell             int
}

// failureDomains returns each zone, cell and kind of a fleet as a failure domain, sorted by name.
func failureDomains(fleet *planner.Fleet) []failureDomain {
	domainsByName := map[string]failureDomain{}
	for _, group := range fleet.Groups {
		for _, domain := range []failureDomain{
			{name: "zone " + group.Zone, zone: group.Zone, cell: anyCell},
			{name: fmt.Sprintf("cell %d of %s", group.Cell, group.Zone), zone: group.Zone, cell: group.Cell},
			{name: "kind " + group.Kind, kind: group.Kind, cell: anyCell},
		} {
			domainsByName[domain.name] = domain
		}
	}
	return slices.SortedFunc(maps.Values(domainsByName), func(a, b failureDomain) int { return cmp.Compare(a.name, b.name) })
}
