package flaxshelf

import (
	"math/rand/v2"

	"flaxshelf.example/flaxshelf/internal/machineindex"
)

// randomStream is the second half of the seed of the random generator, the same for every Placer. The first half is an
// argument of New.
const randomStream = 0x9e3779b97f4a7c15

// Placer makes the placement decisions of one scheduler. It is not safe for concurrent use.
type Placer struct {
	cfg      Config
	disabled [policyRuleCount]bool // by PolicyRule: switched off by Disable

	// random draws from randomSource, from which the vote also draws directly. Equal inputs give equal decisions only as long
	// as the order and number of draws stay the same.
	randomSource *rand.PCG
	random       *rand.Rand

	now       Time
	started   bool     // Step was called
	startedAt Time     // time of the first step
	actions   []Action // of the step in progress

	machines        map[string]*machine
	sortedMachines  []*machine // by ID; after refreshIndex, the position is the number in index
	removedMachines []*machine // machines that were removed; some may have been listed again since
	index           *machineindex.Index
	conditions      conditions
	observer        choiceObserver
	voteBuffers     voteBuffers

	// infeasible holds the equivalence classes of requests that no machine may take. It is cleared in each step and when a
	// machine has changed.
	infeasible map[equivalenceClass]bool

	tasks       map[string]*task
	openTasks   []*task         // submitted and not settled, in the order in which they are processed
	sortBuffer  []*task         // reused by sortOpenTasks
	tenantCores map[int]float64 // cores requested by this scheduler's active attempts, by tenant

	history   *machineindex.History // the placements that the vote replays
	lifetimes []lifetimeStats       // by class

	latencyMean      float64 // smoothed time from offer to AttemptPlaced, in seconds
	latencyDeviation float64 // smoothed absolute deviation from it, in seconds

	timerDue          Time // when the earliest pending timer fires; zero means none
	subscribeAt       Time // when to subscribe next; zero means never
	discoveryFailures int  // in a row

	unknownClass TaskClass // stands for any class that is not in the settings
}

// New returns the Placer of one scheduler. Equal settings, seeds and sequences of steps give equal actions. If cfg is
// invalid, the error is a *ConfigError.
func New(cfg Config, seed uint64) (*Placer, error) {
	if err := validate(&cfg); err != nil {
		return nil, err
	}
	cfg.Schedulers = max(cfg.Schedulers, 1)
	source := rand.NewPCG(seed, randomStream)
	index := machineindex.New(machineindex.Options{
		Affinity:                affinityPolicy(cfg.Kinds),
		HistoryLimit:            maxHistoryPlacements,
		ServiceRemovalThreshold: serviceRemovalThreshold,
	})
	return &Placer{
		cfg:          cfg,
		randomSource: source,
		random:       rand.New(source),
		machines:     map[string]*machine{},
		index:        index,
		conditions:   newConditions(index, len(cfg.Kinds), len(cfg.Classes)),
		observer:     noObserver{},
		infeasible:   map[equivalenceClass]bool{},
		history:      index.History(),
		tasks:        map[string]*task{},
		lifetimes:    make([]lifetimeStats, len(cfg.Classes)),
		tenantCores:  map[int]float64{},
		unknownClass: TaskClass{Idempotency: NonIdempotent, Kind: -1},
	}, nil
}
