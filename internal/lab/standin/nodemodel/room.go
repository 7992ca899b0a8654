package nodemodel

// Keys knows which keyed copies stand among the nodes of a group.
type Keys interface {
	// Take is false where a copy stands at another node, or at this one.
	Take(key, node string) bool
	// Free takes back what the node took.
	Free(key, node string)
}

// Room is the Keys of nodes that one goroutine drives.
type Room struct{ stands map[string]string }

// NewRoom makes an empty room.
func NewRoom() *Room { return &Room{map[string]string{}} }

// Take implements Keys.
func (r *Room) Take(key, node string) bool {
	if _, taken := r.stands[key]; taken {
		return false
	}
	r.stands[key] = node
	return true
}

// Free implements Keys.
func (r *Room) Free(key, node string) {
	if key != "" && r.stands[key] == node {
		delete(r.stands, key)
	}
}
