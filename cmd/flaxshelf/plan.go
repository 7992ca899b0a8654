package main

import (
	"errors"
	"fmt"
	"sort"

	"flaxshelf.example/flaxshelf/internal/lab/planrun"
	"flaxshelf.example/flaxshelf/internal/lab/scenario"
	"flaxshelf.example/flaxshelf/internal/planner"
)

type planCmd struct {
	Day     string  `arg:"" help:"A day with the fleet and the load: one that ships with the program, or a CUE file as #Trial of the schema. Its troubles play no part."`
	Goal    float64 `default:"1.5" help:"The multiple of the load that the fleet must bear."`
	Trace   string  `type:"existingfile" placeholder:"FILE" help:"Plan for this captured load instead of the day's."`
	Emulate bool    `help:"Also look for the edge by emulation: the load at which the worst class's share placed falls under --placed."`
	Placed  float64 `default:"0.99" help:"Share of submissions that must be placed."`
	Warm    float64 `default:"10" help:"Seconds at the start of each emulated day that don't count."`
	Surge   float64 `help:"With --emulate: also the edge after a surge of so many times the load in the first quarter of --warm."`
	Seeds   int     `default:"2" help:"Emulated days for each load that is tried."`
}

// Run plans.
func (c *planCmd) Run(e *env) error {
	d, err := scenario.Read(c.Day)
	if err != nil {
		return err
	}
	if c.Goal <= 0 || c.Placed <= 0 || c.Placed > 1 || c.Seeds < 1 || c.Emulate && c.Warm >= d.Seconds {
		return errUsage{fmt.Errorf("--goal above 0, --placed above 0 and at most 1, --seeds at least 1 and --warm under the "+
			"day's %v s are needed", d.Seconds)}
	}
	f, load := planrun.Model(d)
	if c.Trace != "" {
		if c.Emulate {
			return errUsage{errors.New("--emulate plays the load of the day, not of a --trace")}
		}
		if load, err = c.captured(e, d); err != nil {
			return err
		}
	}
	limits := planner.Limits(f, load)
	first, byClass := planner.First(limits)
	fmt.Fprintf(e.out, "%d nodes, %d schedulers\n\nfirst: %v\n", f.Nodes(), f.Schedulers, first)
	for _, k := range load {
		fmt.Fprintf(e.out, "  of %s: %v\n", k.Name, byClass[k.Name])
	}
	fmt.Fprintf(e.out, "\nall limits:\n%s\nfor %.3g times the load:\n", planner.Table(limits), c.Goal)
	for _, n := range planner.NodesFor(f, load, c.Goal) {
		switch {
		case n.Nodes < 0:
			fmt.Fprintf(e.out, "  no number of nodes of kind %s does it: %s\n", n.Kind, n.Why)
		default:
			fmt.Fprintf(e.out, "  %d more nodes of kind %s; %s\n", n.Nodes, n.Kind, n.Why)
		}
	}
	fmt.Fprintln(e.out, "\nwhat losing a part leaves:")
	for _, p := range parts(f) {
		g := f.Lose(p.zone, p.cell, p.kind)
		if g.Nodes() == 0 {
			fmt.Fprintf(e.out, "  %s: nothing\n", p.name)
			continue
		}
		l, _ := planner.First(planner.Limits(g, load))
		fmt.Fprintf(e.out, "  %s: %d nodes; %v\n", p.name, g.Nodes(), l)
	}
	fmt.Fprintf(e.out, "\nreplacing a tenth at once: %s\n", f.Replace((f.Nodes()+9)/10).Why)
	if !c.Emulate {
		return nil
	}
	goal := planrun.Goal{Placed: c.Placed, Warm: c.Warm}
	lo, hi := first.Multiple*0.4, first.Multiple*2
	var edge, falling planrun.Edge
	if c.Surge > 0 {
		edge, falling, err = planrun.Both(e.ctx, d, goal, c.Surge, c.Warm/4, lo, hi, 0.05, c.Seeds)
	} else {
		edge, err = planrun.Find(e.ctx, d, goal, lo, hi, 0.03, c.Seeds)
	}
	if err != nil {
		return err
	}
	fmt.Fprintf(e.out,
		"\nemulated: the goal holds at %.2f and breaks at %.2f times the load, by %s (%.2f%% placed); predicted %.2f; "+
			"%d emulated days\n", edge.Low, edge.High, edge.Class, 100*edge.Placed, first.Multiple, edge.Runs)
	if c.Surge > 0 {
		fmt.Fprintf(e.out, "after a surge it holds at %.2f and breaks at %.2f\n", falling.Low, falling.High)
	}
	return nil
}

// captured makes the load of a trace and says how far it can be trusted.
func (c *planCmd) captured(e *env, d *scenario.Day) ([]planner.Class, error) {
	t, err := readLoad(c.Trace, 1)
	if err != nil {
		return nil, err
	}
	all, err := planrun.FromTrace(t, d)
	if err != nil {
		return nil, errUsage{err}
	}
	var load []planner.Class
	for _, k := range all {
		fmt.Fprintf(e.out,
			"captured %s: %.3g a second, mean life %.3g s, each within %.0f%%; %d jobs, %d lives cut off\n", k.Name,
			k.PerSecond, k.Life, 100*k.Within, k.Jobs, k.CutOff)
		for _, why := range k.Doubts {
			fmt.Fprintf(e.out, "  doubt: %s\n", why)
		}
		load = append(load, k.Class)
	}
	fmt.Fprintln(e.out)
	return load, nil
}

type part struct {
	name, zone, kind string
	cell             int
}

// parts lists the rooms, racks and kinds of a fleet.
func parts(f *planner.Fleet) []part {
	seen := map[string]part{}
	for _, g := range f.Groups {
		for _, p := range []part{{"room " + g.Zone, g.Zone, "", -1}, {fmt.Sprintf("rack %d of %s", g.Cell,
			g.Zone), g.Zone, "", g.Cell},
			{"kind " + g.Kind, "", g.Kind, -1}} {
			seen[p.name] = p
		}
	}
	var all []part
	for _, p := range seen {
		all = append(all, p)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].name < all[j].name })
	return all
}
