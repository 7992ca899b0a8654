package settings

// Node is the record #Node: a node of the stand-in fleet.
type Node struct {
	Name               string `json:"name"`
	Kind               string `json:"kind"` // name of its Kind
	Zone               string `json:"zone"`
	ListenAddress      string `json:"listen"` // host:port
	Cell               int    `json:"cell"`
	SlowStartCompleted bool   `json:"warm"` // its slow start is over
}

// Behaviour is the record #Behaviour: the behaviour of stand-in nodes.
type Behaviour struct {
	OfferReviewTime        Duration   `json:"Look"`           // to decide on an offer; one at a time
	CachedStartTime        Duration   `json:"StartWork"`      // of a start whose program is cached
	UsageReportInterval    Duration   `json:"NoteEvery"`      // between usage reports; 0: none are sent
	DrainMigrationInterval Duration   `json:"DrainSendsAway"` // between tasks sent away while draining; 0: none are
	DefaultRuntime         Duration   `json:"Life"`           // of a task that names none
	MaxWaitingOffers       int        `json:"MaxWait"`        // offers that may wait for review
	StartSlots             int        `json:"StartSlots"`     // starts at a time
	MaxCachedPrograms      int        `json:"Keep"`           // programs that stay cached after their last task
	UncachedStartFactor    float64    `json:"FreshFactor"`    // multiple of CachedStartTime for a program that is not cached
	SlowStartInitialRate   float64    `json:"ColdFrom"`       // rate of starts at boot, as a fraction of the full one
	OverloadMultiple       float64    `json:"FallMultiple"`   // offers, as a multiple of possible starts, that crash a node
	CoreUsageRange         [2]float64 `json:"UseCores"`       // least and most cores in use, as fractions of the request
	MemoryUsageRange       [2]float64 `json:"UseMemory"`      // least and most memory in use, as fractions of the request
	SendsLoadReports       bool       `json:"Reports"`        // answers carry the node's load
}

// Fleet is the record #Fleet: a stand-in cluster of an inventory and nodes.
type Fleet struct {
	InventoryAddress string    `json:"inventory"` // host:port
	LogLevel         string    `json:"log"`       // debug, info, warn or error
	DiscoveryDelay   Duration  `json:"late"`      // until the inventory shows a change
	RemovalDelay     Duration  `json:"goneAfter"` // until a node whose connection broke is removed
	Kinds            []Kind    `json:"kinds"`
	Nodes            []Node    `json:"nodes"`
	Rules            Rules     `json:"rules"`
	Behaviour        Behaviour `json:"behaviour"`
	Seed             uint64    `json:"seed"` // of the random numbers
}

// ReadFleet reads the configuration of a fleet from a file. The error is ConfigErrors if the content is invalid.
func ReadFleet(path string) (*Fleet, error) {
	f, err := ReadFile(path, "#Fleet", "")
	if err != nil {
		return nil, err
	}
	return f.decodeFleet()
}

// ParseFleet is ReadFleet of text. name is the name of the file in errors.
func ParseFleet(name string, text []byte) (*Fleet, error) {
	f, err := Parse(name, text, "#Fleet", "")
	if err != nil {
		return nil, err
	}
	return f.decodeFleet()
}

func (f *File) decodeFleet() (*Fleet, error) {
	fleet := &Fleet{}
	if err := f.Decode(fleet); err != nil {
		return nil, err
	}
	checkUniqueNames(f, "kinds", fleet.Kinds, func(k *Kind) string { return k.Name })
	checkUniqueNames(f, "nodes", fleet.Nodes, func(n *Node) string { return n.Name })
	for i, n := range fleet.Nodes {
		if kindIndex(fleet.Kinds, n.Kind) < 0 {
			f.AddErrorf(elementPath("nodes", i, "kind"), "no kind %q, expected one of kinds", n.Kind)
		}
	}
	f.checkUsageRange("behaviour.useCores", fleet.Behaviour.CoreUsageRange)
	f.checkUsageRange("behaviour.useMemory", fleet.Behaviour.MemoryUsageRange)
	return fleet, f.Err()
}

// failUsageRange adds an error for an invalid range of usage, in fractions of what a task requests.
func (f *File) checkUsageRange(field string, bounds [2]float64) {
	if bounds[0] < 0 || bounds[1] < bounds[0] {
		f.AddErrorf(field, "is %v, expected two rising fractions, from 0", bounds)
	}
}
