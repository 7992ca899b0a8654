package flaxshelf

import (
	"math/rand/v2"

	"flaxshelf.example/flaxshelf/internal/machineindex"
)

// randomStream is the second half of the generator's seed. It is the same for all schedulers.
const randomStream = 0x9e3779b97f4a7c15

// Placer makes the decisions of one scheduler. It is not safe for concurrent use.
type Placer struct {
	cfg      Config
	disabled [policyRuleCount]bool // by Disable

	// random draws from randomSource, which the vote also reads directly. Equal inputs give equal decisions only while the
	// sequence of draws is the same.
	randomSource *rand.PCG
	random       *rand.Rand

	now       Time
	started   bool // the first Step has been made
	startedAt Time
	actions   []Action // of the step in progress

	machines        map[string]*machine
	sortedMachines  []*machine // in the order of their IDs; after refreshIndex, by their numbers in index
	removedMachines []*machine // removed when they were appended; may have been listed again since
	index           *machineindex.Index
	conditions      conditions
	observer        choiceObserver
	voteBuffers     voteBuffers

	// infeasible is the equivalence classes of requests that no machine may take, until something is offered or has changed.
	infeasible map[equivalenceClass]bool

	tasks       map[string]*task
	openTasks   []*task         // submitted and not settled, in the order in which they are served
	sortBuffer  []*task         // reused by sortOpenTasks
	tenantCores map[int]float64 // requested by this scheduler's active attempts, by tenant

	history   *machineindex.History // the placements that the vote replays
	lifetimes []lifetimeStats       // by class

	latencyMean      float64 // seconds from offer to AttemptPlaced, smoothed
	latencyDeviation float64 // seconds, smoothed

	timerDue          Time // the earliest timer that has not fired; zero means none
	subscribeAt       Time // when to subscribe next; zero means never
	discoveryFailures int  // in a row

	unknownClass TaskClass // of tasks whose class is not in the settings
}

// New returns the Placer of one scheduler. Equal settings, seeds and events give equal actions. Invalid settings give a
// *ConfigError.
func New(cfg Config, seed uint64) (*Placer, error) {
	if err := validate(&cfg); err != nil {
		return nil, err
	}
	cfg.Schedulers = max(cfg.Schedulers, 1)
	source := rand.NewPCG(seed, randomStream)
	index := machineindex.New(machineindex.Options{
		Affinity:        affinityPolicy(cfg.Kinds),
		HistoryLimit:    maxHistoryPlacements,
		MaxIdleServices: maxIdleServices,
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
