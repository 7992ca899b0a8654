// Package daemon owns a running scheduler: it joins the core to sockets, the clock, logs and metrics. It must
// decide nothing about jobs; one goroutine owns the core, event loops only parse and pass on.
package daemon

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"flaxshelf.example/flaxshelf/internal/clock"
	"flaxshelf.example/flaxshelf/internal/front/drmaafront"
	"flaxshelf.example/flaxshelf/internal/front/nodefront"
	"flaxshelf.example/flaxshelf/internal/replay"
	"flaxshelf.example/flaxshelf/internal/scheduler"
	"flaxshelf.example/flaxshelf/internal/settings"
	"flaxshelf.example/flaxshelf/internal/transport"
)

const (
	pace    = 500 * time.Microsecond // least time between steps, so that a burst shares them
	mailbox = 1 << 16                // messages that may wait for the core
	batch   = 4096                   // of which one step takes

	beatEvery = 10 * time.Second // of event streams
	pingEvery = time.Second      // of nodes and the inventory
	peerIdle  = 5 * time.Second  // a node or inventory that does not answer pings is cut off
)

// message is what loops pass to the owner of the core.
type message struct {
	in      scheduler.Input
	reply   func(*scheduler.Answer)    // for inputs with a request
	stream  func(*scheduler.Info) bool // for a watch: false ends it
	beat    func() bool                // of the stream
	came    time.Time                  // when the request had been read
	submits bool
	from    *transport.Conn   // of a node or the inventory
	addrs   map[string]string // of a listing
}

// Daemon is a running scheduler.
type Daemon struct {
	set   *settings.Scheduler
	log   zerolog.Logger
	boot  scheduler.Time
	core  *scheduler.Core
	front *drmaafront.Front
	box   chan message
	done  chan struct{}
	err   error

	server  *transport.Server
	dialer  *transport.Dialer
	clients atomic.Int64
	metrics *metrics
	tap     *replay.Writer
	hook    Hook

	// Of the owner's goroutine.
	req      uint64
	waiting  map[uint64]message
	streams  map[uint64]message
	came     map[string]time.Time // of jobs not yet offered
	links    map[string]*nodeLink
	addrs    map[string]string
	list     *transport.Conn
	scratch  scratch
	drained  chan struct{}
	draining bool
}

// Hook stands between the core and the sockets. It is there for tests of the rules' checker, whose host errs on
// purpose; both are called by the owner of the core.
type Hook interface {
	In(scheduler.Input) scheduler.Input
	Out(now scheduler.Time, effects []scheduler.Effect) []scheduler.Effect
}

// Start runs a daemon. Its address is known when Start returns.
func Start(set *settings.Scheduler, log zerolog.Logger) (*Daemon, error) {
	return StartHooked(set, log, nil)
}

// StartHooked is Start with a hook, for tests.
func StartHooked(set *settings.Scheduler, log zerolog.Logger, hook Hook) (*Daemon, error) {
	d := &Daemon{set: set, hook: hook, log: log.With().Str("scheduler", set.Name).Logger(), boot: clock.Now(),
		box: make(chan message, mailbox), done: make(chan struct{}), drained: make(chan struct{}),
		waiting: map[uint64]message{}, streams: map[uint64]message{}, came: map[string]time.Time{},
		links: map[string]*nodeLink{}, addrs: map[string]string{}}
	cfg := set.Core(d.boot)
	if set.Tap != "" {
		tap, err := replay.Create(set.Tap, cfg.Module, cfg.Seed)
		if err != nil {
			return nil, err
		}
		d.tap, cfg.Tap = tap, tap.Step
	}
	var err error
	if d.metrics, err = newMetrics(set.Metrics); err != nil {
		return nil, err
	}
	cfg.Around = d.metrics.module
	if d.core, err = scheduler.New(cfg); err != nil {
		return nil, err
	}
	d.front = drmaafront.New(set, d.boot)
	d.scratch.init()
	d.dialer, err = transport.NewDialer(transport.Options{MaxOut: set.Limits.NodeOut, Idle: peerIdle, Log: d.log})
	if err != nil {
		return nil, err
	}
	d.server, err = transport.Listen(set.Listen, transport.Options{MaxOut: set.Limits.ClientOut,
		Idle: set.Limits.Idle.Of(), Log: d.log}, d.accept)
	if err != nil {
		_ = d.dialer.Stop()
		return nil, err
	}
	go d.own()
	d.dialer.Link(set.Inventory, time.Second, backoff, func() transport.Peer {
		return &inventoryPeer{d: d,
			front: nodefront.Inventory{Set: set}}
	},
		func(err error) {
			d.log.Debug().Err(err).Msg("no connection to the inventory")
			d.pass(message{in: scheduler.ListFailed{}})
		})
	d.log.Info().Str("address", d.server.Addr()).Str("inventory", set.Inventory).Msg("the scheduler is up")
	return d, nil
}

var backoff = transport.Backoff{First: 20 * time.Millisecond, Most: time.Second}

// Addr is where clients reach the daemon.
func (d *Daemon) Addr() string { return d.server.Addr() }

// pass hands a message to the owner and waits for room; not for loops.
func (d *Daemon) pass(m message) {
	select {
	case d.box <- m:
	case <-d.done:
	}
}

// offer hands a message to the owner if there is room; for loops.
func (d *Daemon) offer(m message) bool {
	select {
	case d.box <- m:
		return true
	default:
		d.metrics.full.Inc()
		return false
	}
}

// Shutdown takes no new work, waits until what is in flight has its outcome, or for the time that the settings
// give, and stops. It returns an error where something had none by then. What runs, runs on at its nodes.
func (d *Daemon) Shutdown(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, d.set.Limits.StopWithin.Of())
	defer cancel()
	d.pass(message{in: scheduler.Drain{}})
	var err error
	select {
	case <-d.drained:
	case <-ctx.Done():
		err = errors.New("daemon: jobs were left without an outcome at the end of the time to stop")
	}
	return errors.Join(err, d.Stop())
}

// Stop stops at once.
func (d *Daemon) Stop() error {
	d.pass(message{})
	<-d.done
	return d.err
}

// own is the goroutine that owns the core.
func (d *Daemon) own() {
	defer close(d.done)
	defer d.close()
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
		case m := <-d.box:
			stop = d.take(m, &inputs)
		case <-wake.C:
		case <-beat.C:
			d.beat()
			continue
		case <-ping.C:
			d.ping()
			continue
		}
		if rest := pace - time.Since(last); rest > 0 && !stop {
			time.Sleep(rest)
		}
	drain:
		for !stop && len(inputs) < batch {
			select {
			case m := <-d.box:
				stop = d.take(m, &inputs)
			default:
				break drain
			}
		}
		if stop {
			return
		}
		last = time.Now()
		now := clock.At(last)
		out := d.core.Step(now, inputs)
		if d.hook != nil {
			out.Effects = d.hook.Out(now, out.Effects)
		}
		d.carry(now, out.Effects)
		d.metrics.step(time.Since(last), len(inputs))
		wake.Reset(max(out.Wake-clock.Now(), 0))
	}
}

// take prepares a message for the core. It is true for the message that stops the daemon.
func (d *Daemon) take(m message, inputs *[]scheduler.Input) bool {
	switch in := m.in.(type) {
	case nil:
		return true
	case scheduler.Listed:
		for name, a := range m.addrs {
			d.addrs[name] = a
		}
	case scheduler.NodeUp:
		l := d.links[in.Node]
		if l == nil {
			m.from.Close(errors.New("daemon: the node is no longer asked for"))
			return false
		}
		l.conn = m.from
	case scheduler.NodeDown:
		if l := d.links[in.Node]; l != nil {
			l.conn = nil
		}
	case scheduler.ListFailed:
		if d.list != nil && d.list.Gone() {
			d.list = nil
		}
	case listError:
		m.in = scheduler.ListFailed{}
	case numbered:
		d.req++
		if m.reply != nil {
			d.waiting[d.req] = m
		}
		if m.stream != nil {
			d.streams[d.req] = m
		}
		m.in = in.call(d.req, d.req)
		if _, ok := m.in.(scheduler.Submit); ok && m.reply != nil {
			m.submits = true
			d.waiting[d.req] = m
		}
	case listUp:
		d.list = m.from
		return false
	}
	if d.hook != nil {
		m.in = d.hook.In(m.in)
	}
	*inputs = append(*inputs, m.in)
	return false
}

// numbered is a request that waits for its number.
type numbered struct {
	scheduler.Input
	call func(req, stream uint64) scheduler.Input
}

// listUp tells that the connection to the inventory stands.
type listUp struct{ scheduler.Input }

// carry carries out effects in order. Frames for one node go to its loop together.
func (d *Daemon) carry(now scheduler.Time, effects []scheduler.Effect) {
	var touched []*nodeLink
	to := func(node string) *nodeLink {
		l := d.links[node]
		if l == nil || l.conn == nil {
			return nil
		}
		if len(l.out) == 0 {
			touched = append(touched, l)
		}
		return l
	}
	for _, e := range effects {
		switch e := e.(type) {
		case scheduler.SendOffer:
			d.metrics.offers.Inc()
			if came, ok := d.came[e.Job]; ok {
				delete(d.came, e.Job)
				d.metrics.toOffer.record(time.Since(came))
			}
			if l := to(e.Node); l != nil {
				d.putOffer(l, &e)
			} else {
				d.late(e.Node, e.Attempt)
			}
		case scheduler.SendStop:
			if l := to(e.Node); l != nil {
				l.put(nodefront.Stop(e.Attempt))
			}
		case scheduler.SendAck:
			if l := to(e.Node); l != nil {
				l.put(nodefront.Ack(e.Attempt))
			}
		case scheduler.SendProbe:
			if l := to(e.Node); l != nil {
				l.put(nodefront.Probe())
			}
		case scheduler.Connect:
			d.connect(e.Node)
		case scheduler.Disconnect:
			if l := d.links[e.Node]; l != nil {
				delete(d.links, e.Node)
				l.link.Cancel()
			}
		case scheduler.SubscribeList:
			d.subscribe()
		case scheduler.Sync:
			d.sync(e.Token)
		case scheduler.SyncNode:
			if l := to(e.Node); l != nil {
				l.put(nodefront.Ping(e.Token))
			}
		case scheduler.Answer:
			if m, ok := d.waiting[e.Req]; ok {
				delete(d.waiting, e.Req)
				for i := range e.Jobs {
					if m.submits && !e.Existing {
						d.came[e.Jobs[i].ID] = m.came
					}
				}
				if e.Err != nil {
					delete(d.streams, e.Req)
				}
				m.reply(&e)
			}
		case scheduler.Publish:
			if m, ok := d.streams[e.Stream]; ok && !m.stream(&e.Info) {
				d.unwatch(e.Stream)
			}
		case scheduler.OutcomeLine:
			d.outcome(&e)
		case scheduler.Drained:
			if !d.draining {
				d.draining = true
				close(d.drained)
			}
		}
	}
	for _, l := range touched {
		d.flush(l, now)
	}
}

func (d *Daemon) unwatch(stream uint64) {
	delete(d.streams, stream)
	d.again(scheduler.Unwatch{Stream: stream})
}

// again gives the core an input in its next step.
func (d *Daemon) again(in scheduler.Input) {
	if !d.offer(message{in: in}) {
		go d.pass(message{in: in}) // the owner can't wait for itself
	}
}

func (d *Daemon) beat() {
	for id, m := range d.streams {
		if !m.beat() {
			d.unwatch(id)
		}
	}
}

func (d *Daemon) outcome(o *scheduler.OutcomeLine) {
	i := &o.Info
	delete(d.came, i.ID)
	d.metrics.outcome(d.set, i)
	l := d.log.Info()
	if i.State.Ended() {
		l = l.Str("event", "ended")
	} else {
		l = l.Str("event", "outcome")
	}
	l.Str("job", i.ID).Str("session", i.Spec.Session).Str("class", d.set.Classes[i.Spec.Class].Name).
		Int("ask", i.Ask).Str("outcome", string(i.Outcome)).Str("attempt", o.Attempt).Str("node", i.Node).
		Str("state", string(i.State)).Str("sub", i.Sub).Str("reason", i.Note).
		Dur("waited", time.Duration(clock.Now()-i.AskedAt)).Msg("job")
}

func (d *Daemon) close() {
	var errs []error
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	// Loops must not find the box full for want of its reader.
	stopped := make(chan struct{})
	go func() {
		for {
			select {
			case <-d.box:
			case <-stopped:
				return
			}
		}
	}()
	errs = append(errs, d.server.Stop(ctx), d.dialer.Stop(), d.metrics.close())
	close(stopped)
	if d.tap != nil {
		errs = append(errs, d.tap.Close())
	}
	if err := errors.Join(errs...); err != nil {
		d.err = fmt.Errorf("daemon: stop: %w", err)
	}
}
