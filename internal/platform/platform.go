// Package platform owns a scheduler that runs on the users' platform: it joins requests.Core to sockets, the clock, signals
// and the control feed. It must decide nothing about tasks. One goroutine owns the core, one event loop owns all sockets
// of owners and nodes; the feed is read by a goroutine of its own.
package platform

import (
	"context"
	"errors"
	"fmt"
	"reflect"
	"runtime"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"flaxshelf.example/flaxshelf/internal/admission"
	"flaxshelf.example/flaxshelf/internal/clock"
	"flaxshelf.example/flaxshelf/internal/front/platformfront"
	"flaxshelf.example/flaxshelf/internal/replay"
	"flaxshelf.example/flaxshelf/internal/requests"
	"flaxshelf.example/flaxshelf/internal/transport"
)

const (
	inbox  = 1 << 12 // messages that may wait for the owner of the core
	batch  = 512     // of which one step takes
	maxOut = 1 << 20 // bytes that may wait for a peer
	maxIn  = 64 << 10
	// silent is how long a node may be out of reach before what stands there counts as cut. The protocol has owners told within
	// 8 s of an end of which no word could come; nodes are looked at each half second, and 0.3 s are left for a process that
	// waits for its core. The longer, the fewer tasks are given up that live behind a cut of some seconds.
	silent = 8*time.Second - 500*time.Millisecond - 300*time.Millisecond
	// mute is how long an owner's connection may say nothing of use: a bad client is owed a close within 3 s.
	mute = 2300 * time.Millisecond
	// spare is how long after its last use a connection is not closed for others: what crosses a close is sent once more
	// within 50 ms only.
	spare   = 200 * time.Millisecond
	maxOpen = 2048 // set-ups that may wait for their answer
)

// Options are what the command line says.
type Options struct {
	Config string // path of the configuration
	Tap    string // file for the module's recorded steps; empty: none
	Log    zerolog.Logger
}

// message is what loops pass to the owner of the core.
type message struct {
	in   []requests.Input
	conn *transport.Conn // that the inputs came on, to be known from now on
	at   requests.Time   // when an owner said it; 0: another did
}

// Scheduler is a running scheduler. All fields below the channels are the owner's.
type Scheduler struct {
	opt     Options
	dialer  *transport.Dialer
	accept  *transport.Acceptor
	box     *mailbox
	ended   chan struct{}
	cfg     atomic.Pointer[platformfront.Config]
	conns   atomic.Uint64 // owners' connections so far
	slots   chan struct{} // one for each owner's connection
	dials   sync.WaitGroup
	halves  atomic.Int64 // owners' connections on which a message has begun and is not whole
	leavers leavers      // the loop's
	life    context.Context
	end     context.CancelFunc
	cpu     time.Duration

	core   *requests.Core
	tap    *replay.Writer
	owners map[requests.Conn]*peer
	links  map[requests.Link]*peer
	dirty  []*peer
	feed   *feed
	events events // of the feed
}

// peer is a connection with what a step has for it.
type peer struct {
	conn *transport.Conn
	box  transport.Outbox
}

// Run runs a scheduler until it was asked to leave by stop and has answered everything. reload has the configuration
// read again.
func Run(opt Options, stop, reload <-chan struct{}) error {
	cfg, err := platformfront.ReadConfig(opt.Config)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(1) // the platform gives one core or a part of one
	debug.SetMemoryLimit(int64(cfg.Limits.MemoryMB) << 20 * 6 / 10)
	share := divide(cfg.Limits.Sockets)
	s := &Scheduler{opt: opt, box: newMailbox(inbox), ended: make(chan struct{}),
		slots:  make(chan struct{}, share.owners),
		owners: map[requests.Conn]*peer{}, links: map[requests.Link]*peer{}, events: events{last: cfg.LastSequence}}
	s.cfg.Store(cfg)
	s.life, s.end = context.WithCancel(context.Background())
	defer s.end()
	core := requests.Config{Module: cfg.Module, Seed: cfg.Seed, NodeUnreachableTimeout: silent,
		NodeIdleTimeout: cfg.NodeIdleTimeout, MaxPending: maxOpen,
		MaxLinks: share.links,
		Admission: admission.Limits{MaxConnections: share.kept, IdleTimeout: mute, RecentUseGrace: spare,
			MaxProtocolErrors: 3, MaxPendingPerConnection: maxOpen / 8}}
	if opt.Tap != "" {
		if s.tap, err = replay.Create(opt.Tap, cfg.Module, cfg.Seed); err != nil {
			return err
		}
		core.RecordStep = s.tap.Step
	}
	if s.core, err = requests.New(core); err != nil {
		return err
	}
	options := transport.Options{MaxReadBuffer: maxIn, MaxWriteQueue: maxOut, Log: opt.Log}
	if s.dialer, err = transport.NewDialer(options); err != nil {
		return err
	}
	s.feed = newFeed(s)
	if s.accept, err = s.dialer.Accept(cfg.Listen, s.admit, s.ownerPeer); err != nil {
		return errors.Join(err, s.dialer.Stop())
	}
	opt.Log.Info().Str("address", s.accept.Addr()).Str("feed", cfg.DiscoveryAddr).Float64("cores", cfg.Limits.Cores).
		Int("memory_mb", cfg.Limits.MemoryMB).Int("sockets", cfg.Limits.Sockets).Uint64("event", cfg.LastSequence).
		Msg("the scheduler is up")
	s.own(stop, reload)
	return s.close()
}

// descriptors is how a scheduler's descriptors are shared out beforehand, so that owners can never cost us a node, nor
// either the feed.
type descriptors struct {
	owners int // connections of owners that may be accepted
	kept   int // of which the core keeps so many, and closes one for each more
	links  int // links to nodes
}

// ownUse is what the process needs for itself: three standard files, the runtime's and the loop's epoll and event
// descriptors, the listener, the feed with its next call beside the last, a configuration being read, a recording.
const ownUse = 16

// divide gives the owners two fifths, a little more than the third that the protocol says they hold at most.
func divide(sockets int) descriptors {
	rest := max(sockets-ownUse, 16)
	d := descriptors{owners: rest * 2 / 5}
	d.kept = d.owners - max(d.owners/16, 1)
	d.links = rest - d.owners
	return d
}

// own is the owner of the core.
func (s *Scheduler) own(stop, reload <-chan struct{}) {
	defer close(s.ended)
	wake := time.NewTimer(0)
	defer wake.Stop()
	tell := time.NewTicker(5 * time.Second)
	defer tell.Stop()
	var leave departure
	var look <-chan time.Time   // when leaving is looked at again
	var drained <-chan struct{} // listening has ended
	var came []message
	inputs := s.known()
	for {
		select {
		case <-s.box.ready:
		case <-wake.C:
		case <-reload:
			inputs = append(inputs, s.reload()...)
		case <-stop:
			stop = nil
			leave.asked = clock.Now()
			inputs = append(inputs, requests.Shutdown{})
			s.opt.Log.Info().Msg("asked to leave: what comes still is served")
		case <-look:
		case <-drained:
			drained = nil
		case <-tell.C:
			s.report()
			continue
		}
		came = s.box.take(came[:0], batch)
		for _, m := range came {
			inputs = s.receive(m, inputs)
			leave.heard = max(leave.heard, m.at)
		}
		now := clock.Now()
		if s.traces() {
			s.traceIn(inputs)
		}
		effects, next := s.core.Step(now, inputs)
		if s.traces() {
			s.traceOut(effects)
		}
		inputs = inputs[:0]
		s.carry(now, effects)
		if leave.asked > 0 {
			state := leave.next(now, openState{Idle: s.core.Idle() && s.box.empty(), Half: s.halves.Load() > 0,
				Listens: !s.accept.Stopped()})
			switch {
			case state.gone:
				s.report()
				return
			case state.drain:
				s.accept.Drain()
				drained = s.accept.Done()
			}
			look = time.After(state.again)
		}
		if next > 0 {
			wake.Reset(max(next-clock.Now(), 0))
		}
	}
}

// known is the configuration's word of the nodes: one list, whatever the number of its events. Risk covered: a start that
// dials each node that ever was.
func (s *Scheduler) known() []requests.Input {
	list, any := platformfront.MergeUpdates(s.cfg.Load().InitialEvents)
	if !any {
		return nil
	}
	list.FromConfig = true
	return []requests.Input{list}
}

// reload reads the configuration again. A broken file changes nothing.
func (s *Scheduler) reload() []requests.Input {
	old := s.cfg.Load()
	file, err := platformfront.ReadConfig(s.opt.Config)
	if err != nil {
		s.opt.Log.Error().Err(err).Msg("the new configuration can't be used, the old one stays")
		return nil
	}
	// Risk covered: the core has the settings of its start, and other ones would give classes and kinds other numbers. What
	// the file knows of nodes is read by the names of the start: a drain is a drain all the same.
	cfg := *old
	cfg.DiscoveryAddr = file.DiscoveryAddr
	if !reflect.DeepEqual(file.Module, old.Module) {
		s.opt.Log.Error().
			Msg("the new configuration has other settings, those of the start stay; its feed and nodes are followed")
	}
	var fresh []platformfront.WatchEvent
	for _, raw := range file.InitialEventData {
		e, err := old.DecodeWatchEvent(raw)
		if err == nil && e.Sequence > s.events.last {
			s.events.last = e.Sequence
			fresh = append(fresh, e)
		}
	}
	var all []requests.Input
	if list, any := platformfront.MergeUpdates(fresh); any {
		all = append(all, list)
	}
	s.cfg.Store(&cfg)
	s.opt.Log.Info().Str("feed", cfg.DiscoveryAddr).Str("former", old.DiscoveryAddr).Uint64("event", s.events.last).
		Msg("configuration read again")
	s.feed.ask(cfg.DiscoveryAddr, s.events.last)
	return all
}

// receive prepares a message for the core.
func (s *Scheduler) receive(m message, inputs []requests.Input) []requests.Input {
	for _, in := range m.in {
		switch in := in.(type) {
		case requests.OwnerConnected:
			s.owners[in.Conn] = &peer{conn: m.conn}
		case requests.OwnerDisconnected:
			delete(s.owners, in.Conn)
		case requests.LinkUp:
			s.links[in.Link] = &peer{conn: m.conn}
		case requests.LinkDown:
			delete(s.links, in.Link)
		case fed:
			if e := s.heed(in); e != nil {
				inputs = append(inputs, e)
			}
			continue
		}
		inputs = append(inputs, in)
	}
	return inputs
}

// late gives offers back that were never written; it may be called by the owner itself.
func (s *Scheduler) late(e *requests.Offer) {
	s.box.tell(message{in: []requests.Input{requests.SendFailed{Link: e.Link, Task: e.Task, Attempt: e.Attempt}}})
}

// carry carries out effects in order. What one step has for a connection goes to its loop together.
func (s *Scheduler) carry(now requests.Time, effects []requests.Effect) {
	to := func(p *peer, encode func(dst []byte) ([]byte, error)) {
		if p == nil {
			return
		}
		if p.box.Empty() {
			s.dirty = append(s.dirty, p)
		}
		if err := p.box.Put(encode); err != nil {
			s.opt.Log.Error().Err(err).Msg("a message can't be sent")
		}
	}
	var closing []*transport.Conn
	for _, e := range effects {
		switch e := e.(type) {
		case requests.Accepted:
			to(s.owners[e.Conn], func(b []byte) ([]byte, error) { return platformfront.EncodeAccepted(b, &e) })
		case requests.Terminated:
			to(s.owners[e.Conn], func(b []byte) ([]byte, error) { return platformfront.EncodeTerminated(b, &e) })
		case requests.Pong:
			to(s.owners[e.Conn], func(b []byte) ([]byte, error) { return platformfront.EncodePong(b, &e) })
		case requests.SendRelease:
			to(s.links[e.Link], func(b []byte) ([]byte, error) { return platformfront.EncodeRelease(b, &e) })
		case requests.Offer:
			s.putOffer(&e)
		case requests.Dial:
			s.dial(e)
		case requests.CloseLink:
			if p := s.links[e.Link]; p != nil {
				delete(s.links, e.Link)
				p.conn.Close(transport.ErrStopping)
			}
		case requests.CloseOwner:
			if p := s.owners[e.Conn]; p != nil {
				delete(s.owners, e.Conn)
				closing = append(closing, p.conn)
			}
		case requests.Subscribe:
			s.feed.ask(s.cfg.Load().DiscoveryAddr, s.events.last)
		}
	}
	limit := s.cfg.Load().Module.DrainGrace / 2
	for _, p := range s.dirty {
		p.box.Flush(p.conn, func() bool { return clock.Now()-now < limit })
	}
	s.dirty = s.dirty[:0]
	for _, c := range closing { // after what was written on them
		c.Close(errClosed)
	}
}

// wanted tells on the loop whether an offer's owner still waits. Risk covered: after a stall the loop reads that an owner has
// left or given a set-up up in the very round in which it writes an offer that was decided before.
func (s *Scheduler) wanted(e *requests.Offer) func() bool {
	var conn *transport.Conn
	if p := s.owners[e.Owner]; p != nil {
		conn = p.conn
	}
	return func() bool { return conn != nil && !conn.IsClosed() && !s.leavers.has(e.Task) }
}

func (s *Scheduler) putOffer(e *requests.Offer) {
	p, offer := s.links[e.Link], *e
	if p == nil {
		s.late(&offer)
		return
	}
	if p.box.Empty() {
		s.dirty = append(s.dirty, p)
	}
	err := p.box.PutExpiring(func(b []byte) ([]byte, error) { return platformfront.EncodeOffer(b, e) }, s.wanted(&offer),
		func() { s.late(&offer) })
	if err != nil {
		s.opt.Log.Error().Err(err).Msg("an offer can't be sent")
		s.late(&offer)
	}
}

// dial connects to a node, off the loop.
func (s *Scheduler) dial(e requests.Dial) {
	timeout := max(s.cfg.Load().Module.ConnectTimeout, time.Millisecond)
	s.dials.Go(func() {
		_, err := s.dialer.Dial(s.life, e.Addr, timeout, &nodePeer{s: s, link: e.Link})
		if err != nil {
			s.opt.Log.Debug().Err(err).Str("node", e.Node).Msg("no connection to the node")
			down := requests.LinkDown{Link: e.Link, ConnectionRefused: errors.Is(err, syscall.ECONNREFUSED)}
			s.box.tell(message{in: []requests.Input{down}})
		}
	})
}

// admit waits for a slot: what connects beyond them waits in the listener's queue, so that owners can't cost us a node.
func (s *Scheduler) admit() {
	select {
	case s.slots <- struct{}{}:
	case <-s.ended:
	}
}

// report logs the figures.
func (s *Scheduler) report() {
	f := s.core.Stats()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	cpu := time.Duration(u.Utime.Nano() + u.Stime.Nano())
	s.opt.Log.Info().Interface("figures", f).Int64("heap_kb", int64(m.HeapAlloc>>10)).Int64("sys_kb", int64(m.Sys>>10)).
		Int64("rss_kb", u.Maxrss).Dur("cpu", cpu-s.cpu).Int("owners", len(s.slots)).Uint64("event", s.events.last).Msg("figures")
	s.cpu = cpu
}

// close ends everything. What was written reaches the owners before.
func (s *Scheduler) close() error {
	s.accept.Stop()
	s.end()
	s.part()
	s.dials.Wait()
	s.feed.stop()
	err := s.dialer.Stop()
	if s.tap != nil {
		err = errors.Join(err, s.tap.Close())
	}
	if err != nil {
		return fmt.Errorf("platform: stop: %w", err)
	}
	return nil
}

// part ends the owners' connections from our side and waits a little for them to end from the other. Risk covered: a close
// with bytes that nobody read is a reset, which may destroy an answer on its way.
func (s *Scheduler) part() {
	for _, p := range s.owners {
		p.conn.CloseWrite()
	}
	limit := time.NewTimer(parting)
	defer limit.Stop()
	var came []message
	for len(s.owners) > 0 {
		select {
		case <-s.box.ready:
			came = s.box.take(came[:0], batch)
			for _, m := range came {
				s.receive(m, nil)
			}
		case <-limit.C:
			return
		}
	}
}
