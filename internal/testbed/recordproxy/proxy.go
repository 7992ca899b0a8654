package recordproxy

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// dialTimeout is how long the listening party may take to accept a connection.
const dialTimeout = time.Second

// Proxy forwards connections to one party, which is their listener, and records them. Its fault may be changed at any time.
// Its methods may be called by several goroutines.
type Proxy struct {
	recorder *Recorder
	wire     string
	to, via  string // names of the listening party and, if it is known beforehand, of the dialing one
	listener net.Listener
	target   func() string

	droppedBytes atomic.Int64

	mu           sync.Mutex
	fault        Fault
	faultChanged chan struct{} // closed when fault changes
	connections  map[*connection]bool
	closed       bool
	running      sync.WaitGroup // the accepting goroutine and those of connections
}

// NewProxy listens on a port of its own until Close. wire, to and via are the names of the protocol and the parties in the
// recording; target is called for the address of the party for each connection.
func NewProxy(recorder *Recorder, wire, to, via string, target func() string) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("recordproxy: proxy to %s: %w", to, err)
	}
	p := &Proxy{recorder: recorder, wire: wire, to: to, via: via, listener: listener, target: target,
		faultChanged: make(chan struct{}), connections: map[*connection]bool{}}
	p.running.Go(p.accept)
	return p, nil
}

// Addr is where the proxy listens.
func (p *Proxy) Addr() string { return p.listener.Addr().String() }

// DroppedBytes counts the bytes that were received and not forwarded.
func (p *Proxy) DroppedBytes() int64 { return p.droppedBytes.Load() }

// SetFault replaces the fault of all connections, those to come as well.
func (p *Proxy) SetFault(fault Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = fault
	close(p.faultChanged)
	p.faultChanged = make(chan struct{})
}

// Disconnect closes all present connections.
func (p *Proxy) Disconnect() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.connections {
		c.close(closedByFault)
	}
}

// Close ends the proxy and its connections, and waits for its goroutines.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.closed = true
	for c := range p.connections {
		c.close(closedByProxy)
	}
	p.mu.Unlock()
	_ = p.listener.Close()
	p.running.Wait()
}

// currentFault returns the fault with a channel that is closed when it changes.
func (p *Proxy) currentFault() (Fault, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault, p.faultChanged
}

func (p *Proxy) accept() {
	for {
		dialer, err := p.listener.Accept()
		if err != nil {
			return
		}
		if fault, _ := p.currentFault(); fault.Reject {
			_ = dialer.Close()
			continue
		}
		p.running.Go(func() { p.serve(dialer) })
	}
}

// serve forwards a connection until it is closed.
func (p *Proxy) serve(dialer net.Conn) {
	listener, err := net.DialTimeout("tcp", p.target(), dialTimeout)
	if err != nil {
		_ = dialer.Close()
		return
	}
	c := &connection{proxy: p, id: p.recorder.opened(p.wire, p.to, p.via), dialer: dialer, listener: listener,
		done: make(chan struct{})}
	p.mu.Lock()
	p.connections[c] = true
	closed := p.closed
	p.mu.Unlock()
	if closed {
		c.close(closedByProxy)
	}
	c.run()
	p.mu.Lock()
	delete(p.connections, c)
	p.mu.Unlock()
}
