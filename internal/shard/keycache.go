package shard

// keyCache maps the most recently used keys to cores. It retains at least the last capacity keys, and at most twice as many.
// It is not safe for concurrent use.
type keyCache struct {
	capacity int // of each map: the number of jobs that a scheduler retains
	recent   map[string]int
	older    map[string]int // the previous value of recent, which was replaced when it was full
}

func newKeyCache(capacity int) keyCache {
	return keyCache{capacity: capacity, recent: map[string]int{}}
}

// coreOf returns the core of a key. If the key is not in the cache, it is added with defaultCore as its core.
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
