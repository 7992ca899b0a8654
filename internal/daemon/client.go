package daemon

import (
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"flaxshelf.example/flaxshelf/drmaa2"
	"flaxshelf.example/flaxshelf/internal/codec/httpcodec"
	"flaxshelf.example/flaxshelf/internal/front/drmaafront"
	"flaxshelf.example/flaxshelf/internal/scheduler"
	"flaxshelf.example/flaxshelf/internal/shard"
	"flaxshelf.example/flaxshelf/internal/transport"
)

var (
	errClose   = errors.New("daemon: the exchange is over")
	errCrowded = errors.New("daemon: too many connections")
	errSlow    = errors.New("daemon: a request took too long to come")
)

// client reads the requests of one connection and answers them one after the other. Its fields belong to the
// connection's loop.
type client struct {
	d         *Daemon
	parser    httpcodec.Parser
	busy      bool // a request waits for the core, or events follow
	streaming bool
	crowded   bool
	began     time.Time // of the request that has not come whole
}

func (d *Daemon) accept(c *transport.Conn) transport.Handler {
	n := d.clients.Add(1)
	d.metrics.clients.Set(float64(n))
	return &client{d: d, crowded: n > int64(d.set.Limits.MaxConnections)}
}

// crowdedFor is how long a connection over the bound may take until its request is turned away.
const crowdedFor = time.Second

// Opened watches what is over the bound. It is turned away when its request has come: an answer ahead of it would be
// taken for a fault by clients.
func (p *client) Opened(c *transport.Conn) {
	if p.crowded {
		time.AfterFunc(crowdedFor, func() {
			c.RunInLoop(0, func(write func([]byte)) {
				write(drmaafront.Busy(true))
				c.CloseInLoop(errCrowded)
			})
		})
	}
}

// Receive implements transport.Peer.
func (p *client) Receive(c *transport.Conn, in []byte) (int, error) {
	if p.busy {
		if p.streaming {
			return len(in), nil // nothing more is expected on a stream
		}
		return 0, nil
	}
	req, used, cont, err := p.parser.Parse(in)
	if cont {
		c.WriteInLoop(httpcodec.Continue)
	}
	if err != nil {
		p.bad(c, err)
		return len(in), errClose
	}
	if req == nil {
		if p.began.IsZero() {
			p.began = time.Now()
			limit := p.d.set.Limits.RequestTimeout.Duration()
			began := p.began
			// Risk covered: a client that sends a byte a second is never idle and holds its place forever.
			time.AfterFunc(limit, func() {
				c.RunInLoop(0, func(write func([]byte)) {
					if p.began.Equal(began) {
						write(drmaafront.ErrorResponse(408, &drmaa2.Error{Code: drmaa2.InvalidArgument,
							Message: fmt.Sprintf("the request did not come whole within %v", limit)}, true))
						c.CloseInLoop(errSlow)
					}
				})
			})
		}
		return 0, nil
	}
	p.began = time.Time{}
	if p.crowded {
		c.WriteInLoop(drmaafront.Busy(true))
		c.CloseInLoop(errCrowded)
		return used, nil
	}
	p.serve(c, req)
	return used, nil
}

func (p *client) bad(c *transport.Conn, err error) {
	status, text := 400, err.Error()
	var e *httpcodec.Error
	if errors.As(err, &e) {
		status, text = e.Status, e.Message
	}
	p.d.metrics.bad.Inc()
	c.WriteInLoop(drmaafront.ErrorResponse(status, &drmaa2.Error{Code: drmaa2.InvalidArgument, Message: text}, true))
}

func (p *client) serve(c *transport.Conn, req *httpcodec.Request) {
	call := p.d.front.Route(req)
	if call.Response != nil {
		p.answer(c, call, call.Response)
		return
	}
	p.busy = true
	m := message{came: time.Now()}
	e := &events{p: p, c: c, gone: new(atomic.Bool)}
	m.reply = func(a *scheduler.Answer) {
		answer := *a
		c.RunInLoop(512, func(func([]byte)) {
			if call.Stream && answer.Err == nil {
				p.streaming = true
				c.DisableIdleTimeout()
				c.WriteInLoop(call.Encode(&answer))
				e.begin(c.WriteInLoop)
				return
			}
			e.gone.Store(true)
			p.busy = false
			p.answer(c, call, call.Encode(&answer))
			c.Resume()
		})
	}
	if call.Stream {
		e.at = shard.ParsePosition(call.Since, len(p.d.cores))
	}
	if !p.d.ask(call, m, e) {
		e.gone.Store(true)
		p.busy = false
		p.answer(c, call, drmaafront.Busy(call.Closes))
	}
}

func (p *client) answer(c *transport.Conn, call *drmaafront.Call, response []byte) {
	c.WriteInLoop(response)
	if call.Closes {
		c.CloseInLoop(errClose)
	}
}

// Closed implements transport.Peer.
func (p *client) Closed(c *transport.Conn, why error) {
	p.d.metrics.clients.Set(float64(p.d.clients.Add(-1)))
	if errors.Is(why, transport.ErrSlowReader) || errors.Is(why, transport.ErrReadBufferFull) || errors.Is(why, errSlow) {
		p.d.metrics.cut.Inc()
		p.d.log.Warn().Err(why).Str("client", c.Remote()).Msg("a client was cut off")
	}
}
