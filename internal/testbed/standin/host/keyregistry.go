package host

import (
	"sync"

	"flaxshelf.example/flaxshelf/internal/testbed/standin/nodemodel"
)

// KeyRegistry is a nodemodel.KeyRegistry that several nodes share, each with a goroutine of its own.
type KeyRegistry struct {
	mu   sync.Mutex
	keys *nodemodel.LocalKeys
}

// NewKeyRegistry makes a KeyRegistry in which no key is reserved.
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
