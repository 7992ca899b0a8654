package emulator

import (
	"math"
	"math/rand/v2"
	"time"

	"flaxshelf.example/flaxshelf/internal/front/nodefront"
	"flaxshelf.example/flaxshelf/internal/scheduler"
	"flaxshelf.example/flaxshelf/internal/settings"
)

// server is a scheduler's core as an entity, in which one life follows another.
type server struct {
	id     int32
	w      *world
	set    *settings.Scheduler
	in     inbox
	lines  *lines
	rng    *rand.Rand
	core   *scheduler.Core
	wake   Time
	lives  int
	stop   Time // stopped until then
	busy   Time // its core works until then
	worked Time // in all
	links  map[string]*link
	peers  map[int32]*link
	list   *nodefront.Inventory
	again  []scheduler.Input
	reqs   map[uint64]request
	req    uint64
	leaves bool // its core has nothing open and was asked to leave
	steps  int64
	offers int64
	retry  Time // the soonest of the links that wait to dial
	rec    *recorder
}

type request struct {
	owner int32
	key   string
}

// link is the connection to a node.
type link struct {
	name     string
	to       int32
	wanted   bool
	up       bool
	dialling bool
	retryAt  Time
	failures int
	front    *nodefront.Node
	conn     uint64 // in a recording
}

// The backoff of a daemon's links.
const (
	firstRetry = 20 * time.Millisecond
	mostRetry  = time.Second
)

// submission is what an owner sends, kill and start are what the director does.
type (
	submission struct {
		spec scheduler.Spec
	}
	command struct {
		do  scheduler.Verb
		job string
	}
	killServer  struct{}
	startServer struct{}
	termServer  struct{}
	stopServer  struct{ until Time }
)

func (s *server) take(m message) { s.in.put(m) }

func (s *server) next() Time {
	t := s.in.next()
	if s.core != nil {
		t = min(t, s.wake, s.retry)
	}
	return max(t, s.stop, s.busy)
}

func (s *server) start(now Time, out *outbox) {
	if s.core != nil {
		return
	}
	s.lives++
	set := *s.set
	set.Seed = s.w.seed*1000 + uint64(s.set.Index*100+s.lives) + 1
	cfg := set.CoreConfig(now)
	cfg.NewModule = s.w.make
	if s.w.core != nil {
		s.w.core(&cfg)
	}
	core, err := scheduler.New(cfg)
	if err != nil {
		s.w.fail(err)
		return
	}
	s.core, s.wake, s.again, s.retry = core, now, nil, math.MaxInt64
	s.links, s.peers, s.reqs = map[string]*link{}, map[int32]*link{}, map[uint64]request{}
	s.list = &nodefront.Inventory{Set: s.set}
	s.rec.life(s)
}

func (s *server) kill(now Time, out *outbox) {
	if s.core == nil {
		return
	}
	for _, name := range s.w.nodeNames {
		if l := s.links[name]; l != nil && (l.up || l.dialling) {
			out.send(s.lines.arrival(now, l.to), l.to, closed{})
			s.rec.close(l.conn, now)
		}
	}
	out.send(s.lines.arrival(now, s.w.inventory.id), s.w.inventory.id, closed{})
	out.send(s.lines.arrival(now, s.w.owners.id), s.w.owners.id, serverGone{s.set.Index})
	s.core = nil
	s.rec.killed(s, now)
}

// run gives the core all that has come in a window in one step at its end, as a daemon gives it what has come since
// the last.
func (s *server) run(end Time, out *outbox) {
	if end <= s.stop || end <= s.busy {
		return
	}
	now := end
	var inputs []scheduler.Input
	for _, m := range s.in.due(end) {
		if in := s.input(m, now, out); in != nil {
			inputs = append(inputs, in)
		}
	}
	if s.core == nil {
		return
	}
	if s.retry < end {
		s.retry = math.MaxInt64
		for _, name := range s.w.nodeNames { // in one order, whatever the map's
			l := s.links[name]
			if l == nil || !l.wanted || l.up || l.dialling {
				continue
			}
			if l.retryAt < end {
				s.dial(l, now, out)
			} else {
				s.retry = min(s.retry, l.retryAt)
			}
		}
	}
	if len(inputs) == 0 && len(s.again) == 0 && s.wake >= end {
		return
	}
	inputs = append(inputs, s.again...)
	s.again = nil
	s.steps++
	o := s.core.Step(now, inputs)
	if cost := s.w.day.CPU.Of(len(inputs)); cost > 0 { // what it answers leaves when it is done, and until then it hears nothing
		s.busy = now + cost
		s.worked += cost
		now = s.busy
	}
	s.wake = o.Wake
	for _, e := range o.Effects {
		s.carry(e, now, out)
	}
	if len(s.again) > 0 {
		s.wake = now
	}
	if s.leaves {
		s.leaves = false
		s.kill(now, out)
	}
}

func (s *server) dial(l *link, now Time, out *outbox) {
	l.dialling = true
	l.front = &nodefront.Node{Set: s.set, Name: l.name}
	out.send(s.lines.arrival(now, l.to), l.to, dial{s.set.Name, int64(Epoch) + int64(s.lives)})
	l.conn = s.rec.open(s, l.name, now)
}

func (s *server) input(m message, now Time, out *outbox) scheduler.Input {
	switch b := m.body.(type) {
	case startServer:
		s.start(now, out)
		return nil
	case killServer:
		s.kill(now, out)
		return nil
	case stopServer:
		s.stop = b.until
		s.rec.stopped(s, now, b.until)
		return nil
	}
	if s.core == nil {
		if b, ok := m.body.(submission); ok {
			out.send(s.lines.arrival(now, m.from), m.from, answer{b.spec.Key, "", "unreached", s.set.Index})
		}
		return nil
	}
	switch b := m.body.(type) {
	case submission:
		s.req++
		s.reqs[s.req] = request{m.from, b.spec.Key}
		return scheduler.Submit{Req: s.req, ReceivedAt: m.at, Spec: b.spec}
	case termServer:
		return scheduler.Drain{}
	case command:
		return scheduler.Command{Verb: b.do, Job: b.job}
	case closed:
		l := s.peers[m.from]
		if l == nil {
			return nil
		}
		s.rec.close(l.conn, now)
		l.up, l.dialling = false, false
		wait := min(firstRetry<<min(l.failures, 10), mostRetry)
		l.failures++
		l.retryAt = now + wait/2 + time.Duration(s.rng.Int64N(int64(wait/2)))
		s.retry = min(s.retry, l.retryAt)
		return scheduler.NodeDown{Node: l.name}
	case frame:
		if m.from == s.w.inventory.id {
			s.rec.frame(s.rec.listConn(s), true, b, now)
			in, _, _, err := s.list.Input(b.Frame)
			s.w.fail(err)
			return in
		}
		l := s.peers[m.from]
		if l == nil || !l.dialling && !l.up {
			return nil // of a connection that has gone
		}
		s.rec.frame(l.conn, true, b, now)
		in, err := l.front.Input(b.Frame)
		s.w.fail(err)
		if _, ok := in.(scheduler.NodeUp); ok {
			l.up, l.dialling, l.failures = true, false, 0
		}
		return in
	}
	return nil
}

func (s *server) carry(e scheduler.Effect, now Time, out *outbox) {
	to := func(name string, f frame) bool {
		l := s.links[name]
		if l == nil || !l.up {
			return false
		}
		s.rec.frame(l.conn, false, f, now)
		out.send(s.lines.arrival(now, l.to), l.to, f)
		return true
	}
	list := func(f frame) { out.send(s.lines.arrival(now, s.w.inventory.id), s.w.inventory.id, f) }
	owners := func(body any) { out.send(s.lines.arrival(now, s.w.owners.id), s.w.owners.id, body) }
	switch e := e.(type) {
	case scheduler.SendOffer:
		s.offers++
		if !to(e.Node, frame{nodefront.Offer(s.set, &e)}) {
			s.again = append(s.again, scheduler.SendFailed{Node: e.Node, Attempt: e.Attempt})
		}
	case scheduler.SendStop:
		to(e.Node, frame{nodefront.Stop(e.Attempt)})
	case scheduler.SendAck:
		to(e.Node, frame{nodefront.Ack(e.Attempt)})
	case scheduler.SendHealthCheck:
		to(e.Node, frame{nodefront.Probe()})
	case scheduler.SyncNode:
		to(e.Node, frame{nodefront.Ping(e.Token)})
	case scheduler.Connect:
		s.connect(e.Node, now, out)
	case scheduler.Disconnect:
		if l := s.links[e.Node]; l != nil {
			l.wanted = false
			if l.up || l.dialling {
				out.send(s.lines.arrival(now, l.to), l.to, closed{})
				s.rec.close(l.conn, now)
				l.up, l.dialling = false, false
			}
		}
	case scheduler.SubscribeDiscovery:
		list(frame{nodefront.Watch()})
	case scheduler.SyncDiscovery:
		list(frame{nodefront.Ping(e.Token)})
	case scheduler.Answer:
		if r, ok := s.reqs[e.Req]; ok {
			delete(s.reqs, e.Req)
			a := answer{key: r.key, server: s.set.Index}
			if e.Err != nil {
				a.err = string(e.Err.Code)
			} else {
				a.job = e.Jobs[0].ID
			}
			s.rec.answered(s, &e, now)
			owners(a)
		}
	case scheduler.Drained:
		s.leaves = true
	case scheduler.LogOutcome:
		s.rec.outcome(s, &e.Info, now)
		owners(told{e.Info, s.set.Index, now})
	}
}

func (s *server) connect(name string, now Time, out *outbox) {
	l := s.links[name]
	if l == nil {
		l = &link{name: name, to: s.w.nodeIDs[name]}
		s.links[name], s.peers[l.to] = l, l
	}
	l.wanted = true
	if !l.up && !l.dialling {
		s.dial(l, now, out)
	}
}
