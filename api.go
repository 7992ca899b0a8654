// Package flaxshelf decides where the tasks of services run on shared machines, for one scheduler among several. Its
// mechanism is the replay vote of the CAA policy; see docs/design.md.
//
// A host makes one Placer for each scheduler with New and passes it batches of events with Placer.Step, which returns the
// actions to execute. A Placer reads no clock, does no input or output and starts no goroutine. It is not safe for
// concurrent use; values of the other types are, as long as nothing changes them.
//
// # Files
//
// The interface of the package is in api.go, action_handler.go, config.go, policy_rules.go and enums.go; placer.go,
// machine.go and task.go hold the records. Every decision is in the other files, which deploy/balancer.toml lists as
// policy. The sets, columns and tables that the decisions read are kept by internal/machineindex.
package flaxshelf

import "time"

// Time is a reading of the host's clock. Its origin is arbitrary, and it never decreases.
type Time = time.Duration

// Idempotency is the effect of starting a task twice.
type Idempotency int

// The kinds of idempotency.
const (
	// Idempotent tasks may be started twice without harm.
	Idempotent Idempotency = iota
	// IdempotentByKey tasks have a key: the machines of one domain drop a task whose key they have seen recently.
	IdempotentByKey
	// NonIdempotent tasks must never be started twice.
	NonIdempotent
)

// TopologyDomain is the scope of an idempotency key or of a spread rule.
type TopologyDomain int

// The scopes, each wider than the one before.
const (
	// NoDomain means that there is no such key or rule.
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

// TaskClass is one class of tasks.
type TaskClass struct {
	Name        string
	Idempotency Idempotency
	// KeyDomain is the scope within which a second task of one key is dropped, for IdempotentByKey.
	KeyDomain TopologyDomain
	// KeyTTL is how long a key is remembered, from the send of the first attempt that may have run.
	KeyTTL time.Duration
	// LatencyObjective is the time from submission to start within which a start earns its full value.
	LatencyObjective time.Duration
	// PriorityWeight is the value of one second of full service.
	PriorityWeight float64
	// LateStartWeight is the fraction of its value that a start earns after the objective.
	LateStartWeight float64
	// StartValueSeconds is the value of a start within the objective, in seconds of full service.
	StartValueSeconds float64
	// FullServiceUtilization is the fraction of busy cores up to which tasks get full service.
	FullServiceUtilization float64
	// ServiceFadeRange is the range of the fraction of busy cores, beyond FullServiceUtilization, over which service falls to 0.
	ServiceFadeRange float64
	// Kind is the index in Config.Kinds of the required kind of machine; -1 means any.
	Kind     int
	Priority int
	// SpreadDomain is the scope of MaxPerDomain: NoDomain, MachineDomain, CellDomain or ZoneDomain.
	SpreadDomain TopologyDomain
	// MaxPerDomain is the most tasks of one service that this scheduler may have in one such domain.
	MaxPerDomain int
}

// MachineKind is one kind of machine.
type MachineKind struct {
	Name   string
	Cores  float64
	Memory float64 // in the unit of Task.Memory
}

// Tenant is a user of the shared fleet.
type Tenant struct {
	Name          string
	QuotaFraction float64 // of the fleet
	// TasksPerSecond is the rate of new tasks within its quota, over all schedulers; zero means unknown.
	TasksPerSecond float64
	// QuotaCores is the cores requested within its quota, over all schedulers; zero means unknown.
	QuotaCores float64
}

// Prices are points that are subtracted from the result; zero means free.
type Prices struct {
	CrossZone     float64
	Waste         float64
	HealthCheck   float64
	Gossip        float64
	Migration     float64
	Discovery     float64
	MachinesInUse float64
	Rejection     float64
	// EvictionMigrations is the price of an eviction or preemption, in migrations.
	EvictionMigrations float64
}

// Config is the settings of one scheduler and its fleet. Zero values mean unknown or not allowed.
//
// It has all settings that a deployment may have. At present the package does not use
// HedgedRequests, CanHealthCheck, CanGossip, CanRetryAfter, MaxRetryAfter, Preempts, ReportsUsage, AnswerSlack,
// Tenant.TasksPerSecond and Tenant.QuotaFraction.
type Config struct {
	// Index is this scheduler's number among Schedulers, from 0. It must differ between schedulers.
	Index      int
	Schedulers int
	Zone       string // of this scheduler
	Classes    []TaskClass
	Kinds      []MachineKind
	Tenants    []Tenant
	// OverQuotaWeight is the fraction of its value that a task beyond its tenant's quota earns; below 1, such tasks are
	// queued last.
	OverQuotaWeight float64
	Prices          Prices
	// CoreOvercommit is the multiple of its cores up to which a machine accepts tasks, by what they request.
	CoreOvercommit     float64
	MemoryOvercommit   float64 // the same for memory
	PlacedWhenRunning  bool    // AttemptPlaced means that the task runs, not only that it was accepted
	Preempts           bool    // machines preempt lower priorities
	ListsFreeCapacity  bool    // entries of the machine list carry free cores and memory
	ReportsUsage       bool    // load reports subtract what is used, not what is requested
	DiscoveryOnRequest bool    // changes of the machine list are sent only after Subscribe
	MaxAttempts        int     // for each task; zero means no limit
	HedgedRequests     bool    // two attempts of one task may be active at once
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
	// SlowStartDuration is the longest time after its start for which a machine is in slow start. The package adds an
	// OverloadWindow, for offers that are still counted then.
	SlowStartDuration time.Duration
	// OverloadWindow is the time within which offers to a machine in slow start are counted.
	OverloadWindow time.Duration
	// SlowStartBudget is the number of offers of all schedulers within OverloadWindow that a machine in slow start always
	// accepts without overload.
	SlowStartBudget float64
}

// Task is one request to place a task.
type Task struct {
	// ID is unique to the request.
	ID string
	// Key is the idempotency key. It is the same when the task is submitted again.
	Key             string
	Service         string
	Class           int // index in Config.Classes
	Tenant          int // index in Config.Tenants, or -1
	Cores           float64
	Memory          float64
	ExpectedRuntime time.Duration // remaining, roughly; zero means unknown
	Deadline        Time          // when its owner stops waiting for an answer
	Retry           bool          // the task has been requested before
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
	// Rejected is proof that the task never ran.
	Rejected
	// TimedOut means that there was no answer within the offer's time-out. The task may have started.
	TimedOut
	// Unreachable is proof that the task never ran.
	Unreachable
	// Lost means, after AttemptPlaced, that the task was evicted, preempted, drained away or lost with its machine, and
	// before it, that the reply broke off.
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
	// UnspecifiedReason means that the reason is unknown.
	UnspecifiedReason Reason = iota
	// InsufficientCores rejects a task for the cores that it requests.
	InsufficientCores
	// InsufficientMemory rejects a task for the memory that it requests.
	InsufficientMemory
	// QueueFull rejects a task whatever its size.
	QueueFull
	// UnsupportedTask rejects a task that the machine never accepts.
	UnsupportedTask
	// Evicted to free a resource that ran short.
	Evicted
	// Preempted by a task of higher priority.
	Preempted
	// DrainedAway because the machine leaves service.
	DrainedAway
)

// UsageKind is the quantity that a UsageReport measures.
type UsageKind int

// The kinds of usage.
const (
	// TaskRunning reports that the task has started.
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

// Event is one of the event types of this package, which report to a Placer what has happened.
type Event interface{ event() }

type (
	// MachinesUpdated reports entries of the machine list.
	MachinesUpdated struct {
		Machines []Machine
		Complete bool // it is the complete list, so other machines are removed
		Stale    bool // as last seen before this scheduler started; it may be out of date
	}
	// DiscoveryFailed reports that a request to discovery failed or the subscription broke off.
	DiscoveryFailed struct{}
	// TaskSubmitted requests that a task is placed.
	TaskSubmitted struct{ Task Task }
	// TaskAdopted reports a task that runs already, as its attempt 0.
	TaskAdopted struct {
		Task    Task
		Machine string
	}
	// AttemptPlaced reports that an attempt was accepted; with Config.PlacedWhenRunning, that it runs.
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
		Final   bool // the task needs no further answer
		Latency time.Duration
		Load    LoadReport
	}
	// UsageReport is a measurement of an active attempt.
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
	// GossipReceived delivers the data of another scheduler's SendGossip.
	GossipReceived struct {
		From int // Config.Index of the sender
		Data []byte
	}
	// TimerFired answers a SetTimer.
	TimerFired struct{}
	// TaskCanceled reports that the owner no longer needs the task.
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

// Action is one of the action types of this package, which a Placer requests of its host, see HandleActions.
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
	// Reject is a final answer that guarantees that a retry does no harm.
	Reject struct{ Task string }
	// Fail is a final answer without that guarantee.
	Fail struct{ Task string }
	// Migrate stops a placed task, so that its owner submits it again.
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
