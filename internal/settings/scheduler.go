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

// Tenant is the record #Tenant: who pays for jobs.
type Tenant struct {
	Name           string  `json:"Name"`
	QuotaFraction  float64 `json:"Share"`      // of the fleet
	TasksPerSecond float64 `json:"PerSecond"`  // new tasks within its quota, over all schedulers; 0: no limit
	QuotaCores     float64 `json:"QuotaCores"` // over all schedulers; 0: no limit
}

// Rules is the record #Rules: the figures that schedulers, nodes and checkers of one deployment share.
type Rules struct {
	CoreOvercommit    float64  `json:"AcceptCores"`  // nodes accept until their tasks request this multiple of their cores
	MemoryOvercommit  float64  `json:"AcceptMemory"` // the same for memory
	Preempts          bool     `json:"Preempts"`     // nodes evict lower priorities for higher ones
	DrainGrace        Duration `json:"DrainGrace"`   // after a node starts to drain, in which it may still receive offers
	AnswerSlack       Duration `json:"AnswerSlack"`  // allowed beyond a deadline for an answer on its way
	SlowStartDuration Duration `json:"ColdFor"`      // after which a node is warm at the latest
	OverloadWindow    Duration `json:"FallWindow"`   // in which offers to a node in slow start are counted
	SettleTime        Duration `json:"Settle"`       // for an attempt of unknown outcome before its job may start anew
	MaxAttempts       int      `json:"MaxAttempts"`  // of a placement request
	SlowStartBudget   float64  `json:"ColdOffers"`   // offers within OverloadWindow that each node withstands
}

// Limits is the record #Limits: what one scheduler holds at most, and for how long.
type Limits struct {
	MaxPending          int      `json:"MaxOpen"`     // jobs without an outcome
	MaxRunning          int      `json:"MaxJobs"`     // jobs that run
	MaxFinished         int      `json:"MaxFinished"` // ended jobs that are retained for their owners
	MaxSessions         int      `json:"MaxSessions"`
	MaxConnections      int      `json:"Connections"` // of clients
	MaxClientWriteQueue int      `json:"ClientOut"`   // bytes queued for a client that does not read
	MaxNodeWriteQueue   int      `json:"NodeOut"`     // bytes queued for a node that does not read
	Retention           Duration `json:"Retention"`   // of ended jobs
	IdleTimeout         Duration `json:"Idle"`        // a client that sends nothing for so long is disconnected
	RequestTimeout      Duration `json:"Request"`     // within which a request is complete
	ShutdownTimeout     Duration `json:"StopWithin"`  // of a graceful shutdown
}

// Scheduler is the record #Scheduler: the configuration of one daemon.
type Scheduler struct {
	Name              string   `json:"name"`
	ListenAddress     string   `json:"listen"`    // host:port for clients
	MetricsAddress    string   `json:"metrics"`   // host:port of the Prometheus metrics; empty: none
	InventoryAddress  string   `json:"inventory"` // host:port of the inventory
	Zone              string   `json:"zone"`
	LogLevel          string   `json:"log"`             // debug, info, warn or error
	ModuleRecording   string   `json:"moduleRecording"` // file that each step of the module is recorded to; empty: none
	Index             int      `json:"index"`           // of this scheduler, from 0 to Schedulers-1
	Schedulers        int      `json:"schedulers"`      // in the deployment
	Shards            int      `json:"cores"`           // that decide, each as a scheduler of its own to the module
	Seed              uint64   `json:"seed"`            // of the random numbers; 0: from the time of the start
	Tick              Duration `json:"tick"`            // least time between two steps of the module
	ConnectTimeout    Duration `json:"connect"`         // of a connection to a node
	ListsFreeCapacity bool     `json:"listsFree"`       // the inventory lists free cores and memory
	PlacedWhenRunning bool     `json:"runsWhenPlaced"`  // a job is placed when it runs, not when a node accepts it
	OverQuotaWeight   float64  `json:"overShareWorth"`  // of a job beyond its tenant's quota, as a fraction of PriorityWeight
	CrossZonePrice    float64  `json:"crossZone"`       // points that a placement in another zone costs
	FleetPrice        float64  `json:"fleetPrice"`      // price, in points, of the machines in use
	Classes           []Class  `json:"classes"`
	Kinds             []Kind   `json:"kinds"`
	Tenants           []Tenant `json:"tenants"`
	Rules             Rules    `json:"rules"`
	Limits            Limits   `json:"limits"`

	// DeprecatedRecording is ModuleRecording by its deprecated name. Reading a file sets ModuleRecording by it.
	DeprecatedRecording string `json:"tap"`

	deprecations []Deprecation
}

// ReadScheduler reads the configuration of a daemon. Errors are ConfigErrors, or of reading the file.
func ReadScheduler(path string) (*Scheduler, error) {
	f, err := ReadFile(path, "#Scheduler", "")
	if err != nil {
		return nil, err
	}
	return f.scheduler()
}

// ParseScheduler is ReadScheduler of text; errors name it as the file.
func ParseScheduler(name string, text []byte) (*Scheduler, error) {
	f, err := Read(name, text, "#Scheduler", "")
	if err != nil {
		return nil, err
	}
	return f.scheduler()
}

func (f *File) scheduler() (*Scheduler, error) {
	s := &Scheduler{}
	if err := f.Decode(s); err != nil {
		return nil, err
	}
	if s.Index >= s.Schedulers {
		f.Fail("index", "is %d, expected below schedulers, which is %d", s.Index, s.Schedulers)
	}
	failRepeatedNames(f, "kinds", s.Kinds, func(k *Kind) string { return k.Name })
	failRepeatedNames(f, "classes", s.Classes, func(c *Class) string { return c.Name })
	failRepeatedNames(f, "tenants", s.Tenants, func(t *Tenant) string { return t.Name })
	s.findDeprecations(f)
	for i, c := range s.Classes {
		if c.Kind != "" && kindIndex(s.Kinds, c.Kind) < 0 {
			f.Fail(elementField("classes", i, "kind"), "no kind %q, expected one of kinds", c.Kind)
		}
		if c.LatencyObjective > c.PlacementTimeout {
			f.Fail(elementField("classes", i, "aim"), "is %v, expected at most giveup, which is %v",
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

// KindIndex is the index of a kind by name; -1 for one that the settings don't name.
func (s *Scheduler) KindIndex(name string) int { return kindIndex(s.Kinds, name) }

// ClassIndex is the index of a class by name; -1 for one that the settings don't name.
func (s *Scheduler) ClassIndex(name string) int {
	for i := range s.Classes {
		if s.Classes[i].Name == name {
			return i
		}
	}
	return -1
}

// TenantIndex is the index of a tenant by name; -1 for one that the settings don't name.
func (s *Scheduler) TenantIndex(name string) int {
	for i := range s.Tenants {
		if s.Tenants[i].Name == name {
			return i
		}
	}
	return -1
}
