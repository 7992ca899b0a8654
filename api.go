// Package flaxshelf decides where the tasks of services run on shared machines, for one scheduler among
// several. Its mechanism is the replay vote of the CAA policy; see docs/design.md.
//
// This file is the whole interface. A host makes one Placer for each scheduler with New and hands it
// batches of events with Step; the Placer answers with actions. It keeps no clock and does no I/O.
package flaxshelf

import "time"

// Time is the host's clock: any starting value, only moving forward.
type Time = time.Duration

// Idempotency says what a second start of a task does.
type Idempotency int

const (
	Idempotent      Idempotency = iota // a second start does no harm
	IdempotentByKey                    // machines of one group drop repeats for a while
	NonIdempotent                      // must never be started twice
)

// TopologyDomain is the reach of a key group or of a spread rule.
type TopologyDomain int

const (
	NoDomain TopologyDomain = iota // no such rule
	MachineDomain
	CellDomain
	ZoneDomain
	FleetDomain
)

// Class is one class of task.
type Class struct {
	Name                   string
	Idempotency            Idempotency
	KeyDomain              TopologyDomain // Keyed: where repeats are dropped
	KeyTTL                 time.Duration  // for how long, from the send of the first attempt that may have run
	LatencyObjective       time.Duration  // a start within this earns its full worth
	PriorityWeight         float64        // of one second of full service
	LateStartWeight        float64        // share of a start's worth after the aim
	StartValueSeconds      float64        // seconds of service that a start in time is worth
	FullServiceUtilization float64        // share of busy cores up to which tasks get full service
	ServiceFadeRange       float64        // share beyond it over which service falls to none
	Kind                   int            // index of the machine kind that it needs, or -1
	Priority               int
	SpreadDomain           TopologyDomain // Nowhere, OnMachine, InCell or InZone
	MaxPerDomain           int            // tasks of one service that this scheduler may have in one such place
}

// Kind is one kind of machine.
type Kind struct {
	Name          string
	Cores, Memory float64
}

// Tenant is one of those who share the fleet.
type Tenant struct {
	Name           string
	QuotaFraction  float64
	TasksPerSecond float64 // new tasks a second within its share, over all schedulers; 0: not told
	QuotaCores     float64 // cores asked for within its share, over all schedulers; 0: not told
}

// Prices are points taken off the result; 0 means that the thing is free.
type Prices struct {
	CrossZone, Waste, HealthCheck, Gossip, Migration, Discovery, Fleet, Rejection float64
	// EvictionMigrations: an eviction or push-out counts as so many moves.
	EvictionMigrations float64
}

// Config is what a scheduler is told when it starts. Zero values mean "not told" or "not allowed".
type Config struct {
	Index, Schedulers     int
	Zone                  string
	Classes               []Class
	Kinds                 []Kind
	Tenants               []Tenant
	OverQuotaWeight       float64
	Prices                Prices
	CoreOvercommit        float64 // a machine accepts until its tasks ask for this multiple of its cores
	MemoryOvercommit      float64
	PlacedWhenRunning     bool // Placed comes when the task runs, not when it is accepted
	Preempts              bool // machines push out lower priorities to make room
	ListsFreeCapacity     bool // list entries carry free cores and memory
	ReportsUsage          bool // load reports subtract what is used, not what is asked
	DiscoveryOnRequest    bool // changes of the list come only after Subscribe
	MaxAttempts           int  // for each ask; 0: no limit told
	HedgedRequests        bool // two attempts of one task may be out together
	CanCancel             bool
	CanHealthCheck        bool
	CanGossip             bool
	CanRetryAfter         bool
	MaxRetryAfter         time.Duration
	Tick                  time.Duration // least time between batches
	ConnectTimeout        time.Duration
	AnswerSlack           time.Duration
	DrainGrace            time.Duration
	DiscoveryPollDeadline time.Duration
	SlowStartDuration     time.Duration // a machine is warm this long after its start at the latest
	OverloadWindow        time.Duration
	SlowStartBudget       float64 // offers within FallWindow, of all schedulers, that a cold machine always bears
}

// Task is one ask to place a task. ID is fresh for each ask, Key stays the same.
type Task struct {
	ID, Key, Service string
	Class            int // index in Config.Classes
	Tenant           int // index in Config.Tenants, or -1
	Cores, Memory    float64
	ExpectedRuntime  time.Duration // how long it should still run, roughly; 0: not told
	Deadline         Time          // when its owner gives up
	Retry            bool
}

// MachineState is what discovery says of a machine.
type MachineState int

const (
	Active MachineState = iota
	Draining
	Removed
)

// Machine is one entry of the machine list.
type Machine struct {
	ID                    string
	Kind                  int // index in Config.Kinds, or -1
	Zone                  string
	Cell                  int
	State                 MachineState
	Started               Time // 0: long ago
	FreeCores, FreeMemory float64
}

// LoadReport is a machine's own report. Told is false when none came along.
type LoadReport struct {
	Present               bool
	FreeCores, FreeMemory float64
	HasCores, HasMemory   bool
}

// Outcome is how an attempt ended.
type Outcome int

const (
	Completed Outcome = iota
	Failed            // the machine answered with an error; it may have started
	Rejected          // proof that it never ran
	TimedOut
	Unreachable // proof that it never ran
	Lost        // after Placed: evicted, pushed out, sent away or lost; before: the reply broke off
	Canceled
	NotSent // proof that it never ran
)

// Reason tells more of a Refused or Lost attempt.
type Reason int

const (
	UnspecifiedReason Reason = iota
	InsufficientCores
	InsufficientMemory
	QueueFull
	UnsupportedTask
	Evicted
	Preempted
	DrainedAway
)

// UsageKind says what a Note tells.
type UsageKind int

const (
	TaskRunning    UsageKind = iota + 1
	CoresUsed                // by the task
	MemoryUsed               // by the task
	ServiceLevel             // share of full service that the task gets
	MemoryPressure           // share of its machine's memory in use
)

// Event is one of the event types below.
type Event interface{ event() }

type (
	// MachinesUpdated brings the machine list: all of it, or what changed.
	MachinesUpdated struct {
		Machines []Machine
		Complete bool
		Stale    bool // the first list, as it was when last seen
	}
	// DiscoveryFailed tells that a call to discovery failed or the subscription dropped.
	DiscoveryFailed struct{}
	// TaskSubmitted asks for a task to be placed.
	TaskSubmitted struct{ Task Task }
	// TaskAdopted hands over a task that runs already; attempt 0 counts as made.
	TaskAdopted struct {
		Task    Task
		Machine string
	}
	// AttemptPlaced tells that the attempt was accepted (or runs, with Config.RunsWhenPlaced).
	AttemptPlaced struct {
		Task, Machine string
		Attempt       int
		Latency       time.Duration
	}
	// AttemptEnded tells how an attempt ended. Done: the task needs no further answer.
	AttemptEnded struct {
		Task, Machine string
		Attempt       int
		Outcome       Outcome
		Reason        Reason
		Final         bool
		Latency       time.Duration
		Load          LoadReport
	}
	// UsageReport is news of an attempt that is out.
	UsageReport struct {
		Task, Machine string
		Attempt       int
		Kind          UsageKind
		Amount        float64
	}
	// HealthChecked answers a Probe.
	HealthChecked struct {
		Machine string
		Outcome Outcome
		Load    LoadReport
	}
	// GossipReceived comes from another scheduler.
	GossipReceived struct {
		From int
		Data []byte
	}
	// TimerFired answers a Wake.
	TimerFired struct{}
	// TaskCanceled tells that a task is no longer wanted.
	TaskCanceled struct{ Task string }
)

func (MachinesUpdated) event() {}
func (DiscoveryFailed) event() {}
func (TaskSubmitted) event()   {}
func (TaskAdopted) event()     {}
func (AttemptPlaced) event()   {}
func (AttemptEnded) event()    {}
func (UsageReport) event()     {}
func (HealthChecked) event()   {}
func (GossipReceived) event()  {}
func (TimerFired) event()      {}
func (TaskCanceled) event()    {}

// Action is one of the action types below.
type Action interface{ action() }

type (
	// Offer sends a task to a machine. Attempts are numbered from 0 in the order of their offers.
	Offer struct {
		Task, Machine string
		Timeout       time.Duration
	}
	// Cancel stops waiting for an attempt; the machine may still start it.
	Cancel struct {
		Task    string
		Attempt int
	}
	// Reject is a final answer: a retry does no harm.
	Reject struct{ Task string }
	// Fail is a final answer without that promise.
	Fail struct{ Task string }
	// Migrate stops a placed task so that it comes again.
	Migrate struct{ Task string }
	// HealthCheck asks a machine for a report.
	HealthCheck struct{ Machine string }
	// SendGossip sends data to all other schedulers.
	SendGossip struct{ Data []byte }
	// Subscribe asks discovery for changes from now on.
	Subscribe struct{}
	// SetTimer asks for a Woken event.
	SetTimer struct{ After time.Duration }
)

func (Offer) action()       {}
func (Cancel) action()      {}
func (Reject) action()      {}
func (Fail) action()        {}
func (Migrate) action()     {}
func (HealthCheck) action() {}
func (SendGossip) action()  {}
func (Subscribe) action()   {}
func (SetTimer) action()    {}
