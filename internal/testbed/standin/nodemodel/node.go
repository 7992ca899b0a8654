// Package nodemodel models a stand-in node: which tasks it accepts, starts, evicts and loses, and what they use. The model
// is deterministic: it does no I/O and reads no clock, so that it runs on sockets and in the emulator.
package nodemodel

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"flaxshelf.example/flaxshelf"
	"flaxshelf.example/flaxshelf/internal/codec/nodeframe/nodepb"
)

// Time is the time since the Unix epoch.
type Time = time.Duration

// noDeadline is the time of what is never due.
const neverDue = Time(math.MaxInt64)

// randomStream is the second half of the generator's seed. Recordings depend on it.
const pcgStream = 0x5851f42d4c957f2d

// Send is a frame that the node sends to a scheduler.
type Envelope struct {
	To    string // name of the scheduler
	Frame *nodepb.Frame
}

// Node is the model of one node from its boot to its death. Not safe for concurrent use.
//
// Each method that has a time as its argument first does what is due by then. A time before that of the last call counts
// as that of the last call.
type Node struct {
	cfg      Config
	rng      *rand.Rand
	now      Time
	bootTime Time
	outgoing []Envelope // frames of the call in progress

	waitingOffers []*waitingOffer // the first is under review
	reviewEndsAt  Time            // when the review of the first ends
	recentOffers  []Time          // within OverloadWindow, during slow start

	tasks                  map[string]*task // by attempt
	tasksInAcceptanceOrder []*task          // the same tasks in order of acceptance
	startingTasks          int
	cachedPrograms         []string // services without a task, least recently used first
	finishedTasks          int

	schedulers map[string]*schedulerState
	keys       KeyRegistry
	fault      Fault

	draining      bool
	nextMigration Time // of a draining node
	nextReport    Time
	dead          bool
	overloaded    bool
}

// New returns a node that boots at now. keys is shared by the nodes of one zone; nil means that the node has its own.
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

// Dead reports whether the node has died. A dead node ignores what it receives and sends nothing.
func (n *Node) Dead() bool { return n.dead }

// Overloaded reports whether the node crashed of overload during slow start.
func (n *Node) Overloaded() bool { return n.overloaded }

// Machine returns what the node registers at the inventory about its machine, which is in a cell that the model doesn't know.
// It has no kind, since settings refer to kinds by name.
func (n *Node) Machine(cell int) flaxshelf.Machine {
	machine := flaxshelf.Machine{ID: n.cfg.Name, Kind: -1, Zone: n.cfg.Zone, Cell: cell, Started: n.bootTime}
	if n.draining {
		machine.State = flaxshelf.Draining
	}
	machine.FreeCores, machine.FreeMemory = n.FreeResources()
	return machine
}

// Free returns the resources that no accepted task has requested. They are below 0 on an overcommitted node.
func (n *Node) FreeResources() (cores, memory float64) {
	cores, memory = n.cfg.Cores, n.cfg.Memory
	for _, t := range n.tasksInAcceptanceOrder {
		cores -= t.spec.Cores
		memory -= t.spec.Memory
	}
	return cores, memory
}

// Tasks returns how many tasks the node has accepted and not ended, and how many of these run.
func (n *Node) TaskCounts() (accepted, running int) {
	for _, t := range n.tasksInAcceptanceOrder {
		if t.running {
			running++
		}
	}
	return len(n.tasksInAcceptanceOrder), running
}

// Finished returns how many tasks have run to their end since the node booted.
func (n *Node) FinishedTasks() int { return n.finishedTasks }

// Advance does what is due by now.
func (n *Node) Advance(now Time) []Envelope {
	n.outgoing = nil
	n.advance(now)
	return n.outgoing
}

// Receive handles a frame of a scheduler. Frames of kinds that a node does not expect are ignored.
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

// Drain starts draining the node: it rejects new tasks from now on.
func (n *Node) Drain(now Time) []Envelope {
	n.outgoing = nil
	n.advance(now)
	n.draining, n.nextMigration = true, n.now+n.cfg.DrainMigrationInterval
	return n.outgoing
}

// Die ends the node and loses all its tasks. It sends nothing to their schedulers.
func (n *Node) Die() {
	n.dead = true
	for _, t := range n.tasksInAcceptanceOrder {
		n.releaseKey(t.spec)
	}
	n.tasks, n.tasksInAcceptanceOrder, n.waitingOffers, n.startingTasks = map[string]*task{}, nil, nil, 0
}

// Next returns when something is due next; math.MaxInt64 if nothing is.
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

// advance does what is due in the order of its time, so that one late call has the same effect as many on time.
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

// runDue does what is due at n.now.
func (n *Node) processDue() {
	if len(n.waitingOffers) > 0 && n.reviewEndsAt <= n.now {
		offer := n.waitingOffers[0]
		n.waitingOffers = n.waitingOffers[1:]
		n.reviewEndsAt = n.now + n.cfg.OfferReviewTime
		n.reviewOffer(offer)
	}
	for _, t := range slices.Clone(n.tasksInAcceptanceOrder) {
		switch {
		case n.tasks[t.attempt] != t: // ended meanwhile
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

// migratesTasks reports whether the node drains and ends its tasks one by one.
func (n *Node) migratesWhileDraining() bool { return n.draining && n.cfg.DrainMigrationInterval > 0 }
