package flaxshelf

import (
	"cmp"
	"math"

	"flaxshelf.example/flaxshelf/internal/machineindex"
)

// Affinity ranks the machines as hosts of a service by weighted rendezvous hashing: a machine is the best for a number of
// services in proportion to its weight, at every scheduler alike.

// affinityPolicy is how the index ranks machines of the given kinds.
func affinityPolicy(kinds []MachineKind) machineindex.AffinityPolicy {
	policy := machineindex.AffinityPolicy{Compare: compareAffinity, HashThreshold: topAffinityThreshold}
	for _, kind := range kinds {
		policy.KindWeights = append(policy.KindWeights, kindWeight(kind, kinds))
	}
	return policy
}

// affinityScore returns the rank of a machine among those for a service; the highest is the best.
func affinityScore(a machineindex.Affinity) float64 {
	return math.Log(a.HashValue/machineindex.MaxHashValue) / a.Weight
}

// compareAffinity returns a value above 0 where a is the higher affinity. Among machines of one weight the hash value
// decides, without a logarithm.
func compareAffinity(a, b machineindex.Affinity) int {
	if a.Weight == b.Weight {
		return cmp.Compare(a.HashValue, b.HashValue)
	}
	return cmp.Compare(affinityScore(a), affinityScore(b))
}

// topAffinityThreshold returns the fraction of the largest hash value from which on affinityScore ranks a machine among the
// topAffinityCount of highest affinity, in expectation, where the weights of all machines add up to totalWeight.
func topAffinityThreshold(weight, totalWeight float64) float64 {
	return math.Exp(-topAffinityCount / totalWeight * weight)
}

// kindWeight returns the size of a kind of machine: the smaller of its fractions of the largest cores and memory.
func kindWeight(kind MachineKind, kinds []MachineKind) float64 {
	var largest MachineKind
	for _, other := range kinds {
		largest.Cores, largest.Memory = max(largest.Cores, other.Cores), max(largest.Memory, other.Memory)
	}
	return min(kind.Cores/largest.Cores, kind.Memory/largest.Memory)
}
