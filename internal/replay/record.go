package replay

import (
	"encoding/gob"
	"time"

	"flaxshelf.example/flaxshelf"
)

// The types of this file are the format of recordings, Version 1. Gob finds the fields of a struct by their names, and
// the type of an event or action by the name under which it is registered: none of these names may change, whatever
// the types and fields of package flaxshelf are called. Enumerations are stored as their numbers. The names of the types
// themselves are written into recordings too, though no build reads them.
//
// A new field of package flaxshelf needs a field here; earlier builds pass over it. A field that changes its meaning
// needs a new Version.

// eventRecord is a stored event.
type eventRecord interface{ event() flaxshelf.Event }

// actionRecord is a stored action.
type actionRecord interface{ action() flaxshelf.Action }

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
	Effect       int
	Group        int
	Window       time.Duration
	Aim          time.Duration
	Worth        float64
	LateWorth    float64
	StartSeconds float64
	Calm         float64
	Fade         float64
	Kind         int
	Priority     int
	Spread       int
	Most         int
}

type kindRecord struct {
	Name   string
	Cores  float64
	Memory float64
}

type tenantRecord struct {
	Name       string
	Share      float64
	PerSecond  float64
	QuotaCores float64
}

type pricesRecord struct {
	CrossZone     float64
	Waste         float64
	Probe         float64
	Message       float64
	Moves         float64
	Discovery     float64
	Fleet         float64
	Refused       float64
	EvictionMoves float64
}

type configRecord struct {
	Index          int
	Schedulers     int
	Zone           string
	Classes        []classRecord
	Kinds          []kindRecord
	Tenants        []tenantRecord
	OverShareWorth float64
	Prices         pricesRecord
	AcceptCores    float64
	AcceptMemory   float64
	RunsWhenPlaced bool
	Preempts       bool
	ListsFree      bool
	ReportsUsed    bool
	DiscoveryAsks  bool
	MaxAttempts    int
	SecondCopies   bool
	CanWithdraw    bool
	CanProbe       bool
	CanMessage     bool
	CanRetryAfter  bool
	MaxRetryAfter  time.Duration
	Tick           time.Duration
	ConnectTimeout time.Duration
	AnswerSlack    time.Duration
	DrainGrace     time.Duration
	AskWithin      time.Duration
	ColdFor        time.Duration
	FallWindow     time.Duration
	ColdOffers     float64
}

type taskRecord struct {
	ID         string
	Key        string
	Service    string
	Class      int
	Tenant     int
	Cores      float64
	Memory     float64
	Life       time.Duration
	ValidUntil time.Duration
	Again      bool
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
	Told       bool
	FreeCores  float64
	FreeMemory float64
	HasCores   bool
	HasMemory  bool
}

type listedRecord struct {
	Machines []machineRecord
	Whole    bool
	Stale    bool
}

type listFailedRecord struct{}

type placeRecord struct {
	Task taskRecord
}

type runningRecord struct {
	Task    taskRecord
	Machine string
}

type placedRecord struct {
	Task    string
	Machine string
	Attempt int
	Lag     time.Duration
}

type endedRecord struct {
	Task    string
	Machine string
	Attempt int
	Verdict int
	Reason  int
	Done    bool
	Lag     time.Duration
	Load    loadRecord
}

type noteRecord struct {
	Task    string
	Machine string
	Attempt int
	Kind    int
	Amount  float64
}

type probedRecord struct {
	Machine string
	Verdict int
	Load    loadRecord
}

type messageRecord struct {
	From int
	Data []byte
}

type wokenRecord struct{}

type goneRecord struct {
	Task string
}

type offerRecord struct {
	Task    string
	Machine string
	Timeout time.Duration
}

type withdrawRecord struct {
	Task    string
	Attempt int
}

type refuseRecord struct {
	Task string
}

type failRecord struct {
	Task string
}

type moveRecord struct {
	Task string
}

type probeRecord struct {
	Machine string
}

type tellRecord struct {
	Data []byte
}

type subscribeRecord struct{}

type wakeRecord struct {
	After time.Duration
}

// storedPackage is the path before the stored names of event and action types.
const storedPackage = "flaxshelf.example/flaxshelf."

func init() {
	for name, record := range map[string]any{
		"Listed":     listedRecord{},
		"ListFailed": listFailedRecord{},
		"Place":      placeRecord{},
		"Running":    runningRecord{},
		"Placed":     placedRecord{},
		"Ended":      endedRecord{},
		"Note":       noteRecord{},
		"Probed":     probedRecord{},
		"Message":    messageRecord{},
		"Woken":      wokenRecord{},
		"Gone":       goneRecord{},
		"Offer":      offerRecord{},
		"Withdraw":   withdrawRecord{},
		"Refuse":     refuseRecord{},
		"Fail":       failRecord{},
		"Move":       moveRecord{},
		"Probe":      probeRecord{},
		"Tell":       tellRecord{},
		"Subscribe":  subscribeRecord{},
		"Wake":       wakeRecord{},
	} {
		gob.RegisterName(storedPackage+name, record)
	}
}
