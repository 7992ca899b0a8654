package nodemodel

// KeyRegistry records which node of a zone has a copy of a keyed task. One that nodes of several goroutines share must be
// safe for concurrent use.
type KeyRegistry interface {
	// Reserve reserves the key for the node. It returns false if any node has it, this one included.
	Reserve(key, node string) bool
	// Release releases the key if the node has it.
	Release(key, node string)
}

// LocalKeys is a KeyRegistry for nodes that one goroutine runs. Not safe for concurrent use.
type LocalKeyRegistry struct{ nodeByKey map[string]string }

// NewLocalKeys returns an empty LocalKeys.
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
