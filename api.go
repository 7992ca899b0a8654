// Package flaxshelf decides on which machines of a shared fleet the tasks of services run. Several schedulers may place
// tasks on the same machines; each decides by itself, with its own Placer. Among the machines that may take a task it
// chooses by the replay vote of the CAA policy, which is described in docs/design.md.
//
// A host makes one Placer for each scheduler with New and passes it batches of events with Placer.Step, which returns the
// actions to execute. A Placer reads no clock, does no input or output and starts no goroutine. It is not safe for
// concurrent use; values of the other types are, as long as nothing changes them.
//
// # Files
//
// The exported API is in api.go, action_handler.go, config.go, policy_rules.go and enums.go. The state of a Placer and its
// records of machines and tasks are in placer.go, machine.go and task.go, and the hooks for tests in observer.go. The other
// files make the decisions; deploy/balancer.toml lists them as policy. Package internal/machineindex keeps the sets,
// columns and tables that they read.
package flaxshelf

import "time"

// Time is a reading of the host's clock. Its origin is arbitrary, and it never decreases.
type Time = time.Duration

// Idempotency tells whether a task may be started twice.
type Idempotency int

// The kinds of idempotency.
const (
	// Idempotent tasks may be started twice without harm.
	Idempotent Idempotency = iota
	// IdempotentByKey tasks have a key: the machines of one TaskClass.KeyDomain drop a task whose key one of them has seen
	// within TaskClass.KeyTTL.
	IdempotentByKey
	// NonIdempotent tasks must never be started twice.
	NonIdempotent
)

// TopologyDomain is the set of machines for which an idempotency key or a spread limit holds.
type TopologyDomain int

// The domains, from the narrowest to the widest.
const (
	// NoDomain means that there is no such key or limit.
	NoDomain TopologyDomain = iota
	// MachineDomain is one machine.
	MachineDomain
	// CellDomain is all machines in one cell.
	CellDomain
	// ZoneDomain is all machines in one zone.
	ZoneDomain
	// FleetDomain is all machines of the fleet.
	FleetDomain
)

// TaskClass holds the settings that the tasks of one class share.
type TaskClass struct {
	Name        string
	Idempotency Idempotency
	// KeyDomain is where a second task with the same key is dropped. It is used with IdempotentByKey only.
	KeyDomain TopologyDomain
	// KeyTTL is how long machines remember a key, from when the first attempt that may have run was sent.
	KeyTTL time.Duration
	// LatencyObjective is the time from submission to start up to which a start earns its full value.
	LatencyObjective time.Duration
	// PriorityWeight is the value of one second in which a task gets full service.
	PriorityWeight float64
	// LateStartWeight is the fraction of its value that a start earns after the objective.
	LateStartWeight float64
	// StartValueSeconds is the value of a start within the objective, in seconds of full service.
	StartValueSeconds float64
	// FullServiceUtilization is the fraction of busy cores up to which tasks get full service.
	FullServiceUtilization float64
	// ServiceFadeRange is the excess of the fraction of busy cores over FullServiceUtilization at which service reaches 0.
	ServiceFadeRange float64
	// Kind is the index in Config.Kinds of the kind of machine that the tasks require; -1 means any kind.
	Kind     int
	Priority int
	// SpreadDomain is where MaxPerDomain limits tasks: NoDomain, MachineDomain, CellDomain or ZoneDomain.
	SpreadDomain TopologyDomain
	// MaxPerDomain is how many tasks of one service this scheduler may have in one such domain.
	MaxPerDomain int
}

// MachineKind is the size of the machines of one kind.
type MachineKind struct {
	Name   string
	Cores  float64
	Memory float64 // in the unit of Task.Memory
}

// Tenant is a user of the fleet, with a quota of it.
type Tenant struct {
	Name          string
	QuotaFraction float64 // fraction of the fleet
	// TasksPerSecond is the rate of new tasks that its quota covers, summed over all schedulers; zero means unknown.
	TasksPerSecond float64
	// QuotaCores is the number of requested cores that its quota covers, summed over all schedulers; zero means unknown.
	QuotaCores float64
}

// Prices are the points that each kind of cost subtracts from a run's score; zero means free.
type Prices struct {
	CrossZone     float64
	Waste         float64
	HealthCheck   float64
	Gossip        float64
	Migration     float64
	Discovery     float64
	MachinesInUse float64
	Rejection     float64
	// EvictionMigrations is the price of an eviction or preemption, as a multiple of the price of a migration.
	EvictionMigrations float64
}

// Config holds the settings of one scheduler and its fleet. A zero value means unknown or not allowed.
//
// It has all settings of a deployment, also those that only hosts read. The decisions of this package do not depend on Zone,
// PlacedWhenRunning, Preempts, ReportsUsage, HedgedRequests, CanHealthCheck, CanGossip, CanRetryAfter, MaxRetryAfter,
// ConnectTimeout, AnswerSlack and DrainGrace. Of Tenant they do not use TasksPerSecond and QuotaFraction, of TaskClass not
// PriorityWeight, LateStartWeight, FullServiceUtilization, ServiceFadeRange and Priority, and of Prices only MachinesInUse
// and Migration.
type Config struct {
	// Index is this scheduler's number, from 0 to Schedulers-1. No two schedulers may have the same one.
	Index      int
	Schedulers int
	Zone       string // of this scheduler
	Classes    []TaskClass
	Kinds      []MachineKind
	Tenants    []Tenant
	// OverQuotaWeight is the fraction of its value that a task beyond its tenant's quota earns. Where it is below 1, queued
	// tasks of tenants beyond their quota are served last.
	OverQuotaWeight float64
	Prices          Prices
	// CoreOvercommit is the ratio of requested cores to its own cores up to which a machine accepts tasks.
	CoreOvercommit     float64
	MemoryOvercommit   float64 // the same for memory
	PlacedWhenRunning  bool    // AttemptPlaced means that the task runs, not only that it was accepted
	Preempts           bool    // machines preempt tasks of lower priority
	ListsFreeCapacity  bool    // the machine list gives the free cores and memory of each machine
	ReportsUsage       bool    // in load reports, free means not used instead of not requested
	DiscoveryOnRequest bool    // changes of the machine list are sent only after Subscribe
	MaxAttempts        int     // per task; zero means no limit
	HedgedRequests     bool    // two attempts of one task may be active at the same time
	CanCancel          bool
	CanHealthCheck     bool
	CanGossip          bool
	CanRetryAfter      bool
	MaxRetryAfter      time.Duration
	Tick               time.Duration // shortest time between steps
	ConnectTimeout     time.Duration
	AnswerSlack        time.Duration
	DrainGrace         time.Duration
	// DiscoveryPollDeadline is how long an answer to Subscribe may take.
	DiscoveryPollDeadline time.Duration
	// SlowStartDuration is the longest time after its start for which a machine is in slow start. The package limits offers
	// for one OverloadWindow longer, because offers of the last window still count.
	SlowStartDuration time.Duration
	// OverloadWindow is the sliding window over which offers to a machine in slow start are counted.
	OverloadWindow time.Duration
	// SlowStartBudget is the number of offers of all schedulers together within OverloadWindow up to which a machine in slow
	// start is never overloaded.
	SlowStartBudget float64
}

// Task is a request to place a task on a machine.
type Task struct {
	// ID is unique to the request.
	ID string
	// Key is the idempotency key. A task that is submitted again keeps its key.
	Key             string
	Service         string
	Class           int // index in Config.Classes
	Tenant          int // index in Config.Tenants, or -1
	Cores           float64
	Memory          float64
	ExpectedRuntime time.Duration // estimate of the remaining run time; zero means unknown
	Deadline        Time          // when its owner stops waiting for an answer
	Retry           bool          // the task was submitted before
}

// MachineState is the state of a machine according to discovery.
type MachineState int

// The states of a machine.
const (
	// Active machines are in service.
	Active MachineState = iota
	// Draining machines accept no new tasks.
	Draining
	// Removed machines no longer exist.
	Removed
)

// Machine is one entry of the machine list.
type Machine struct {
	ID         string
	Kind       int // index in Config.Kinds, or -1
	Zone       string
	Cell       int
	State      MachineState
	Started    Time    // zero means long ago
	FreeCores  float64 // with Config.ListsFreeCapacity
	FreeMemory float64
}

// LoadReport is a machine's own report of its load.
type LoadReport struct {
	Present    bool // false where there is no report
	FreeCores  float64
	FreeMemory float64
	HasCores   bool // FreeCores is set
	HasMemory  bool // FreeMemory is set
}

// Outcome is how an attempt ended.
type Outcome int

// The outcomes.
const (
	// Completed means that the task ended by itself.
	Completed Outcome = iota
	// Failed means that the machine answered with an error. The task may have started.
	Failed
	// Rejected means that the machine refused the task, which proves that it never ran.
	Rejected
	// TimedOut means that the machine did not answer within Offer.Timeout. The task may have started.
	TimedOut
	// Unreachable means that the machine could not be reached, which proves that the task never ran.
	Unreachable
	// Lost means, after AttemptPlaced, that the task was evicted, preempted, drained away or lost with its machine. Before
	// AttemptPlaced it means that the reply broke off; the task may have started.
	Lost
	// Canceled means that the attempt was canceled on request.
	Canceled
	// NotSent means that the offer was not sent to the machine, which proves that the task never ran.
	NotSent
)

// Reason is why an attempt was Rejected or Lost.
type Reason int

// The reasons.
const (
	// UnspecifiedReason means that the reason is unknown.
	UnspecifiedReason Reason = iota
	// InsufficientCores means that the machine rejected the task for the cores that it requests.
	InsufficientCores
	// InsufficientMemory means that the machine rejected the task for the memory that it requests.
	InsufficientMemory
	// QueueFull means that the machine rejected the task regardless of its size.
	QueueFull
	// UnsupportedTask means that the machine never accepts this task.
	UnsupportedTask
	// Evicted means that the task was stopped to free a resource that ran short.
	Evicted
	// Preempted means that the task was stopped for one of higher priority.
	Preempted
	// DrainedAway means that the task was stopped because its machine leaves service.
	DrainedAway
)

// UsageKind is the quantity that a UsageReport measures.
type UsageKind int

// The kinds of usage.
const (
	// TaskRunning reports that the task has started.
	TaskRunning UsageKind = iota + 1
	// CoresUsed reports the cores that the task uses.
	CoresUsed
	// MemoryUsed reports the memory that the task uses.
	MemoryUsed
	// ServiceLevel reports the fraction of full service that the task gets.
	ServiceLevel
	// MemoryPressure reports the fraction of the machine's memory that is in use.
	MemoryPressure
)

// Event is one of the event types of this package. Events tell a Placer what has happened.
type Event interface{ event() }

type (
	// MachinesUpdated reports entries of the machine list.
	MachinesUpdated struct {
		Machines []Machine
		Complete bool // these are all machines; any other one was removed
		Stale    bool // the entries are from before this scheduler started and may be out of date
	}
	// DiscoveryFailed reports that a request to discovery failed or that the subscription broke off.
	DiscoveryFailed struct{}
	// TaskSubmitted requests the placement of a task.
	TaskSubmitted struct{ Task Task }
	// TaskAdopted reports a task that already runs on a machine. That run is the task's attempt 0.
	TaskAdopted struct {
		Task    Task
		Machine string
	}
	// AttemptPlaced reports that a machine accepted an attempt or, with Config.PlacedWhenRunning, that the attempt runs.
	AttemptPlaced struct {
		Task    string
		Machine string
		Attempt int
		Latency time.Duration // since the offer
	}
	// AttemptEnded reports how an attempt ended.
	AttemptEnded struct {
		Task    string
		Machine string
		Attempt int
		Outcome Outcome
		Reason  Reason
		Final   bool // the task needs no other final answer
		Latency time.Duration
		Load    LoadReport
	}
	// UsageReport reports a measurement of an active attempt.
	UsageReport struct {
		Task    string
		Machine string
		Attempt int
		Kind    UsageKind
		Amount  float64 // in the unit of Kind
	}
	// HealthChecked reports the result of a HealthCheck.
	HealthChecked struct {
		Machine string
		Outcome Outcome
		Load    LoadReport
	}
	// GossipReceived delivers the data that another scheduler sent with SendGossip.
	GossipReceived struct {
		From int // Config.Index of the sender
		Data []byte
	}
	// TimerFired reports that the time of a SetTimer has passed.
	TimerFired struct{}
	// TaskCanceled reports that the task's owner no longer needs it.
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

// Action is one of the action types of this package. Placer.Step returns them and the host executes them, see HandleActions.
type Action interface{ handle(ActionHandler) }

type (
	// Offer sends a task to a machine. Attempts are numbered from 0 in the order of their offers.
	Offer struct {
		Task    string
		Machine string
		Timeout time.Duration
	}
	// Cancel stops waiting for an attempt. The machine may still start it.
	Cancel struct {
		Task    string
		Attempt int
	}
	// Reject tells the task's owner that the task was not placed and that submitting it again does no harm.
	Reject struct{ Task string }
	// Fail tells the task's owner that the task was not placed, but may have run.
	Fail struct{ Task string }
	// Migrate stops a placed task so that its owner submits it again.
	Migrate struct{ Task string }
	// HealthCheck requests a load report from a machine.
	HealthCheck struct{ Machine string }
	// SendGossip sends data to all other schedulers.
	SendGossip struct{ Data []byte }
	// Subscribe requests that discovery sends changes of the machine list from now on.
	Subscribe struct{}
	// SetTimer requests a TimerFired event after the given time.
	SetTimer struct{ After time.Duration }
)
