// Package flaxshelf decides where the tasks of services run on shared machines, for one scheduler among several. Its
// mechanism is the replay vote of the CAA policy; see docs/design.md.
//
// A host makes one Placer for each scheduler with New and hands it batches of events with Placer.Step; the Placer answers
// with actions. It reads no clock, does no input or output and starts no goroutine. A Placer must not be used by several
// goroutines at once; values of the other types may be, as long as none changes them.
//
// This file is the interface of the package. Every decision is in the files that deploy/balancer.toml lists as policy.
package flaxshelf

import "time"

// Time is the time of the host's clock. It may begin at any value and only moves forward.
type Time = time.Duration

// Idempotency says what a second start of a task does.
type Idempotency int

// The kinds of idempotency.
const (
	// Idempotent: a second start does no harm.
	Idempotent Idempotency = iota
	// IdempotentByKey: the machines of one domain drop a task whose key they have seen lately.
	IdempotentByKey
	// NonIdempotent: the task must never be started twice.
	NonIdempotent
)

// TopologyDomain is the reach of an idempotency key or of a spread rule.
type TopologyDomain int

// The reaches, each wider than the one before.
const (
	// NoDomain: there is no such key or rule.
	NoDomain TopologyDomain = iota
	// MachineDomain is one machine.
	MachineDomain
	// CellDomain is all machines of one cell.
	CellDomain
	// ZoneDomain is all machines of one zone.
	ZoneDomain
	// FleetDomain is all machines.
	FleetDomain
)

// Class is one class of tasks.
type Class struct {
	Name        string
	Idempotency Idempotency
	// KeyDomain is where tasks of one key are dropped, for IdempotentByKey.
	KeyDomain TopologyDomain
	// KeyTTL is for how long, from the send of the first attempt that may have run.
	KeyTTL time.Duration
	// LatencyObjective is the time from submission to start within which a start earns its full worth.
	LatencyObjective time.Duration
	// PriorityWeight is the worth of one second of full service.
	PriorityWeight float64
	// LateStartWeight is the fraction of its worth that a start earns after the objective.
	LateStartWeight float64
	// StartValueSeconds is the worth of a start in time, in seconds of full service.
	StartValueSeconds float64
	// FullServiceUtilization is the fraction of busy cores up to which tasks get full service.
	FullServiceUtilization float64
	// ServiceFadeRange is the fraction of busy cores beyond it over which service falls to none.
	ServiceFadeRange float64
	// Kind is the index in Config.Kinds of the kind of machine that it needs, or -1.
	Kind     int
	Priority int
	// SpreadDomain bounds the tasks of one service: NoDomain, MachineDomain, CellDomain or ZoneDomain.
	SpreadDomain TopologyDomain
	// MaxPerDomain is how many tasks of one service this scheduler may have in one such domain.
	MaxPerDomain int
}

// Kind is one kind of machine.
type Kind struct {
	Name   string
	Cores  float64
	Memory float64 // in the unit of Task.Memory
}

// Tenant is one of those who share the fleet.
type Tenant struct {
	Name          string
	QuotaFraction float64 // of the fleet
	// TasksPerSecond is the new tasks a second within its quota, over all schedulers; 0: unknown.
	TasksPerSecond float64
	// QuotaCores is the cores requested within its quota, over all schedulers; 0: unknown.
	QuotaCores float64
}

// Prices are points taken off the result; 0 means that the thing is free.
type Prices struct {
	CrossZone   float64
	Waste       float64
	HealthCheck float64
	Gossip      float64
	Migration   float64
	Discovery   float64
	Fleet       float64 // machines in use
	Rejection   float64
	// EvictionMigrations is as how many migrations an eviction or preemption counts.
	EvictionMigrations float64
}

// Config is the settings of one scheduler and its fleet. Zero values mean unknown or not allowed.
//
// The module knows all settings that a deployment may have, and uses a part of them: at present it makes no use of
// HedgedRequests, CanHealthCheck, CanGossip, CanRetryAfter, MaxRetryAfter, Preempts, ReportsUsage, AnswerSlack,
// Tenant.TasksPerSecond and Tenant.QuotaFraction.
type Config struct {
	// Index is this scheduler's number among Schedulers, from 0. It must differ between schedulers.
	Index           int
	Schedulers      int
	Zone            string // of this scheduler
	Classes         []Class
	Kinds           []Kind
	Tenants         []Tenant
	OverQuotaWeight float64 // fraction of its worth that a task beyond its tenant's quota earns
	Prices          Prices
	// CoreOvercommit is the multiple of its cores up to which a machine accepts tasks, by what they request.
	CoreOvercommit     float64
	MemoryOvercommit   float64 // the same for memory
	PlacedWhenRunning  bool    // AttemptPlaced comes when the task runs, not when it is accepted
	Preempts           bool    // machines preempt lower priorities
	ListsFreeCapacity  bool    // entries of the machine list carry free cores and memory
	ReportsUsage       bool    // load reports subtract what is used, not what is requested
	DiscoveryOnRequest bool    // changes of the machine list come only after Subscribe
	MaxAttempts        int     // for each task; 0: no limit
	HedgedRequests     bool    // two attempts of one task may be active at once
	CanCancel          bool
	CanHealthCheck     bool
	CanGossip          bool
	CanRetryAfter      bool
	MaxRetryAfter      time.Duration
	Tick               time.Duration // least time between steps
	ConnectTimeout     time.Duration
	AnswerSlack        time.Duration
	DrainGrace         time.Duration
	// DiscoveryPollDeadline is how long an answer to Subscribe may take.
	DiscoveryPollDeadline time.Duration
	// SlowStartDuration is how long after its start a machine is in slow start at most; the module adds an OverloadWindow, for
	// offers that are still counted then.
	SlowStartDuration time.Duration
	// OverloadWindow is the time within which offers to a machine in slow start are counted.
	OverloadWindow time.Duration
	// SlowStartBudget is the offers of all schedulers within OverloadWindow that a machine in slow start always bears.
	SlowStartBudget float64
}

// Task is one request to place a task.
type Task struct {
	// ID is unique to the request.
	ID string
	// Key is the idempotency key, which stays the same when the task is submitted again.
	Key             string
	Service         string
	Class           int // index in Config.Classes
	Tenant          int // index in Config.Tenants, or -1
	Cores           float64
	Memory          float64
	ExpectedRuntime time.Duration // remaining, roughly; 0: unknown
	Deadline        Time          // when its owner gives up
	Retry           bool          // the task has been requested before
}

// MachineState is what discovery says of a machine.
type MachineState int

// The states of a machine.
const (
	// Active machines are in service.
	Active MachineState = iota
	// Draining machines take no new tasks.
	Draining
	// Removed machines are gone.
	Removed
)

// Machine is one entry of the machine list.
type Machine struct {
	ID         string
	Kind       int // index in Config.Kinds, or -1
	Zone       string
	Cell       int
	State      MachineState
	Started    Time    // 0: long ago
	FreeCores  float64 // with Config.ListsFreeCapacity
	FreeMemory float64
}

// LoadReport is a machine's own report of its load.
type LoadReport struct {
	Present    bool // false when no report came along
	FreeCores  float64
	FreeMemory float64
	HasCores   bool // FreeCores is set
	HasMemory  bool // FreeMemory is set
}

// Outcome is how an attempt ended.
type Outcome int

// The outcomes.
const (
	// Completed: the task ended by itself.
	Completed Outcome = iota
	// Failed: the machine answered with an error; the task may have started.
	Failed
	// Rejected is proof that the task never ran.
	Rejected
	// TimedOut: no answer came within the offer's time-out; the task may have started.
	TimedOut
	// Unreachable is proof that the task never ran.
	Unreachable
	// Lost after AttemptPlaced: evicted, preempted, drained away or lost; before it: the reply broke off.
	Lost
	// Canceled on request.
	Canceled
	// NotSent is proof that the task never ran.
	NotSent
)

// Reason details a Rejected or Lost attempt.
type Reason int

// The reasons.
const (
	// UnspecifiedReason: no reason is known.
	UnspecifiedReason Reason = iota
	// InsufficientCores rejects a task for the cores that it requests.
	InsufficientCores
	// InsufficientMemory rejects a task for the memory that it requests.
	InsufficientMemory
	// QueueFull rejects a task whatever its size.
	QueueFull
	// UnsupportedTask rejects a task that the machine never takes.
	UnsupportedTask
	// Evicted to free a resource that ran short.
	Evicted
	// Preempted by a task of higher priority.
	Preempted
	// DrainedAway because the machine leaves service.
	DrainedAway
)

// UsageKind says what a UsageReport measures.
type UsageKind int

// The kinds of usage.
const (
	// TaskRunning says that the task has started.
	TaskRunning UsageKind = iota + 1
	// CoresUsed by the task.
	CoresUsed
	// MemoryUsed by the task.
	MemoryUsed
	// ServiceLevel is the fraction of full service that the task gets.
	ServiceLevel
	// MemoryPressure is the fraction of its machine's memory in use.
	MemoryPressure
)

// Event is one of the event types of this package: something that has happened.
type Event interface{ event() }

type (
	// MachinesUpdated brings entries of the machine list.
	MachinesUpdated struct {
		Machines []Machine
		Complete bool // it is the complete list: other machines are removed
		Stale    bool // as last seen before this scheduler started; it may be out of date
	}
	// DiscoveryFailed says that a request to discovery failed or the subscription broke off.
	DiscoveryFailed struct{}
	// TaskSubmitted requests that a task is placed.
	TaskSubmitted struct{ Task Task }
	// TaskAdopted brings a task that runs already, as its attempt 0.
	TaskAdopted struct {
		Task    Task
		Machine string
	}
	// AttemptPlaced says that an attempt was accepted, or runs with Config.PlacedWhenRunning.
	AttemptPlaced struct {
		Task    string
		Machine string
		Attempt int
		Latency time.Duration // since the offer
	}
	// AttemptEnded says how an attempt ended.
	AttemptEnded struct {
		Task    string
		Machine string
		Attempt int
		Outcome Outcome
		Reason  Reason
		Final   bool // the task needs no further answer
		Latency time.Duration
		Load    LoadReport
	}
	// UsageReport measures an active attempt.
	UsageReport struct {
		Task    string
		Machine string
		Attempt int
		Kind    UsageKind
		Amount  float64 // in the unit of Kind
	}
	// HealthChecked answers a HealthCheck.
	HealthChecked struct {
		Machine string
		Outcome Outcome
		Load    LoadReport
	}
	// GossipReceived brings the data of another scheduler's SendGossip.
	GossipReceived struct {
		From int // Config.Index of the sender
		Data []byte
	}
	// TimerFired answers a SetTimer.
	TimerFired struct{}
	// TaskCanceled says that the owner needs the task no more.
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

// Action is one of the action types of this package: something that the host has to do, see HandleActions.
type Action interface{ handle(ActionHandler) }

type (
	// Offer sends a task to a machine. Attempts are numbered from 0 in the order of their offers.
	Offer struct {
		Task    string
		Machine string
		Timeout time.Duration
	}
	// Cancel stops waiting for an attempt; the machine may start it all the same.
	Cancel struct {
		Task    string
		Attempt int
	}
	// Reject is a final answer which promises that a retry does no harm.
	Reject struct{ Task string }
	// Fail is a final answer without that promise.
	Fail struct{ Task string }
	// Migrate stops a placed task so that its owner submits it again.
	Migrate struct{ Task string }
	// HealthCheck requests a load report from a machine.
	HealthCheck struct{ Machine string }
	// SendGossip sends data to all other schedulers.
	SendGossip struct{ Data []byte }
	// Subscribe requests changes of the machine list from now on.
	Subscribe struct{}
	// SetTimer requests a TimerFired event.
	SetTimer struct{ After time.Duration }
)
