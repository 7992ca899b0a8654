package plancheck

import (
	"fmt"
	"slices"
	"strings"

	"flaxshelf.example/flaxshelf/internal/planner"
	"flaxshelf.example/flaxshelf/internal/testbed/scenario"
)

// baseDay is a fleet of three zones with one class. Cases replace the placeholders, which begin with a
// dollar sign; see baseValues.
const baseDay = `#Trial & {
about: "planned"
seconds: 40
after: 8
schedulers: $SCHEDULERS
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

// baseValues are pairs of a placeholder of baseDay and its value where a case does not replace it.
var baseValues = []string{
	"$CORES", "1",
	"$MEMORY", "1",
	"$SPREAD", `spread: ""`,
	"$LOOK", "1ms",
	"$START", "5ms",
	"$FRESH", "1",
	"$SCHEDULERS", "4",
	"$RUNS", "false",
	"$RATE", "20",
	"$SERVICES", "40",
	"$NA", "4",
	"$NB", "4",
	"$NC", "4",
}

// Case is a fleet and a load for which predictions are compared with emulated load and with load over sockets.
type Case struct {
	Name          string
	FirstLimit    planner.LimitName // first limit that the load meets
	Replacements  []string          // placeholders and their values, as baseValues
	FirstZoneLost bool              // the nodes of the first zone are lost
}

// Day returns the case as a scenario.
func (c Case) Day() (*scenario.Day, error) {
	text := strings.NewReplacer(slices.Concat(c.Replacements, baseValues)...).Replace(baseDay)
	day, err := scenario.Parse("planned", []byte(text))
	if err != nil {
		return nil, fmt.Errorf("plancheck: case %s: %w", c.Name, err)
	}
	if c.FirstZoneLost {
		day.Fleet = day.Fleet[1:]
	}
	return day, nil
}

// Cases are fleets and loads whose first limits differ; two of them are what remains when a zone is lost.
var Cases = []Case{
	{Name: "cores", FirstLimit: planner.RequestedCores},
	{Name: "memory", FirstLimit: planner.RequestedMemory, Replacements: []string{"$MEMORY", "8"}},
	{Name: "large", FirstLimit: planner.RequestedCores, Replacements: []string{"$CORES", "6", "$RATE", "4"}},
	{Name: "most of a zone lost", FirstLimit: planner.RequestedCores, Replacements: []string{"$NB", "1"}},
	{Name: "the largest zone lost", FirstLimit: planner.RequestedCores, FirstZoneLost: true,
		Replacements: []string{"$NA", "10", "$NB", "3", "$NC", "3"}},
	{Name: "one scheduler", FirstLimit: planner.RequestedCores, Replacements: []string{"$SCHEDULERS", "1"}},
	{Name: "sixteen schedulers", FirstLimit: planner.RequestedCores, Replacements: []string{"$SCHEDULERS", "16"}},
	{Name: "uneven zones", FirstLimit: planner.RequestedMemory,
		Replacements: []string{"$MEMORY", "7", "$NA", "8", "$NB", "2"}},
	{Name: "slow starts", FirstLimit: planner.StartRate,
		Replacements: []string{"$RUNS", "true", "$START", "300ms", "$RATE", "50", "$CORES", "0.05", "$MEMORY", "0.1"}},
	{Name: "slow offer review", FirstLimit: planner.OfferReview, Replacements: []string{"$LOOK", "200ms", "$CORES", "0.25"}},
}
