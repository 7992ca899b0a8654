package requests

import (
	"fmt"
	"math/rand/v2"
	"time"

	"flaxshelf.example/flaxshelf"
	"flaxshelf.example/flaxshelf/internal/admission"
	"flaxshelf.example/flaxshelf/internal/timerqueue"
)

// Config is what a Core is told when it starts.
type Config struct {
	Module flaxshelf.Config
	Seed   uint64
	// NodeUnreachableTimeout is how long a node may be out of reach before what stands there counts as cut. The platform wants
	// owners notified within 8 s of an end that no node could report.
	NodeUnreachableTimeout time.Duration
	// NodeIdleTimeout is after how long without traffic nodes close a connection; 0: not told.
	NodeIdleTimeout time.Duration
	Admission       admission.Limits
	MaxPending      int // set-ups that may wait for their answer; more are refused
	// MaxLinks bounds the links to nodes, those that are being made included; 0: no bound. Where nodes are more, links go to
	// those that are asked, then to those where tasks of ours stand, then to others.
	MaxLinks int
	// RecordStep, when set, is given each step of the module. It must not keep or change the slices.
	RecordStep func(now Time, events []flaxshelf.Event, actions []flaxshelf.Action)
}

// Core is the state machine of one scheduler on the platform. It is not safe for concurrent use.
type Core struct {
	config              Config
	placer              *flaxshelf.Placer
	now                 Time
	moduleTimerAt       Time // when the module wants to be woken; 0: not
	pendingEvents       []flaxshelf.Event
	effects             []Effect
	tasks               map[string]*task
	owners              map[Conn]*owner
	admission           *admission.Control
	idleTimer           *timerqueue.Timer // of the next owner's connection that says nothing
	nodes               map[string]*node
	links               map[Link]*link
	lastLinkID          Link
	activityCount       uint64
	undelivered         []*Terminated // ends that no connection could be found for
	unknownTerminations unknownTerminations
	timers              timerqueue.Timers
	watch               discoveryWatch
	shuttingDown        bool
	stats               Stats
}

// New makes the core of one scheduler in a new life.
func New(cfg Config) (*Core, error) {
	if cfg.NodeUnreachableTimeout <= 0 || cfg.MaxPending < 1 || cfg.MaxLinks < 0 ||
		cfg.Admission.MaxConnections < 1 || cfg.Admission.MaxPendingPerConnection < 1 || cfg.Admission.IdleTimeout <= 0 {
		return nil, fmt.Errorf("requests: Config: all bounds must be above 0")
	}
	p, err := flaxshelf.New(cfg.Module, cfg.Seed)
	if err != nil {
		return nil, fmt.Errorf("requests: module settings: %w", err)
	}
	return &Core{config: cfg, placer: p, tasks: map[string]*task{}, owners: map[Conn]*owner{},
		admission: admission.New(cfg.Admission), nodes: map[string]*node{},
		links: map[Link]*link{}, watch: discoveryWatch{rng: rand.New(rand.NewPCG(cfg.Seed, 1))}}, nil
}

// maxModuleRounds bounds how often one Step asks the module: what it does may end at once, as an offer to a node that has gone.
const maxModuleRounds = 8

// Step takes what has happened, in order, and returns what to do now and when to step again at the latest (0: not).
// The effects are good until the next step.
func (c *Core) Step(now Time, inputs []Input) ([]Effect, Time) {
	c.now, c.effects = max(now, c.now), c.effects[:0]
	c.startWatch()
	// What has come goes before what falls due. Risk covered: a process that was stopped for a while takes answers for late
	// that were there in time.
	for _, in := range inputs {
		c.handleInput(in)
	}
	c.timers.RunDue(c.now)
	for range maxModuleRounds {
		if c.moduleTimerAt > 0 && c.moduleTimerAt <= c.now {
			c.moduleTimerAt = 0
			c.notifyModule(flaxshelf.TimerFired{})
		}
		if len(c.pendingEvents) == 0 {
			break
		}
		events := c.pendingEvents
		c.pendingEvents = nil
		actions := c.placer.Step(c.now, events)
		if c.config.RecordStep != nil {
			c.config.RecordStep(c.now, events, actions)
		}
		for _, a := range actions {
			c.handleAction(a)
		}
	}
	return c.effects, c.nextDeadline()
}

func (c *Core) nextDeadline() Time {
	next := c.moduleTimerAt
	if len(c.pendingEvents) > 0 {
		return c.now + 1
	}
	if at, ok := c.timers.Next(); ok && (next == 0 || at < next) {
		next = at
	}
	return next
}

func (c *Core) emit(e Effect)                  { c.effects = append(c.effects, e) }
func (c *Core) notifyModule(e flaxshelf.Event) { c.pendingEvents = append(c.pendingEvents, e) }

func (c *Core) handleInput(in Input) {
	switch in := in.(type) {
	case Submit:
		c.submit(in)
	case Adopt:
		c.adopt(in)
	case Release:
		c.releaseByOwner(in.Conn, in.Task)
	case Migrated:
		c.releaseByOwner(in.Conn, in.Task)
	case Ping:
		if o := c.owners[in.Conn]; o != nil {
			c.admission.Touch(c.now, admission.ID(in.Conn))
			c.emit(Pong{in.Conn, in.Task, !c.shuttingDown})
		}
	case OwnerConnected:
		c.connectOwner(in)
	case OwnerDisconnected:
		c.disconnectOwner(in.Conn)
	case ProtocolError:
		if c.admission.ProtocolError(admission.ID(in.Conn)) {
			c.closeOwner(in.Conn)
		}
	case LinkUp:
		c.linkUp(in.Link)
	case LinkDown:
		c.linkDown(in)
	case NodeMessage:
		c.handleNodeMessage(in)
	case SendFailed:
		if a := c.attemptOn(in.Link, in.Task); a != nil && a.phase == offered && a.number == in.Attempt {
			c.endAttempt(a, flaxshelf.NotSent, flaxshelf.UnspecifiedReason)
		}
	case NodesUpdated:
		c.updateNodes(in)
	case WatchEstablished:
		c.watch.failures = 0
		c.notifyModule(flaxshelf.MachinesUpdated{})
	case WatchFailed:
		c.watchFailed()
	case Shutdown:
		c.shuttingDown = true
	}
}

func (c *Core) handleAction(a flaxshelf.Action) {
	switch a := a.(type) {
	case flaxshelf.Offer:
		c.offer(a)
	case flaxshelf.Cancel:
		if t := c.tasks[a.Task]; t != nil && t.attempt != nil && t.attempt.number == a.Attempt && t.attempt.phase <= offered {
			c.withdrawOffer(t.attempt)
		}
	case flaxshelf.Reject:
		c.failRequest(a.Task, CauseRejected)
	case flaxshelf.Fail:
		c.failRequest(a.Task, CauseLost)
	case flaxshelf.Migrate:
		if t := c.tasks[a.Task]; t != nil && t.attempt != nil && t.attempt.phase == running {
			c.notifyTerminated(t, Terminated{Task: t.id, Migrate: true})
			c.releaseRunning(t)
		}
	case flaxshelf.SetTimer:
		if at := c.now + a.After; c.moduleTimerAt == 0 || at < c.moduleTimerAt {
			c.moduleTimerAt = at
		}
	case flaxshelf.Subscribe:
		c.emit(Subscribe{})
	}
}

// Idle tells whether nothing waits for an answer.
func (c *Core) Idle() bool { return c.stats.Pending == 0 }

// Stats tells what the core has and has done.
func (c *Core) Stats() Stats {
	f := c.stats
	f.Owners, f.Nodes, f.Links = len(c.owners), len(c.nodes), len(c.links)
	return f
}
