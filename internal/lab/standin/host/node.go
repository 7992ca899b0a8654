package host

import (
	"context"
	"fmt"
	"math"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"flaxshelf.example/flaxshelf/internal/clock"
	"flaxshelf.example/flaxshelf/internal/codec/nodeframe"
	"flaxshelf.example/flaxshelf/internal/codec/nodeframe/nodepb"
	"flaxshelf.example/flaxshelf/internal/lab/standin/nodemodel"
	"flaxshelf.example/flaxshelf/internal/transport"
)

// registerEvery is how often a node tells the inventory how it is.
const registerEvery = 500 * time.Millisecond

// NodeOptions are what a node needs beside its model.
type NodeOptions struct {
	Model     nodemodel.Config
	Kind      string
	Cell      int
	Listen    string         // host:port; port 0 picks one
	Advertise string         // told to the inventory; empty: the bound address
	Inventory string         // empty: it registers nowhere
	Room      nodemodel.Keys // shared with the nodes that drop the same keyed copies
	Log       zerolog.Logger
}

// Node is a stand-in node on sockets.
type Node struct {
	opt     NodeOptions
	model   *nodemodel.Node
	server  *transport.Server
	dialer  *transport.Dialer
	box     chan message
	stop    chan struct{}
	once    sync.Once
	done    chan struct{}
	parties parties
	toList  *transport.Conn // to the inventory
}

// StartNode boots a node.
func StartNode(opt NodeOptions) (*Node, error) {
	n := &Node{opt: opt, box: make(chan message, mailbox), stop: make(chan struct{}), done: make(chan struct{}),
		parties: newParties()}
	var err error
	n.server, err = transport.Listen(opt.Listen, transport.Options{Log: opt.Log},
		func(*transport.Conn) transport.Handler { return &peer{box: n.box} })
	if err != nil {
		return nil, fmt.Errorf("node %s: %w", opt.Model.Name, err)
	}
	if n.opt.Advertise == "" {
		n.opt.Advertise = n.server.Addr()
	}
	if opt.Inventory != "" {
		if n.dialer, err = transport.NewDialer(transport.Options{Log: opt.Log}); err != nil {
			_ = n.server.Stop(context.Background())
			return nil, fmt.Errorf("node %s: %w", opt.Model.Name, err)
		}
	}
	n.model = nodemodel.New(opt.Model, clock.Now(), opt.Room)
	go n.own()
	if n.dialer != nil {
		n.dialer.Link(opt.Inventory, time.Second, transport.Backoff{Initial: 50 * time.Millisecond, Max: time.Second},
			func() transport.Handler { return &registrar{n} }, func(error) {})
	}
	return n, nil
}

// Addr is where the node listens.
func (n *Node) Addr() string { return n.server.Addr() }

// Done is closed when the node has ended.
func (n *Node) Done() <-chan struct{} { return n.done }

// FellOver tells, once Done, whether it died of too many starts while cold.
func (n *Node) FellOver() bool { return n.model.FellOver() }

// Do runs f with the model, on the goroutine that owns it, and sends what it returns.
func (n *Node) Do(f func(m *nodemodel.Node, now nodemodel.Time) []nodemodel.Send) {
	ran := make(chan struct{})
	m := message{do: func() { n.send(f(n.model, clock.Now())); n.register(); close(ran) }}
	select {
	case n.box <- m:
	case <-n.done:
		return
	}
	select {
	case <-ran:
	case <-n.done:
	}
}

// Stop ends the node at once, as a crash does: nobody is told.
func (n *Node) Stop() {
	n.once.Do(func() { close(n.stop) })
	<-n.done
}

// own is the goroutine that owns the model.
func (n *Node) own() {
	defer close(n.done)
	defer func() {
		if n.dialer != nil {
			_ = n.dialer.Stop()
		}
		_ = n.server.Stop(context.Background())
	}()
	tick, due := time.NewTicker(registerEvery), newTimer()
	defer tick.Stop()
	defer due.Stop()
	for {
		if n.model.Dead() {
			n.opt.Log.Warn().Str("node", n.opt.Model.Name).Bool("fell_over", n.model.FellOver()).Msg("node is dead")
			return
		}
		if next := n.model.Next(); next < math.MaxInt64 {
			due.Reset(max(next-clock.Now(), 0))
		}
		select {
		case m := <-n.box:
			n.take(m)
		case <-due.C:
			n.send(n.model.Advance(clock.Now()))
		case <-tick.C:
			n.register()
		case <-n.stop:
			n.model.Die()
			return
		}
	}
}

func (n *Node) take(m message) {
	now := clock.Now()
	switch {
	case m.do != nil:
		m.do()
	case m.gone:
		if from := n.parties.remove(m.conn); from != "" {
			n.model.Disconnect(now, from)
		}
	case m.hello != nil:
		out, ok := n.model.Connect(now, m.hello.Party, m.hello.LifeUnixNs, nodeframe.HeldPerWelcome)
		if !ok {
			m.conn.Send(encode(bye(errFenced.Error())))
			m.conn.Close(errFenced)
			return
		}
		n.parties.add(m.hello.Party, m.conn)
		n.send(out)
	default:
		if from := n.parties.names[m.conn]; from != "" {
			n.send(n.model.Receive(now, from, m.frame))
		}
	}
}

func (n *Node) send(out []nodemodel.Send) {
	for _, s := range out {
		n.parties.send(s.To, s.Frame)
	}
}

func (n *Node) register() {
	if n.toList == nil || n.model.Dead() {
		return
	}
	e := &nodepb.Entry{Node: n.opt.Model.Name, Address: n.opt.Advertise, Kind: n.opt.Kind, Zone: n.opt.Model.Zone,
		Cell: int32(n.opt.Cell)}
	if n.opt.Model.SlowStartDuration > 0 {
		e.StartedUnixNs = int64(n.model.Started())
	}
	if n.model.Draining() {
		e.Standing = nodepb.Standing_DRAINING
	}
	e.FreeCores, e.FreeMemory = n.model.Free()
	n.toList.Send(encode(&nodepb.Frame{Body: &nodepb.Frame_Register{Register: &nodepb.Register{Entry: e}}}))
}

// registrar is the node's end of its connection to the inventory.
type registrar struct{ n *Node }

func (r *registrar) Opened(c *transport.Conn) {
	c.WriteInLoop(encode(&nodepb.Frame{Body: &nodepb.Frame_Hello{Hello: &nodepb.Hello{VersionMin: nodeframe.Version,
		VersionMax: nodeframe.Version, Party: r.n.opt.Model.Name, LifeUnixNs: int64(clock.Now())}}}))
	r.pass(func() { r.n.toList = c; r.n.register() })
}

func (r *registrar) Receive(_ *transport.Conn, in []byte) (int, error) { return len(in), nil }

func (r *registrar) Closed(c *transport.Conn, _ error) {
	r.pass(func() {
		if r.n.toList == c {
			r.n.toList = nil
		}
	})
}

// pass hands a change to the owner. Where its box is full the change is dropped: the next connection or tick
// makes up for it.
func (r *registrar) pass(f func()) {
	select {
	case r.n.box <- message{do: f}:
	default:
	}
}

// Room is a nodemodel.Keys that nodes with goroutines of their own can share.
type Room struct {
	mu   sync.Mutex
	room *nodemodel.Room
}

// NewRoom makes an empty one.
func NewRoom() *Room { return &Room{room: nodemodel.NewRoom()} }

// Take implements nodemodel.Keys.
func (r *Room) Take(key, node string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.room.Take(key, node)
}

// Free implements nodemodel.Keys.
func (r *Room) Free(key, node string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.room.Free(key, node)
}
