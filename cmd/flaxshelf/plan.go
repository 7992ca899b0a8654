package main

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"

	"flaxshelf.example/flaxshelf/internal/lab/planrun"
	"flaxshelf.example/flaxshelf/internal/lab/scenario"
	"flaxshelf.example/flaxshelf/internal/planner"
)

// Figures of the search by emulation.
const (
	searchFrom       = 0.4  // lowest multiple of the load that is tried, as a fraction of the predicted first limit
	searchTo         = 2    // highest one
	searchWidth      = 0.03 // relative width to which the search narrows
	searchWidthSurge = 0.05 // the same with a surge, where two searches are made
)

type planCmd struct {
	Day     string  `arg:"" help:"A day with the fleet and the load: one that ships with the program, or a CUE file as #Trial of the schema. Its troubles play no part."`
	Goal    float64 `default:"1.5" help:"The multiple of the load that the fleet must bear."`
	Trace   string  `type:"existingfile" placeholder:"FILE" help:"Plan for this captured load instead of the day's."`
	Emulate bool    `help:"Also look for the edge by emulation: the load at which the worst class's share placed falls under --placed."`
	Placed  float64 `default:"0.99" help:"Share of submissions that must be placed."`
	Warmup  float64 `name:"warm" default:"10" help:"Seconds at the start of each emulated day that don't count."`
	Surge   float64 `help:"With --emulate: also the edge after a surge of so many times the load in the first quarter of --warm."`
	Seeds   int     `default:"2" help:"Emulated days for each load that is tried."`
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
	fleet, load := planrun.Model(day)
	if c.Trace != "" {
		if load, err = c.captured(std, day); err != nil {
			return err
		}
	}
	limits := planner.Limits(fleet, load)
	printLimits(std, fleet, load, limits)
	c.printNeeds(std, fleet, load)
	printLosses(std, fleet, load)
	std.out.printf("\nreplacing a tenth at once: %s\n", fleet.Replace((fleet.Nodes()+9)/10).Why)
	if !c.Emulate {
		return nil
	}
	first, _ := planner.First(limits)
	return c.emulate(ctx, std, day, first)
}

func (c *planCmd) validate(day *scenario.Day) error {
	if c.Goal <= 0 || c.Placed <= 0 || c.Placed > 1 || c.Seeds < 1 || c.Emulate && c.Warmup >= day.Seconds {
		return usageError{fmt.Errorf("--goal above 0, --placed above 0 and at most 1, --seeds at least 1 and --warm under the "+
			"day's %v s are needed", day.Seconds)}
	}
	if c.Trace != "" && c.Emulate {
		return usageError{errors.New("--emulate plays the load of the day, not of a --trace")}
	}
	return nil
}

// printLimits prints the first limit of all and of each class, and then every limit.
func printLimits(std *streams, fleet *planner.Fleet, load []planner.Class, limits []planner.Limit) {
	first, byClass := planner.First(limits)
	std.out.printf("%d nodes, %d schedulers\n\nfirst: %v\n", fleet.Nodes(), fleet.Schedulers, first)
	for _, class := range load {
		std.out.printf("  of %s: %v\n", class.Name, byClass[class.Name])
	}
	std.out.printf("\nall limits:\n%s\n", planner.Table(limits))
}

// printNeeds prints how many more nodes of each kind the goal needs.
func (c *planCmd) printNeeds(std *streams, fleet *planner.Fleet, load []planner.Class) {
	std.out.printf("for %.3g times the load:\n", c.Goal)
	for _, need := range planner.NodesFor(fleet, load, c.Goal) {
		if need.Nodes < 0 {
			std.out.printf("  no number of nodes of kind %s does it: %s\n", need.Kind, need.Why)
			continue
		}
		std.out.printf("  %d more nodes of kind %s; %s\n", need.Nodes, need.Kind, need.Why)
	}
}

// printLosses prints the first limit of the fleet without each of its parts.
func printLosses(std *streams, fleet *planner.Fleet, load []planner.Class) {
	std.out.println("\nwhat losing a part leaves:")
	for _, part := range fleetParts(fleet) {
		rest := fleet.Lose(part.zone, part.cell, part.kind)
		if rest.Nodes() == 0 {
			std.out.printf("  %s: nothing\n", part.name)
			continue
		}
		first, _ := planner.First(planner.Limits(rest, load))
		std.out.printf("  %s: %d nodes; %v\n", part.name, rest.Nodes(), first)
	}
}

// emulate looks for the load at which the goal breaks by emulation, around the predicted first limit.
func (c *planCmd) emulate(ctx context.Context, std *streams, day *scenario.Day, first planner.Limit) error {
	goal := planrun.Goal{Placed: c.Placed, Warm: c.Warmup}
	from, to := first.Multiple*searchFrom, first.Multiple*searchTo
	var edge, falling planrun.Edge
	var err error
	if c.Surge > 0 {
		edge, falling, err = planrun.Both(ctx, day, goal, c.Surge, c.Warmup/4, from, to, searchWidthSurge, c.Seeds)
	} else {
		edge, err = planrun.Find(ctx, day, goal, from, to, searchWidth, c.Seeds)
	}
	if err != nil {
		return err
	}
	std.out.printf(
		"\nemulated: the goal holds at %.2f and breaks at %.2f times the load, by %s (%.2f%% placed); predicted %.2f; "+
			"%d emulated days\n", edge.Low, edge.High, edge.Class, 100*edge.Placed, first.Multiple, edge.Runs)
	if c.Surge > 0 {
		std.out.printf("after a surge it holds at %.2f and breaks at %.2f\n", falling.Low, falling.High)
	}
	return nil
}

// captured is the load of a trace; it prints how far that can be trusted.
func (c *planCmd) captured(std *streams, day *scenario.Day) ([]planner.Class, error) {
	const seed = 1 // of a plan; a trace draws nothing
	trace, err := readLoad(c.Trace, seed)
	if err != nil {
		return nil, err
	}
	classes, err := planrun.FromTrace(trace, day)
	if err != nil {
		return nil, usageError{err}
	}
	var load []planner.Class
	for _, class := range classes {
		std.out.printf(
			"captured %s: %.3g a second, mean life %.3g s, each within %.0f%%; %d jobs, %d lives cut off\n", class.Name,
			class.PerSecond, class.Life, 100*class.Within, class.Jobs, class.CutOff)
		for _, doubt := range class.Doubts {
			std.out.printf("  doubt: %s\n", doubt)
		}
		load = append(load, class.Class)
	}
	std.out.println()
	return load, nil
}

// anyCell is the cell of a part that is not bounded to one.
const anyCell = -1

// fleetPart is a part of a fleet that may be lost at once. An empty zone or kind stands for any.
type fleetPart struct {
	name, zone, kind string
	cell             int
}

// fleetParts lists the rooms, racks and kinds of a fleet by name.
func fleetParts(fleet *planner.Fleet) []fleetPart {
	byName := map[string]fleetPart{}
	for _, group := range fleet.Groups {
		for _, part := range []fleetPart{
			{name: "room " + group.Zone, zone: group.Zone, cell: anyCell},
			{name: fmt.Sprintf("rack %d of %s", group.Cell, group.Zone), zone: group.Zone, cell: group.Cell},
			{name: "kind " + group.Kind, kind: group.Kind, cell: anyCell},
		} {
			byName[part.name] = part
		}
	}
	return slices.SortedFunc(maps.Values(byName), func(a, b fleetPart) int { return cmp.Compare(a.name, b.name) })
}
