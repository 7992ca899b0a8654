package daemon

import (
	"sync"
	"sync/atomic"

	"flaxshelf.example/flaxshelf/internal/front/drmaafront"
	"flaxshelf.example/flaxshelf/internal/scheduler"
	"flaxshelf.example/flaxshelf/internal/shard"
	"flaxshelf.example/flaxshelf/internal/transport"
)

// ask gives a request to the core that it is for, or to all. It is false where one has no room; nothing is answered
// then. It is called by loops and does not wait.
func (d *Daemon) ask(call *drmaafront.Call, m message, e *events) bool {
	sample := call.Input(0, 0)
	if s, ok := sample.(scheduler.Submit); ok {
		core := d.shards.Submit(&s.Spec, d.turn.Add(1), func(i int) int { return len(d.cores[i].box) })
		m.in = numbered{call: call.Input}
		return d.cores[core].offer(m)
	}
	core, all := d.shards.Everyone(sample)
	if !all {
		m.in = numbered{call: call.Input}
		if call.Stream {
			m.stream, m.beat = e.from(core), e.beat
			if len(d.cores) > 1 {
				m.in = numbered{call: e.since(call.Input, core)}
			}
		}
		return d.cores[core].offer(m)
	}
	g := &gather{in: sample, left: len(d.cores), answers: make([]scheduler.Answer, len(d.cores)), reply: m.reply}
	send := func(i int, give func(message) bool) bool {
		n := message{in: numbered{call: call.Input}, came: m.came, reply: g.from(i)}
		if call.Stream {
			n.in, n.stream = numbered{call: e.since(call.Input, i)}, e.from(i)
			if n.beat = e.quiet; i == 0 {
				n.beat = e.beat
			}
		}
		return give(n)
	}
	if !shard.IsAnsweredByFirstCore(sample) {
		for i, c := range d.cores {
			if !send(i, c.offer) {
				g.drop()
				return false
			}
		}
		return true
	}
	// Core 0 first; its goroutine passes the command on, so that all others hear all such commands in its order.
	first := m.reply
	m.in = numbered{call: call.Input}
	m.reply = func(a *scheduler.Answer) {
		if a.Err != nil {
			first(a)
			return
		}
		g.from(0)(a)
		for i, c := range d.cores[1:] {
			send(i+1, func(n message) bool { c.pass(n); return true })
		}
	}
	return d.cores[0].offer(m)
}

// gather waits for the answers of all cores to one input. Its methods may be called by any core's goroutine.
type gather struct {
	in      scheduler.Input
	reply   func(*scheduler.Answer)
	mu      sync.Mutex
	left    int
	answers []scheduler.Answer
	off     bool
}

func (g *gather) from(i int) func(*scheduler.Answer) {
	return func(a *scheduler.Answer) {
		g.mu.Lock()
		g.answers[i] = *a
		g.left--
		done := g.left == 0 && !g.off
		g.mu.Unlock()
		if done {
			merged := shard.Merge(g.in, g.answers)
			g.reply(&merged)
		}
	}
}

// drop has the answers of the cores that were asked already go nowhere: the request was turned away.
func (g *gather) drop() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.off = true
}

// events is the stream of changes to one client, fed by one core or by all. What comes before the head of the response
// is kept until that is written. All but gone belongs to the connection's loop.
type events struct {
	p     *client
	c     *transport.Conn
	at    shard.Position
	begun bool
	early [][]byte
	gone  *atomic.Bool // the request was turned away
}

// since is a watch that begins where the client left off with a core.
func (e *events) since(input func(req, stream uint64) scheduler.Input, core int) func(req, stream uint64) scheduler.Input {
	since := e.at[core]
	return func(req, stream uint64) scheduler.Input {
		w, ok := input(req, stream).(scheduler.Watch)
		if !ok {
			return input(req, stream)
		}
		w.Since = since
		return w
	}
}

// from is what a core calls for each change; it is false when nobody reads any more.
func (e *events) from(core int) func(*scheduler.Info) bool {
	return func(i *scheduler.Info) bool {
		info := *i
		return !e.gone.Load() && e.c.RunInLoop(512, func(write func([]byte)) {
			e.at[core] = info.Revision
			b := e.p.d.front.Event(&info, e.at.String())
			if !e.begun {
				e.early = append(e.early, b)
				return
			}
			write(b)
		}) && !e.c.IsClosed()
	}
}

func (e *events) begin(write func([]byte)) {
	e.begun = true
	for _, b := range e.early {
		write(b)
	}
	e.early = nil
}

func (e *events) beat() bool { return !e.gone.Load() && e.c.Send(drmaafront.Beat()) && !e.c.IsClosed() }

// quiet is the beat of a core that leaves it to another.
func (e *events) quiet() bool { return !e.gone.Load() && !e.c.IsClosed() }
