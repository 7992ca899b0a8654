// Package flaxshelf decides where the tasks of services run on shared machines, for one scheduler among
// several. Its mechanism is the replay vote of the CAA policy; see docs/design.md.
//
// This file is the whole interface. A host makes one Placer for each scheduler with New and hands it
// batches of events with Step; the Placer answers with actions. It keeps no clock and does no I/O.
package flaxshelf

import "time"

// Time is the host's clock: any starting value, only moving forward.
type Time = time.Duration

// Effect says what a second start of a task does.
type Effect int

const (
	Safe   Effect = iota // a second start does no harm
	Keyed                // machines of one group drop repeats for a while
	Unsafe               // must never be started twice
)

// Extent is the reach of a key group or of a spread rule.
type Extent int

const (
	Nowhere Extent = iota // no such rule
	OnMachine
	InCell
	InZone
	Everywhere
)

// Class is one class of task.
type Class struct {
	Name         string
	Effect       Effect
	Group        Extent        // Keyed: where repeats are dropped
	Window       time.Duration // Keyed: for how long, from the send of the first attempt that may have run
	Aim          time.Duration // a start within this earns its full worth
	Worth        float64       // of one second of full service
	LateWorth    float64       // share of a start's worth after the aim
	StartSeconds float64       // seconds of service that a start in time is worth
	Calm, Fade   float64       // served in full up to Calm of the cores busy, not at all from Calm+Fade
	Kind         int           // index of the machine kind that it needs, or -1
	Priority     int
	Spread       Extent // Nowhere, OnMachine, InCell or InZone
	Most         int    // tasks of one service that this scheduler may have in one such place
}

// Kind is one kind of machine.
type Kind struct {
	Name          string
	Cores, Memory float64
}

// Tenant is one of those who share the fleet.
type Tenant struct {
	Name       string
	Share      float64
	PerSecond  float64 // new tasks a second within its share, over all schedulers; 0: not told
	QuotaCores float64 // cores asked for within its share, over all schedulers; 0: not told
}

// Prices are points taken off the result; 0 means that the thing is free.
type Prices struct {
	CrossZone, Waste, Probe, Message, Moves, Discovery, Fleet, Refused float64
	// EvictionMoves: an eviction or push-out counts as so many moves.
	EvictionMoves float64
}

// Config is what a scheduler is told when it starts. Zero values mean "not told" or "not allowed".
type Config struct {
	Index, Schedulers int
	Zone              string
	Classes           []Class
	Kinds             []Kind
	Tenants           []Tenant
	OverShareWorth    float64
	Prices            Prices
	AcceptCores       float64 // a machine accepts until its tasks ask for this multiple of its cores
	AcceptMemory      float64
	RunsWhenPlaced    bool // Placed comes when the task runs, not when it is accepted
	Preempts          bool // machines push out lower priorities to make room
	ListsFree         bool // list entries carry free cores and memory
	ReportsUsed       bool // load reports subtract what is used, not what is asked
	DiscoveryAsks     bool // changes of the list come only after Subscribe
	MaxAttempts       int  // for each ask; 0: no limit told
	SecondCopies      bool // two attempts of one task may be out together
	CanWithdraw       bool
	CanProbe          bool
	CanMessage        bool
	CanRetryAfter     bool
	MaxRetryAfter     time.Duration
	Tick              time.Duration // least time between batches
	ConnectTimeout    time.Duration
	AnswerSlack       time.Duration
	DrainGrace        time.Duration
	AskWithin         time.Duration
	ColdFor           time.Duration // a machine is warm this long after its start at the latest
	FallWindow        time.Duration
	ColdOffers        float64 // offers within FallWindow, of all schedulers, that a cold machine always bears
}

// Task is one ask to place a task. ID is fresh for each ask, Key stays the same.
type Task struct {
	ID, Key, Service string
	Class            int // index in Config.Classes
	Tenant           int // index in Config.Tenants, or -1
	Cores, Memory    float64
	Life             time.Duration // how long it should still run, roughly; 0: not told
	ValidUntil       Time          // when its owner gives up
	Again            bool
}

// State is what discovery says of a machine.
type State int

const (
	In State = iota
	Draining
	Out
)

// Machine is one entry of the machine list.
type Machine struct {
	ID                    string
	Kind                  int // index in Config.Kinds, or -1
	Zone                  string
	Cell                  int
	State                 State
	Started               Time // 0: long ago
	FreeCores, FreeMemory float64
}

// Load is a machine's own report. Told is false when none came along.
type Load struct {
	Told                  bool
	FreeCores, FreeMemory float64
	HasCores, HasMemory   bool
}

// Verdict is how an attempt ended.
type Verdict int

const (
	Finished Verdict = iota
	Failed           // the machine answered with an error; it may have started
	Refused          // proof that it never ran
	TimedOut
	Unreachable // proof that it never ran
	Lost        // after Placed: evicted, pushed out, sent away or lost; before: the reply broke off
	Withdrawn
	NotSent // proof that it never ran
)

// Reason tells more of a Refused or Lost attempt.
type Reason int

const (
	Untold Reason = iota
	NoCores
	NoMemory
	TooManyWait
	NotHere
	Evicted
	PushedOut
	SentAway
)

// NoteKind says what a Note tells.
type NoteKind int

const (
	Runs        NoteKind = iota + 1
	CoresUsed            // by the task
	MemoryUsed           // by the task
	Served               // share of full service that the task gets
	MemoryShort          // share of its machine's memory in use
)

// Event is one of the event types below.
type Event interface{ event() }

type (
	// Listed brings the machine list: all of it, or what changed.
	Listed struct {
		Machines []Machine
		Whole    bool
		Stale    bool // the first list, as it was when last seen
	}
	// ListFailed tells that a call to discovery failed or the subscription dropped.
	ListFailed struct{}
	// Place asks for a task to be placed.
	Place struct{ Task Task }
	// Running hands over a task that runs already; attempt 0 counts as made.
	Running struct {
		Task    Task
		Machine string
	}
	// Placed tells that the attempt was accepted (or runs, with Config.RunsWhenPlaced).
	Placed struct {
		Task, Machine string
		Attempt       int
		Lag           time.Duration
	}
	// Ended tells how an attempt ended. Done: the task needs no further answer.
	Ended struct {
		Task, Machine string
		Attempt       int
		Verdict       Verdict
		Reason        Reason
		Done          bool
		Lag           time.Duration
		Load          Load
	}
	// Note is news of an attempt that is out.
	Note struct {
		Task, Machine string
		Attempt       int
		Kind          NoteKind
		Amount        float64
	}
	// Probed answers a Probe.
	Probed struct {
		Machine string
		Verdict Verdict
		Load    Load
	}
	// Message comes from another scheduler.
	Message struct {
		From int
		Data []byte
	}
	// Woken answers a Wake.
	Woken struct{}
	// Gone tells that a task is no longer wanted.
	Gone struct{ Task string }
)

func (Listed) event()     {}
func (ListFailed) event() {}
func (Place) event()      {}
func (Running) event()    {}
func (Placed) event()     {}
func (Ended) event()      {}
func (Note) event()       {}
func (Probed) event()     {}
func (Message) event()    {}
func (Woken) event()      {}
func (Gone) event()       {}

// Action is one of the action types below.
type Action interface{ action() }

type (
	// Offer sends a task to a machine. Attempts are numbered from 0 in the order of their offers.
	Offer struct {
		Task, Machine string
		Timeout       time.Duration
	}
	// Withdraw stops waiting for an attempt; the machine may still start it.
	Withdraw struct {
		Task    string
		Attempt int
	}
	// Refuse is a final answer: a retry does no harm.
	Refuse struct{ Task string }
	// Fail is a final answer without that promise.
	Fail struct{ Task string }
	// Move stops a placed task so that it comes again.
	Move struct{ Task string }
	// Probe asks a machine for a report.
	Probe struct{ Machine string }
	// Tell sends data to all other schedulers.
	Tell struct{ Data []byte }
	// Subscribe asks discovery for changes from now on.
	Subscribe struct{}
	// Wake asks for a Woken event.
	Wake struct{ After time.Duration }
)

func (Offer) action()     {}
func (Withdraw) action()  {}
func (Refuse) action()    {}
func (Fail) action()      {}
func (Move) action()      {}
func (Probe) action()     {}
func (Tell) action()      {}
func (Subscribe) action() {}
func (Wake) action()      {}
