package host

import (
	"sync"

	"flaxshelf.example/flaxshelf/internal/testbed/standin/nodemodel"
)

// KeyRegistry is a nodemodel.KeyRegistry for nodes on several goroutines. It is safe for concurrent use.
type KeyRegistry struct {
	mu   sync.Mutex
	keys *nodemodel.LocalKeys
}

// NewKeyRegistry returns a KeyRegistry without reserved keys.
func NewKeyRegistry() *KeyRegistry { return &KeyRegistry{keys: nodemodel.NewLocalKeys()} }

// Reserve implements nodemodel.KeyRegistry.
func (r *KeyRegistry) Reserve(key, node string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.keys.Reserve(key, node)
}

// Release implements nodemodel.KeyRegistry.
func (r *KeyRegistry) Release(key, node string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.keys.Release(key, node)
}
