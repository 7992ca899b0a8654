package host

import (
	"sync"

	"flaxshelf.example/flaxshelf/internal/lab/standin/nodemodel"
)

// Room is a nodemodel.Keys that several nodes share, each with a goroutine of its own.
type Room struct {
	mu   sync.Mutex
	room *nodemodel.Room
}

// NewRoom makes a Room in which no key is taken.
func NewRoom() *Room { return &Room{room: nodemodel.NewRoom()} }

// Take implements nodemodel.Keys.
func (r *Room) Take(key, node string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.room.Take(key, node)
}

// Free implements nodemodel.Keys.
func (r *Room) Free(key, node string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.room.Free(key, node)
}
