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
	cfg       Config
	placer    *flaxshelf.Placer
	now       Time
	wakeAt    Time // when the module wants to be woken; 0: not
	events    []flaxshelf.Event
	out       []Effect
	tasks     map[string]*task
	owners    map[Conn]*owner
	admission *admission.Control
	silence   *timerqueue.Timer // of the next owner's connection that says nothing
	nodes     map[string]*node
	links     map[Link]*link
	lastLink  Link
	shows     uint64
	unsaid    []*Terminated // ends that no connection could be found for
	early     earlyEnds
	timers    timerqueue.Timers
	feed      feed
	stopping  bool
	figures   Stats
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
	return &Core{cfg: cfg, placer: p, tasks: map[string]*task{}, owners: map[Conn]*owner{},
		admission: admission.New(cfg.Admission), nodes: map[string]*node{},
		links: map[Link]*link{}, feed: feed{rng: rand.New(rand.NewPCG(cfg.Seed, 1))}}, nil
}

// rounds bounds how often one Step asks the module: what it does may end at once, as an offer to a node that has gone.
const rounds = 8

// Step takes what has happened, in order, and returns what to do now and when to step again at the latest (0: not).
// The effects are good until the next step.
func (c *Core) Step(now Time, inputs []Input) ([]Effect, Time) {
	c.now, c.out = max(now, c.now), c.out[:0]
	c.follow()
	// What has come goes before what falls due. Risk covered: a process that was stopped for a while takes answers for late
	// that were there in time.
	for _, in := range inputs {
		c.take(in)
	}
	c.timers.RunDue(c.now)
	for range rounds {
		if c.wakeAt > 0 && c.wakeAt <= c.now {
			c.wakeAt = 0
			c.tell(flaxshelf.TimerFired{})
		}
		if len(c.events) == 0 {
			break
		}
		events := c.events
		c.events = nil
		actions := c.placer.Step(c.now, events)
		if c.cfg.RecordStep != nil {
			c.cfg.RecordStep(c.now, events, actions)
		}
		for _, a := range actions {
			c.act(a)
		}
	}
	return c.out, c.wake()
}

func (c *Core) wake() Time {
	next := c.wakeAt
	if len(c.events) > 0 {
		return c.now + 1
	}
	if at, ok := c.timers.Next(); ok && (next == 0 || at < next) {
		next = at
	}
	return next
}

func (c *Core) emit(e Effect)          { c.out = append(c.out, e) }
func (c *Core) tell(e flaxshelf.Event) { c.events = append(c.events, e) }

func (c *Core) take(in Input) {
	switch in := in.(type) {
	case Submit:
		c.setUp(in)
	case Adopt:
		c.held(in)
	case Release:
		c.released(in.Conn, in.Task)
	case Migrated:
		c.released(in.Conn, in.Task)
	case Ping:
		if o := c.owners[in.Conn]; o != nil {
			c.admission.Pinged(c.now, admission.ID(in.Conn))
			c.emit(Pong{in.Conn, in.Task, !c.stopping})
		}
	case OwnerConnected:
		c.opened(in)
	case OwnerDisconnected:
		c.closed(in.Conn)
	case ProtocolError:
		if c.admission.ProtocolError(admission.ID(in.Conn)) {
			c.closeOwner(in.Conn)
		}
	case LinkUp:
		c.up(in.Link)
	case LinkDown:
		c.down(in)
	case NodeMessage:
		c.heard(in)
	case SendFailed:
		if a := c.attemptOn(in.Link, in.Task); a != nil && a.phase == offered && a.n == in.Attempt {
			c.end(a, flaxshelf.NotSent, flaxshelf.UnspecifiedReason)
		}
	case NodesUpdated:
		c.listed(in)
	case WatchEstablished:
		c.feed.fails = 0
		c.tell(flaxshelf.MachinesUpdated{})
	case WatchFailed:
		c.feedDown()
	case Shutdown:
		c.stopping = true
	}
}

func (c *Core) act(a flaxshelf.Action) {
	switch a := a.(type) {
	case flaxshelf.Offer:
		c.offer(a)
	case flaxshelf.Cancel:
		if t := c.tasks[a.Task]; t != nil && t.live != nil && t.live.n == a.Attempt && t.live.phase <= offered {
			c.withdraw(t.live)
		}
	case flaxshelf.Reject:
		c.answer(a.Task, CauseRejected)
	case flaxshelf.Fail:
		c.answer(a.Task, CauseLost)
	case flaxshelf.Migrate:
		if t := c.tasks[a.Task]; t != nil && t.live != nil && t.live.phase == standing {
			c.sayOver(t, Terminated{Task: t.id, Migrate: true})
			c.endByOwner(t)
		}
	case flaxshelf.SetTimer:
		if at := c.now + a.After; c.wakeAt == 0 || at < c.wakeAt {
			c.wakeAt = at
		}
	case flaxshelf.Subscribe:
		c.emit(Subscribe{})
	}
}

// Idle tells whether nothing waits for an answer.
func (c *Core) Idle() bool { return c.figures.Pending == 0 }

// Stats tells what the core has and has done.
func (c *Core) Stats() Stats {
	f := c.figures
	f.Owners, f.Nodes, f.Links = len(c.owners), len(c.nodes), len(c.links)
	return f
}
