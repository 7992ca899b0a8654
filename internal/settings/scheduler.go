package settings

// Class is a class of jobs. Its definition in the schema is #Class.
type Class struct {
	Name                   string   `json:"Name"`
	Idempotency            string   `json:"Effect"`       // value of the file, may be deprecated; see ModuleIdempotency
	KeyDomain              string   `json:"Group"`        // domain whose nodes drop jobs with a known key
	Kind                   string   `json:"Kind"`         // name of the machine Kind that the jobs require; empty: any
	SpreadDomain           string   `json:"Spread"`       // topology domain that MaxPerDomain limits; empty: no limit
	KeyTTL                 Duration `json:"Window"`       // how long nodes remember a key, from the first send of its job
	LatencyObjective       Duration `json:"Aim"`          // a start within this time has the full PriorityWeight
	PlacementTimeout       Duration `json:"Giveup"`       // a placement request ends after this time
	PriorityWeight         float64  `json:"Worth"`        // weight of a start within LatencyObjective
	LateStartWeight        float64  `json:"LateWorth"`    // weight of a later start, as a fraction of PriorityWeight
	StartValueSeconds      float64  `json:"StartSeconds"` // value of a start within LatencyObjective, in seconds of full service
	FullServiceUtilization float64  `json:"Calm"`         // fraction of busy cores up to which jobs get full service
	ServiceFadeRange       float64  `json:"Fade"`         // service falls to 0 over this range above FullServiceUtilization
	Priority               int      `json:"Priority"`     // 0 to 3; jobs of higher priority preempt those of lower priority
	MaxPerDomain           int      `json:"Most"`         // jobs of one service that one scheduler may have in one domain
	Cores                  float64  `json:"Cores"`        // request of a job that specifies none
	Memory                 float64  `json:"Memory"`       // the same, in GiB
}

// Kind is a kind of machine. Its definition in the schema is #Kind.
type Kind struct {
	Name   string  `json:"Name"`
	Cores  float64 `json:"Cores"`
	Memory float64 `json:"Memory"` // in GiB
}

// Tenant is a customer whose jobs share a quota. Its definition in the schema is #Tenant.
type Tenant struct {
	Name           string  `json:"Name"`
	QuotaFraction  float64 `json:"Share"`      // quota as a fraction of the fleet
	TasksPerSecond float64 `json:"PerSecond"`  // quota of new tasks per second, over all schedulers; 0: no limit
	QuotaCores     float64 `json:"QuotaCores"` // quota of requested cores, over all schedulers; 0: no limit
}

// Rules are settings that must be the same for the schedulers, nodes and rule checkers of a deployment. Their definition in the
// schema is #Rules.
type Rules struct {
	CoreOvercommit    float64  `json:"AcceptCores"`  // total request of a node's tasks, as a multiple of its cores
	MemoryOvercommit  float64  `json:"AcceptMemory"` // the same for memory
	Preempts          bool     `json:"Preempts"`     // nodes evict tasks of lower priority to run those of higher priority
	DrainGrace        Duration `json:"DrainGrace"`   // how long a draining node may still receive offers
	AnswerSlack       Duration `json:"AnswerSlack"`  // time allowed after a deadline for the transmission of the answer
	SlowStartDuration Duration `json:"ColdFor"`      // maximum length of a node's slow start
	OverloadWindow    Duration `json:"FallWindow"`   // sliding window that counts offers to a node in slow start
	SettleTime        Duration `json:"Settle"`       // wait before a job restarts after an attempt of unknown outcome
	MaxAttempts       int      `json:"MaxAttempts"`  // maximum for one placement request
	SlowStartBudget   float64  `json:"ColdOffers"`   // offers within OverloadWindow that do not overload a node
}

// Limits are the resource limits and timeouts of a scheduler. Their definition in the schema is #Limits.
type Limits struct {
	MaxPending          int      `json:"MaxOpen"`     // jobs with a pending placement request
	MaxRunning          int      `json:"MaxJobs"`     // running jobs
	MaxFinished         int      `json:"MaxFinished"` // ended jobs that are kept for queries
	MaxSessions         int      `json:"MaxSessions"`
	MaxConnections      int      `json:"Connections"` // client connections
	MaxClientWriteQueue int      `json:"ClientOut"`   // bytes queued for one client that does not read
	MaxNodeWriteQueue   int      `json:"NodeOut"`     // bytes queued for one node that does not read
	Retention           Duration `json:"Retention"`   // how long ended jobs are kept
	IdleTimeout         Duration `json:"Idle"`        // a client without traffic is disconnected after this time
	RequestTimeout      Duration `json:"Request"`     // time in which all bytes of a request must arrive
	ShutdownTimeout     Duration `json:"StopWithin"`  // maximum duration of a graceful shutdown
}

// Scheduler is the configuration of a scheduler daemon. Its definition in the schema is #Scheduler.
type Scheduler struct {
	Name               string   `json:"name"`
	ListenAddress      string   `json:"listen"`    // host:port for client connections
	MetricsAddress     string   `json:"metrics"`   // host:port that serves Prometheus metrics; empty: disabled
	InventoryAddress   string   `json:"inventory"` // host:port of the inventory, the discovery service
	Zone               string   `json:"zone"`
	LogLevel           string   `json:"log"`             // debug, info, warn or error
	ModuleRecording    string   `json:"moduleRecording"` // file to which each step of the module is recorded; empty: none
	Index              int      `json:"index"`           // index of this scheduler, from 0 to Schedulers-1
	Schedulers         int      `json:"schedulers"`      // number of schedulers in the deployment
	Shards             int      `json:"cores"`           // number of shards; each has its own scheduler core and module
	Seed               uint64   `json:"seed"`            // seed of the random numbers; 0: derived from the start time
	Tick               Duration `json:"tick"`            // minimum time between two steps of the module
	ConnectTimeout     Duration `json:"connect"`         // timeout for connecting to a node
	ListsFreeCapacity  bool     `json:"listsFree"`       // the inventory reports free cores and memory
	PlacedWhenRunning  bool     `json:"runsWhenPlaced"`  // a job counts as placed once it runs, not once a node accepts it
	OverQuotaWeight    float64  `json:"overShareWorth"`  // weight of a job over its quota, as a fraction of PriorityWeight
	CrossZonePrice     float64  `json:"crossZone"`       // price of a placement in another zone, in points
	MachinesInUsePrice float64  `json:"fleetPrice"`      // price of the machines in use, in points
	Classes            []Class  `json:"classes"`
	Kinds              []Kind   `json:"kinds"`
	Tenants            []Tenant `json:"tenants"`
	Rules              Rules    `json:"rules"`
	Limits             Limits   `json:"limits"`

	// DeprecatedModuleRecording is the deprecated setting for ModuleRecording, to which it is copied if the file sets it.
	DeprecatedModuleRecording string `json:"tap"`

	deprecations []Deprecation
}

// ReadScheduler reads the configuration of a daemon from the file at path. The error is ConfigErrors if its content is invalid.
func ReadScheduler(path string) (*Scheduler, error) {
	f, err := ReadFile(path, "#Scheduler", "")
	if err != nil {
		return nil, err
	}
	return f.decodeScheduler()
}

// ParseScheduler is like ReadScheduler, but parses text. name is the name of the file in errors.
func ParseScheduler(name string, text []byte) (*Scheduler, error) {
	f, err := Parse(name, text, "#Scheduler", "")
	if err != nil {
		return nil, err
	}
	return f.decodeScheduler()
}

// decodeScheduler decodes the file as a Scheduler, checks what the schema can't (unique names, references to kinds, bounds that
// depend on another field) and applies deprecated settings.
func (f *File) decodeScheduler() (*Scheduler, error) {
	s := &Scheduler{}
	if err := f.Decode(s); err != nil {
		return nil, err
	}
	if s.Index >= s.Schedulers {
		f.AddErrorf("index", "is %d, expected below schedulers, which is %d", s.Index, s.Schedulers)
	}
	checkUniqueNames(f, "kinds", s.Kinds, func(k *Kind) string { return k.Name })
	checkUniqueNames(f, "classes", s.Classes, func(c *Class) string { return c.Name })
	checkUniqueNames(f, "tenants", s.Tenants, func(t *Tenant) string { return t.Name })
	s.replaceDeprecated(f)
	for i, c := range s.Classes {
		if c.Kind != "" && kindIndex(s.Kinds, c.Kind) < 0 {
			f.AddErrorf(elementPath("classes", i, "kind"), "no kind %q is defined, expected a name in the list \"kinds\"", c.Kind)
		}
		if c.LatencyObjective > c.PlacementTimeout {
			f.AddErrorf(elementPath("classes", i, "aim"), "is %v, expected at most the value of \"giveup\", which is %v",
				c.LatencyObjective.Duration(), c.PlacementTimeout.Duration())
		}
	}
	return s, f.Err()
}

// kindIndex returns the index of the kind with the given name, or -1 if there is none.
func kindIndex(kinds []Kind, name string) int {
	for i, k := range kinds {
		if k.Name == name {
			return i
		}
	}
	return -1
}

// KindIndex returns the index in Kinds of the kind with the given name, or -1 if there is none.
func (s *Scheduler) KindIndex(name string) int { return kindIndex(s.Kinds, name) }

// ClassIndex returns the index in Classes of the class with the given name, or -1 if there is none.
func (s *Scheduler) ClassIndex(name string) int {
	for i := range s.Classes {
		if s.Classes[i].Name == name {
			return i
		}
	}
	return -1
}

// TenantIndex returns the index in Tenants of the tenant with the given name, or -1 if there is none.
func (s *Scheduler) TenantIndex(name string) int {
	for i := range s.Tenants {
		if s.Tenants[i].Name == name {
			return i
		}
	}
	return -1
}
