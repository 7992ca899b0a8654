package machineindex

import (
	"slices"

	"github.com/bits-and-blooms/bitset"
)

// Affinity is how a machine ranks as a host of a service, see AffinityPolicy.
type Affinity struct {
	HashValue float64 // of machine and service, above 0 and at most 1<<53
	Weight    float64 // of the machine's kind
}

// MaxHashValue is the largest Affinity.HashValue.
const MaxHashValue = 1 << 53

// AffinityPolicy is what an Index needs of the rules that rank machines as hosts of a service.
type AffinityPolicy struct {
	KindWeights []float64 // by kind, above 0
	// Compare is above 0 where a ranks higher than b, and 0 where they are equal. Of two with one weight, the higher hash
	// value must rank higher.
	Compare func(a, b Affinity) int
	// HashThreshold returns the fraction of MaxHashValue that a machine of the given weight needs in order to be among the
	// first few of a fleet, in expectation.
	HashThreshold func(weight, totalWeight float64) float64
}

// Candidate is a machine with its affinity to a service.
type Candidate struct {
	Machine  int32 // its number
	Affinity Affinity
}

// affinityTable finds the machines of highest affinity without computing the affinity of each machine.
type affinityTable struct {
	policy AffinityPolicy

	columns    []hashColumn // by kind
	thresholds []uint64     // by kind: the least hash value of those that rank among the first few
	version    int          // Index.fleetVersion at which columns and thresholds were made

	buffer []Candidate
}

// hashColumn is the machines of one kind side by side.
type hashColumn struct {
	hashes   []uint64
	machines []int32
}

// Affinity returns the affinity of a machine to a service.
func (idx *Index) Affinity(s *Service, number int32) Affinity {
	weight := 1.0
	if kind := idx.kinds[number]; kind >= 0 {
		weight = idx.affinity.policy.KindWeights[kind]
	}
	return Affinity{float64(mix(idx.idHashes[number]^s.nameHash)>>11 + 1), weight}
}

// Candidate returns a machine as a candidate for a service.
func (idx *Index) Candidate(s *Service, number int32) Candidate {
	return Candidate{number, idx.Affinity(s, number)}
}

// TopTwoByAffinity returns the two machines of the set that have the highest affinity to a service; -1 where there are fewer.
func (idx *Index) TopTwoByAffinity(s *Service, machines *bitset.BitSet) (first, second int32) {
	if s.topVersion != idx.fleetVersion {
		idx.rankTopMachines(s)
	}
	first = -1
	for _, number := range s.topMachines {
		if !machines.Test(uint(number)) {
			continue
		}
		if first >= 0 {
			return first, number
		}
		first = number
	}
	return idx.scanBestTwo(s, machines)
}

// scanBestTwo compares all machines of the set, for when few of the top machines are in it.
func (idx *Index) scanBestTwo(s *Service, machines *bitset.BitSet) (first, second int32) {
	compare := idx.affinity.policy.Compare
	best, next := Candidate{Machine: -1}, Candidate{Machine: -1}
	ForEachCommon(machines, machines, func(number int) {
		switch c := idx.Candidate(s, int32(number)); {
		case best.Machine < 0 || compare(c.Affinity, best.Affinity) > 0:
			best, next = c, best
		case next.Machine < 0 || compare(c.Affinity, next.Affinity) > 0:
			next = c
		}
	})
	return best.Machine, next.Machine
}

// rankTopMachines finds the machines of highest affinity of all. A hash value is compared with what a machine of its weight
// needs in order to be among the first few, so hardly any affinity is computed.
func (idx *Index) rankTopMachines(s *Service) {
	t := &idx.affinity
	if t.version != idx.fleetVersion {
		idx.buildHashColumns()
	}
	top := t.buffer[:0]
	for kind := range t.columns {
		column, threshold := &t.columns[kind], t.thresholds[kind]
		for i, idHash := range column.hashes {
			if mix(idHash^s.nameHash)>>11 >= threshold {
				top = append(top, idx.Candidate(s, column.machines[i]))
			}
		}
	}
	slices.SortFunc(top, func(a, b Candidate) int { return t.policy.Compare(b.Affinity, a.Affinity) })
	s.topVersion, s.topMachines = idx.fleetVersion, s.topMachines[:0]
	for _, c := range top {
		s.topMachines = append(s.topMachines, c.Machine)
	}
	t.buffer = top
}

// buildHashColumns lays the machines of each kind side by side.
func (idx *Index) buildHashColumns() {
	t := &idx.affinity
	weights := t.policy.KindWeights
	t.version = idx.fleetVersion
	t.columns = make([]hashColumn, len(weights))
	t.thresholds = make([]uint64, len(weights))
	totalWeight := 0.0
	for number, kind := range idx.kinds {
		if kind >= 0 {
			totalWeight += weights[kind]
			column := &t.columns[kind]
			column.hashes = append(column.hashes, idx.idHashes[number])
			column.machines = append(column.machines, int32(number))
		}
	}
	for kind, weight := range weights {
		t.thresholds[kind] = uint64(t.policy.HashThreshold(weight, totalWeight) * MaxHashValue)
	}
}
