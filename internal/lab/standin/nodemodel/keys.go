package nodemodel

// Keys records which node of a zone has a copy of a keyed task. A Keys that nodes of several goroutines share must be safe
// for concurrent use.
type Keys interface {
	// Take reserves the key for the node. It returns false if any node has it, this one included.
	Take(key, node string) bool
	// Free releases the key if the node has it.
	Free(key, node string)
}

// Room is a Keys for nodes that one goroutine runs. Not safe for concurrent use.
type Room struct{ nodeByKey map[string]string }

// NewRoom returns an empty Room.
func NewRoom() *Room { return &Room{map[string]string{}} }

// Take implements Keys.
func (r *Room) Take(key, node string) bool {
	if _, taken := r.nodeByKey[key]; taken {
		return false
	}
	r.nodeByKey[key] = node
	return true
}

// Free implements Keys.
func (r *Room) Free(key, node string) {
	if key != "" && r.nodeByKey[key] == node {
		delete(r.nodeByKey, key)
	}
}
