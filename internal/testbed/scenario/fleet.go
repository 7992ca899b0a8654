package scenario

import (
	"fmt"
	"math"
	"math/rand/v2"
)

// faultStream is the random stream of the first fault; recordings depend on it.
const faultStream = 1000

// Node is one node of the fleet.
type Node struct {
	Name  string
	Group *Group
}

// Nodes returns the nodes of the fleet in the order of its groups.
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

// Rand returns the random numbers of fault i. They are not safe for concurrent use.
func (d *Day) Rand(i int, seed uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, faultStream+uint64(i)))
}

// PickNodes draws the nodes that a fault affects and returns their indexes in Nodes.
func (d *Day) PickNodes(fault *Fault, rng *rand.Rand) []int {
	var all []int
	for i, node := range d.Nodes() {
		if fault.Zone == "" || fault.Zone == node.Group.Zone {
			all = append(all, i)
		}
	}
	rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:int(math.Ceil(float64(len(all))*fault.Fraction))]
}
