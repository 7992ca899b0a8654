package emulator

import (
	"math/rand/v2"
	"time"

	"flaxshelf.example/flaxshelf/internal/codec/nodeframe/nodepb"
)

// What entities tell each other beside frames.
type (
	// dial asks for a connection, with the dialler's hello.
	dial struct {
		name string
		life int64
	}
	// closed tells that a connection has broken or could not be made.
	closed struct{}
)

// frame is a frame of the node wire on a connection.
type frame struct{ *nodepb.Frame }

// lines gives messages their travel times: a least time, jitter, and order kept on each way.
type lines struct {
	rng    *rand.Rand
	least  time.Duration
	jitter time.Duration
	last   map[int32]Time
}

func newLines(seed uint64, id int32) *lines {
	return &lines{rng: rand.New(rand.NewPCG(seed, 0xfeed<<20|uint64(id))), least: window, jitter: window,
		last: map[int32]Time{}}
}

// arrival is when something sent now to an entity gets there.
func (l *lines) arrival(now Time, to int32) Time {
	at := max(now+l.least+time.Duration(l.rng.Int64N(int64(l.jitter))), l.last[to])
	l.last[to] = at
	return at
}
