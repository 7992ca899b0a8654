package settings

// Node is a node of a stand-in cluster. Its definition in the schema is #Node.
type Node struct {
	Name               string `json:"name"`
	Kind               string `json:"kind"` // name of its machine's Kind
	Zone               string `json:"zone"`
	ListenAddress      string `json:"listen"` // host:port
	Cell               int    `json:"cell"`
	SlowStartCompleted bool   `json:"warm"` // the node starts with its slow start already completed
}

// Behaviour is the behaviour of the stand-in nodes. Its definition in the schema is #Behaviour.
type Behaviour struct {
	OfferReviewTime        Duration   `json:"Look"`           // time to decide on an offer; a node reviews one offer at a time
	CachedStartTime        Duration   `json:"StartWork"`      // duration of a task start if the program is cached
	UsageReportInterval    Duration   `json:"NoteEvery"`      // time between usage reports; 0: no reports
	DrainMigrationInterval Duration   `json:"DrainSendsAway"` // time between migrations off a draining node; 0: no migrations
	DefaultRuntime         Duration   `json:"Life"`           // run time of a task that does not specify one
	MaxWaitingOffers       int        `json:"MaxWait"`        // limit of offers that wait for review
	StartSlots             int        `json:"StartSlots"`     // number of concurrent task starts
	MaxCachedPrograms      int        `json:"Keep"`           // programs that stay cached after their last task ended
	UncachedStartFactor    float64    `json:"FreshFactor"`    // start time if it is not cached, as a multiple of CachedStartTime
	SlowStartInitialRate   float64    `json:"ColdFrom"`       // start rate at boot, as a fraction of the full rate
	OverloadMultiple       float64    `json:"FallMultiple"`   // offers that crash a node, as a multiple of its possible starts
	CoreUsageRange         [2]float64 `json:"UseCores"`       // minimum and maximum of cores in use, as fractions of the request
	MemoryUsageRange       [2]float64 `json:"UseMemory"`      // minimum and maximum of memory in use, as fractions of the request
	SendsLoadReports       bool       `json:"Reports"`        // answers contain a load report
}

// Fleet is a stand-in cluster of nodes and an inventory, which lists them. Its definition in the schema is #Fleet.
type Fleet struct {
	InventoryAddress string    `json:"inventory"` // host:port on which the inventory listens
	LogLevel         string    `json:"log"`       // debug, info, warn or error
	DiscoveryDelay   Duration  `json:"late"`      // time until the inventory lists a change
	RemovalDelay     Duration  `json:"goneAfter"` // time until the inventory removes a disconnected node
	Kinds            []Kind    `json:"kinds"`
	Nodes            []Node    `json:"nodes"`
	Rules            Rules     `json:"rules"`
	Behaviour        Behaviour `json:"behaviour"`
	Seed             uint64    `json:"seed"` // seed of the random numbers
}

// ReadFleet reads the configuration of a stand-in cluster from the file at path. The error is ConfigErrors if its content is
// invalid.
func ReadFleet(path string) (*Fleet, error) {
	f, err := ReadFile(path, "#Fleet", "")
	if err != nil {
		return nil, err
	}
	return f.decodeFleet()
}

// ParseFleet is like ReadFleet, but parses text. name is the name of the file in errors.
func ParseFleet(name string, text []byte) (*Fleet, error) {
	f, err := Parse(name, text, "#Fleet", "")
	if err != nil {
		return nil, err
	}
	return f.decodeFleet()
}

// decodeFleet decodes the file as a Fleet and checks what the schema can't: unique names, references to kinds and ranges.
func (f *File) decodeFleet() (*Fleet, error) {
	fleet := &Fleet{}
	if err := f.Decode(fleet); err != nil {
		return nil, err
	}
	checkUniqueNames(f, "kinds", fleet.Kinds, func(k *Kind) string { return k.Name })
	checkUniqueNames(f, "nodes", fleet.Nodes, func(n *Node) string { return n.Name })
	for i, n := range fleet.Nodes {
		if kindIndex(fleet.Kinds, n.Kind) < 0 {
			f.AddErrorf(elementPath("nodes", i, "kind"), "no kind %q is defined, expected a name in the list \"kinds\"", n.Kind)
		}
	}
	f.checkUsageRange("behaviour.useCores", fleet.Behaviour.CoreUsageRange)
	f.checkUsageRange("behaviour.useMemory", fleet.Behaviour.MemoryUsageRange)
	return fleet, f.Err()
}

// checkUsageRange adds an error if bounds are not a minimum of 0 or above and a maximum of at least the minimum.
func (f *File) checkUsageRange(field string, bounds [2]float64) {
	if bounds[0] < 0 || bounds[1] < bounds[0] {
		f.AddErrorf(field, "is %v, expected a minimum of 0 or above, and a maximum not below it", bounds)
	}
}
