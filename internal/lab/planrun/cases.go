package planrun

import (
	"fmt"
	"strings"

	"flaxshelf.example/flaxshelf/internal/lab/scenario"
	"flaxshelf.example/flaxshelf/internal/planner"
)

// base is a fleet of three rooms with one class; fields may be replaced.
const base = `#Trial & {
about: "planned"
seconds: 40
after: 8
schedulers: $SEES
runsWhenPlaced: $RUNS
kinds: [{name: "k", cores: 16, memory: 64}]
classes: [{name: "c", effect: "safe", aim: "1s", giveup: "2s", cores: $CORES, memory: $MEMORY, $SPREAD}]
rules: {acceptCores: 1, acceptMemory: 1, preempts: false, coldFor: "0s"}
behaviour: {look: "$LOOK", startWork: "$START", startSlots: 4, freshFactor: $FRESH, useCores: [0.4, 0.6],
	useMemory: [0.4, 0.6], noteEvery: "0s", maxWait: 100, keep: 64}
fleet: [{name: "a", count: $NA, kind: "k", zone: "a"}, {name: "b", count: $NB, kind: "k", zone: "b"},
	{name: "c", count: $NC, kind: "k", zone: "c"}]
load: [{class: "c", perSecond: $RATE, services: $SERVICES, life: ["2s", "4s"]}]
}`

// Case is a fleet and load on which predictions are held against emulated load and load over sockets.
type Case struct {
	Name, Limit string   // Limit is the first that the load meets
	With        []string // pairs of what is replaced in the base
}

// Day is the case as a scripted day.
func (c Case) Day() (*scenario.Day, error) {
	defaults := []string{"$CORES", "1", "$MEMORY", "1", "$SPREAD", `spread: ""`, "$LOOK", "1ms", "$START",
		"5ms", "$FRESH", "1", "$SEES", "4", "$RUNS", "false", "$RATE", "20",
		"$SERVICES", "40", "$NA", "4", "$NB", "4", "$NC", "4"}
	text := strings.NewReplacer(append(append([]string{}, c.With...), defaults...)...).Replace(base)
	d, err := scenario.Parse("planned", []byte(text))
	if err != nil {
		return nil, fmt.Errorf("planrun: case %s: %w", c.Name, err)
	}
	if c.Name == "the largest room lost" {
		d.Fleet = d.Fleet[1:]
	}
	return d, nil
}

// Cases are fleets and loads whose first limits differ; two of them are what is left when a room is lost.
var Cases = []Case{
	{"cores", planner.CoresAsked, nil},
	{"memory", planner.MemoryAsked, []string{"$MEMORY", "8"}},
	{"large", planner.CoresAsked, []string{"$CORES", "6", "$RATE", "4"}},
	{"a room lost", planner.CoresAsked, []string{"$NB", "1"}},
	{"the largest room lost", planner.CoresAsked, []string{"$NA", "10", "$NB", "3", "$NC", "3"}},
	{"one scheduler", planner.CoresAsked, []string{"$SEES", "1"}},
	{"sixteen schedulers", planner.CoresAsked, []string{"$SEES", "16"}},
	{"two kinds of room", planner.MemoryAsked, []string{"$MEMORY", "7", "$NA", "8", "$NB", "2"}},
	{"slow starts", planner.StartPace, []string{"$RUNS", "true", "$START", "300ms", "$RATE", "50", "$CORES",
		"0.05", "$MEMORY", "0.1"}},
	{"slow asks", planner.AskLine, []string{"$LOOK", "200ms", "$CORES", "0.25"}},
}
