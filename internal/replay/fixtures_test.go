package replay

import (
	"time"

	"flaxshelf.example/flaxshelf"
)

const storedSeed = 0x1234567890abcdef

// storedConfig returns the configuration of the recording allTypesFile, in which every field of that time is set. It must not
// change.
func storedConfig() flaxshelf.Config {
	return flaxshelf.Config{
		Index:      1,
		Schedulers: 2,
		Zone:       "zone-a",
		Classes:    storedClasses(),
		Kinds: []flaxshelf.MachineKind{
			{Name: "small", Cores: 8, Memory: 32},
			{Name: "large", Cores: 16, Memory: 64},
		},
		Tenants: []flaxshelf.Tenant{
			{Name: "t0", QuotaFraction: 0.75, TasksPerSecond: 20, QuotaCores: 60},
			{Name: "t1", QuotaFraction: 0.25, TasksPerSecond: 5, QuotaCores: 20},
		},
		OverQuotaWeight: 0.5,
		Prices: flaxshelf.Prices{
			CrossZone:          0.01,
			Waste:              0.02,
			HealthCheck:        0.03,
			Gossip:             0.04,
			Migration:          0.05,
			Discovery:          0.06,
			MachinesInUse:      0.07,
			Rejection:          0.08,
			EvictionMigrations: 2,
		},
		CoreOvercommit:        1.5,
		MemoryOvercommit:      1.25,
		PlacedWhenRunning:     true,
		Preempts:              true,
		ListsFreeCapacity:     true,
		ReportsUsage:          true,
		DiscoveryOnRequest:    true,
		MaxAttempts:           3,
		HedgedRequests:        true,
		CanCancel:             true,
		CanHealthCheck:        true,
		CanGossip:             true,
		CanRetryAfter:         true,
		MaxRetryAfter:         5 * time.Second,
		Tick:                  2 * time.Millisecond,
		ConnectTimeout:        100 * time.Millisecond,
		AnswerSlack:           50 * time.Millisecond,
		DrainGrace:            2 * time.Second,
		DiscoveryPollDeadline: 3 * time.Second,
		SlowStartDuration:     4 * time.Second,
		OverloadWindow:        time.Second,
		SlowStartBudget:       12,
	}
}

// storedClasses returns the classes of storedConfig.
func storedClasses() []flaxshelf.TaskClass {
	return []flaxshelf.TaskClass{
		{
			Name:                   "service",
			Idempotency:            flaxshelf.Idempotent,
			LatencyObjective:       time.Second,
			PriorityWeight:         3,
			LateStartWeight:        0.1,
			StartValueSeconds:      2,
			FullServiceUtilization: 0.8,
			ServiceFadeRange:       0.2,
			Kind:                   -1,
			Priority:               2,
			SpreadDomain:           flaxshelf.ZoneDomain,
			MaxPerDomain:           40,
		},
		{
			Name:                   "keyed",
			Idempotency:            flaxshelf.IdempotentByKey,
			KeyDomain:              flaxshelf.ZoneDomain,
			KeyTTL:                 2 * time.Second,
			LatencyObjective:       2 * time.Second,
			PriorityWeight:         2,
			LateStartWeight:        0.2,
			StartValueSeconds:      3,
			FullServiceUtilization: 0.9,
			ServiceFadeRange:       0.1,
			Kind:                   1,
			Priority:               1,
			SpreadDomain:           flaxshelf.CellDomain,
			MaxPerDomain:           30,
		},
		{
			Name:                   "ledger",
			Idempotency:            flaxshelf.NonIdempotent,
			LatencyObjective:       time.Second,
			PriorityWeight:         1,
			LateStartWeight:        0.3,
			StartValueSeconds:      1,
			FullServiceUtilization: 0.7,
			ServiceFadeRange:       0.3,
			Kind:                   -1,
			Priority:               3,
			SpreadDomain:           flaxshelf.MachineDomain,
			MaxPerDomain:           20,
		},
	}
}

// allEvents returns the events of the recording allTypesFile: each event type with every field set, then those that have fields
// again as zero values.
func allEvents() []flaxshelf.Event {
	task := flaxshelf.Task{ID: "id", Key: "key", Service: "service", Class: 1, Tenant: 1, Cores: 0.5, Memory: 1.5,
		ExpectedRuntime: 7 * time.Second, Deadline: 9 * time.Second, Retry: true}
	load := flaxshelf.LoadReport{Present: true, FreeCores: 2.5, FreeMemory: 3.5, HasCores: true, HasMemory: true}
	machine := flaxshelf.Machine{ID: "m", Kind: 1, Zone: "zone-b", Cell: 3, State: flaxshelf.Draining,
		Started: 5 * time.Second, FreeCores: 4.5, FreeMemory: 5.5}
	return []flaxshelf.Event{
		flaxshelf.MachinesUpdated{Machines: []flaxshelf.Machine{machine, {}}, Complete: true, Stale: true},
		flaxshelf.DiscoveryFailed{},
		flaxshelf.TaskSubmitted{Task: task},
		flaxshelf.TaskAdopted{Task: task, Machine: "m"},
		flaxshelf.AttemptPlaced{Task: "id", Machine: "m", Attempt: 2, Latency: time.Millisecond},
		flaxshelf.AttemptEnded{Task: "id", Machine: "m", Attempt: 2, Outcome: flaxshelf.Lost, Reason: flaxshelf.Preempted, Final: true,
			Latency: time.Millisecond, Load: load},
		flaxshelf.UsageReport{Task: "id", Machine: "m", Attempt: 2, Kind: flaxshelf.ServiceLevel, Amount: 0.75},
		flaxshelf.HealthChecked{Machine: "m", Outcome: flaxshelf.Unreachable, Load: load},
		flaxshelf.GossipReceived{From: 3, Data: []byte{1, 2, 3}},
		flaxshelf.TimerFired{},
		flaxshelf.TaskCanceled{Task: "id"},
		flaxshelf.MachinesUpdated{}, flaxshelf.TaskSubmitted{}, flaxshelf.TaskAdopted{}, flaxshelf.AttemptPlaced{},
		flaxshelf.AttemptEnded{}, flaxshelf.UsageReport{}, flaxshelf.HealthChecked{}, flaxshelf.GossipReceived{}, flaxshelf.TaskCanceled{},
	}
}

// allActions returns the actions of the recording allTypesFile, composed like allEvents.
func allActions() []flaxshelf.Action {
	return []flaxshelf.Action{
		flaxshelf.Offer{Task: "id", Machine: "m", Timeout: 50 * time.Millisecond},
		flaxshelf.Cancel{Task: "id", Attempt: 2},
		flaxshelf.Reject{Task: "id"},
		flaxshelf.Fail{Task: "id"},
		flaxshelf.Migrate{Task: "id"},
		flaxshelf.HealthCheck{Machine: "m"},
		flaxshelf.SendGossip{Data: []byte{4, 5, 6}},
		flaxshelf.Subscribe{},
		flaxshelf.SetTimer{After: time.Second},
		flaxshelf.Offer{}, flaxshelf.Cancel{}, flaxshelf.Reject{}, flaxshelf.Fail{}, flaxshelf.Migrate{}, flaxshelf.HealthCheck{},
		flaxshelf.SendGossip{}, flaxshelf.SetTimer{},
	}
}
