package rules

import "time"

// Figures are the limits by which a recording is judged. The head of a recording has them as JSON, with durations in
// nanoseconds; the JSON names must not change.
type Limits struct {
	// Classes are the service classes; a class that is not listed counts as non-idempotent and has no other limits.
	Classes []Class `json:"Classes"`
	// DrainGrace is how long a scheduler may still offer tasks to a node after it was notified that the node drains.
	DrainGrace time.Duration `json:"DrainGrace"`
	// AnswerSlack is how long after the placement timeout of a job its outcome may be reported.
	AnswerSlack time.Duration `json:"AnswerSlack"`
	// SettleTime is how long an attempt with an unknown outcome blocks another run of a non-idempotent task.
	SettleTime time.Duration `json:"Settle"`
	// SlowStart is the slow start of nodes.
	SlowStart SlowStart `json:"Cold"`
	// Skew is the tolerance between the times of the recorder and those of the parties: bytes take time from a party to the
	// recorder on a busy machine.
	TimeTolerance time.Duration `json:"Skew"`
}

// Class is the limits of one service class.
type Class struct {
	// Name is the class's name in the settings.
	Name string `json:"Name"`
	// Idempotency is the idempotency of the class's tasks: Idempotent, IdempotentByKey or NonIdempotent.
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

// The values of Class.Idempotency. Recordings store them, so they must not change.
const (
	Idempotent      = "safe"
	IdempotentByKey = "keyed"
	NonIdempotent   = "unsafe"
)

// The values of Class.KeyDomain and Class.SpreadDomain, as a recording stores them.
const (
	domainMachine    = "machine"
	domainCell       = "cell"
	domainZone       = "zone"
	domainEverywhere = "everywhere"
)

// SlowStart is the limit of offers to a node in slow start.
type SlowStart struct {
	// Duration is how long the slow start lasts.
	Duration time.Duration `json:"For"`
	// Window is the length of the window in which offers are counted.
	Window time.Duration `json:"Window"`
	// InitialFraction is the fraction of its full rate of starts that a node has when it starts.
	InitialRateFraction float64 `json:"From"`
	// Multiple is the limit as a multiple of the rate of starts.
	RateMultiple float64 `json:"Multiple"`
	// MinOffers is the limit of offers within Window that applies if it is larger than that of the rate.
	MinOffers float64 `json:"Always"`
	// StartsPerSecond is the full rate of starts.
	StartsPerSecond float64 `json:"StartsPerSecond"`
}

// offerLimit returns the limit of offers within Window to a node that started the given time ago.
func (s *SlowStart) offerLimit(age time.Duration) float64 {
	rate := s.InitialRateFraction + (1-s.InitialRateFraction)*float64(age)/float64(max(s.Duration, 1))
	return max(s.MinOffers, s.RateMultiple*s.StartsPerSecond*min(rate, 1)*s.Window.Seconds())
}
