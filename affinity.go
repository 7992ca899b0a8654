package flaxshelf

import (
	"cmp"
	"math"

	"flaxshelf.example/flaxshelf/internal/machineindex"
)

// Affinity ranks the machines for each service by weighted rendezvous hashing. Every scheduler computes the same ranking,
// and the number of services for which a machine ranks first is in proportion to the weight of its kind.

// affinityPolicy returns the rules by which the index ranks machines of the given kinds.
func affinityPolicy(kinds []MachineKind) machineindex.AffinityPolicy {
	policy := machineindex.AffinityPolicy{Compare: compareAffinity, HashThreshold: topAffinityThreshold}
	for _, kind := range kinds {
		policy.KindWeights = append(policy.KindWeights, kindWeight(kind, kinds))
	}
	return policy
}

// affinityScore returns the score of weighted rendezvous hashing; the machine with the highest score ranks first.
func affinityScore(a machineindex.Affinity) float64 {
	return math.Log(a.HashValue/machineindex.MaxHashValue) / a.Weight
}

// compareAffinity returns a value above 0 if a is the higher affinity. For equal weights it compares the hash values, which
// give the same order as the scores and need no logarithm.
func compareAffinity(a, b machineindex.Affinity) int {
	if a.Weight == b.Weight {
		return cmp.Compare(a.HashValue, b.HashValue)
	}
	return cmp.Compare(affinityScore(a), affinityScore(b))
}

// topAffinityThreshold returns the hash value, as a fraction of the largest one, that a machine of the given weight needs to
// rank among the first for a service. Over all machines, topAffinityCount are expected to reach their thresholds.
// totalWeight is the sum of the weights of all machines.
func topAffinityThreshold(weight, totalWeight float64) float64 {
	return math.Exp(-topAffinityCount / totalWeight * weight)
}

// kindWeight returns the size of a kind relative to the largest kind: by cores or by memory, whichever gives less.
func kindWeight(kind MachineKind, kinds []MachineKind) float64 {
	var largest MachineKind
	for _, other := range kinds {
		largest.Cores, largest.Memory = max(largest.Cores, other.Cores), max(largest.Memory, other.Memory)
	}
	return min(kind.Cores/largest.Cores, kind.Memory/largest.Memory)
}
