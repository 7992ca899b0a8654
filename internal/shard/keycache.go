package shard

// keyCache remembers the cores of the keys that were used last, between capacity and twice as many of them. It is not
// safe for concurrent use.
type keyCache struct {
	capacity int // as many as a scheduler keeps jobs
	recent   map[string]int
	older    map[string]int // replaced by recent when that is full
}

func newKeyCache(capacity int) keyCache {
	return keyCache{capacity: capacity, recent: map[string]int{}}
}

// coreOf returns the core that is remembered for the key, or else remembers the default.
func (k *keyCache) coreOf(key string, defaultCore int) int {
	if core, ok := k.recent[key]; ok {
		return core
	}
	core, ok := k.older[key]
	if !ok {
		core = defaultCore
	}
	if len(k.recent) >= k.capacity {
		k.recent, k.older = map[string]int{}, k.recent
	}
	k.recent[key] = core
	return core
}
