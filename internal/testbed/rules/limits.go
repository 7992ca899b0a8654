package rules

import "time"

// Limits are the limits of a deployment that a recording is checked against. Recordings store them in their head as JSON, with
// durations in nanoseconds, so the JSON names must not change.
type Limits struct {
	// Classes are the service classes. A class that is not listed counts as non-idempotent and has no other limits.
	Classes []Class `json:"Classes"`
	// DrainGrace is how long a scheduler may offer tasks to a node after it was notified that the node is draining.
	DrainGrace time.Duration `json:"DrainGrace"`
	// AnswerSlack is how long after the placement timeout of a job a scheduler may report the outcome.
	AnswerSlack time.Duration `json:"AnswerSlack"`
	// SettleTime is how long an attempt with an unknown outcome blocks another run of a non-idempotent task.
	SettleTime time.Duration `json:"Settle"`
	// SlowStart limits the offers to nodes that have just started.
	SlowStart SlowStart `json:"Cold"`
	// TimeTolerance is the tolerated difference between the times of the recorder and those of the parties. On a busy machine,
	// bytes take time from a party to the recorder.
	TimeTolerance time.Duration `json:"Skew"`
}

// Class contains the limits of one service class.
type Class struct {
	// Name is the class's name in the settings.
	Name string `json:"Name"`
	// Idempotency is the idempotency of the class's tasks: Idempotent, IdempotentByKey or NonIdempotent.
	Idempotency string `json:"Effect"`
	// KeyDomain is the topology domain within which nodes deduplicate tasks by idempotency key: machine, cell, zone or
	// everywhere.
	KeyDomain string `json:"Group"`
	// KeyTTL is how long a domain deduplicates tasks with the same idempotency key.
	KeyTTL time.Duration `json:"Window"`
	// PlacementTimeout is the time within which a job gets its outcome; zero means no limit. A job may have its own.
	PlacementTimeout time.Duration `json:"GiveUp"`
	// SpreadDomain is the topology domain over which the tasks of one service are spread: machine, cell, zone, or empty for
	// no limit.
	SpreadDomain string `json:"Spread"`
	// MaxPerDomain is the maximum number of tasks of one service in a domain of SpreadDomain.
	MaxPerDomain int `json:"Most"`
}

// The values of Class.Idempotency. Recordings store them, so they must not change.
const (
	Idempotent      = "safe"
	IdempotentByKey = "keyed"
	NonIdempotent   = "unsafe"
)

// The values of Class.KeyDomain and Class.SpreadDomain. Recordings store them, so they must not change.
const (
	domainMachine    = "machine"
	domainCell       = "cell"
	domainZone       = "zone"
	domainEverywhere = "everywhere"
)

// SlowStart limits the rate of offers to a node in slow start. The limit rises linearly with the age of the node.
type SlowStart struct {
	// Duration is how long the slow start lasts.
	Duration time.Duration `json:"For"`
	// Window is the length of the window in which offers are counted.
	Window time.Duration `json:"Window"`
	// InitialRateFraction is the fraction of StartsPerSecond that applies at the start of the node.
	InitialRateFraction float64 `json:"From"`
	// RateMultiple is the ratio of the limit to the node's current rate of starts.
	RateMultiple float64 `json:"Multiple"`
	// MinOffers is the number of offers within Window that is always allowed, however low the rate.
	MinOffers float64 `json:"Always"`
	// StartsPerSecond is the rate of task starts of a node after its slow start.
	StartsPerSecond float64 `json:"StartsPerSecond"`
}

// offerLimit returns the maximum number of offers within Window to a node of the given age.
func (s *SlowStart) offerLimit(age time.Duration) float64 {
	rate := s.InitialRateFraction + (1-s.InitialRateFraction)*float64(age)/float64(max(s.Duration, 1))
	return max(s.MinOffers, s.RateMultiple*s.StartsPerSecond*min(rate, 1)*s.Window.Seconds())
}
