package daemon

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"flaxshelf.example/flaxshelf/internal/clock"
	"flaxshelf.example/flaxshelf/internal/front/nodefront"
	"flaxshelf.example/flaxshelf/internal/replay"
	"flaxshelf.example/flaxshelf/internal/scheduler"
	"flaxshelf.example/flaxshelf/internal/shard"
	"flaxshelf.example/flaxshelf/internal/transport"
)

const (
	pace    = 500 * time.Microsecond // least time between steps, so that a burst shares them
	mailbox = 1 << 16                // messages that may wait for a core
	batch   = 4096                   // of which one step takes
)

// message is what loops pass to the owner of a core.
type message struct {
	in      scheduler.Input
	reply   func(*scheduler.Answer)    // for inputs with a request
	stream  func(*scheduler.Info) bool // for a watch: false ends it
	beat    func() bool                // of the stream; nil where another core does it
	came    time.Time                  // when the request had been read
	submits bool
	from    *transport.Conn   // of a node
	addrs   map[string]string // of a listing
}

// core is one scheduler.Core with the goroutine that owns it. All its fields but the channels are the owner's.
type core struct {
	d       *Daemon
	i       int
	machine *scheduler.Core
	box     chan message
	done    chan struct{}
	drained chan struct{}
	tap     *replay.Writer

	req      uint64
	waiting  map[uint64]message
	streams  map[uint64]message
	came     map[string]time.Time // of jobs not yet offered
	links    map[string]*outgoing
	addrs    map[string]string
	scratch  scratch
	draining bool
}

func newCore(d *Daemon, i, n int) (*core, error) {
	c := &core{d: d, i: i, box: make(chan message, mailbox), done: make(chan struct{}), drained: make(chan struct{}),
		waiting: map[uint64]message{}, streams: map[uint64]message{}, came: map[string]time.Time{},
		links: map[string]*outgoing{}, addrs: map[string]string{}}
	c.scratch.init()
	cfg := shard.Divide(d.set.CoreConfig(d.boot), i, n)
	if d.set.ModuleRecording != "" {
		path := d.set.ModuleRecording
		if i > 0 {
			path += fmt.Sprintf(".%d", i)
		}
		tap, err := replay.Create(path, cfg.Module, cfg.Seed)
		if err != nil {
			return nil, err
		}
		c.tap, cfg.RecordStep = tap, tap.Step
	}
	cfg.WrapStep = d.metrics.module
	var err error
	if c.machine, err = scheduler.New(cfg); err != nil {
		if c.tap != nil {
			err = errors.Join(err, c.tap.Close())
		}
		return nil, err
	}
	return c, nil
}

// pass hands a message to the owner and waits for room; not for loops.
func (c *core) pass(m message) {
	select {
	case c.box <- m:
	case <-c.done:
	}
}

// offer hands a message to the owner if there is room; for loops.
func (c *core) offer(m message) bool {
	select {
	case c.box <- m:
		return true
	default:
		c.d.metrics.full.Inc()
		return false
	}
}

// own is the goroutine that owns the core.
func (c *core) own() {
	defer close(c.done)
	floor()
	defer keepFloor()
	wake := time.NewTimer(0)
	defer wake.Stop()
	beat, ping := time.NewTicker(beatEvery), time.NewTicker(pingEvery)
	defer beat.Stop()
	defer ping.Stop()
	var last time.Time
	for {
		var inputs []scheduler.Input
		var stop bool
		select {
		case m := <-c.box:
			stop = c.take(m, &inputs)
		case <-wake.C:
		case <-beat.C:
			c.beat()
			continue
		case <-ping.C:
			c.ping()
			continue
		}
		if rest := pace - time.Since(last); rest > 0 && !stop {
			time.Sleep(rest)
		}
	drain:
		for !stop && len(inputs) < batch {
			select {
			case m := <-c.box:
				stop = c.take(m, &inputs)
			default:
				break drain
			}
		}
		if stop {
			return
		}
		last = time.Now()
		now := clock.At(last)
		out := c.machine.Step(now, inputs)
		if c.d.hook != nil {
			out.Effects = c.d.hook.Out(now, out.Effects)
		}
		c.carry(now, out.Effects)
		c.d.metrics.step(time.Since(last), len(inputs))
		wake.Reset(max(out.Wake-clock.Now(), 0))
	}
}

// take prepares a message for the core. It is true for the message that stops the daemon.
func (c *core) take(m message, inputs *[]scheduler.Input) bool {
	switch in := m.in.(type) {
	case nil:
		return true
	case scheduler.NodesUpdated:
		if len(c.d.cores) > 1 { // the core writes into it, and others have the same
			in.Machines = slices.Clone(in.Machines)
			m.in = in
		}
		for name, a := range m.addrs {
			c.addrs[name] = a
		}
	case scheduler.NodeUp:
		if !c.d.nodes.wanted(in.Node) {
			m.from.Close(errors.New("daemon: the node is no longer asked for"))
			return false
		}
		c.link(in.Node).conn = m.from
	case scheduler.NodeDown:
		if l := c.links[in.Node]; l != nil {
			l.conn = nil
		}
	case numbered:
		c.req++
		if m.reply != nil {
			c.waiting[c.req] = m
		}
		if m.stream != nil {
			c.streams[c.req] = m
		}
		m.in = in.call(c.req, c.req)
		if s, ok := m.in.(scheduler.Submit); ok && m.reply != nil {
			s.ReceivedAt = clock.At(m.came)
			m.in, m.submits = s, true
			c.waiting[c.req] = m
		}
	}
	if c.d.hook != nil {
		m.in = c.d.hook.In(m.in)
	}
	*inputs = append(*inputs, m.in)
	return false
}

// numbered is a request that waits for its number.
type numbered struct {
	scheduler.Input
	call func(req, stream uint64) scheduler.Input
}

// carry carries out effects in order. Frames for one node go to its loop together.
func (c *core) carry(now scheduler.Time, effects []scheduler.Effect) {
	var touched []*outgoing
	to := func(node string) *outgoing {
		l := c.links[node]
		if l == nil || l.conn == nil {
			return nil
		}
		if l.box.Empty() {
			touched = append(touched, l)
		}
		return l
	}
	for _, e := range effects {
		switch e := e.(type) {
		case scheduler.SendOffer:
			c.d.metrics.offers.Inc()
			if came, ok := c.came[e.Job]; ok {
				delete(c.came, e.Job)
				c.d.metrics.toOffer.record(time.Since(came))
			}
			if l := to(e.Node); l != nil {
				c.putOffer(l, &e)
			} else {
				c.late(e.Node, e.Attempt)
			}
		case scheduler.SendStop:
			if l := to(e.Node); l != nil {
				l.put(nodefront.Stop(e.Attempt))
			}
		case scheduler.SendAck:
			if l := to(e.Node); l != nil {
				l.put(nodefront.Ack(e.Attempt))
			}
		case scheduler.SendHealthCheck:
			if l := to(e.Node); l != nil {
				l.put(nodefront.Probe())
			}
		case scheduler.Connect:
			c.connect(e.Node)
		case scheduler.Disconnect:
			delete(c.links, e.Node)
			c.d.nodes.unwant(c.i, e.Node)
		case scheduler.SubscribeDiscovery:
			c.subscribe()
		case scheduler.SyncDiscovery:
			c.sync(e.Token)
		case scheduler.SyncNode:
			if l := to(e.Node); l != nil {
				l.put(nodefront.Ping(shard.Token(c.i, e.Token)))
			}
		case scheduler.Answer:
			if m, ok := c.waiting[e.Req]; ok {
				delete(c.waiting, e.Req)
				for i := range e.Jobs {
					if m.submits && !e.Existing {
						c.came[e.Jobs[i].ID] = m.came
					}
				}
				if e.Err != nil {
					delete(c.streams, e.Req)
				}
				m.reply(&e)
			}
		case scheduler.Publish:
			if m, ok := c.streams[e.Stream]; ok && !m.stream(&e.Info) {
				c.unwatch(e.Stream)
			}
		case scheduler.LogOutcome:
			delete(c.came, e.Info.ID)
			c.d.outcome(&e)
		case scheduler.Drained:
			if !c.draining {
				c.draining = true
				close(c.drained)
			}
		}
	}
	for _, l := range touched {
		c.flush(l, now)
	}
}

func (c *core) unwatch(stream uint64) {
	delete(c.streams, stream)
	c.again(scheduler.Unwatch{Stream: stream})
}

// again gives the core an input in its next step.
func (c *core) again(in scheduler.Input) {
	if !c.offer(message{in: in}) {
		go c.pass(message{in: in}) // the owner can't wait for itself
	}
}

func (c *core) beat() {
	for id, m := range c.streams {
		if !m.beat() {
			c.unwatch(id)
		}
	}
}
