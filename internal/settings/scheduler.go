package settings

// Class is the record #Class: a class of jobs.
type Class struct {
	Name                   string   `json:"Name"`
	Idempotency            string   `json:"Effect"`       // as the file has it; see ModuleIdempotency and CurrentIdempotency
	KeyDomain              string   `json:"Group"`        // in which copies of one key are dropped; see ModuleKeyDomain
	Kind                   string   `json:"Kind"`         // name of the Kind of machine that it requires; empty: any
	SpreadDomain           string   `json:"Spread"`       // domain of MaxPerDomain; empty: no limit
	KeyTTL                 Duration `json:"Window"`       // for which copies of one key are dropped, from the first send
	LatencyObjective       Duration `json:"Aim"`          // a start within it earns PriorityWeight
	PlacementTimeout       Duration `json:"Giveup"`       // a placement request ends after it
	PriorityWeight         float64  `json:"Worth"`        // of a start within LatencyObjective
	LateStartWeight        float64  `json:"LateWorth"`    // of a later start, as a fraction of PriorityWeight
	StartValueSeconds      float64  `json:"StartSeconds"` // seconds of service that a start in time is worth
	FullServiceUtilization float64  `json:"Calm"`         // fraction of cores in use up to which it has full service
	ServiceFadeRange       float64  `json:"Fade"`         // above it, the range in which service falls to none
	Priority               int      `json:"Priority"`     // 0 to 3; higher ones preempt lower ones
	MaxPerDomain           int      `json:"Most"`         // tasks of one service in one SpreadDomain, for each scheduler
	Cores                  float64  `json:"Cores"`        // of a job that requests none
	Memory                 float64  `json:"Memory"`       // in GiB, of a job that requests none
}

// Kind is the record #Kind: a kind of machine.
type Kind struct {
	Name   string  `json:"Name"`
	Cores  float64 `json:"Cores"`
	Memory float64 `json:"Memory"` // in GiB
}

// Tenant is the record #Tenant: a customer whose jobs share a quota.
type Tenant struct {
	Name           string  `json:"Name"`
	QuotaFraction  float64 `json:"Share"`      // of the fleet
	TasksPerSecond float64 `json:"PerSecond"`  // new tasks within its quota, over all schedulers; 0: no limit
	QuotaCores     float64 `json:"QuotaCores"` // over all schedulers; 0: no limit
}

// Rules is the record #Rules: settings that the schedulers, nodes and checkers of a deployment share.
type Rules struct {
	CoreOvercommit    float64  `json:"AcceptCores"`  // multiple of its cores that the tasks of a node may request
	MemoryOvercommit  float64  `json:"AcceptMemory"` // the same for memory
	Preempts          bool     `json:"Preempts"`     // nodes evict lower priorities for higher ones
	DrainGrace        Duration `json:"DrainGrace"`   // for which a draining node may still receive offers
	AnswerSlack       Duration `json:"AnswerSlack"`  // allowed after a deadline for the transmission of the answer
	SlowStartDuration Duration `json:"ColdFor"`      // maximum length of a node's slow start
	OverloadWindow    Duration `json:"FallWindow"`   // in which offers to a node in slow start are counted
	SettleTime        Duration `json:"Settle"`       // before a job may restart after an attempt of unknown outcome
	MaxAttempts       int      `json:"MaxAttempts"`  // of a placement request
	SlowStartBudget   float64  `json:"ColdOffers"`   // offers within OverloadWindow that never overload a node
}

// Limits is the record #Limits: the resources and timeouts of a scheduler.
type Limits struct {
	MaxPending          int      `json:"MaxOpen"`     // jobs whose placement request has no outcome
	MaxRunning          int      `json:"MaxJobs"`     // running jobs
	MaxFinished         int      `json:"MaxFinished"` // ended jobs that are retained for queries
	MaxSessions         int      `json:"MaxSessions"`
	MaxConnections      int      `json:"Connections"` // of clients
	MaxClientWriteQueue int      `json:"ClientOut"`   // bytes queued for a client that does not read
	MaxNodeWriteQueue   int      `json:"NodeOut"`     // bytes queued for a node that does not read
	Retention           Duration `json:"Retention"`   // of ended jobs
	IdleTimeout         Duration `json:"Idle"`        // after which a client without traffic is disconnected
	RequestTimeout      Duration `json:"Request"`     // for all bytes of a request to arrive
	ShutdownTimeout     Duration `json:"StopWithin"`  // of a graceful shutdown
}

// Scheduler is the record #Scheduler: the configuration of a daemon.
type Scheduler struct {
	Name               string   `json:"name"`
	ListenAddress      string   `json:"listen"`    // host:port for clients
	MetricsAddress     string   `json:"metrics"`   // host:port of the Prometheus metrics; empty: none
	InventoryAddress   string   `json:"inventory"` // host:port of the inventory
	Zone               string   `json:"zone"`
	LogLevel           string   `json:"log"`             // debug, info, warn or error
	ModuleRecording    string   `json:"moduleRecording"` // file that each step of the module is recorded to; empty: none
	Index              int      `json:"index"`           // of this scheduler, from 0 to Schedulers-1
	Schedulers         int      `json:"schedulers"`      // in the deployment
	Shards             int      `json:"cores"`           // each with a core and a module of its own
	Seed               uint64   `json:"seed"`            // of the random numbers; 0: from the time of the start
	Tick               Duration `json:"tick"`            // minimum time between two steps of the module
	ConnectTimeout     Duration `json:"connect"`         // of a connection to a node
	ListsFreeCapacity  bool     `json:"listsFree"`       // the inventory lists free cores and memory
	PlacedWhenRunning  bool     `json:"runsWhenPlaced"`  // a job is placed when it runs, not when a node accepts it
	OverQuotaWeight    float64  `json:"overShareWorth"`  // of a job over its tenant's quota, as a fraction of PriorityWeight
	CrossZonePrice     float64  `json:"crossZone"`       // price of a placement in another zone, in points
	MachinesInUsePrice float64  `json:"fleetPrice"`      // price of the machines in use, in points
	Classes            []Class  `json:"classes"`
	Kinds              []Kind   `json:"kinds"`
	Tenants            []Tenant `json:"tenants"`
	Rules              Rules    `json:"rules"`
	Limits             Limits   `json:"limits"`

	// DeprecatedRecording is ModuleRecording by its deprecated name. Reading a file sets ModuleRecording by it.
	DeprecatedModuleRecording string `json:"tap"`

	deprecations []Deprecation
}

// ReadScheduler reads the configuration of a daemon from a file. The error is ConfigErrors if the content is invalid.
func ReadScheduler(path string) (*Scheduler, error) {
	f, err := ReadFile(path, "#Scheduler", "")
	if err != nil {
		return nil, err
	}
	return f.decodeScheduler()
}

// ParseScheduler is ReadScheduler of text. name is the name of the file in errors.
func ParseScheduler(name string, text []byte) (*Scheduler, error) {
	f, err := Parse(name, text, "#Scheduler", "")
	if err != nil {
		return nil, err
	}
	return f.decodeScheduler()
}

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
			f.AddErrorf(elementPath("classes", i, "kind"), "no kind %q, expected one of kinds", c.Kind)
		}
		if c.LatencyObjective > c.PlacementTimeout {
			f.AddErrorf(elementPath("classes", i, "aim"), "is %v, expected at most giveup, which is %v",
				c.LatencyObjective.Duration(), c.PlacementTimeout.Duration())
		}
	}
	return s, f.Err()
}

func kindIndex(kinds []Kind, name string) int {
	for i, k := range kinds {
		if k.Name == name {
			return i
		}
	}
	return -1
}

// KindIndex returns the index of the kind with the name, or -1 if there is none.
func (s *Scheduler) KindIndex(name string) int { return kindIndex(s.Kinds, name) }

// ClassIndex returns the index of the class with the name, or -1 if there is none.
func (s *Scheduler) ClassIndex(name string) int {
	for i := range s.Classes {
		if s.Classes[i].Name == name {
			return i
		}
	}
	return -1
}

// TenantIndex returns the index of the tenant with the name, or -1 if there is none.
func (s *Scheduler) TenantIndex(name string) int {
	for i := range s.Tenants {
		if s.Tenants[i].Name == name {
			return i
		}
	}
	return -1
}
