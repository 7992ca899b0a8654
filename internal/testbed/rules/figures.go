package rules

import (
	"time"

	"flaxshelf.example/flaxshelf"
)

// Figures are the limits by which a recording is judged. They are stored in the head of a recording; durations are in
// nanoseconds there.
type Figures struct {
	// Classes are the service classes; a class that is not listed counts as non-idempotent and has no other limits.
	Classes []Class `json:"Classes"`
	// DrainGrace is how long a scheduler may still offer tasks to a node after it was notified that the node drains.
	DrainGrace time.Duration `json:"DrainGrace"`
	// AnswerSlack is how much later than its placement timeout a job's outcome may come.
	AnswerSlack time.Duration `json:"AnswerSlack"`
	// SettleTime is how long an attempt with an unknown outcome blocks another run of a non-idempotent task.
	SettleTime time.Duration `json:"Settle"`
	// SlowStart is the slow start of nodes.
	SlowStart SlowStart `json:"Cold"`
	// Skew is allowed between the recorder's times and the parties': the time that bytes spend on the way to the
	// recorder on a busy machine.
	Skew time.Duration `json:"Skew"`
}

// Class is the limits of one service class.
type Class struct {
	// Name is the class's name in the settings.
	Name string `json:"Name"`
	// Idempotency is the idempotency of the class's tasks: safe, keyed or unsafe.
	Idempotency string `json:"Effect"`
	// KeyDomain is the topology domain that remembers idempotency keys: machine, cell, zone or everywhere.
	KeyDomain string `json:"Group"`
	// KeyTTL is how long a domain remembers an idempotency key.
	KeyTTL time.Duration `json:"Window"`
	// PlacementTimeout is the placement timeout.
	PlacementTimeout time.Duration `json:"GiveUp"`
	// SpreadDomain is the topology domain over which the tasks of one service are spread: machine, cell, zone, or empty for
	// no limit.
	SpreadDomain string `json:"Spread"`
	// MaxPerDomain is how many tasks of one service a domain may have.
	MaxPerDomain int `json:"Most"`
}

// The values of Class.Effect, as a recording stores them.
const (
	effectIdempotent      = "safe"
	effectIdempotentByKey = "keyed"
	effectNonIdempotent   = "unsafe"
)

// StoredIdempotency returns the value of Class.Idempotency by which a recording stores an idempotency.
func StoredIdempotency(idempotency flaxshelf.Idempotency) string {
	switch idempotency {
	case flaxshelf.Idempotent:
		return effectIdempotent
	case flaxshelf.IdempotentByKey:
		return effectIdempotentByKey
	default:
		return effectNonIdempotent
	}
}

// The values of Class.Group and Class.Spread, as a recording stores them.
const (
	domainMachine    = "machine"
	domainCell       = "cell"
	domainZone       = "zone"
	domainEverywhere = "everywhere"
)

// SlowStart is the load that a node bears during its slow start.
type SlowStart struct {
	// For is how long the slow start lasts.
	For time.Duration `json:"For"`
	// Window is the time over which offers are counted.
	Window time.Duration `json:"Window"`
	// From is the share of its full rate of starts that a node has when it comes up.
	From float64 `json:"From"`
	// Multiple is how many times its rate of starts a node bears.
	Multiple float64 `json:"Multiple"`
	// Always is the number of offers within Window that a node bears in any case.
	Always float64 `json:"Always"`
	// StartsPerSecond is the full rate of starts.
	StartsPerSecond float64 `json:"StartsPerSecond"`
}

// offerLimit is how many offers within Window a node of this age bears.
func (c *SlowStart) offerLimit(age time.Duration) float64 {
	rate := c.From + (1-c.From)*float64(age)/float64(max(c.For, 1))
	return max(c.Always, c.Multiple*c.StartsPerSecond*min(rate, 1)*c.Window.Seconds())
}
