package nodemodel

// KeyRegistry records which node of a zone has accepted the task with an idempotency key, so that no other copy of the task
// is accepted. A registry that nodes on several goroutines share must be safe for concurrent use.
type KeyRegistry interface {
	// Reserve reserves the key for the node. It returns false if the key is reserved already, also if by the same node.
	Reserve(key, node string) bool
	// Release releases the key if it is reserved for the node.
	Release(key, node string)
}

// LocalKeyRegistry is a KeyRegistry for nodes that run on one goroutine. It is not safe for concurrent use.
type LocalKeyRegistry struct{ nodeByKey map[string]string }

// NewLocalKeyRegistry returns an empty LocalKeyRegistry.
func NewLocalKeyRegistry() *LocalKeyRegistry { return &LocalKeyRegistry{map[string]string{}} }

// Reserve implements KeyRegistry.
func (r *LocalKeyRegistry) Reserve(key, node string) bool {
	if _, taken := r.nodeByKey[key]; taken {
		return false
	}
	r.nodeByKey[key] = node
	return true
}

// Release implements KeyRegistry.
func (r *LocalKeyRegistry) Release(key, node string) {
	if key != "" && r.nodeByKey[key] == node {
		delete(r.nodeByKey, key)
	}
}
