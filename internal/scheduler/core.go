package scheduler

import (
	"fmt"
	"strconv"
	"time"

	"flaxshelf.example/flaxshelf"
	"flaxshelf.example/flaxshelf/internal/timerqueue"
)

// initialModuleTimer makes the module's timer due in the core's first step, so that the module subscribes to discovery at
// once. It is not zero, which would mean that no timer is set.
const initialModuleTimer Time = 1

// Core is the state machine of one scheduler. Its zero value is not usable; see New. It is not safe for concurrent use.
type Core struct {
	cfg        Config
	module     Module
	now        Time
	lastStepAt Time     // time of the previous step; zero before the first
	effects    []Effect // of the current step

	moduleTimerAt Time              // when the module's timer is due; zero means no timer is set
	moduleEvents  []flaxshelf.Event // for the module's next step

	idPrefix       string          // prefix of the IDs that this incarnation assigns
	lastJobNumber  uint64          // last number used in the ID of a job or an array
	lastSerial     uint64          // last serial number of an attempt
	lastRevision   uint64          // last revision of a job
	jobs           map[string]*job // by ID and by each alias
	jobsByKey      map[string]*job // by JobSpec.Key; the key of an array refers to its first job
	jobsByTask     map[string]*job // by the module's task ID, while the placement request or one of its attempts is open
	endedJobs      []*job          // in the order in which they ended; includes jobs that were reaped since
	openRequests   int             // jobs whose placement request is open
	unfinishedJobs int             // jobs that have not ended
	endedJobCount  int             // ended jobs that have not been removed

	arrays      map[string]*array   // by ID
	sessions    map[string]bool     // by name: the job sessions that exist
	attempts    map[string]*attempt // by ID: the attempts that have not ended
	nodes       map[string]*node    // by ID of the machine
	sortedNodes []*node             // ordered by ID

	watches  watches
	timers   timerqueue.Timers
	recovery recovery
	barrier  syncBarrier

	draining      bool
	drainReported bool
}

// New returns the core of a new incarnation of a scheduler. The error is a *ConfigError, or wraps the error of
// Config.NewModule.
func New(cfg Config) (*Core, error) {
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	if cfg.NewModule == nil {
		cfg.NewModule = newPlacer
	}
	module, err := cfg.NewModule(cfg.Module, cfg.Seed)
	if err != nil {
		return nil, fmt.Errorf("scheduler: module settings: %w", err)
	}
	return &Core{
		cfg:           cfg,
		module:        module,
		moduleTimerAt: initialModuleTimer,
		idPrefix:      IDPrefix(cfg.Name, cfg.StartedAt),
		jobs:          map[string]*job{},
		jobsByKey:     map[string]*job{},
		jobsByTask:    map[string]*job{},
		arrays:        map[string]*array{},
		sessions:      map[string]bool{},
		attempts:      map[string]*attempt{},
		nodes:         map[string]*node{},
		watches:       newWatches(),
		recovery:      recovery{active: true},
	}, nil
}

// IDPrefix returns the prefix of the IDs of all jobs and arrays that a scheduler of that name creates in the incarnation
// that started at startedAt.
func IDPrefix(name string, startedAt Time) string {
	return name + "." + strconv.FormatInt(int64(startedAt/time.Millisecond), 36) + "."
}

// Step applies the inputs that arrived since the last step and returns the effects to execute. If now is before the time
// of an earlier step, the latest time of all steps is used instead.
func (c *Core) Step(now Time, inputs []Input) Output {
	c.now = max(now, c.now)
	c.effects = make([]Effect, 0, len(c.effects)+8)
	c.checkStall()
	for _, in := range inputs {
		in.apply(c)
	}
	if !c.barrier.active() {
		c.timers.RunDue(c.now)
		c.checkRecovery()
		c.stepModule()
	}
	c.expireEndedJobs()
	c.reportDrained()
	c.lastStepAt = c.now
	return Output{Effects: c.effects, NextStep: c.nextStep()}
}

// nextStep returns the latest time of the next step. It is at most a quarter of the stall threshold ahead, so that an
// interval as long as the threshold is evidence of a stall.
func (c *Core) nextStep() Time {
	at := c.now + c.cfg.Limits.StallThreshold/4
	if c.barrier.active() {
		return min(at, c.barrier.deadline)
	}
	if next, ok := c.timers.Next(); ok {
		at = min(at, next)
	}
	if c.moduleTimerAt > 0 {
		at = min(at, c.moduleTimerAt)
	}
	if len(c.moduleEvents) > 0 {
		at = min(at, c.now+c.cfg.Module.Tick)
	}
	return max(at, c.now)
}

func (c *Core) emit(effect Effect) { c.effects = append(c.effects, effect) }

// answer answers a request. A requestID of zero means that no answer is wanted, for example for a command that is applied
// to each job of an array.
func (c *Core) answer(requestID uint64, answer Answer) {
	if requestID != 0 {
		answer.RequestID = requestID
		c.emit(answer)
	}
}

// answerJob answers a request with one job.
func (c *Core) answerJob(requestID uint64, job *job) {
	c.answer(requestID, Answer{Jobs: []JobInfo{job.info()}})
}

// answerArray answers a request with all jobs of an array.
func (c *Core) answerArray(requestID uint64, array *array) {
	c.answer(requestID, Answer{ArrayID: array.id, Jobs: array.infos()})
}

// reject answers a request with an error. A retryAfter of zero means that a retry is not expected to succeed.
func (c *Core) reject(requestID uint64, code ErrorCode, retryAfter time.Duration, format string, args ...any) {
	c.answer(requestID, Answer{Err: newError(code, retryAfter, format, args...)})
}

func (Drain) apply(c *Core) { c.draining = true }

// reportDrained emits Drained in the first step in which the core is draining and no placement request is open.
func (c *Core) reportDrained() {
	if c.draining && c.openRequests == 0 && !c.drainReported {
		c.drainReported = true
		c.emit(Drained{})
	}
}
