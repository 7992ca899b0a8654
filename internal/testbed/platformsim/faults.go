package platformsim

import (
	"fmt"
	"strings"
	"time"
)

// phaseCheckInterval is how often a fault that waits for a phase checks it.
const phaseCheckInterval = 5 * time.Millisecond

// injectFault injects a fault, at once or when an attempt at its node is in the fault's phase.
func (s *simulation) injectFault(f *Fault) {
	if f.Phase != "" && !s.coverage.inPhase(s, s.nodes[f.Node], f.Phase) {
		if s.sinceStart() < s.day.Length {
			s.after(phaseCheckInterval, func() { s.injectFault(f) })
		}
		return
	}
	s.logf("fault: %s at %s, count %d, for %v", f.Kind, s.nodes[f.Node].id, f.Count, f.For)
	s.coverage.cross(s, f)
	injectorOf(f.Kind)(s, f)
}

// injectorOf returns the function that injects faults of a kind, or nil if the kind is unknown.
func injectorOf(kind FaultKind) func(*simulation, *Fault) {
	switch kind {
	case AnswerLost, AnswerNoise, AnswerCut, AnswerLate, AnswerTwice:
		return injectAnswers
	case LinksReset:
		return injectLinksReset
	case LinksClosed:
		return injectLinksClosed
	case OwnerReset:
		return injectOwnerReset
	case RoomCutOff:
		return injectRoomCutOff
	case RoomLost:
		return injectRoomLost
	case NodeReplaced:
		return injectNodeReplaced
	case NodeDrained:
		return injectNodeDrained
	case PoorService:
		return injectPoorService
	case LinksLate:
		return func(s *simulation, f *Fault) { s.nodes[f.Node].lateUntil = s.now + f.For }
	case NodeSlow:
		return func(s *simulation, f *Fault) { s.nodes[f.Node].slowUntil = s.now + f.For }
	case NodeHung:
		return injectNodeHung
	}
	return clientAndFeedInjectorOf(kind)
}

// clientAndFeedInjectorOf is injectorOf for the faults of clients, of the feed and of the scheduler.
func clientAndFeedInjectorOf(kind FaultKind) func(*simulation, *Fault) {
	switch kind {
	case FeedBroken:
		return injectFeedBroken
	case FeedStopped:
		return injectFeedStopped
	case FeedRefused:
		return injectFeedRefused
	case FeedSlow:
		return injectFeedSlow
	case BogusReports:
		return injectBogusReports
	case CanceledFlood:
		return injectCanceledFlood
	case IdleClients:
		return injectIdleClients
	case SchedulerKilled:
		return injectSchedulerKilled
	}
	return nil
}

// injectAnswers spoils the next answers of a node.
func injectAnswers(s *simulation, f *Fault) {
	n := s.nodes[f.Node]
	for range max(f.Count, 1) {
		n.spoilt = append(n.spoilt, f.Kind)
	}
}

// repeat calls an injection several times, with random pauses.
func (s *simulation) repeat(count int, inject func()) {
	inject()
	if count > 1 {
		s.after(s.between(time.Millisecond, 500*time.Millisecond), func() { s.repeat(count-1, inject) })
	}
}

func injectLinksReset(s *simulation, f *Fault) {
	s.repeat(f.Count, func() {
		for _, c := range append([]*conn(nil), s.nodes[f.Node].conns...) {
			c.reset()
		}
	})
}

func injectLinksClosed(s *simulation, f *Fault) {
	n := s.nodes[f.Node]
	n.closing = true
	s.after(f.For, func() { n.closing = false })
}

func injectOwnerReset(s *simulation, f *Fault) {
	s.repeat(f.Count, func() {
		if s.owner.conn != nil {
			s.owner.conn.reset()
		}
	})
}

func injectRoomCutOff(s *simulation, f *Fault) {
	until := s.now + f.For
	for _, n := range s.rooms[s.nodes[f.Node].room] {
		n.cutOffUntil = max(n.cutOffUntil, until)
		s.judge.cutPeriods = append(s.judge.cutPeriods, cutPeriod{n, s.now, until})
	}
}

func injectRoomLost(s *simulation, f *Fault) {
	room := append([]*node(nil), s.rooms[s.nodes[f.Node].room]...)
	for _, n := range room {
		n.die()
	}
	s.after(f.For, func() {
		var entries []string
		for _, n := range room {
			if n.state == "left" || n.replaced {
				continue
			}
			n.down = false
			n.started = int64(s.now / time.Millisecond)
			entries = append(entries, n.entry(n.state))
		}
		if len(entries) > 0 {
			s.feed.publish(false, entries...)
		}
	})
}

// listDelay is how late the list tells of a node that has died.
const listDelay = 1500 * time.Millisecond

func injectNodeReplaced(s *simulation, f *Fault) {
	former := s.nodes[f.Node]
	if former.state != "active" || former.replaced {
		return
	}
	former.die()
	former.replaced = true
	s.after(listDelay, func() {
		if s.nodes[f.Node] != former {
			return
		}
		successor := newNode(s, former.id+"x", former.addr, former.room)
		successor.started = int64(s.now / time.Millisecond)
		s.nodes[f.Node] = successor
		room := s.rooms[former.room]
		for i := range room {
			if room[i] == former {
				room[i] = successor
			}
		}
		s.feed.publish(false, former.entry("left"), successor.entry("active"))
		s.judge.announced(former)
	})
}

func injectNodeDrained(s *simulation, f *Fault) {
	n := s.nodes[f.Node]
	if n.state != "active" || n.down {
		return
	}
	s.feed.publish(false, n.entry("leaving"))
	s.judge.announced(n)
	s.after(f.For, func() {
		if s.nodes[f.Node] != n {
			return
		}
		n.die()
		s.feed.publish(false, n.entry("left"))
	})
}

func injectPoorService(s *simulation, f *Fault) {
	n := s.nodes[f.Node]
	n.serviceUntil = max(n.serviceUntil, s.now+f.For)
}

func injectNodeHung(s *simulation, f *Fault) {
	n := s.nodes[f.Node]
	n.hungUntil = max(n.hungUntil, s.now+f.For)
	s.judge.cutPeriods = append(s.judge.cutPeriods, cutPeriod{n, s.now, n.hungUntil})
}

func injectFeedBroken(s *simulation, f *Fault) {
	s.repeat(f.Count, func() {
		s.excuseDrains(f, time.Millisecond)
		s.feed.breakStream()
	})
}

func injectFeedStopped(s *simulation, f *Fault) {
	s.excuseDrains(f, watchIdleTimeout)
	s.feed.stopStream()
}

func injectFeedRefused(s *simulation, f *Fault) {
	s.excuseDrains(f, f.For)
	s.feed.refusedUntil = s.now + f.For
	s.feed.breakStream()
}

func injectFeedSlow(s *simulation, f *Fault) {
	s.excuseDrains(f, time.Millisecond)
	s.feed.slowUntil = s.now + f.For
	s.feed.breakStream()
}

// excuseDrains lets drains that are announced from now on for a while count as told later.
func (s *simulation) excuseDrains(f *Fault, length time.Duration) {
	s.judge.feedExcuses = append(s.judge.feedExcuses, excusePeriod{s.now, s.now + length, Catalogue[f.Kind].DrainDelay})
}

func injectSchedulerKilled(s *simulation, _ *Fault) {
	if s.scheduler.alive {
		s.scheduler.kill()
	}
}

// badClient is a misbehaving client: it connects, sends a text, reads until it is closed, and does the same again.
type badClient struct {
	sim    *simulation
	number int
	until  Time
	text   func() string
}

// badClientPause is the time between two connections of a misbehaving client.
const badClientPause = 20 * time.Millisecond

func (b *badClient) connect() {
	if b.sim.now >= b.until {
		return
	}
	c := b.sim.scheduler.accept(b, fmt.Sprintf("10.9.1.%d", b.number))
	if c == nil {
		b.sim.after(badClientPause, b.connect)
		return
	}
	c.send(dialer, []byte(b.text()))
	b.sim.after(4*time.Second, func() {
		if !c.isClosed {
			c.reset()
		}
	})
}

// received implements connHandler.
func (b *badClient) received(*conn, []byte) {}

// closed implements connHandler.
func (b *badClient) closed(*conn, bool) { b.sim.after(badClientPause, b.connect) }

// foreignID is set in the IDs that no owner uses.
const foreignID = 1 << 63

// messagesPerBadClient is how many messages a misbehaving client sends on a connection.
const messagesPerBadClient = 300

func injectBogusReports(s *simulation, f *Fault) {
	for number := range max(f.Count, 1) {
		client := &badClient{sim: s, number: number, until: s.now + f.For}
		client.text = func() string {
			var text strings.Builder
			for range messagesPerBadClient {
				fmt.Fprintf(&text, `{"type":"setup","id":"%016x","fields":{"class":"%s","left":"1","key":"b","extras":`+
					`"cores:1;memory:1;service:bad;at:no-such-node-%d"},"sdp":"x"}`+"\n", s.rng.Uint64()|foreignID,
					classIdempotent, number)
			}
			return text.String()
		}
		client.connect()
	}
}

func injectIdleClients(s *simulation, f *Fault) {
	for number := range f.Count {
		client := &badClient{sim: s, number: number % 8, until: s.now + f.For, text: func() string { return "" }}
		s.after(s.between(0, time.Second), client.connect)
	}
}

func injectCanceledFlood(s *simulation, f *Fault) {
	for number := range max(f.Count, 1) {
		client := &badClient{sim: s, number: number, until: s.now + f.For}
		client.text = func() string {
			var text strings.Builder
			for range messagesPerBadClient / 4 {
				req := s.owner.newRequest(classIdempotent)
				req.abandoned, req.terminated = true, true
				fmt.Fprintf(&text, `{"type":"setup","id":"%s","fields":{"class":"%s","left":"2000","key":"%s",`+
					`"extras":"cores:0.5;memory:1;service:bad"},"sdp":"x"}`+"\n", req.name(), req.class, req.key)
				fmt.Fprintf(&text, `{"type":"release","id":"%s","fields":{},"cause":16}`+"\n", req.name())
			}
			return text.String()
		}
		client.connect()
	}
}
