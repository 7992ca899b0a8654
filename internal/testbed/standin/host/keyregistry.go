package host

import (
	"sync"

	"flaxshelf.example/flaxshelf/internal/testbed/standin/nodemodel"
)

// ConcurrentKeyRegistry is a nodemodel.KeyRegistry for nodes on several goroutines. It is safe for concurrent use.
type ConcurrentKeyRegistry struct {
	mu   sync.Mutex
	keys *nodemodel.LocalKeyRegistry
}

// NewConcurrentKeyRegistry returns a ConcurrentKeyRegistry without reserved keys.
func NewConcurrentKeyRegistry() *ConcurrentKeyRegistry {
	return &ConcurrentKeyRegistry{keys: nodemodel.NewLocalKeyRegistry()}
}

// Reserve implements nodemodel.KeyRegistry.
func (r *ConcurrentKeyRegistry) Reserve(key, node string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.keys.Reserve(key, node)
}

// Release implements nodemodel.KeyRegistry.
func (r *ConcurrentKeyRegistry) Release(key, node string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.keys.Release(key, node)
}
