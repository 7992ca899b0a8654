package machineindex

import "hash/fnv"

// Hash returns a hash of s that is the same in every process, so that schedulers make the same choices without
// communication.
func Hash(s string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(s)) // never fails
	return mix(h.Sum64())
}

// mix is the 64-bit finalizer of MurmurHash3. It distributes the hashes of similar inputs evenly.
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}
