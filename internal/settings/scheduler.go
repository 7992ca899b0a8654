package settings

import (
	"flaxshelf.example/flaxshelf"
	"flaxshelf.example/flaxshelf/internal/scheduler"
)

// Class is the record #Class.
type Class struct {
	Name         string   `json:"Name"`
	Effect       string   `json:"Effect"`
	Group        string   `json:"Group"`
	Kind         string   `json:"Kind"`
	Spread       string   `json:"Spread"`
	Window       Duration `json:"Window"`
	Aim          Duration `json:"Aim"`
	Giveup       Duration `json:"Giveup"`
	Worth        float64  `json:"Worth"`
	LateWorth    float64  `json:"LateWorth"`
	StartSeconds float64  `json:"StartSeconds"`
	Calm         float64  `json:"Calm"`
	Fade         float64  `json:"Fade"`
	Priority     int      `json:"Priority"`
	Most         int      `json:"Most"`
	Cores        float64  `json:"Cores"`
	Memory       float64  `json:"Memory"`
}

// Kind is the record #Kind.
type Kind struct {
	Name   string  `json:"Name"`
	Cores  float64 `json:"Cores"`
	Memory float64 `json:"Memory"`
}

// Tenant is the record #Tenant.
type Tenant struct {
	Name       string  `json:"Name"`
	Share      float64 `json:"Share"`
	PerSecond  float64 `json:"PerSecond"`
	QuotaCores float64 `json:"QuotaCores"`
}

// Rules is the record #Rules.
type Rules struct {
	AcceptCores  float64  `json:"AcceptCores"`
	AcceptMemory float64  `json:"AcceptMemory"`
	Preempts     bool     `json:"Preempts"`
	DrainGrace   Duration `json:"DrainGrace"`
	AnswerSlack  Duration `json:"AnswerSlack"`
	ColdFor      Duration `json:"ColdFor"`
	FallWindow   Duration `json:"FallWindow"`
	Settle       Duration `json:"Settle"`
	MaxAttempts  int      `json:"MaxAttempts"`
	ColdOffers   float64  `json:"ColdOffers"`
}

// Limits is the record #Limits.
type Limits struct {
	MaxOpen     int      `json:"MaxOpen"`
	MaxJobs     int      `json:"MaxJobs"`
	MaxFinished int      `json:"MaxFinished"`
	MaxSessions int      `json:"MaxSessions"`
	Connections int      `json:"Connections"`
	ClientOut   int      `json:"ClientOut"`
	NodeOut     int      `json:"NodeOut"`
	Retention   Duration `json:"Retention"`
	Idle        Duration `json:"Idle"`
	Request     Duration `json:"Request"`
	StopWithin  Duration `json:"StopWithin"`
}

// Scheduler is the record #Scheduler.
type Scheduler struct {
	Name           string   `json:"name"`
	Listen         string   `json:"listen"`
	Metrics        string   `json:"metrics"`
	Inventory      string   `json:"inventory"`
	Zone           string   `json:"zone"`
	Log            string   `json:"log"`
	Tap            string   `json:"tap"`
	Index          int      `json:"index"`
	Schedulers     int      `json:"schedulers"`
	Cores          int      `json:"cores"`
	Seed           uint64   `json:"seed"`
	Tick           Duration `json:"tick"`
	Connect        Duration `json:"connect"`
	ListsFree      bool     `json:"listsFree"`
	RunsWhenPlaced bool     `json:"runsWhenPlaced"`
	OverShareWorth float64  `json:"overShareWorth"`
	CrossZone      float64  `json:"crossZone"`
	FleetPrice     float64  `json:"fleetPrice"`
	Classes        []Class  `json:"classes"`
	Kinds          []Kind   `json:"kinds"`
	Tenants        []Tenant `json:"tenants"`
	Rules          Rules    `json:"rules"`
	Limits         Limits   `json:"limits"`
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
		if c.Aim > c.Giveup {
			f.Fail(at("classes", i, "aim"), "is %v, expected at most giveup, which is %v", c.Aim.Of(), c.Giveup.Of())
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
func (c *Class) EffectOf() flaxshelf.Idempotency { return effects[c.Effect] }

// GroupOf is the class's key group in the module's words.
func (c *Class) GroupOf() flaxshelf.TopologyDomain { return extents[c.Group] }

// SpreadOf is the class's spread in the module's words.
func (c *Class) SpreadOf() flaxshelf.TopologyDomain { return extents[c.Spread] }

// Module is what the module is told.
func (s *Scheduler) Module() flaxshelf.Config {
	r := &s.Rules
	c := flaxshelf.Config{
		Index: s.Index, Schedulers: s.Schedulers, Zone: s.Zone, OverQuotaWeight: s.OverShareWorth,
		Prices:         flaxshelf.Prices{CrossZone: s.CrossZone, Fleet: s.FleetPrice},
		CoreOvercommit: r.AcceptCores, MemoryOvercommit: r.AcceptMemory, PlacedWhenRunning: s.RunsWhenPlaced,
		Preempts: r.Preempts, ListsFreeCapacity: s.ListsFree, DiscoveryOnRequest: true, MaxAttempts: r.MaxAttempts,
		CanCancel: true, CanHealthCheck: true, Tick: s.Tick.Of(), ConnectTimeout: s.Connect.Of(),
		AnswerSlack: r.AnswerSlack.Of(), DrainGrace: r.DrainGrace.Of(), DiscoveryPollDeadline: askWithin,
		SlowStartDuration: r.ColdFor.Of(), OverloadWindow: r.FallWindow.Of(), SlowStartBudget: r.ColdOffers,
	}
	for _, k := range s.Kinds {
		c.Kinds = append(c.Kinds, flaxshelf.Kind{Name: k.Name, Cores: k.Cores, Memory: k.Memory})
	}
	for _, k := range s.Classes {
		c.Classes = append(c.Classes, flaxshelf.Class{Name: k.Name, Idempotency: k.EffectOf(), KeyDomain: k.GroupOf(),
			KeyTTL: k.Window.Of(), LatencyObjective: k.Aim.Of(), PriorityWeight: k.Worth, LateStartWeight: k.LateWorth,
			StartValueSeconds: k.StartSeconds, FullServiceUtilization: k.Calm, ServiceFadeRange: k.Fade,
			Kind:     kindIndex(s.Kinds, k.Kind),
			Priority: k.Priority, SpreadDomain: k.SpreadOf(), MaxPerDomain: k.Most})
	}
	for _, t := range s.Tenants {
		c.Tenants = append(c.Tenants, flaxshelf.Tenant{Name: t.Name, QuotaFraction: t.Share, TasksPerSecond: t.PerSecond,
			QuotaCores: t.QuotaCores})
	}
	return c
}

// Core is what the scheduler's core is told, for a life that begins at boot.
func (s *Scheduler) Core(boot flaxshelf.Time) scheduler.Config {
	l := &s.Limits
	c := scheduler.Config{Module: s.Module(), Seed: s.Seed, Name: s.Name, StartedAt: boot,
		Limits: scheduler.Limits{MaxPending: l.MaxOpen, MaxRunning: l.MaxJobs, MaxFinished: l.MaxFinished,
			MaxSessions: l.MaxSessions, Retention: l.Retention.Of(), SettleTime: s.Rules.Settle.Of(),
			StallThreshold: s.Rules.DrainGrace.Of() / 2}}
	if c.Seed == 0 {
		c.Seed = uint64(boot)
	}
	for _, k := range s.Classes {
		c.Limits.PlacementTimeouts = append(c.Limits.PlacementTimeouts, k.Giveup.Of())
	}
	return c
}
