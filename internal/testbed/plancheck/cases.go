package plancheck

import (
	"fmt"
	"slices"
	"strings"

	"flaxshelf.example/flaxshelf/internal/planner"
	"flaxshelf.example/flaxshelf/internal/testbed/scenario"
)

// baseDay is the template of a day with three zones and one class. Cases replace its placeholders, which begin with a dollar
// sign; baseValues has their defaults.
const baseDay = `#Trial & {
about: "planned"
seconds: 40
after: 8
schedulers: $SCHEDULERS
runsWhenPlaced: $RUNS_WHEN_PLACED
kinds: [{name: "k", cores: 16, memory: 64}]
classes: [{name: "c", effect: "safe", aim: "1s", giveup: "2s", cores: $CORES, memory: $MEMORY, $SPREAD}]
rules: {acceptCores: 1, acceptMemory: 1, preempts: false, coldFor: "0s"}
behaviour: {look: "$REVIEW_TIME", startWork: "$START_TIME", startSlots: 4, freshFactor: $UNCACHED_FACTOR, useCores: [0.4, 0.6],
	useMemory: [0.4, 0.6], noteEvery: "0s", maxWait: 100, keep: 64}
fleet: [{name: "a", count: $NODES_A, kind: "k", zone: "a"}, {name: "b", count: $NODES_B, kind: "k", zone: "b"},
	{name: "c", count: $NODES_C, kind: "k", zone: "c"}]
load: [{class: "c", perSecond: $RATE, services: $SERVICES, life: ["2s", "4s"]}]
}`

// baseValues are the default values of the placeholders in baseDay, as alternating placeholders and values.
var baseValues = []string{
	"$CORES", "1",
	"$MEMORY", "1",
	"$SPREAD", `spread: ""`,
	"$REVIEW_TIME", "1ms",
	"$START_TIME", "5ms",
	"$UNCACHED_FACTOR", "1",
	"$SCHEDULERS", "4",
	"$RUNS_WHEN_PLACED", "false",
	"$RATE", "20",
	"$SERVICES", "40",
	"$NODES_A", "4",
	"$NODES_B", "4",
	"$NODES_C", "4",
}

// Case is a fleet and a load for which the planner's predictions are compared with emulations, and with trials in which the
// schedulers and nodes communicate over sockets.
type Case struct {
	Name          string
	FirstLimit    planner.LimitName // limit that is expected to be reached first as the load grows
	Replacements  []string          // placeholders and values, in the form of baseValues
	FirstZoneLost bool              // the nodes of the first zone are removed from the fleet
}

// Day returns the scripted day of the case.
func (c Case) Day() (*scenario.Day, error) {
	text := strings.NewReplacer(slices.Concat(c.Replacements, baseValues)...).Replace(baseDay)
	day, err := scenario.Parse("planned", []byte(text))
	if err != nil {
		return nil, fmt.Errorf("plancheck: case %q: %w", c.Name, err)
	}
	if c.FirstZoneLost {
		day.Fleet = day.Fleet[1:]
	}
	return day, nil
}

// Cases cover different first limits and fleets. Two of the fleets are the remainder after most or all of a zone is lost.
var Cases = []Case{
	{Name: "cores", FirstLimit: planner.RequestedCores},
	{Name: "memory", FirstLimit: planner.RequestedMemory, Replacements: []string{"$MEMORY", "8"}},
	{Name: "large", FirstLimit: planner.RequestedCores, Replacements: []string{"$CORES", "6", "$RATE", "4"}},
	{Name: "most of a zone lost", FirstLimit: planner.RequestedCores, Replacements: []string{"$NODES_B", "1"}},
	{Name: "the largest zone lost", FirstLimit: planner.RequestedCores, FirstZoneLost: true,
		Replacements: []string{"$NODES_A", "10", "$NODES_B", "3", "$NODES_C", "3"}},
	{Name: "one scheduler", FirstLimit: planner.RequestedCores, Replacements: []string{"$SCHEDULERS", "1"}},
	{Name: "sixteen schedulers", FirstLimit: planner.RequestedCores, Replacements: []string{"$SCHEDULERS", "16"}},
	{Name: "uneven zones", FirstLimit: planner.RequestedMemory,
		Replacements: []string{"$MEMORY", "7", "$NODES_A", "8", "$NODES_B", "2"}},
	{Name: "slow starts", FirstLimit: planner.StartRate,
		Replacements: []string{"$RUNS_WHEN_PLACED", "true", "$START_TIME", "300ms", "$RATE", "50", "$CORES", "0.05",
			"$MEMORY", "0.1"}},
	{Name: "slow offer review", FirstLimit: planner.OfferReview,
		Replacements: []string{"$REVIEW_TIME", "200ms", "$CORES", "0.25"}},
}
