package host

import (
	"errors"
	"fmt"
	"time"

	"github.com/rs/zerolog"

	"flaxshelf.example/flaxshelf/internal/clock"
	"flaxshelf.example/flaxshelf/internal/codec/nodeframe"
	"flaxshelf.example/flaxshelf/internal/codec/nodeframe/nodepb"
	"flaxshelf.example/flaxshelf/internal/testbed/standin/nodemodel"
	"flaxshelf.example/flaxshelf/internal/transport"
)

// errFenced closes the connection of an earlier incarnation of a scheduler, which may still run.
var errFenced = errors.New("host: a later incarnation of this party has connected")

// NodeOptions configures a node.
type NodeOptions struct {
	Model     nodemodel.Config
	Kind      string
	Cell      int
	Listen    string                // host:port; port 0 picks a free port
	Advertise string                // address for the inventory; empty: the bound address
	Inventory string                // address; empty: the node registers nowhere
	Keys      nodemodel.KeyRegistry // shared by the nodes of a zone; nil: the node has its own
	Log       zerolog.Logger
}

// Node is a stand-in node on sockets. Its methods are safe for concurrent use.
type Node struct {
	*host
	options      NodeOptions
	state        *nodemodel.Node   // belongs to the owner
	dialer       *transport.Dialer // nil without an inventory
	registration *transport.Conn   // to the inventory; nil while not connected; belongs to the owner
}

// StartNode starts a node. The caller must call Stop.
func StartNode(options NodeOptions) (*Node, error) {
	h, err := listen(options.Listen, options.Log)
	if err != nil {
		return nil, fmt.Errorf("node %s: %w", options.Model.Name, err)
	}
	n := &Node{host: h, options: options}
	if n.options.Advertise == "" {
		n.options.Advertise = h.Addr()
	}
	if options.Inventory != "" {
		if n.dialer, err = transport.NewDialer(transport.Options{Log: options.Log}); err != nil {
			h.closeServer()
			return nil, fmt.Errorf("node %s: %w", options.Model.Name, err)
		}
	}
	n.state = nodemodel.New(options.Model, clock.Now(), options.Keys)
	h.model = n
	go n.run()
	if n.dialer != nil {
		n.linkInventory()
	}
	return n, nil
}

// Overloaded reports whether the node crashed of overload during slow start. It must not be called before Done is closed.
func (n *Node) Overloaded() bool { return n.state.Overloaded() }

// Do runs f with the model, on the goroutine that owns it, and sends what it returns.
func (n *Node) Do(f func(m *nodemodel.Node, now nodemodel.Time) []nodemodel.Send) {
	n.do(func() {
		n.send(f(n.state, clock.Now()))
		n.register()
	})
}

// run is the goroutine that owns the model.
func (n *Node) run() {
	defer n.close()
	registrations := time.NewTicker(registrationInterval)
	defer registrations.Stop()
	if stopped := n.serve(registrations.C, n.register); stopped {
		n.state.Die()
		return
	}
	n.options.Log.Warn().Str("node", n.options.Model.Name).Bool("overloaded", n.state.Overloaded()).Msg("node has died")
}

func (n *Node) close() {
	if n.dialer != nil {
		_ = n.dialer.Stop() // the stand-in ends anyway
	}
	n.closeServer()
}

func (n *Node) send(frames []nodemodel.Send) {
	for _, send := range frames {
		n.parties.send(send.To, send.Frame)
	}
}

func (n *Node) nextDue() time.Duration    { return n.state.Next() }
func (n *Node) advance(now time.Duration) { n.send(n.state.Advance(now)) }
func (n *Node) isDead() bool              { return n.state.Dead() }

func (n *Node) connect(now time.Duration, conn *transport.Conn, hello *nodepb.Hello) {
	frames, ok := n.state.Connect(now, hello.Party, hello.LifeUnixNs, nodeframe.MaxHeldPerWelcome)
	if !ok {
		conn.Send(encode(byeFrame(errFenced.Error())))
		conn.Close(errFenced)
		return
	}
	n.parties.add(hello.Party, conn)
	n.send(frames)
}

func (n *Node) disconnect(now time.Duration, party string) { n.state.Disconnect(now, party) }

func (n *Node) receive(now time.Duration, party string, frame *nodepb.Frame) {
	n.send(n.state.Receive(now, party, frame))
}
