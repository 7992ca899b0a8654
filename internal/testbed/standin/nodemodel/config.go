package nodemodel

import "time"

// Config describes the machine of a node and the behaviour of the node. Memory is in GiB.
type Config struct {
	Name string
	Zone string
	// Cores and Memory are the capacity of the machine.
	Cores  float64
	Memory float64
	// CoreOvercommit and MemoryOvercommit limit the requests of all accepted tasks, as multiples of Cores and Memory.
	CoreOvercommit   float64
	MemoryOvercommit float64
	// OfferReviewTime is how long the node takes to decide on an offer. It reviews one offer at a time.
	OfferReviewTime time.Duration
	// MaxWaitingOffers limits the queue of offers, including the one under review; offers beyond it are rejected at once.
	// Values below 1 count as 1.
	MaxWaitingOffers int
	// StartSlots is how many tasks can be starting at the same time. Values below 1 count as 1.
	StartSlots int
	// CachedStartTime is how long a task takes to start outside slow start if the program of its service is cached.
	CachedStartTime time.Duration
	// UncachedStartFactor multiplies CachedStartTime if the program is not cached. Values below 1 count as 1.
	UncachedStartFactor float64
	// MaxCachedPrograms is how many programs stay cached after the last task of their service has ended. Zero means none.
	MaxCachedPrograms int
	// SlowStartInitialRate is the fraction of the full start rate at which a node starts tasks when it boots. The fraction
	// rises linearly to 1 within SlowStartDuration.
	SlowStartInitialRate float64
	// SlowStartDuration is the duration of the slow start after a boot. Zero means no slow start.
	SlowStartDuration time.Duration
	// OverloadMultiple and OverloadWindow determine when a node in slow start crashes of overload: when it receives more
	// offers within OverloadWindow than OverloadMultiple times the uncached starts that it can do in that time. A window of
	// zero means never.
	OverloadMultiple float64
	OverloadWindow   time.Duration
	// SlowStartBudget is the number of offers within OverloadWindow that never overload the node, even if OverloadMultiple
	// allows fewer.
	SlowStartBudget float64
	// Preempts enables the preemption of tasks of lower priority when an offered task does not fit.
	Preempts bool
	// DrainMigrationInterval is the interval at which a draining node ends its oldest task, so that the scheduler places it on
	// another node. Zero means that tasks run to their end.
	DrainMigrationInterval time.Duration
	// CoreUsageRange and MemoryUsageRange are the minimum and the maximum of the fraction of its request that a task uses when
	// it begins to run. The fraction is drawn at random for each task.
	CoreUsageRange   [2]float64
	MemoryUsageRange [2]float64
	// UsageReportInterval is the interval at which the node updates the usage of its tasks, evicts tasks if memory is short,
	// and sends usage reports. Zero means never.
	UsageReportInterval time.Duration
	// SendsLoadReports enables load reports, the node's free resources, in its replies to schedulers.
	SendsLoadReports bool
	// DefaultRuntime is the mean of the exponentially distributed runtime of tasks that do not set their own. Zero means 20 s.
	DefaultRuntime time.Duration
	// MaxUnackedOutcomes limits the outcomes that the node retains for each scheduler until they are acknowledged. Zero means
	// 100,000.
	MaxUnackedOutcomes int
	// Seed seeds the random number generator of the node.
	Seed uint64
}

const (
	defaultRuntime            = 20 * time.Second
	defaultMaxUnackedOutcomes = 100_000
)

// withDefaults returns the configuration with defaults for fields that are not set, and with the minimum of 1 where it applies.
func (c Config) withDefaults() Config {
	if c.DefaultRuntime <= 0 {
		c.DefaultRuntime = defaultRuntime
	}
	if c.MaxUnackedOutcomes <= 0 {
		c.MaxUnackedOutcomes = defaultMaxUnackedOutcomes
	}
	c.StartSlots = max(c.StartSlots, 1)
	c.MaxWaitingOffers = max(c.MaxWaitingOffers, 1)
	return c
}
