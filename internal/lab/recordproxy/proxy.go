package recordproxy

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// chunk is how much a proxy reads at a time.
const chunk = 64 << 10

// Proxy passes connections on to one party. Its faults may be changed at any time.
type Proxy struct {
	rec           *Recorder
	wire, to, via string
	l             net.Listener
	target        func() string

	dropped atomic.Int64

	mu     sync.Mutex
	fault  Fault
	change chan struct{} // closed when fault changes
	conns  map[*pair]bool
	closed bool
	wg     sync.WaitGroup
}

// Fault is a trouble of a proxy's connections. The zero value passes everything on at once.
type Fault struct {
	Delay     time.Duration // each read is passed on so late
	Stall     bool          // nothing is passed on, both ways; nothing is lost
	DropThere bool          // bytes towards the listening party vanish: a half-open connection
	DropBack  bool          // bytes from it vanish
	Refuse    bool          // connections are closed at once
	CutBack   int           // above 0: once, the connection is cut after so many more bytes from the listening party
}

// NewProxy listens on a port of its own. target is asked for each connection.
func NewProxy(rec *Recorder, wire, to, via string, target func() string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("recordproxy: proxy to %s: %w", to, err)
	}
	p := &Proxy{rec: rec, wire: wire, to: to, via: via, l: l, target: target, change: make(chan struct{}),
		conns: map[*pair]bool{}}
	p.wg.Add(1)
	go p.accept()
	return p, nil
}

// Addr is where the proxy listens.
func (p *Proxy) Addr() string { return p.l.Addr().String() }

// Dropped counts the bytes that have not been passed on.
func (p *Proxy) Dropped() int64 { return p.dropped.Load() }

// Set changes the fault.
func (p *Proxy) Set(f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
	close(p.change)
	p.change = make(chan struct{})
}

// Cut closes all connections now.
func (p *Proxy) Cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.close("cut")
	}
}

// Close ends the proxy and waits for its goroutines.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.closed = true
	for c := range p.conns {
		c.close("end of the trial")
	}
	p.mu.Unlock()
	_ = p.l.Close()
	p.wg.Wait()
}

func (p *Proxy) now() (Fault, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault, p.change
}

func (p *Proxy) accept() {
	defer p.wg.Done()
	for {
		from, err := p.l.Accept()
		if err != nil {
			return
		}
		if f, _ := p.now(); f.Refuse {
			_ = from.Close()
			continue
		}
		p.wg.Add(1)
		go func() {
			defer p.wg.Done()
			p.serve(from)
		}()
	}
}

// pair is one connection on both sides of the proxy.
type pair struct {
	p        *Proxy
	id       uint64
	from, to net.Conn
	ctx      context.Context
	cancel   context.CancelFunc
	once     sync.Once
}

func (c *pair) close(why string) {
	c.once.Do(func() {
		c.p.rec.closed(c.id, why) // ahead of what the parties do when they see it
		c.cancel()
		_ = c.from.Close()
		_ = c.to.Close()
	})
}

func (p *Proxy) serve(from net.Conn) {
	to, err := net.DialTimeout("tcp", p.target(), time.Second)
	if err != nil {
		_ = from.Close()
		return
	}
	c := &pair{p: p, id: p.rec.open(p.wire, p.to, p.via), from: from, to: to}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	p.mu.Lock()
	p.conns[c] = true
	closed := p.closed
	p.mu.Unlock()
	if closed {
		c.close("end of the trial")
	}
	var wg sync.WaitGroup
	wg.Add(2)
	go func() { defer wg.Done(); c.pass(from, to, false) }()
	go func() { defer wg.Done(); c.pass(to, from, true) }()
	wg.Wait()
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
}

var errEnd = errors.New("recordproxy: the connection is over")

// ahead is how many reads of one direction may wait to be passed on; beyond it the sender's socket fills.
const ahead = 256

// pass carries one direction. Bytes are recorded when they come, though what was before them may still be kept
// back by a fault, and again when they are passed on.
func (c *pair) pass(src, dst net.Conn, back bool) {
	queue := make(chan []byte, ahead)
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		c.close(c.write(dst, back, queue))
	}()
	defer wg.Wait()
	defer close(queue)
	buf := make([]byte, chunk)
	for {
		n, err := src.Read(buf)
		if n > 0 {
			c.p.rec.sent(c.id, back, buf[:n])
			select {
			case queue <- append([]byte(nil), buf[:n]...):
			case <-c.ctx.Done():
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// write passes on what was read until there is no more, and tells why it ended.
func (c *pair) write(dst net.Conn, back bool, queue <-chan []byte) string {
	for b := range queue {
		n, cut, err := c.trouble(len(b), back)
		if err != nil {
			return err.Error()
		}
		// Recorded before the write, so that no answer to these bytes is recorded ahead of them.
		c.p.rec.delivered(c.id, back, n, len(b)-n)
		c.p.dropped.Add(int64(len(b) - n))
		if _, err := dst.Write(b[:n]); err != nil {
			return "closed by a party"
		}
		if cut {
			return "cut in the middle"
		}
	}
	return "closed by a party"
}

// trouble waits as the fault has it and tells how many of n bytes are passed on.
func (c *pair) trouble(n int, back bool) (pass int, cut bool, err error) {
	f, change := c.p.now()
	for f.Stall {
		select {
		case <-change:
		case <-c.ctx.Done():
			return 0, false, errEnd
		}
		f, change = c.p.now()
	}
	if f.Delay > 0 {
		select {
		case <-time.After(f.Delay):
		case <-c.ctx.Done():
			return 0, false, errEnd
		}
	}
	switch {
	case back && f.DropBack, !back && f.DropThere:
		return 0, false, nil
	case back && f.CutBack > 0:
		return c.cutBack(n)
	}
	return n, false, nil
}

// cutBack counts down the bytes that are left before the cut.
func (c *pair) cutBack(n int) (int, bool, error) {
	c.p.mu.Lock()
	defer c.p.mu.Unlock()
	left := c.p.fault.CutBack
	switch {
	case left <= 0:
		return n, false, nil
	case n >= left:
		c.p.fault.CutBack = 0
		return left, true, nil
	}
	c.p.fault.CutBack -= n
	return n, false, nil
}
