package recordproxy

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// dialTimeout limits how long the proxy tries to connect to the listening party.
const dialTimeout = time.Second

// Proxy accepts connections, forwards each to one listening party, and records the traffic. Its fault may be changed at any
// time. It is safe for concurrent use.
type Proxy struct {
	recorder                 *Recorder
	stalls                   *stallMonitor
	protocol                 string
	listenerName, dialerName string // names of the listening party and, if the proxy serves only one, of the dialing party
	listener                 net.Listener
	targetAddress            func() string

	droppedBytes atomic.Int64

	mu           sync.Mutex
	fault        Fault
	faultChanged chan struct{} // closed and replaced when fault changes
	connections  map[*connection]bool
	closed       bool
	goroutines   sync.WaitGroup // accept, and serve for each connection
}

// NewProxy returns a proxy that listens on a free port of loopback until Close. The recording names the protocol and the two
// parties as given; dialerName is empty if several parties dial this proxy. targetAddress returns the address of the listening
// party and is called for each connection.
func NewProxy(recorder *Recorder, protocol, listenerName, dialerName string, targetAddress func() string) (*Proxy, error) {
	config := net.ListenConfig{Control: enableTimestamps}
	listener, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("recordproxy: listen for connections to %s: %w", listenerName, err)
	}
	p := &Proxy{recorder: recorder, stalls: recorder.monitorStalls(), protocol: protocol, listenerName: listenerName,
		dialerName: dialerName, listener: listener, targetAddress: targetAddress, faultChanged: make(chan struct{}),
		connections: map[*connection]bool{}}
	p.goroutines.Go(p.accept)
	return p, nil
}

// Addr returns the address at which the proxy listens.
func (p *Proxy) Addr() string { return p.listener.Addr().String() }

// DroppedBytes returns the number of bytes that faults have dropped so far.
func (p *Proxy) DroppedBytes() int64 { return p.droppedBytes.Load() }

// SetFault replaces the fault, for open and for later connections.
func (p *Proxy) SetFault(fault Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = fault
	close(p.faultChanged)
	p.faultChanged = make(chan struct{})
}

// Disconnect closes all open connections. New connections are still accepted.
func (p *Proxy) Disconnect() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.connections {
		c.close(reasonDisconnectedByFault, 0)
	}
}

// Close closes the listener and all connections, and waits for the goroutines of the proxy.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.closed = true
	for c := range p.connections {
		c.close(reasonProxyClosed, 0)
	}
	p.mu.Unlock()
	_ = p.listener.Close()
	p.goroutines.Wait()
}

// currentFault returns the fault and a channel that is closed when it changes.
func (p *Proxy) currentFault() (Fault, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault, p.faultChanged
}

func (p *Proxy) accept() {
	for {
		dialerConn, err := p.listener.Accept()
		if err != nil {
			return
		}
		if fault, _ := p.currentFault(); fault.Reject {
			_ = dialerConn.Close()
			continue
		}
		p.goroutines.Go(func() { p.serve(dialerConn) })
	}
}

// serve connects an accepted connection to the listening party and forwards both directions until it is closed. If the party
// cannot be reached, nothing is recorded and the connection is closed.
func (p *Proxy) serve(dialerConn net.Conn) {
	dialer := net.Dialer{Timeout: dialTimeout, Control: enableTimestamps}
	listenerConn, err := dialer.Dial("tcp", p.targetAddress())
	if err != nil {
		_ = dialerConn.Close()
		return
	}
	c := &connection{proxy: p, id: p.recorder.recordOpen(p.protocol, p.listenerName, p.dialerName), dialerConn: dialerConn,
		listenerConn: listenerConn, done: make(chan struct{})}
	p.mu.Lock()
	p.connections[c] = true
	closed := p.closed
	p.mu.Unlock()
	if closed {
		c.close(reasonProxyClosed, 0)
	}
	c.run()
	p.mu.Lock()
	delete(p.connections, c)
	p.mu.Unlock()
}
