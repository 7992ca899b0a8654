package scenario

import (
	"fmt"
	"math"
	"math/rand/v2"
)

// firstFaultStream is the number of the first fault's stream of random numbers. Recordings depend on it.
const firstFaultStream = 1000

// Node is one node of the fleet.
type Node struct {
	Name  string
	Group *NodeGroup
}

// Nodes returns the nodes of the fleet, in the order of its groups.
func (d *Day) Nodes() []Node {
	var all []Node
	for i := range d.Fleet {
		for n := range d.Fleet[i].Count {
			all = append(all, Node{fmt.Sprintf("%s%d", d.Fleet[i].Name, n), &d.Fleet[i]})
		}
	}
	return all
}

// SchedulerZone returns the zone of the scheduler with the given index. The zones of the fleet are assigned round-robin.
func (d *Day) SchedulerZone(scheduler int) string {
	var zones []string
	seen := map[string]bool{}
	for _, g := range d.Fleet {
		if !seen[g.Zone] {
			seen[g.Zone] = true
			zones = append(zones, g.Zone)
		}
	}
	return zones[scheduler%len(zones)]
}

// FaultRand returns the source of random numbers of the fault at the given index of d.Faults. It is not safe for concurrent use.
func (d *Day) FaultRand(faultIndex int, seed uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, firstFaultStream+uint64(faultIndex)))
}

// PickNodes randomly selects the nodes that a fault affects and returns their indices in the result of Nodes.
func (d *Day) PickNodes(fault *Fault, rng *rand.Rand) []int {
	var candidates []int
	for i, node := range d.Nodes() {
		if fault.Zone == "" || fault.Zone == node.Group.Zone {
			candidates = append(candidates, i)
		}
	}
	rng.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	return candidates[:int(math.Ceil(float64(len(candidates))*fault.Fraction))]
}
