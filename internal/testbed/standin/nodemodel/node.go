// Package nodemodel models the node of a stand-in cluster: it accepts or rejects offers, starts, evicts and ends tasks, and
// models the cores and memory that they use. The model is deterministic: it does no I/O and reads no clock, so the same code
// runs behind sockets (package host) and in the emulator.
package nodemodel

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"flaxshelf.example/flaxshelf"
	"flaxshelf.example/flaxshelf/internal/codec/nodeframe/nodepb"
)

// Time is a point in time as the duration since the Unix epoch.
type Time = time.Duration

// neverDue is later than any event.
const neverDue = Time(math.MaxInt64)

// pcgStream is the second word of the seed of a node's generator. Recordings depend on it, so it must not change.
const pcgStream = 0x5851f42d4c957f2d

// Envelope is a frame that the node sends, with its recipient.
type Envelope struct {
	To    string // name of the scheduler
	Frame *nodepb.Frame
}

// Node is the model of one node from its boot to its end. It is not safe for concurrent use.
//
// Methods with a now parameter first process the events that are due by then, and return the frames that the node sends
// during the call. If now is before that of an earlier call, the earlier call's is used.
type Node struct {
	cfg      Config
	rng      *rand.Rand
	now      Time
	bootTime Time
	outgoing []Envelope // frames that the current call returns

	waitingOffers []*waitingOffer // in order of arrival; the first is under review
	reviewEndsAt  Time            // end of the review of the first waiting offer
	recentOffers  []Time          // arrival times within OverloadWindow; only recorded during slow start

	tasks                  map[string]*task // by attempt
	tasksInAcceptanceOrder []*task          // the same tasks, oldest first
	startingTasks          int
	cachedPrograms         []string // services without a running task whose programs are cached, least recently used first
	finishedTasks          int

	schedulers map[string]*schedulerState
	keys       KeyRegistry
	fault      Fault

	draining      bool
	nextMigration Time // while draining
	nextReport    Time
	dead          bool
	overloaded    bool
}

// New returns a node that boots at now. The nodes of a zone share keys; nil means that the node has a registry of its own.
func New(cfg Config, now Time, keys KeyRegistry) *Node {
	if keys == nil {
		keys = NewLocalKeyRegistry()
	}
	cfg = cfg.withDefaults()
	return &Node{
		cfg:        cfg,
		rng:        rand.New(rand.NewPCG(cfg.Seed, pcgStream)),
		now:        now,
		bootTime:   now,
		tasks:      map[string]*task{},
		schedulers: map[string]*schedulerState{},
		keys:       keys,
		nextReport: now + cfg.UsageReportInterval,
	}
}

// Dead reports whether the node has ended, by Die or by a crash of overload. A dead node ignores the frames that it receives
// and sends none.
func (n *Node) Dead() bool { return n.dead }

// Overloaded reports whether the node crashed of overload during slow start.
func (n *Node) Overloaded() bool { return n.overloaded }

// Machine returns the description of the machine that the node registers with the inventory. cell is a parameter because the
// configuration has none. Kind is -1, since the kind is known by name only and the caller adds it.
func (n *Node) Machine(cell int) flaxshelf.Machine {
	machine := flaxshelf.Machine{ID: n.cfg.Name, Kind: -1, Zone: n.cfg.Zone, Cell: cell, Started: n.bootTime}
	if n.draining {
		machine.State = flaxshelf.Draining
	}
	machine.FreeCores, machine.FreeMemory = n.FreeResources()
	return machine
}

// FreeResources returns the capacity minus the requests of all accepted tasks. It is negative on an overcommitted node.
func (n *Node) FreeResources() (cores, memory float64) {
	cores, memory = n.cfg.Cores, n.cfg.Memory
	for _, t := range n.tasksInAcceptanceOrder {
		cores -= t.spec.Cores
		memory -= t.spec.Memory
	}
	return cores, memory
}

// TaskCounts returns the number of accepted tasks that have not ended, and how many of these are running.
func (n *Node) TaskCounts() (accepted, running int) {
	for _, t := range n.tasksInAcceptanceOrder {
		if t.running {
			running++
		}
	}
	return len(n.tasksInAcceptanceOrder), running
}

// FinishedTasks returns the number of tasks that have finished since the node booted.
func (n *Node) FinishedTasks() int { return n.finishedTasks }

// Advance processes the events that are due by now.
func (n *Node) Advance(now Time) []Envelope {
	n.outgoing = nil
	n.advance(now)
	return n.outgoing
}

// Receive handles a frame from a scheduler. Frames of types that schedulers do not send to nodes are ignored.
func (n *Node) Receive(now Time, scheduler string, f *nodepb.Frame) []Envelope {
	n.outgoing = nil
	n.advance(now)
	if n.dead {
		return n.outgoing
	}
	switch b := f.Body.(type) {
	case *nodepb.Frame_Offer:
		n.receiveOffer(scheduler, b.Offer)
	case *nodepb.Frame_Stop:
		n.stopAttempt(scheduler, b.Stop.Attempt)
	case *nodepb.Frame_Probe:
		n.send(scheduler, &nodepb.Frame{Body: &nodepb.Frame_Probed{Probed: &nodepb.Probed{Token: b.Probe.Token,
			Load: n.loadReport()}}})
	case *nodepb.Frame_Ack:
		n.acknowledge(scheduler, b.Ack.Attempt)
	case *nodepb.Frame_Ping:
		n.send(scheduler, &nodepb.Frame{Body: &nodepb.Frame_Pong{Pong: &nodepb.Pong{Token: b.Ping.Token}}})
	}
	n.advance(now)
	return n.outgoing
}

// Drain starts draining the node, which rejects all offers from then on.
func (n *Node) Drain(now Time) []Envelope {
	n.outgoing = nil
	n.advance(now)
	n.draining, n.nextMigration = true, n.now+n.cfg.DrainMigrationInterval
	return n.outgoing
}

// Die ends the node with all its tasks at once, without a frame to their schedulers.
func (n *Node) Die() {
	n.dead = true
	for _, t := range n.tasksInAcceptanceOrder {
		n.releaseKey(t.spec)
	}
	n.tasks, n.tasksInAcceptanceOrder, n.waitingOffers, n.startingTasks = map[string]*task{}, nil, nil, 0
}

// NextDue returns the time of the next event, or math.MaxInt64 if there is none.
func (n *Node) NextDue() Time {
	if n.dead {
		return neverDue
	}
	next := neverDue
	if len(n.waitingOffers) > 0 {
		next = min(next, n.reviewEndsAt)
	}
	for _, t := range n.tasksInAcceptanceOrder {
		next = min(next, t.nextDue())
	}
	if n.cfg.UsageReportInterval > 0 && len(n.tasksInAcceptanceOrder) > 0 {
		next = min(next, n.nextReport)
	}
	if n.migratesWhileDraining() && len(n.tasksInAcceptanceOrder) > 0 {
		next = min(next, n.nextMigration)
	}
	return max(next, n.now)
}

// advance processes events up to now in order of their times, so that one late call has the same effect as many timely ones.
func (n *Node) advance(now Time) {
	for !n.dead {
		next := n.NextDue()
		if next > now {
			break
		}
		n.now = max(n.now, next)
		n.processDue()
	}
	n.now = max(n.now, now)
}

// processDue processes the events that are due at n.now.
func (n *Node) processDue() {
	if len(n.waitingOffers) > 0 && n.reviewEndsAt <= n.now {
		offer := n.waitingOffers[0]
		n.waitingOffers = n.waitingOffers[1:]
		n.reviewEndsAt = n.now + n.cfg.OfferReviewTime
		n.reviewOffer(offer)
	}
	for _, t := range slices.Clone(n.tasksInAcceptanceOrder) {
		switch {
		case n.tasks[t.attempt] != t: // an earlier iteration ended it
		case t.starting && t.startsRunningAt <= n.now:
			n.startRunning(t)
		case t.running && t.endsAt <= n.now:
			n.endTask(t, nodepb.Ending_FINISHED, nodepb.Reason_UNTOLD)
		}
	}
	if n.migratesWhileDraining() && n.nextMigration <= n.now {
		n.nextMigration = n.now + n.cfg.DrainMigrationInterval
		if len(n.tasksInAcceptanceOrder) > 0 {
			n.endTask(n.tasksInAcceptanceOrder[0], nodepb.Ending_LOST, nodepb.Reason_SENT_AWAY)
		}
	}
	if n.cfg.UsageReportInterval > 0 && n.nextReport <= n.now {
		n.nextReport = n.now + n.cfg.UsageReportInterval
		n.updateUsage()
	}
}

// migratesWhileDraining reports whether the node is draining and ends its tasks one by one.
func (n *Node) migratesWhileDraining() bool { return n.draining && n.cfg.DrainMigrationInterval > 0 }
