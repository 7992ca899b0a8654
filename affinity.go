package flaxshelf

import (
	"cmp"
	"math"
	"slices"

	"github.com/bits-and-blooms/bitset"
)

// topAffinityCount is how many of a service's machines of highest affinity are kept, in expectation.
const topAffinityCount = 12

// affinity orders machines as hosts of a service, see score: hashValue alone decides among machines of one weight.
type affinity struct {
	hashValue float64 // of machine and service, above 0 and at most 1<<53
	weight    float64 // of the machine's kind
}

// compare is above 0 where k is the higher affinity.
func (k affinity) compare(o affinity) int {
	if k.weight == o.weight {
		return cmp.Compare(k.hashValue, o.hashValue)
	}
	return cmp.Compare(k.score(), o.score())
}

// candidate is a machine in the vote, by its number, with its affinity to the service of the task.
type candidate struct {
	machine  int32
	affinity affinity
}

// affinityTables is what finds the machines of highest affinity for a service without a logarithm for each machine.
type affinityTables struct {
	kindWeights    []float64 // see kindWeight
	hashColumns    []hashColumn
	topThresholds  []uint64 // by kind: the least hash value of those that rank among the first few
	columnsVersion int      // fleetVersion at which hashColumns was made
	topBuffer      []rankedMachine
}

// hashColumn is the machines of one kind side by side.
type hashColumn struct {
	hashes   []uint64
	machines []int32
}

// rankedMachine is a machine with its affinity.
type rankedMachine struct {
	machine  int32
	affinity affinity
}

// affinityOf is the affinity of a service to a machine.
func (x *index) affinityOf(s *service, machine int32) affinity {
	weight := 1.0
	if kind := x.kindOf[machine]; kind >= 0 {
		weight = x.kindWeights[kind]
	}
	return affinity{float64(mix(x.idHashes[machine]^s.nameHash)>>11 + 1), weight}
}

// bestTwo is the two eligible machines of highest affinity; -1 where there are fewer.
func (x *index) bestTwo(s *service, eligible *bitset.BitSet) (first, second int32) {
	if s.topVersion != x.fleetVersion {
		x.rankTopMachines(s)
	}
	first = -1
	for _, machine := range s.topMachines {
		if !eligible.Test(uint(machine)) {
			continue
		}
		if first >= 0 {
			return first, machine
		}
		first = machine
	}
	return x.scanBestTwo(s, eligible)
}

// scanBestTwo looks at all eligible machines, for when few of the top machines are left.
func (x *index) scanBestTwo(s *service, eligible *bitset.BitSet) (first, second int32) {
	first, second = -1, -1
	var best, next affinity
	forEachCommon(eligible, eligible, func(number int) {
		machine := int32(number)
		switch candidate := x.affinityOf(s, machine); {
		case first < 0 || candidate.compare(best) > 0:
			second, next = first, best
			first, best = machine, candidate
		case second < 0 || candidate.compare(next) > 0:
			second, next = machine, candidate
		}
	})
	return first, second
}

// addCandidate adds a machine that is not in the list yet; none for -1.
func (x *index) addCandidate(list []candidate, s *service, number int32) []candidate {
	listed := func(c candidate) bool { return c.machine == number }
	if number < 0 || slices.ContainsFunc(list, listed) {
		return list
	}
	return append(list, candidate{number, x.affinityOf(s, number)})
}

// allAsCandidates is all eligible machines, for when affinity is disabled.
func (p *Placer) allAsCandidates(s *service, eligible *bitset.BitSet) []candidate {
	x := &p.index
	list := x.candidates[:0]
	forEachCommon(eligible, eligible, func(number int) {
		list = append(list, candidate{int32(number), x.affinityOf(s, int32(number))})
	})
	x.candidates = list
	return list
}

// rankTopMachines finds the machines of highest affinity of all. A hash value is compared with what a machine of its
// weight needs in order to be among the first few in expectation, so hardly any logarithm is taken.
func (x *index) rankTopMachines(s *service) {
	if x.columnsVersion != x.fleetVersion {
		x.packColumns()
	}
	top := x.topBuffer[:0]
	for kind := range x.hashColumns {
		column, threshold := &x.hashColumns[kind], x.topThresholds[kind]
		for i, idHash := range column.hashes {
			if mix(idHash^s.nameHash)>>11 >= threshold {
				machine := column.machines[i]
				top = append(top, rankedMachine{machine, x.affinityOf(s, machine)})
			}
		}
	}
	slices.SortFunc(top, func(a, b rankedMachine) int { return b.affinity.compare(a.affinity) })
	s.topVersion, s.topMachines = x.fleetVersion, s.topMachines[:0]
	for _, ranked := range top {
		s.topMachines = append(s.topMachines, ranked.machine)
	}
	x.topBuffer = top
}

// packColumns lays the machines of each kind side by side.
func (x *index) packColumns() {
	x.columnsVersion = x.fleetVersion
	x.hashColumns = make([]hashColumn, len(x.kindWeights))
	x.topThresholds = make([]uint64, len(x.kindWeights))
	totalWeight := 0.0
	for number, kind := range x.kindOf {
		if kind >= 0 {
			totalWeight += x.kindWeights[kind]
			column := &x.hashColumns[kind]
			column.hashes = append(column.hashes, x.idHashes[number])
			column.machines = append(column.machines, int32(number))
		}
	}
	for kind, weight := range x.kindWeights {
		x.topThresholds[kind] = uint64(math.Exp(-topAffinityCount/totalWeight*weight) * (1 << 53))
	}
}

// kindWeight is the size of a kind of machine: the smaller of its fractions of the largest cores and memory.
func kindWeight(kind Kind, kinds []Kind) float64 {
	var largest Kind
	for _, other := range kinds {
		largest.Cores, largest.Memory = max(largest.Cores, other.Cores), max(largest.Memory, other.Memory)
	}
	return min(kind.Cores/largest.Cores, kind.Memory/largest.Memory)
}
