package scenario

import (
	"fmt"
	"math"
	"math/rand/v2"
)

// troubleStream is the generator's stream of the first fault; recordings depend on it.
const troubleStream = 1000

// Node is one node of the fleet.
type Node struct {
	Name  string
	Group *Group
}

// Nodes returns the nodes of the fleet, group by group.
func (d *Day) Nodes() []Node {
	var all []Node
	for i := range d.Fleet {
		for n := range d.Fleet[i].Count {
			all = append(all, Node{fmt.Sprintf("%s%d", d.Fleet[i].Name, n), &d.Fleet[i]})
		}
	}
	return all
}

// Zone returns the zone of scheduler i: schedulers are spread over the zones of the fleet.
func (d *Day) Zone(i int) string {
	var zones []string
	seen := map[string]bool{}
	for _, g := range d.Fleet {
		if !seen[g.Zone] {
			seen[g.Zone] = true
			zones = append(zones, g.Zone)
		}
	}
	return zones[i%len(zones)]
}

// Rand returns the random numbers of fault i. Not safe for concurrent use.
func (d *Day) Rand(i int, seed uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, troubleStream+uint64(i)))
}

// Pick draws the nodes that a fault affects and returns their indexes in Places.
func (d *Day) Pick(t *Fault, rng *rand.Rand) []int {
	var all []int
	for i, p := range d.Nodes() {
		if t.Zone == "" || t.Zone == p.Group.Zone {
			all = append(all, i)
		}
	}
	rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:int(math.Ceil(float64(len(all))*t.Share))]
}
