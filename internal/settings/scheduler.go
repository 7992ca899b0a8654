package settings

import (
	"flaxshelf.example/flaxshelf"
	"flaxshelf.example/flaxshelf/internal/scheduler"
)

// Class is the record #Class.
type Class struct {
	Name                   string   `json:"Name"`
	Idempotency            string   `json:"Effect"`
	KeyDomain              string   `json:"Group"`
	Kind                   string   `json:"Kind"`
	SpreadDomain           string   `json:"Spread"`
	KeyTTL                 Duration `json:"Window"`
	LatencyObjective       Duration `json:"Aim"`
	PlacementTimeout       Duration `json:"Giveup"`
	PriorityWeight         float64  `json:"Worth"`
	LateStartWeight        float64  `json:"LateWorth"`
	StartValueSeconds      float64  `json:"StartSeconds"`
	FullServiceUtilization float64  `json:"Calm"`
	ServiceFadeRange       float64  `json:"Fade"`
	Priority               int      `json:"Priority"`
	MaxPerDomain           int      `json:"Most"`
	Cores                  float64  `json:"Cores"`
	Memory                 float64  `json:"Memory"`
}

// Kind is the record #Kind.
type Kind struct {
	Name   string  `json:"Name"`
	Cores  float64 `json:"Cores"`
	Memory float64 `json:"Memory"`
}

// Tenant is the record #Tenant.
type Tenant struct {
	Name           string  `json:"Name"`
	QuotaFraction  float64 `json:"Share"`
	TasksPerSecond float64 `json:"PerSecond"`
	QuotaCores     float64 `json:"QuotaCores"`
}

// Rules is the record #Rules.
type Rules struct {
	CoreOvercommit    float64  `json:"AcceptCores"`
	MemoryOvercommit  float64  `json:"AcceptMemory"`
	Preempts          bool     `json:"Preempts"`
	DrainGrace        Duration `json:"DrainGrace"`
	AnswerSlack       Duration `json:"AnswerSlack"`
	SlowStartDuration Duration `json:"ColdFor"`
	OverloadWindow    Duration `json:"FallWindow"`
	SettleTime        Duration `json:"Settle"`
	MaxAttempts       int      `json:"MaxAttempts"`
	SlowStartBudget   float64  `json:"ColdOffers"`
}

// Limits is the record #Limits.
type Limits struct {
	MaxPending          int      `json:"MaxOpen"`
	MaxRunning          int      `json:"MaxJobs"`
	MaxFinished         int      `json:"MaxFinished"`
	MaxSessions         int      `json:"MaxSessions"`
	MaxConnections      int      `json:"Connections"`
	MaxClientWriteQueue int      `json:"ClientOut"`
	MaxNodeWriteQueue   int      `json:"NodeOut"`
	Retention           Duration `json:"Retention"`
	IdleTimeout         Duration `json:"Idle"`
	RequestTimeout      Duration `json:"Request"`
	ShutdownTimeout     Duration `json:"StopWithin"`
}

// Scheduler is the record #Scheduler.
type Scheduler struct {
	Name              string   `json:"name"`
	ListenAddress     string   `json:"listen"`
	MetricsAddress    string   `json:"metrics"`
	InventoryAddress  string   `json:"inventory"`
	Zone              string   `json:"zone"`
	LogLevel          string   `json:"log"`
	ModuleRecording   string   `json:"tap"`
	Index             int      `json:"index"`
	Schedulers        int      `json:"schedulers"`
	Shards            int      `json:"cores"`
	Seed              uint64   `json:"seed"`
	Tick              Duration `json:"tick"`
	ConnectTimeout    Duration `json:"connect"`
	ListsFreeCapacity bool     `json:"listsFree"`
	PlacedWhenRunning bool     `json:"runsWhenPlaced"`
	OverQuotaWeight   float64  `json:"overShareWorth"`
	CrossZonePrice    float64  `json:"crossZone"`
	FleetPrice        float64  `json:"fleetPrice"`
	Classes           []Class  `json:"classes"`
	Kinds             []Kind   `json:"kinds"`
	Tenants           []Tenant `json:"tenants"`
	Rules             Rules    `json:"rules"`
	Limits            Limits   `json:"limits"`
}

// ReadScheduler reads the configuration of a daemon. Errors are Problems, or of reading the file.
func ReadScheduler(path string) (*Scheduler, error) {
	f, err := ReadFile(path, "#Scheduler", "")
	if err != nil {
		return nil, err
	}
	return f.scheduler()
}

// ParseScheduler is ReadScheduler of text.
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
	f.kinds(s.Kinds)
	seen := map[string]bool{}
	for i, c := range s.Classes {
		if seen[c.Name] {
			f.Fail(at("classes", i, "name"), "%q names two classes", c.Name)
		}
		seen[c.Name] = true
		if c.Kind != "" && kindIndex(s.Kinds, c.Kind) < 0 {
			f.Fail(at("classes", i, "kind"), "no kind %q, expected one of kinds", c.Kind)
		}
		if c.LatencyObjective > c.PlacementTimeout {
			f.Fail(at("classes", i, "aim"), "is %v, expected at most giveup, which is %v", c.LatencyObjective.Duration(), c.PlacementTimeout.Duration())
		}
	}
	tenants := map[string]bool{}
	for i, t := range s.Tenants {
		if tenants[t.Name] {
			f.Fail(at("tenants", i, "name"), "%q names two tenants", t.Name)
		}
		tenants[t.Name] = true
	}
	return s, f.Err()
}

func (f *File) kinds(kinds []Kind) {
	seen := map[string]bool{}
	for i, k := range kinds {
		if seen[k.Name] {
			f.Fail(at("kinds", i, "name"), "%q names two kinds", k.Name)
		}
		seen[k.Name] = true
	}
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

var effects = map[string]flaxshelf.Idempotency{
	"safe": flaxshelf.Idempotent, "keyed": flaxshelf.IdempotentByKey, "unsafe": flaxshelf.NonIdempotent,
}

var extents = map[string]flaxshelf.TopologyDomain{
	"": flaxshelf.NoDomain, "machine": flaxshelf.MachineDomain, "cell": flaxshelf.CellDomain,
	"zone": flaxshelf.ZoneDomain, "everywhere": flaxshelf.FleetDomain,
}

// Effect is the class's effect in the module's words.
func (c *Class) ModuleIdempotency() flaxshelf.Idempotency { return effects[c.Idempotency] }

// ModuleKeyDomain is the class's key group in the module's words.
func (c *Class) ModuleKeyDomain() flaxshelf.TopologyDomain { return extents[c.KeyDomain] }

// ModuleSpreadDomain is the class's spread in the module's words.
func (c *Class) ModuleSpreadDomain() flaxshelf.TopologyDomain { return extents[c.SpreadDomain] }

// ModuleConfig is what the module is told.
func (s *Scheduler) ModuleConfig() flaxshelf.Config {
	r := &s.Rules
	c := flaxshelf.Config{
		Index: s.Index, Schedulers: s.Schedulers, Zone: s.Zone, OverQuotaWeight: s.OverQuotaWeight,
		Prices:         flaxshelf.Prices{CrossZone: s.CrossZonePrice, Fleet: s.FleetPrice},
		CoreOvercommit: r.CoreOvercommit, MemoryOvercommit: r.MemoryOvercommit, PlacedWhenRunning: s.PlacedWhenRunning,
		Preempts: r.Preempts, ListsFreeCapacity: s.ListsFreeCapacity, DiscoveryOnRequest: true, MaxAttempts: r.MaxAttempts,
		CanCancel: true, CanHealthCheck: true, Tick: s.Tick.Duration(), ConnectTimeout: s.ConnectTimeout.Duration(),
		AnswerSlack: r.AnswerSlack.Duration(), DrainGrace: r.DrainGrace.Duration(), DiscoveryPollDeadline: askWithin,
		SlowStartDuration: r.SlowStartDuration.Duration(), OverloadWindow: r.OverloadWindow.Duration(), SlowStartBudget: r.SlowStartBudget,
	}
	for _, k := range s.Kinds {
		c.Kinds = append(c.Kinds, flaxshelf.Kind{Name: k.Name, Cores: k.Cores, Memory: k.Memory})
	}
	for _, k := range s.Classes {
		c.Classes = append(c.Classes, flaxshelf.Class{Name: k.Name, Idempotency: k.ModuleIdempotency(), KeyDomain: k.ModuleKeyDomain(),
			KeyTTL: k.KeyTTL.Duration(), LatencyObjective: k.LatencyObjective.Duration(), PriorityWeight: k.PriorityWeight, LateStartWeight: k.LateStartWeight,
			StartValueSeconds: k.StartValueSeconds, FullServiceUtilization: k.FullServiceUtilization, ServiceFadeRange: k.ServiceFadeRange,
			Kind:     kindIndex(s.Kinds, k.Kind),
			Priority: k.Priority, SpreadDomain: k.ModuleSpreadDomain(), MaxPerDomain: k.MaxPerDomain})
	}
	for _, t := range s.Tenants {
		c.Tenants = append(c.Tenants, flaxshelf.Tenant{Name: t.Name, QuotaFraction: t.QuotaFraction, TasksPerSecond: t.TasksPerSecond,
			QuotaCores: t.QuotaCores})
	}
	return c
}

// CoreConfig is what the scheduler's core is told, for a life that begins at boot.
func (s *Scheduler) CoreConfig(boot flaxshelf.Time) scheduler.Config {
	l := &s.Limits
	c := scheduler.Config{Module: s.ModuleConfig(), Seed: s.Seed, Name: s.Name, StartedAt: boot,
		Limits: scheduler.Limits{MaxPending: l.MaxPending, MaxRunning: l.MaxRunning, MaxFinished: l.MaxFinished,
			MaxSessions: l.MaxSessions, Retention: l.Retention.Duration(), SettleTime: s.Rules.SettleTime.Duration(),
			StallThreshold: s.Rules.DrainGrace.Duration() / 2}}
	if c.Seed == 0 {
		c.Seed = uint64(boot)
	}
	for _, k := range s.Classes {
		c.Limits.PlacementTimeouts = append(c.Limits.PlacementTimeouts, k.PlacementTimeout.Duration())
	}
	return c
}
