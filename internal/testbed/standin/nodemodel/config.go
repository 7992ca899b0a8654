package nodemodel

import "time"

// Config is the size and the behaviour of a node. Cores are counted in cores, memory in GiB.
type Config struct {
	Name string
	Zone string
	// Cores and Memory are the size of the machine.
	Cores  float64
	Memory float64
	// CoreOvercommit and MemoryOvercommit are the multiples of the machine's size up to which tasks are accepted.
	CoreOvercommit   float64
	MemoryOvercommit float64
	// OfferReviewTime is how long the node reviews an offer before it answers. It reviews one offer at a time.
	OfferReviewTime time.Duration
	// MaxWaitingOffers is how many offers may wait for review; further ones are rejected at once. At least 1.
	MaxWaitingOffers int
	// StartSlots is how many tasks start at a time. At least 1.
	StartSlots int
	// CachedStartTime is how long a start takes at full rate when the task's program is cached.
	CachedStartTime time.Duration
	// UncachedStartFactor multiplies CachedStartTime when the program is not cached. Values below 1 count as 1.
	UncachedStartFactor float64
	// MaxCachedPrograms is how many programs stay cached after their last task. 0 caches none.
	MaxCachedPrograms int
	// SlowStartInitialRate is the share of the full start rate that a node has when it boots. The share rises evenly to 1
	// within SlowStartDuration.
	SlowStartInitialRate float64
	// SlowStartDuration is how long the node warms up after it boots. 0: it is warm from the start.
	SlowStartDuration time.Duration
	// OverloadMultiple and OverloadWindow say when a node that warms up breaks down: when the offers within OverloadWindow
	// exceed this multiple of the starts that it can do in that time. A window of 0 turns this off.
	OverloadMultiple float64
	OverloadWindow   time.Duration
	// SlowStartBudget is how many offers within OverloadWindow never break the node down.
	SlowStartBudget float64
	// Preempts says whether the node evicts tasks of lower priority when an offered task does not fit.
	Preempts bool
	// DrainMigrationInterval is how often a draining node ends one of its tasks so that it moves elsewhere. 0: tasks stay
	// until they end.
	DrainMigrationInterval time.Duration
	// CoreUsageRange and MemoryUsageRange bound the share of its request that a task uses; each task draws its own.
	CoreUsageRange   [2]float64
	MemoryUsageRange [2]float64
	// UsageReportInterval is how often the node looks for memory pressure and sends usage reports. 0: never.
	UsageReportInterval time.Duration
	// SendsLoadReports says whether answers carry the node's free resources.
	SendsLoadReports bool
	// DefaultRuntime is the mean of the runtime of a task that does not give its own. 0: 20 s.
	DefaultRuntime time.Duration
	// MaxUnackedOutcomes is how many outcomes are retained for a scheduler until it acknowledges them. 0: 100,000.
	MaxUnackedOutcomes int
	// Seed determines all that the node draws.
	Seed uint64
}

const (
	defaultRuntime            = 20 * time.Second
	defaultMaxUnackedOutcomes = 100_000
)

// withDefaults fills in what is not set.
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
