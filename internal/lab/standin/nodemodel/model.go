// Package nodemodel owns how a stand-in node behaves: what it accepts, starts, uses, evicts and loses. It must
// not do I/O or read a clock; sockets and simulated time are shells around it.
package nodemodel

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"flaxshelf.example/flaxshelf/internal/codec/nodeframe/nodepb"
)

// Time is Unix nanoseconds.
type Time = time.Duration

// Config is what a node is made of.
type Config struct {
	Name, Zone                       string
	Cores, Memory                    float64
	CoreOvercommit, MemoryOvercommit float64       // accepts until its tasks ask for these multiples
	OfferReviewTime                  time.Duration // an ask is looked at for so long, one at a time
	MaxWaitingOffers                 int           // asks that may wait to be looked at
	StartSlots                       int           // starts at a time
	CachedStartTime                  time.Duration // of a start whose program is kept
	UncachedStartFactor              float64       // times that, where the node has no task of the service
	MaxCachedPrograms                int           // programs kept after their last task
	ColdFrom                         float64       // pace for starts when fresh from boot, of 1
	SlowStartDuration                time.Duration // until it is warm; 0: it never is cold
	FallMultiple                     float64       // offered more than this times what it can start now
	FallWindow                       time.Duration // for so long, it falls over
	FreshOffers                      float64       // offers within FallWindow that it always bears
	Preempts                         bool          // pushes out lower priorities to make room
	DrainSendsAway                   time.Duration // one task is sent away so often while draining; 0: it keeps them
	UseCores, UseMemory              [2]float64    // share of what it asked that a task uses, drawn between
	NoteEvery                        time.Duration // 0: no notes
	Reports                          bool          // load in its answers
	DefaultLife                      time.Duration // of a task that tells no life
	KeepEnded                        int           // endings kept for a scheduler that is away
	Seed                             uint64
}

// Send is a frame for a party.
type Send struct {
	To    string
	Frame *nodepb.Frame
}

// Node is the model of one node in one life. Not safe for concurrent use.
type Node struct {
	cfg      Config
	rng      *rand.Rand
	now      Time
	born     Time
	out      []Send
	waiting  []*ask // the first is looked at
	lookedAt Time   // when the look at the first ends
	held     map[string]*task
	order    []*task // held, in order of acceptance
	starting int
	kept     []string // programs, least lately used first
	offers   []weighed
	parties  map[string]*party
	room     Keys
	faults   faults
	draining bool
	nextAway Time
	nextNote Time
	finished int
	dead     bool
	fellOver bool
}

type ask struct {
	from    string
	offer   *nodepb.Offer
	arrived Time
}

type weighed struct {
	at Time
	w  float64
}

type task struct {
	attempt   string
	from      string
	spec      *nodepb.Task
	accepted  Time
	starting  bool
	running   bool
	startDone Time
	endsAt    Time
	useCores  float64 // share of what it asked
	useMemory float64
}

type party struct {
	life  int64
	up    bool
	ended []*nodepb.Ended
}

// New makes a node that boots at now. A nil room stands for a node that shares its keys with nobody.
func New(cfg Config, now Time, room Keys) *Node {
	if room == nil {
		room = NewRoom()
	}
	if cfg.DefaultLife <= 0 {
		cfg.DefaultLife = 20 * time.Second
	}
	if cfg.KeepEnded <= 0 {
		cfg.KeepEnded = 100000
	}
	cfg.StartSlots, cfg.MaxWaitingOffers = max(cfg.StartSlots, 1), max(cfg.MaxWaitingOffers, 1)
	return &Node{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 0x5851f42d4c957f2d)), now: now, born: now,
		held: map[string]*task{}, parties: map[string]*party{}, room: room, nextNote: now + cfg.NoteEvery}
}

// Started is when this life of the node began.
func (n *Node) Started() Time { return n.born }

// Dead tells whether the node has died or fallen over: it neither hears nor says anything any more.
func (n *Node) Dead() bool { return n.dead }

// FellOver tells whether it died of too many starts while cold.
func (n *Node) FellOver() bool { return n.fellOver }

// Draining tells whether the node takes nothing new.
func (n *Node) Draining() bool { return n.draining }

// Free is the room that no accepted task has asked for; below 0 where more was accepted.
func (n *Node) Free() (cores, memory float64) {
	cores, memory = n.cfg.Cores, n.cfg.Memory
	for _, t := range n.order {
		cores -= t.spec.Cores
		memory -= t.spec.Memory
	}
	return cores, memory
}

// Tasks counts what the node holds, and of it what runs.
func (n *Node) Tasks() (held, running int) {
	for _, t := range n.order {
		if t.running {
			running++
		}
	}
	return len(n.order), running
}

// Finished counts the tasks that have run to their end in this life of the node.
func (n *Node) Finished() int { return n.finished }

// Advance moves the clock and does what has fallen due.
func (n *Node) Advance(now Time) []Send {
	n.out = nil
	n.advance(now)
	return n.out
}

// Receive takes a frame of a scheduler.
func (n *Node) Receive(now Time, from string, f *nodepb.Frame) []Send {
	n.out = nil
	n.advance(now)
	if n.dead {
		return n.out
	}
	switch b := f.Body.(type) {
	case *nodepb.Frame_Offer:
		n.offered(from, b.Offer)
	case *nodepb.Frame_Stop:
		n.stop(from, b.Stop.Attempt)
	case *nodepb.Frame_Probe:
		n.send(from, &nodepb.Frame{Body: &nodepb.Frame_Probed{Probed: &nodepb.Probed{Token: b.Probe.Token,
			Load: n.load()}}})
	case *nodepb.Frame_Ack:
		p := n.party(from)
		p.ended = slices.DeleteFunc(p.ended, func(e *nodepb.Ended) bool { return e.Attempt == b.Ack.Attempt })
	case *nodepb.Frame_Ping:
		n.send(from, &nodepb.Frame{Body: &nodepb.Frame_Pong{Pong: &nodepb.Pong{Token: b.Ping.Token}}})
	}
	n.advance(now)
	return n.out
}

// Connect tells that a scheduler has come, and returns the frames that welcome it. A life older than one that
// was seen is fenced off: false. What a former life offered and nobody has looked at is dropped, so that it
// can't start after the hand-over has been told.
func (n *Node) Connect(now Time, from string, life int64, perFrame int) ([]Send, bool) {
	n.out = nil
	n.advance(now)
	p := n.party(from)
	if n.dead || life < p.life {
		return nil, false
	}
	p.life, p.up = life, true
	n.dropWaiting(from)
	var held []*nodepb.Held
	for _, t := range n.order {
		if t.from == from {
			held = append(held, &nodepb.Held{Attempt: t.attempt, Task: t.spec, Running: t.running})
		}
	}
	ended := p.ended
	for first := true; first || len(held) > 0 || len(ended) > 0; first = false {
		h, e := min(perFrame, len(held)), min(perFrame, len(ended))
		n.send(from, &nodepb.Frame{Body: &nodepb.Frame_Welcome{Welcome: &nodepb.Welcome{Node: n.cfg.Name,
			StartedUnixNs: int64(n.born), Held: held[:h], Ended: ended[:e],
			More: h < len(held) || e < len(ended), Fresh: n.cold()}}})
		held, ended = held[h:], ended[e:]
	}
	return n.out, true
}

// Disconnect tells that a scheduler's connection is gone. What it had asked and nobody has looked at is
// dropped; what was accepted runs on.
func (n *Node) Disconnect(now Time, from string) {
	n.out = nil
	n.advance(now)
	n.party(from).up = false
	n.dropWaiting(from)
}

func (n *Node) dropWaiting(from string) {
	first := n.waiting
	if len(first) > 0 && first[0].from == from {
		n.lookedAt = n.now + n.cfg.OfferReviewTime // the look begins anew with the next
	}
	n.waiting = slices.DeleteFunc(n.waiting, func(a *ask) bool { return a.from == from })
}

func (n *Node) party(name string) *party {
	p := n.parties[name]
	if p == nil {
		p = &party{}
		n.parties[name] = p
	}
	return p
}

func (n *Node) send(to string, f *nodepb.Frame) {
	if p := n.parties[to]; p != nil && p.up && !n.dead {
		n.out = append(n.out, Send{to, f})
	}
}

// Next is when something falls due; the largest Time where nothing does.
func (n *Node) Next() Time {
	next := Time(math.MaxInt64)
	if n.dead {
		return next
	}
	if len(n.waiting) > 0 {
		next = min(next, n.lookedAt)
	}
	for _, t := range n.order {
		if t.starting {
			next = min(next, t.startDone)
		} else if t.running {
			next = min(next, t.endsAt)
		}
	}
	if n.cfg.NoteEvery > 0 && len(n.order) > 0 {
		next = min(next, n.nextNote)
	}
	if n.draining && n.cfg.DrainSendsAway > 0 && len(n.order) > 0 {
		next = min(next, n.nextAway)
	}
	return max(next, n.now)
}

// advance does what is due in the order of its time, so that one late call gives what many on time would.
func (n *Node) advance(now Time) {
	for !n.dead {
		next := n.Next()
		if next > now {
			break
		}
		n.now = max(n.now, next)
		n.due()
	}
	n.now = max(n.now, now)
}

func (n *Node) due() {
	if len(n.waiting) > 0 && n.lookedAt <= n.now {
		a := n.waiting[0]
		n.waiting = n.waiting[1:]
		n.lookedAt = n.now + n.cfg.OfferReviewTime
		n.look(a)
	}
	for _, t := range slices.Clone(n.order) {
		switch {
		case n.held[t.attempt] != t:
		case t.starting && t.startDone <= n.now:
			n.begin(t)
		case t.running && t.endsAt <= n.now:
			n.end(t, nodepb.Ending_FINISHED, nodepb.Reason_UNTOLD)
		}
	}
	if n.draining && n.cfg.DrainSendsAway > 0 && n.nextAway <= n.now {
		n.nextAway = n.now + n.cfg.DrainSendsAway
		if len(n.order) > 0 {
			n.end(n.order[0], nodepb.Ending_LOST, nodepb.Reason_SENT_AWAY)
		}
	}
	if n.cfg.NoteEvery > 0 && n.nextNote <= n.now {
		n.nextNote = n.now + n.cfg.NoteEvery
		n.pressure()
	}
}

// byPriority orders tasks as they are evicted: lowest priority first, the latest of these first.
func byPriority(a, b *task) int {
	return cmp.Or(cmp.Compare(a.spec.Priority, b.spec.Priority), cmp.Compare(b.accepted, a.accepted),
		cmp.Compare(b.attempt, a.attempt))
}
