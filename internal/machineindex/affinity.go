package machineindex

import (
	"slices"

	"github.com/bits-and-blooms/bitset"
)

// Affinity determines how a machine ranks as a host of a service, see AffinityPolicy.
type Affinity struct {
	HashValue float64 // hash of machine and service: an integer from 1 to MaxHashValue
	Weight    float64 // of the machine's kind; 1 for a machine without a kind
}

// MaxHashValue is the largest Affinity.HashValue.
const MaxHashValue = 1 << 53

// AffinityPolicy determines how an Index ranks machines as hosts of a service.
type AffinityPolicy struct {
	KindWeights []float64 // by kind, positive
	// Compare returns a positive value if a ranks higher than b, a negative value if it ranks lower, and 0 if they are
	// equal. Of two affinities of the same weight, the one with the higher hash value must rank higher.
	Compare func(a, b Affinity) int
	// HashThreshold returns the smallest hash value, as a fraction of MaxHashValue, with which a machine of the given weight is
	// expected to rank among the first few machines of a fleet. totalWeight is the sum of the weights of the fleet.
	HashThreshold func(weight, totalWeight float64) float64
}

// Candidate is a machine with its affinity to a service.
type Candidate struct {
	Machine  int32 // machine number
	Affinity Affinity
}

// affinityTable holds what is needed to find the machines of the highest affinity without computing the affinity of each.
type affinityTable struct {
	policy AffinityPolicy

	columns      []hashColumn // by kind
	thresholds   []uint64     // by kind: the minimum hash value of machines that may rank among the first few
	fleetVersion int          // Index.fleetVersion for which columns and thresholds were built

	candidateBuffer []Candidate // reused by rankTopMachines
}

// hashColumn has the ID hashes and the numbers of the machines of one kind, both in the same order.
type hashColumn struct {
	idHashes []uint64
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

// TopTwoByAffinity returns the two machines of the set that have the highest affinity to a service, the higher one first. If
// the set has fewer than two machines, -1 stands for each missing one.
func (idx *Index) TopTwoByAffinity(s *Service, machines *bitset.BitSet) (first, second int32) {
	if s.topFleetVersion != idx.fleetVersion {
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
	return idx.scanTopTwo(s, machines)
}

// scanTopTwo implements TopTwoByAffinity by a scan of the whole set. It is needed for a set that contains fewer than two of
// s.topMachines.
func (idx *Index) scanTopTwo(s *Service, machines *bitset.BitSet) (first, second int32) {
	compare := idx.affinity.policy.Compare
	best, runnerUp := Candidate{Machine: -1}, Candidate{Machine: -1}
	ForEachCommon(machines, machines, func(number int) {
		switch c := idx.Candidate(s, int32(number)); {
		case best.Machine < 0 || compare(c.Affinity, best.Affinity) > 0:
			best, runnerUp = c, best
		case runnerUp.Machine < 0 || compare(c.Affinity, runnerUp.Affinity) > 0:
			runnerUp = c
		}
	})
	return best.Machine, runnerUp.Machine
}

// rankTopMachines determines the machines of the fleet that have the highest affinity to a service. It skips machines whose
// hash value is below the threshold of their kind, so it computes and compares the affinities of only a few machines.
func (idx *Index) rankTopMachines(s *Service) {
	t := &idx.affinity
	if t.fleetVersion != idx.fleetVersion {
		idx.buildHashColumns()
	}
	top := t.candidateBuffer[:0]
	for kind := range t.columns {
		column, threshold := &t.columns[kind], t.thresholds[kind]
		for i, idHash := range column.idHashes {
			if mix(idHash^s.nameHash)>>11 >= threshold {
				top = append(top, idx.Candidate(s, column.machines[i]))
			}
		}
	}
	slices.SortFunc(top, func(a, b Candidate) int { return t.policy.Compare(b.Affinity, a.Affinity) })
	s.topFleetVersion, s.topMachines = idx.fleetVersion, s.topMachines[:0]
	for _, c := range top {
		s.topMachines = append(s.topMachines, c.Machine)
	}
	t.candidateBuffer = top
}

// buildHashColumns builds the columns and thresholds for the current fleet.
func (idx *Index) buildHashColumns() {
	t := &idx.affinity
	weights := t.policy.KindWeights
	t.fleetVersion = idx.fleetVersion
	t.columns = make([]hashColumn, len(weights))
	t.thresholds = make([]uint64, len(weights))
	totalWeight := 0.0
	for number, kind := range idx.kinds {
		if kind >= 0 {
			totalWeight += weights[kind]
			column := &t.columns[kind]
			column.idHashes = append(column.idHashes, idx.idHashes[number])
			column.machines = append(column.machines, int32(number))
		}
	}
	for kind, weight := range weights {
		t.thresholds[kind] = uint64(t.policy.HashThreshold(weight, totalWeight) * MaxHashValue)
	}
}
