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

// errFenced is the reason for closing the connection of an earlier incarnation of a scheduler, which may still run.
var errFenced = errors.New("host: a later incarnation of this party has connected")

// NodeOptions are the options of StartNode.
type NodeOptions struct {
	Model             nodemodel.Config
	Kind              string                // name of the machine kind, for the inventory
	Cell              int                   // of the machine, for the inventory
	ListenAddress     string                // host:port; port 0 picks a free port
	AdvertisedAddress string                // address that the node registers; empty means the one on which it listens
	InventoryAddress  string                // host:port; empty means that the node does not register
	Keys              nodemodel.KeyRegistry // shared by the nodes of a zone; nil means that the node has its own
	Log               zerolog.Logger
}

// Node is a stand-in node on sockets. Its exported methods are safe for concurrent use.
type Node struct {
	*host
	options       NodeOptions
	nodeModel     *nodemodel.Node   // used only by the owner
	dialer        *transport.Dialer // for inventoryConn; nil if the node does not register
	inventoryConn *transport.Conn   // to the inventory; nil while not connected; used only by the owner
}

// StartNode starts a node. The caller must call Stop.
func StartNode(options NodeOptions) (*Node, error) {
	h, err := listen(options.ListenAddress, options.Log)
	if err != nil {
		return nil, fmt.Errorf("node %s: %w", options.Model.Name, err)
	}
	n := &Node{host: h, options: options}
	if n.options.AdvertisedAddress == "" {
		n.options.AdvertisedAddress = h.Addr()
	}
	if options.InventoryAddress != "" {
		if n.dialer, err = transport.NewDialer(transport.Options{Log: options.Log}); err != nil {
			h.closeServer()
			return nil, fmt.Errorf("node %s: %w", options.Model.Name, err)
		}
	}
	n.nodeModel = nodemodel.New(options.Model, clock.Now(), options.Keys)
	h.model = n
	go n.run()
	if n.dialer != nil {
		n.startInventoryLink()
	}
	return n, nil
}

// Overloaded reports whether the node crashed of overload during slow start. It must not be called before Done is closed.
func (n *Node) Overloaded() bool { return n.nodeModel.Overloaded() }

// Do runs f with the model on the goroutine that owns it, sends the frames that f returns, and registers the possible changes.
func (n *Node) Do(f func(m *nodemodel.Node, now nodemodel.Time) []nodemodel.Envelope) {
	n.do(func() {
		n.send(f(n.nodeModel, clock.Now()))
		n.sendRegistration()
	})
}

// run is the goroutine that owns the model.
func (n *Node) run() {
	defer n.close()
	registrations := time.NewTicker(registrationInterval)
	defer registrations.Stop()
	if stopped := n.serve(registrations.C, n.sendRegistration); stopped {
		n.nodeModel.Die()
		return
	}
	n.options.Log.Warn().Str("node", n.options.Model.Name).Bool("overloaded", n.nodeModel.Overloaded()).Msg("node has died")
}

// close stops the node's dialer and server.
func (n *Node) close() {
	if n.dialer != nil {
		_ = n.dialer.Stop() // the node ends in any case
	}
	n.closeServer()
}

func (n *Node) send(frames []nodemodel.Envelope) {
	for _, envelope := range frames {
		n.parties.send(envelope.To, envelope.Frame)
	}
}

func (n *Node) nextDue() time.Duration    { return n.nodeModel.NextDue() }
func (n *Node) advance(now time.Duration) { n.send(n.nodeModel.Advance(now)) }
func (n *Node) isDead() bool              { return n.nodeModel.Dead() }

func (n *Node) connect(now time.Duration, conn *transport.Conn, hello *nodepb.Hello) {
	frames, ok := n.nodeModel.Connect(now, hello.Party, hello.LifeUnixNs, nodeframe.MaxHeldPerWelcome)
	if !ok {
		conn.Send(encode(byeFrame(errFenced.Error())))
		conn.Close(errFenced)
		return
	}
	n.parties.add(hello.Party, conn)
	n.send(frames)
}

func (n *Node) disconnect(now time.Duration, party string) { n.nodeModel.Disconnect(now, party) }

func (n *Node) receive(now time.Duration, party string, frame *nodepb.Frame) {
	n.send(n.nodeModel.Receive(now, party, frame))
}
