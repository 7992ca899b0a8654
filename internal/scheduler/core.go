package scheduler

import (
	"fmt"
	"strconv"
	"time"

	"flaxshelf.example/flaxshelf"
	"flaxshelf.example/flaxshelf/internal/timerqueue"
)

// firstModuleStep is a time in the past, so that the module's first step, in which it subscribes to discovery, is that of
// the core.
const firstModuleStep Time = 1

// Core is the state machine of one scheduler. Its zero value is not usable; see New. It is not safe for concurrent use.
type Core struct {
	cfg        Config
	module     Module
	now        Time
	lastStepAt Time     // time of the previous step; zero before the first
	effects    []Effect // of this step

	moduleStepAt Time // of the module's timer; zero means no timer is set
	moduleEvents []flaxshelf.Event

	idPrefix       string // of the IDs that this incarnation assigns
	lastJobNumber  uint64 // of jobs and arrays
	lastSerial     uint64 // of attempts
	lastRevision   uint64 // of changes to jobs
	jobs           map[string]*job
	jobsByKey      map[string]*job
	jobsByTask     map[string]*job // by the module's task ID, while the placement request or one of its attempts is open
	endedJobs      []*job          // in the order in which they ended
	openRequests   int             // jobs whose placement request is open
	unfinishedJobs int             // jobs that have not ended
	endedJobCount  int             // ended jobs that have not been removed

	arrays      map[string]*array
	sessions    map[string]bool
	attempts    map[string]*attempt
	nodes       map[string]*node
	nodesByName []*node

	watches  watches
	timers   timerqueue.Timers
	recovery recovery
	barrier  syncBarrier

	draining      bool
	drainReported bool
}

// New returns the core of one scheduler in a new incarnation. The error is a *ConfigError, or wraps the error of
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
		cfg:          cfg,
		module:       module,
		moduleStepAt: firstModuleStep,
		idPrefix:     IDPrefix(cfg.Name, cfg.StartedAt),
		jobs:         map[string]*job{},
		jobsByKey:    map[string]*job{},
		jobsByTask:   map[string]*job{},
		arrays:       map[string]*array{},
		sessions:     map[string]bool{},
		attempts:     map[string]*attempt{},
		nodes:        map[string]*node{},
		watches:      newWatches(),
		recovery:     recovery{active: true},
	}, nil
}

// IDPrefix returns the prefix of the IDs of all jobs and arrays that a scheduler of that name creates in the incarnation
// that started at startedAt.
func IDPrefix(name string, startedAt Time) string {
	return name + "." + strconv.FormatInt(int64(startedAt/time.Millisecond), 36) + "."
}

// Step applies the inputs that arrived since the last step and returns the effects to execute. A time before that of an
// earlier step counts as the latest time that Step was called with.
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

// nextStep returns the time of the next step. It is at most a quarter of the stall threshold ahead, so that a longer
// interval between two steps is evidence of a stall.
func (c *Core) nextStep() Time {
	at := c.now + c.cfg.Limits.StallThreshold/4
	if c.barrier.active() {
		return min(at, c.barrier.deadline)
	}
	if next, ok := c.timers.Next(); ok {
		at = min(at, next)
	}
	if c.moduleStepAt > 0 {
		at = min(at, c.moduleStepAt)
	}
	if len(c.moduleEvents) > 0 {
		at = min(at, c.now+c.cfg.Module.Tick)
	}
	return max(at, c.now)
}

func (c *Core) emit(effect Effect) { c.effects = append(c.effects, effect) }

// answer answers a request. Zero means a request without an answer, such as a command on one job of an array.
func (c *Core) answer(req uint64, answer Answer) {
	if req != 0 {
		answer.RequestID = req
		c.emit(answer)
	}
}

// answerJob answers a request with one job.
func (c *Core) answerJob(req uint64, job *job) { c.answer(req, Answer{Jobs: []JobInfo{job.info()}}) }

// answerArray answers a request with all jobs of an array.
func (c *Core) answerArray(req uint64, array *array) {
	c.answer(req, Answer{ArrayID: array.id, Jobs: array.infos()})
}

// reject answers a request with an error. A retryAfter of zero means that a retry is not expected to succeed.
func (c *Core) reject(req uint64, code ErrorCode, retryAfter time.Duration, format string, args ...any) {
	c.answer(req, Answer{Err: newError(code, retryAfter, format, args...)})
}

func (Drain) apply(c *Core) { c.draining = true }

// reportDrained reports once that a draining core has no more open placement requests.
func (c *Core) reportDrained() {
	if c.draining && c.openRequests == 0 && !c.drainReported {
		c.drainReported = true
		c.emit(Drained{})
	}
}
