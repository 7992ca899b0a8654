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
	// MaxCachedPrograms is how many programs stay cached after their last task. Zero means none.
	MaxCachedPrograms int
	// SlowStartInitialRate is the fraction of the full start rate that a node has when it boots. The fraction rises linearly
	// to 1 within SlowStartDuration.
	SlowStartInitialRate float64
	// SlowStartDuration is the duration of the slow start after a boot. Zero means no slow start.
	SlowStartDuration time.Duration
	// OverloadMultiple and OverloadWindow determine when a node in slow start crashes of overload: when the offers within
	// OverloadWindow exceed this multiple of the starts that the node can do in that time. A window of zero means never.
	OverloadMultiple float64
	OverloadWindow   time.Duration
	// SlowStartBudget is the number of offers within OverloadWindow that never overload the node.
	SlowStartBudget float64
	// Preempts is whether the node preempts tasks of lower priority when an offered task does not fit.
	Preempts bool
	// DrainMigrationInterval is the interval at which a draining node ends one of its tasks, to be migrated. Zero means that
	// tasks run to their end.
	DrainMigrationInterval time.Duration
	// CoreUsageRange and MemoryUsageRange bound the fraction of its request that a task uses; each task draws its own.
	CoreUsageRange   [2]float64
	MemoryUsageRange [2]float64
	// UsageReportInterval is the interval at which the node checks for memory pressure and sends usage reports. Zero means
	// never.
	UsageReportInterval time.Duration
	// SendsLoadReports is whether replies have the node's free resources.
	SendsLoadReports bool
	// DefaultRuntime is the mean runtime of tasks that do not set their own. Zero means 20 s.
	DefaultRuntime time.Duration
	// MaxUnackedOutcomes limits the outcomes that are retained for a scheduler until it acknowledges them. Zero means 100,000.
	MaxUnackedOutcomes int
	// Seed determines the random numbers of the node.
	Seed uint64
}

const (
	defaultRuntime            = 20 * time.Second
	defaultMaxUnackedOutcomes = 100_000
)

// withDefaults returns the configuration with defaults for what is not set.
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
