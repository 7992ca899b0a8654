package settings

import (
	"fmt"
	"time"
)

// askWithin is how long the module waits for an answer of the inventory before it asks again.
const askWithin = 10 * time.Second

// Node is the record #Node.
type Node struct {
	Name          string `json:"name"`
	Kind          string `json:"kind"`
	Zone          string `json:"zone"`
	ListenAddress string `json:"listen"`
	Cell          int    `json:"cell"`
	Warm          bool   `json:"warm"`
}

// Behaviour is the record #Behaviour.
type Behaviour struct {
	OfferReviewTime        Duration   `json:"Look"`
	CachedStartTime        Duration   `json:"StartWork"`
	UsageReportInterval    Duration   `json:"NoteEvery"`
	DrainMigrationInterval Duration   `json:"DrainSendsAway"`
	DefaultRuntime         Duration   `json:"Life"`
	MaxWaitingOffers       int        `json:"MaxWait"`
	StartSlots             int        `json:"StartSlots"`
	MaxCachedPrograms      int        `json:"Keep"`
	UncachedStartFactor    float64    `json:"FreshFactor"`
	SlowStartInitialRate   float64    `json:"ColdFrom"`
	OverloadMultiple       float64    `json:"FallMultiple"`
	CoreUsageRange         [2]float64 `json:"UseCores"`
	MemoryUsageRange       [2]float64 `json:"UseMemory"`
	SendsLoadReports       bool       `json:"Reports"`
}

// Fleet is the record #Fleet.
type Fleet struct {
	InventoryAddress string    `json:"inventory"`
	LogLevel         string    `json:"log"`
	DiscoveryDelay   Duration  `json:"late"`
	RemovalDelay     Duration  `json:"goneAfter"`
	Kinds            []Kind    `json:"kinds"`
	Nodes            []Node    `json:"nodes"`
	Rules            Rules     `json:"rules"`
	Behaviour        Behaviour `json:"behaviour"`
	Seed             uint64    `json:"seed"`
}

// ReadFleet reads the configuration of the stand-ins.
func ReadFleet(path string) (*Fleet, error) {
	f, err := ReadFile(path, "#Fleet", "")
	if err != nil {
		return nil, err
	}
	return f.fleet()
}

// ParseFleet is ReadFleet of text.
func ParseFleet(name string, text []byte) (*Fleet, error) {
	f, err := Read(name, text, "#Fleet", "")
	if err != nil {
		return nil, err
	}
	return f.fleet()
}

func (f *File) fleet() (*Fleet, error) {
	v := &Fleet{}
	if err := f.Decode(v); err != nil {
		return nil, err
	}
	f.kinds(v.Kinds)
	seen := map[string]bool{}
	for i, n := range v.Nodes {
		if seen[n.Name] {
			f.Fail(at("nodes", i, "name"), "%q names two nodes", n.Name)
		}
		seen[n.Name] = true
		if kindIndex(v.Kinds, n.Kind) < 0 {
			f.Fail(at("nodes", i, "kind"), "no kind %q, expected one of kinds", n.Kind)
		}
	}
	for name, r := range map[string][2]float64{"useCores": v.Behaviour.CoreUsageRange, "useMemory": v.Behaviour.MemoryUsageRange} {
		if r[0] < 0 || r[1] < r[0] {
			f.Fail("behaviour."+name, "is %v, expected two rising shares", r)
		}
	}
	return v, f.Err()
}

func at(list string, i int, field string) string { return fmt.Sprintf("%s[%d].%s", list, i, field) }
