package replay

import "time"

// The types of this file are the recording format, Version 1. Gob identifies the fields of a struct by their names, and the
// type of an event or action by the name under which newTypeRegistry registers it. These names must not change, even if the
// types and fields of package flaxshelf are renamed: the tag "model" then names the field of package flaxshelf that a field
// here stores. Enumerations are stored as their numbers.
//
// A new field of package flaxshelf needs only a field here: the conversions are derived from the types by reflection. Earlier
// builds ignore the new field. A field whose meaning changes needs a new Version.

// eventRecord is implemented by the records of events.
type eventRecord interface{ isEventRecord() }

// actionRecord is implemented by the records of actions.
type actionRecord interface{ isActionRecord() }

type headerRecord struct {
	Version int
	Config  configRecord
	Seed    uint64
}

type stepRecord struct {
	Now     time.Duration
	Events  []eventRecord
	Actions []actionRecord
}

type classRecord struct {
	Name         string
	Effect       int           `model:"Idempotency"`
	Group        int           `model:"KeyDomain"`
	Window       time.Duration `model:"KeyTTL"`
	Aim          time.Duration `model:"LatencyObjective"`
	Worth        float64       `model:"PriorityWeight"`
	LateWorth    float64       `model:"LateStartWeight"`
	StartSeconds float64       `model:"StartValueSeconds"`
	Calm         float64       `model:"FullServiceUtilization"`
	Fade         float64       `model:"ServiceFadeRange"`
	Kind         int
	Priority     int
	Spread       int `model:"SpreadDomain"`
	Most         int `model:"MaxPerDomain"`
}

type kindRecord struct {
	Name   string
	Cores  float64
	Memory float64
}

type tenantRecord struct {
	Name       string
	Share      float64 `model:"QuotaFraction"`
	PerSecond  float64 `model:"TasksPerSecond"`
	QuotaCores float64
}

type pricesRecord struct {
	CrossZone     float64
	Waste         float64
	Probe         float64 `model:"HealthCheck"`
	Message       float64 `model:"Gossip"`
	Moves         float64 `model:"Migration"`
	Discovery     float64
	Fleet         float64 `model:"MachinesInUse"`
	Refused       float64 `model:"Rejection"`
	EvictionMoves float64 `model:"EvictionMigrations"`
}

type configRecord struct {
	Index          int
	Schedulers     int
	Zone           string
	Classes        []classRecord
	Kinds          []kindRecord
	Tenants        []tenantRecord
	OverShareWorth float64 `model:"OverQuotaWeight"`
	Prices         pricesRecord
	AcceptCores    float64 `model:"CoreOvercommit"`
	AcceptMemory   float64 `model:"MemoryOvercommit"`
	RunsWhenPlaced bool    `model:"PlacedWhenRunning"`
	Preempts       bool
	ListsFree      bool `model:"ListsFreeCapacity"`
	ReportsUsed    bool `model:"ReportsUsage"`
	DiscoveryAsks  bool `model:"DiscoveryOnRequest"`
	MaxAttempts    int
	SecondCopies   bool `model:"HedgedRequests"`
	CanWithdraw    bool `model:"CanCancel"`
	CanProbe       bool `model:"CanHealthCheck"`
	CanMessage     bool `model:"CanGossip"`
	CanRetryAfter  bool
	MaxRetryAfter  time.Duration
	Tick           time.Duration
	ConnectTimeout time.Duration
	AnswerSlack    time.Duration
	DrainGrace     time.Duration
	AskWithin      time.Duration `model:"DiscoveryPollDeadline"`
	ColdFor        time.Duration `model:"SlowStartDuration"`
	FallWindow     time.Duration `model:"OverloadWindow"`
	ColdOffers     float64       `model:"SlowStartBudget"`
}

type taskRecord struct {
	ID         string
	Key        string
	Service    string
	Class      int
	Tenant     int
	Cores      float64
	Memory     float64
	Life       time.Duration `model:"ExpectedRuntime"`
	ValidUntil time.Duration `model:"Deadline"`
	Again      bool          `model:"Retry"`
}

type machineRecord struct {
	ID         string
	Kind       int
	Zone       string
	Cell       int
	State      int
	Started    time.Duration
	FreeCores  float64
	FreeMemory float64
}

type loadRecord struct {
	Told       bool `model:"Present"`
	FreeCores  float64
	FreeMemory float64
	HasCores   bool
	HasMemory  bool
}

type machinesUpdatedRecord struct {
	Machines []machineRecord
	Whole    bool `model:"Complete"`
	Stale    bool
}

type discoveryFailedRecord struct{}

type taskSubmittedRecord struct {
	Task taskRecord
}

type taskAdoptedRecord struct {
	Task    taskRecord
	Machine string
}

type attemptPlacedRecord struct {
	Task    string
	Machine string
	Attempt int
	Lag     time.Duration `model:"Latency"`
}

type attemptEndedRecord struct {
	Task    string
	Machine string
	Attempt int
	Verdict int `model:"Outcome"`
	Reason  int
	Done    bool          `model:"Final"`
	Lag     time.Duration `model:"Latency"`
	Load    loadRecord
}

type usageReportRecord struct {
	Task    string
	Machine string
	Attempt int
	Kind    int
	Amount  float64
}

type healthCheckedRecord struct {
	Machine string
	Verdict int `model:"Outcome"`
	Load    loadRecord
}

type gossipReceivedRecord struct {
	From int
	Data []byte
}

type timerFiredRecord struct{}

type taskCanceledRecord struct {
	Task string
}

type offerRecord struct {
	Task    string
	Machine string
	Timeout time.Duration
}

type cancelRecord struct {
	Task    string
	Attempt int
}

type rejectRecord struct {
	Task string
}

type failRecord struct {
	Task string
}

type migrateRecord struct {
	Task string
}

type healthCheckRecord struct {
	Machine string
}

type sendGossipRecord struct {
	Data []byte
}

type subscribeRecord struct{}

type setTimerRecord struct {
	After time.Duration
}

func (machinesUpdatedRecord) isEventRecord() {}
func (discoveryFailedRecord) isEventRecord() {}
func (taskSubmittedRecord) isEventRecord()   {}
func (taskAdoptedRecord) isEventRecord()     {}
func (attemptPlacedRecord) isEventRecord()   {}
func (attemptEndedRecord) isEventRecord()    {}
func (usageReportRecord) isEventRecord()     {}
func (healthCheckedRecord) isEventRecord()   {}
func (gossipReceivedRecord) isEventRecord()  {}
func (timerFiredRecord) isEventRecord()      {}
func (taskCanceledRecord) isEventRecord()    {}

func (offerRecord) isActionRecord()       {}
func (cancelRecord) isActionRecord()      {}
func (rejectRecord) isActionRecord()      {}
func (failRecord) isActionRecord()        {}
func (migrateRecord) isActionRecord()     {}
func (healthCheckRecord) isActionRecord() {}
func (sendGossipRecord) isActionRecord()  {}
func (subscribeRecord) isActionRecord()   {}
func (setTimerRecord) isActionRecord()    {}
