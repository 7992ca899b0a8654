package scheduler

import (
	"fmt"
	"strconv"
	"time"

	"flaxshelf.example/flaxshelf"
	"flaxshelf.example/flaxshelf/internal/timerqueue"
)

// Core is the state machine of one scheduler. Its zero value is of no use; see New. It is not safe for
// concurrent use.
type Core struct {
	cfg      Config
	placer   Module
	now      Time
	last     Time // the step before this one
	wakeAt   Time // when the module wants to be woken; 0: not
	events   []flaxshelf.Event
	out      []Effect
	rev      uint64
	serial   uint64
	lastID   uint64          // of jobs and arrays
	prefix   string          // of the IDs of what this life has taken
	jobs     map[string]*job // by ID, and by the IDs that were merged into another
	keys     map[string]*job
	asks     map[string]*job // by the module's task ID, while the ask or one of its attempts is open
	attempts map[string]*attempt
	nodes    map[string]*node
	order    []*node // by name
	sessions map[string]*session
	arrays   map[string]*array
	finished []*job // in order of their ends
	nOpen    int    // jobs without an outcome of their last ask
	nLive    int    // jobs that have not ended
	nEnded   int
	watches  watches
	timers   timerqueue.Timers
	recovery recovery
	fence    fence
	draining bool
	drained  bool // told so
}

// New makes the core of one scheduler in a new life.
func New(cfg Config) (*Core, error) {
	if cfg.Name == "" {
		return nil, fmt.Errorf("scheduler: Config.Name is empty")
	}
	l := cfg.Limits
	if l.MaxPending < 1 || l.MaxRunning < 1 || l.MaxFinished < 1 || l.MaxSessions < 1 || l.SettleTime <= 0 ||
		l.StallThreshold <= 0 || l.Retention <= 0 {
		return nil, fmt.Errorf("scheduler: Config.Limits: all bounds must be above 0: %+v", l)
	}
	if len(l.PlacementTimeouts) != len(cfg.Module.Classes) {
		return nil, fmt.Errorf("scheduler: Config.Limits.GiveUp: %d values for %d classes", len(l.PlacementTimeouts),
			len(cfg.Module.Classes))
	}
	if cfg.NewModule == nil {
		cfg.NewModule = func(m flaxshelf.Config, seed uint64) (Module, error) { return flaxshelf.New(m, seed) }
	}
	p, err := cfg.NewModule(cfg.Module, cfg.Seed)
	if err != nil {
		return nil, fmt.Errorf("scheduler: module settings: %w", err)
	}
	c := &Core{
		cfg: cfg, placer: p,
		jobs: map[string]*job{}, keys: map[string]*job{}, asks: map[string]*job{},
		attempts: map[string]*attempt{}, nodes: map[string]*node{},
		sessions: map[string]*session{}, arrays: map[string]*array{},
	}
	c.wakeAt = 1 // the module asks for the list in its first step
	c.prefix = fmt.Sprintf("%s.%s.", cfg.Name, strconv.FormatInt(int64(cfg.StartedAt/time.Millisecond), 36))
	c.recovery.on, c.watches = true, watches{topics: map[string][]uint64{}, of: map[uint64]string{}}
	return c, nil
}

// Step takes what came in since the last step and returns what to do now. Time must not go back; where a
// host's clock does, the core stays at the latest time it has seen.
func (c *Core) Step(now Time, inputs []Input) Output {
	c.now, c.out = max(now, c.now), make([]Effect, 0, len(c.out)+8)
	c.checkStall()
	for _, in := range inputs {
		c.take(in)
	}
	if !c.fence.up() {
		c.timers.RunDue(c.now)
		c.checkRecovery()
		c.stepModule()
	}
	c.forget()
	if c.draining && c.nOpen == 0 && !c.drained {
		c.drained = true
		c.emit(Drained{})
	}
	c.last = c.now
	return Output{Effects: c.out, Wake: c.wake()}
}

// wake is never far off, so that a step which comes late is known for a stall.
func (c *Core) wake() Time {
	at := c.now + c.cfg.Limits.StallThreshold/4
	if c.fence.up() {
		return min(at, c.fence.until)
	}
	if next, ok := c.timers.Next(); ok {
		at = min(at, next)
	}
	if c.wakeAt > 0 {
		at = min(at, c.wakeAt)
	}
	if len(c.events) > 0 {
		at = min(at, c.now+c.cfg.Module.Tick)
	}
	return max(at, c.now)
}

func (c *Core) emit(e Effect)          { c.out = append(c.out, e) }
func (c *Core) tell(e flaxshelf.Event) { c.events = append(c.events, e) }

// answer answers a request; 0 stands for what nobody waits for, as a command on one job of an array.
func (c *Core) answer(req uint64, a Answer) {
	if req != 0 {
		a.Req = req
		c.emit(a)
	}
}

func (c *Core) refuse(req uint64, code ErrorCode, after time.Duration, format string, args ...any) {
	c.answer(req, Answer{Err: &Error{Code: code, Message: fmt.Sprintf(format, args...), RetryAfter: after}})
}

func (c *Core) take(in Input) {
	switch in := in.(type) {
	case Submit:
		c.submit(in)
	case Command:
		c.command(in)
	case Query:
		c.query(in)
	case SessionCommand:
		c.sessionCommand(in)
	case Machines:
		c.machines(in)
	case Watch:
		c.watch(in)
	case Unwatch:
		c.watches.remove(in.Stream)
	case NodeUp:
		c.nodeUp(in)
	case NodeDown:
		c.nodeDown(in)
	case AttemptAccepted:
		c.accepted(in)
	case AttemptRejected:
		c.refused(in)
	case AttemptFailed:
		c.failed(in)
	case AttemptStarted:
		c.started(in)
	case UsageReport:
		c.noted(in)
	case AttemptEnded:
		c.ended(in)
	case HealthChecked:
		c.probed(in)
	case SendFailed:
		c.notSent(in)
	case NodesUpdated:
		c.listed(in)
	case DiscoveryFailed:
		c.tell(flaxshelf.DiscoveryFailed{})
		c.fence.lost()
	case DiscoverySynced:
		c.fence.synced(in.Token)
	case NodeSynced:
		c.fence.nodeSynced(in.Node, in.Token)
	case Drain:
		c.draining = true
	}
}

// stepModule gives the module what has happened and carries out what it answers. What follows at once from
// its answers, as an offer to a node that can't be reached, waits for the next step.
func (c *Core) stepModule() {
	if c.wakeAt > 0 && c.now >= c.wakeAt {
		c.wakeAt = 0
		c.tell(flaxshelf.TimerFired{})
	}
	if len(c.events) == 0 {
		return
	}
	events := c.events
	c.events = nil
	var actions []flaxshelf.Action
	step := func() { actions = c.placer.Step(c.now, events) }
	if c.cfg.WrapStep != nil {
		c.cfg.WrapStep(step)
	} else {
		step()
	}
	if c.cfg.RecordStep != nil {
		c.cfg.RecordStep(c.now, events, actions)
	}
	for _, a := range actions {
		c.carry(a)
	}
}

// carry maps an action of the module to effects. None is left out or added here.
func (c *Core) carry(a flaxshelf.Action) {
	switch a := a.(type) {
	case flaxshelf.Offer:
		c.offer(a)
	case flaxshelf.Cancel:
		c.withdraw(a)
	case flaxshelf.Reject:
		c.settle(a.Task, OutcomeRejected)
	case flaxshelf.Fail:
		c.settle(a.Task, OutcomeFailed)
	case flaxshelf.Migrate:
		c.move(a)
	case flaxshelf.HealthCheck:
		c.probe(a)
	case flaxshelf.Subscribe:
		c.emit(SubscribeDiscovery{})
	case flaxshelf.SetTimer:
		if at := c.now + a.After; c.wakeAt == 0 || at < c.wakeAt {
			c.wakeAt = at
		}
	case flaxshelf.SendGossip: // only where Config.CanMessage, which no deployment of the program sets
	}
}
