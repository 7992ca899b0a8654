package flaxshelf

import "time"

// Tuned values of the decisions. None comes from a deployment; where a setting of the deployment fits, it is
// used instead.
const (
	// The replay vote.
	replayRuns        = 24               // replays in a vote
	historyLifetimes  = 3.0              // mean lifetimes that the history reaches back
	maxHistory        = 768              // placements in the history, which bounds the work of a vote
	initialLifetime   = 60 * time.Second // the mean lifetime before any task has ended
	minMeanLifetime   = time.Second
	maxMeanLifetime   = 5 * time.Minute // of the longest-lived class, for the reach of the history
	shortfallWeight   = 3.0             // load that counts for a machine that serves none of its tasks
	largeTaskSize     = 0.15            // a task that requests more of a machine is large
	topAffinityCount  = 12              // machines of the highest affinity that are kept for a service, in expectation
	minCandidates     = 2               // that most soft constraints must leave; else they are skipped
	consolidationFill = 0.85            // to which machines are filled, where those in use are priced

	// Capacity and offers.
	listDelay             = time.Second // the listed free capacity may lack what was requested so long before
	maxOfferWindow        = 16          // pending offers at which their limit after a rejection ends
	rejectionBackoff      = 500 * time.Millisecond
	maxRejectionDoublings = 3
	queueFullBackoff      = 150 * time.Millisecond

	// Ejection of machines that fail.
	baseEjection         = 500 * time.Millisecond
	maxEjectionDoublings = 4
	failureMemory        = 10 * time.Second // failures and successes count so long

	// Overload and migration.
	overloadDuration     = 1500 * time.Millisecond
	fullServiceLevel     = 0.95 // a service level below it is a sign of overload
	memoryPressureLimit  = 0.92 // fraction of a machine's memory in use beyond which memory is short
	memoryShortfall      = 0.3  // service shortfall that counts where memory is short or tasks were evicted
	poorServiceShortfall = 0.5  // a task that lacks so much of full service may be migrated

	// Load reports.
	reportedLoadMargin = 0.3 // a reported load so far over the mean of its peers contradicts the replay
	reportFreshness    = 3 * time.Second

	// Waiting tasks and time-outs.
	placementRetryInterval = 40 * time.Millisecond // between choices for a queued task
	minQueueLimit          = 5 * time.Second       // a task may be queued so long at least
	minAttemptTimeout      = 50 * time.Millisecond
	latencySmoothing       = 8 // the latest latency counts for one part in so many
	latencyDeviations      = 4 // beyond the mean latency, until an attempt times out
	answerDeadlineMargin   = time.Millisecond

	// Discovery.
	subscribeBackoff        = 250 * time.Millisecond
	maxSubscribeDoublings   = 3
	minSubscribeInterval    = time.Second
	removedMachineRetention = time.Minute // how long a removed machine is remembered
	maxIdleServices         = 4096        // services that are remembered although they have no active attempt
)
