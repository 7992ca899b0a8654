package platformsim

import (
	"fmt"
	"slices"
	"time"

	"flaxshelf.example/flaxshelf/internal/codec/nodebinary"
	"flaxshelf.example/flaxshelf/internal/codec/ownerjson"
	"flaxshelf.example/flaxshelf/internal/corelimits"
	"flaxshelf.example/flaxshelf/internal/front/platformfront"
	"flaxshelf.example/flaxshelf/internal/requests"
	"flaxshelf.example/flaxshelf/internal/timerqueue"
)

const (
	nodeMessageTimeout   = 300 * time.Millisecond // as in package platform
	schedulerRestartTime = 500 * time.Millisecond
)

// schedulerHost runs a requests.Core on simulated connections, as package platform does on sockets.
type schedulerHost struct {
	sim           *simulation
	configureCore func(*requests.Config)
	err           error // why the core could not be started

	core      *requests.Core
	config    *platformfront.Config
	alive     bool
	startedAt Time
	killedAt  Time
	starts    uint64
	lastConn  requests.ConnID
	owners    map[requests.ConnID]*conn
	links     map[requests.LinkID]*conn
	timer     *timerqueue.Timer
	stream    int // the current stream of the feed
	lastEvent int // number of the last event applied
}

// start starts a process without any state. It knows the feed's events up to now.
func (h *schedulerHost) start() error {
	h.starts++
	h.owners, h.links = map[requests.ConnID]*conn{}, map[requests.LinkID]*conn{}
	config, err := platformfront.ParseConfig(configText(h.sim, h.starts))
	if err != nil {
		return err
	}
	coreConfig := corelimits.CoreConfig(config)
	if h.configureCore != nil {
		h.configureCore(&coreConfig)
	}
	if h.core, err = requests.New(coreConfig); err != nil {
		return fmt.Errorf("platformsim: scheduler: %w", err)
	}
	h.config, h.alive, h.startedAt = config, true, h.sim.now
	h.lastEvent = len(h.sim.feed.events)
	h.sim.logf("scheduler: started")
	var inputs []requests.Input
	if list, found := platformfront.MergeUpdates(config.InitialEvents); found {
		list.FromConfig = true
		inputs = append(inputs, list)
	}
	h.step(inputs...)
	return nil
}

// kill ends the process outright and starts it again.
func (h *schedulerHost) kill() {
	h.sim.logf("scheduler: killed")
	h.alive, h.killedAt = false, h.sim.now
	h.sim.timers.Cancel(h.timer)
	for _, conns := range [][]*conn{sortedConns(h.owners), sortedConns(h.links)} {
		for _, c := range conns {
			c.reset()
		}
	}
	h.sim.after(schedulerRestartTime, func() {
		if err := h.start(); err != nil {
			h.err = err
		}
	})
}

// step passes inputs to the core, executes its effects and schedules its next step.
func (h *schedulerHost) step(inputs ...requests.Input) {
	if !h.alive {
		return
	}
	for _, input := range inputs {
		h.sim.logf("scheduler: in  %T %+v", input, input)
	}
	effects, next := h.core.Step(h.sim.now, inputs)
	for _, effect := range slices.Clone(effects) {
		h.sim.logf("scheduler: out %T %+v", effect, effect)
		h.execute(effect)
	}
	h.sim.timers.Cancel(h.timer)
	if next > 0 {
		h.timer = h.sim.timers.Schedule(max(next, h.sim.now+1), func() { h.step() })
	}
}

// execute executes an effect as package platform does.
func (h *schedulerHost) execute(effect requests.Effect) {
	switch e := effect.(type) {
	case requests.Accepted:
		h.toOwner(e.Conn, func(dst []byte) ([]byte, error) { return platformfront.EncodeAccepted(dst, &e) })
	case requests.Terminated:
		h.sim.judge.notificationSent(e.Task, h.owners[e.Conn])
		h.toOwner(e.Conn, func(dst []byte) ([]byte, error) { return platformfront.EncodeTerminated(dst, &e) })
	case requests.Pong:
		h.toOwner(e.Conn, func(dst []byte) ([]byte, error) { return platformfront.EncodePong(dst, &e) })
	case requests.SendRelease:
		h.toNode(e.Link, func(dst []byte) ([]byte, error) { return platformfront.EncodeRelease(dst, &e) })
	case requests.Offer:
		h.offer(&e)
	case requests.Dial:
		h.dial(e)
	case requests.CloseLink:
		if c := h.links[e.Link]; c != nil {
			delete(h.links, e.Link)
			c.close(dialer)
		}
	case requests.FinishLink:
		if c := h.links[e.Link]; c != nil {
			c.finish()
		}
	case requests.CloseOwner:
		if c := h.owners[e.Conn]; c != nil {
			delete(h.owners, e.Conn)
			c.close(listener)
		}
	case requests.Subscribe:
		h.stream = h.sim.feed.call(h.lastEvent)
	}
}

func (h *schedulerHost) toOwner(id requests.ConnID, encode func([]byte) ([]byte, error)) {
	c := h.owners[id]
	if c == nil {
		return
	}
	if line, err := encode(nil); err == nil { // package platform drops what cannot be encoded
		c.send(listener, line)
	}
}

func (h *schedulerHost) toNode(id requests.LinkID, encode func([]byte) ([]byte, error)) {
	if c := h.links[id]; c != nil {
		if message, err := encode(nil); err == nil {
			c.send(dialer, message)
		}
	}
}

func (h *schedulerHost) offer(e *requests.Offer) {
	c := h.links[e.Link]
	if c == nil || h.owners[e.Owner] == nil {
		failed := requests.SendFailed{Link: e.Link, Task: e.Task, Attempt: e.Attempt}
		h.sim.after(0, func() { h.step(failed) })
		return
	}
	h.sim.judge.offerSent(c.node, e.Task)
	h.toNode(e.Link, func(dst []byte) ([]byte, error) { return platformfront.EncodeOffer(dst, e) })
}

// dial connects to the node that listens at an address.
func (h *schedulerHost) dial(e requests.Dial) {
	s, start := h.sim, h.starts
	target := s.nodeAt(e.Addr)
	report := func(delay time.Duration, input requests.Input) {
		s.after(delay, func() {
			if h.starts == start {
				h.step(input)
			}
		})
	}
	switch {
	case target != nil && s.now < target.cutOffUntil:
		report(h.config.Placer.ConnectTimeout, requests.LinkDown{Link: e.Link})
	case target == nil || target.down:
		report(latency, requests.LinkDown{Link: e.Link, ConnectionRefused: true})
	case s.now < target.lateUntil && s.rng.IntN(2) == 0:
		report(h.config.Placer.ConnectTimeout, requests.LinkDown{Link: e.Link}) // it would come up later than the scheduler waits
	default:
		delay := latency
		if s.now < target.lateUntil {
			delay = s.between(latency, h.config.Placer.ConnectTimeout)
		}
		s.after(delay, func() {
			if h.starts != start || !h.alive {
				return
			}
			c := s.network.connect(&linkEnd{host: h, link: e.Link, start: start}, target, target)
			h.links[e.Link] = c
			h.step(requests.LinkUp{Link: e.Link})
			target.opened(c)
		})
	}
}

// linkEnd is the scheduler's end of a link.
type linkEnd struct {
	host    *schedulerHost
	link    requests.LinkID
	start   uint64 // number of the process's start
	buffer  []byte
	timeout *timerqueue.Timer // for the rest of a partial message
}

// received implements connHandler.
func (l *linkEnd) received(c *conn, data []byte) {
	h := l.host
	if h.starts != l.start {
		return
	}
	var inputs []requests.Input
	l.buffer = append(l.buffer, data...)
	used := 0
	for {
		m, size, err := nodebinary.Next(l.buffer[used:])
		var input requests.Input
		if err == nil && size > 0 {
			input, err = platformfront.DecodeNodeMessage(l.link, &m)
		}
		if err != nil {
			h.step(inputs...)
			l.end(c)
			return
		}
		if size == 0 {
			break
		}
		used += size
		if input != nil {
			inputs = append(inputs, input)
		}
	}
	l.buffer = append([]byte(nil), l.buffer[used:]...)
	h.sim.timers.Cancel(l.timeout)
	if len(l.buffer) > 0 {
		l.timeout = h.sim.after(nodeMessageTimeout, func() { l.end(c) })
	}
	if len(inputs) > 0 {
		h.step(inputs...)
	}
}

// end closes the link after a malformed or incomplete message.
func (l *linkEnd) end(c *conn) {
	if l.host.links[l.link] != c {
		return
	}
	c.close(dialer)
	l.closed(c, false)
}

// closed implements connHandler.
func (l *linkEnd) closed(*conn, bool) {
	h := l.host
	if h.starts != l.start {
		return
	}
	delete(h.links, l.link)
	h.sim.timers.Cancel(l.timeout)
	h.step(requests.LinkDown{Link: l.link})
}

// ownerEnd is the scheduler's end of a connection of an owner or a misbehaving client.
type ownerEnd struct {
	host   *schedulerHost
	id     requests.ConnID
	start  uint64
	buffer []byte
}

// accept accepts a connection. It returns nil if no process listens.
func (h *schedulerHost) accept(client connHandler, address string) *conn {
	if !h.alive {
		return nil
	}
	h.lastConn++
	end := &ownerEnd{host: h, id: h.lastConn, start: h.starts}
	c := h.sim.network.connect(client, end, nil)
	h.owners[end.id] = c
	h.step(requests.OwnerConnected{Conn: end.id, Host: address})
	return c
}

// received implements connHandler.
func (o *ownerEnd) received(c *conn, data []byte) {
	h := o.host
	if h.starts != o.start || h.owners[o.id] != c {
		return
	}
	var inputs []requests.Input
	o.buffer = append(o.buffer, data...)
	used := 0
	for {
		m, size, err := ownerjson.Next(o.buffer[used:])
		if err != nil {
			h.step(inputs...)
			delete(h.owners, o.id)
			c.close(listener)
			h.step(requests.OwnerDisconnected{Conn: o.id})
			return
		}
		if size == 0 {
			break
		}
		used += size
		input, err := h.config.DecodeOwnerMessage(o.id, h.sim.now, m)
		if err != nil {
			h.toOwner(o.id, func(dst []byte) ([]byte, error) {
				return platformfront.EncodeTerminated(dst, &requests.Terminated{Task: m.ID, Cause: requests.CauseError})
			})
			input = requests.ProtocolError{Conn: o.id}
		}
		if input != nil {
			inputs = append(inputs, input)
		}
	}
	o.buffer = append([]byte(nil), o.buffer[used:]...)
	if len(inputs) > 0 {
		h.step(inputs...)
	}
}

// closed implements connHandler.
func (o *ownerEnd) closed(*conn, bool) {
	h := o.host
	if h.starts != o.start {
		return
	}
	delete(h.owners, o.id)
	h.step(requests.OwnerDisconnected{Conn: o.id})
}

// feedEstablished, feedFailed and feedEvent report the events of a stream. Those of a former stream are ignored.
func (h *schedulerHost) feedEstablished(stream int) {
	if stream == h.stream {
		h.step(requests.WatchEstablished{})
	}
}

func (h *schedulerHost) feedFailed(stream int) {
	if stream == h.stream {
		h.step(requests.WatchFailed{})
	}
}

func (h *schedulerHost) feedEvent(stream, number int) {
	if stream != h.stream || number <= h.lastEvent || !h.alive {
		return
	}
	event, err := h.config.DecodeWatchEvent([]byte(h.sim.feed.events[number-1].data))
	if err != nil {
		h.sim.judge.violate(ruleProtocol, "event %d of the feed cannot be decoded: %v", number, err)
		return
	}
	h.lastEvent = number
	h.step(event.Update)
}
