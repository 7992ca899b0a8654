package requests

import "flaxshelf.example/flaxshelf"

// Time is the caller's clock: Unix nanoseconds that never go back.
type Time = flaxshelf.Time

// ConnID identifies an owner's connection. The caller assigns it, never 0 and never twice.
type ConnID uint64

// LinkID identifies a link, which is a connection to a node. The core assigns it in ascending order.
type LinkID uint64

// Cause is the protocol's number for the reason of a release.
type Cause int

// Causes of releases.
const (
	CauseNormal   Cause = 16  // a request was canceled, an offer was withdrawn, or a running task has completed
	CauseCanceled Cause = 31  // the task was migrated, or ended by its owner, who needs no notification
	CauseRejected Cause = 34  // the request was rejected; a retry is safe
	CauseLost     Cause = 41  // the connection or the node was lost; the task may have run
	CauseError    Cause = 47  // an error occurred; the task may have run
	CauseObsolete Cause = 102 // sent by nodes only: the offer arrived too late, and the task never ran
)

// Input is an event outside the core. The input types of this package implement it.
type Input interface {
	apply(c *Core)
}

// Inputs from owners.
type (
	// Submit requests the placement of a task.
	Submit struct {
		Conn           ConnID
		Task           flaxshelf.Task // its ID is the 16 hex digits of the owner's message
		Class          string         // name of the class as the owner sent it
		IdempotencyKey string
		Description    string
	}
	// Adopt is an owner's report of a task that a node already runs, and that this scheduler is to manage. The owner
	// gets no response.
	Adopt struct {
		Conn ConnID
		Task flaxshelf.Task
		Node string
	}
	// Release is an owner's message that cancels a pending request or ends a running task.
	Release struct {
		Conn ConnID
		Task string
	}
	// Migrated is an owner's message that ends a running task because the owner migrates it. It has the effect of Release.
	Migrated struct {
		Conn ConnID
		Task string
	}
	// Ping is an owner's health check of the scheduler. The effect Pong answers it.
	Ping struct {
		Conn ConnID
		Task string // task ID in the owner's message, which the Pong repeats
	}
	// OwnerConnected reports a new connection of an owner.
	OwnerConnected struct {
		Conn ConnID
		Host string // the peer's address without its port
	}
	// OwnerDisconnected reports that an owner's connection has ended. Requests pending on it are canceled.
	OwnerDisconnected struct{ Conn ConnID }
	// ProtocolError reports that a message on an owner's connection was malformed or unexpected.
	ProtocolError struct{ Conn ConnID }
)

// Inputs from nodes and their links.
type (
	// LinkUp reports that a link is established.
	LinkUp struct{ Link LinkID }
	// LinkDown reports that a link has ended or could not be established.
	LinkDown struct {
		Link              LinkID
		ConnectionRefused bool // the dial failed because nothing listens at the address
	}
	// NodeMessage is a message of a node about a task.
	NodeMessage struct {
		Link        LinkID
		Kind        NodeMessageKind
		Task        string
		Cause       Cause               // of NodeReleased
		Reason      flaxshelf.Reason    // of NodeReleased
		UsageKind   flaxshelf.UsageKind // of NodeUsage
		Amount      float64             // of NodeUsage
		Description string              // of NodeAccepted: the node's response to the owner
	}
	// SendFailed reports that an Offer was not sent.
	SendFailed struct {
		Link    LinkID
		Task    string
		Attempt int
	}
)

// Inputs from the discovery service and the process.
type (
	// Endpoint is an entry of the endpoint list: a machine and the address at which its node listens.
	Endpoint struct {
		Machine flaxshelf.Machine
		Addr    string // empty if the list has no address for the node, which leaves a known address unchanged
	}
	// NodesUpdated is an update of the endpoint list.
	NodesUpdated struct {
		Endpoints  []Endpoint
		Complete   bool // whether Endpoints lists all nodes, so that any other node is removed
		FromConfig bool // whether the update comes from the configuration at the start, and may be stale
	}
	// WatchEstablished reports that the discovery service has accepted the subscription.
	WatchEstablished struct{}
	// WatchFailed reports that the discovery service could not be reached, or that the watch was interrupted or timed out.
	WatchFailed struct{}
	// Shutdown reports that the scheduler is shutting down. Health checks fail from then on.
	Shutdown struct{}
)

// NodeMessageKind is the kind of a NodeMessage.
type NodeMessageKind int

// Kinds of node messages.
const (
	NodeAccepted         NodeMessageKind = iota // the node has accepted the offer and runs the task
	NodeReleased                                // the node does not run the task: it never ran there, or it has ended
	NodeConfirmedRelease                        // the node has received the scheduler's release
	NodeUsage                                   // a usage report of a running task
)

// String returns the name of the kind, as in the trace log.
func (k NodeMessageKind) String() string {
	switch k {
	case NodeAccepted:
		return "accepted"
	case NodeReleased:
		return "released"
	case NodeConfirmedRelease:
		return "release confirmed"
	case NodeUsage:
		return "usage"
	}
	return "unknown"
}

func (in Submit) apply(c *Core)            { c.submit(in) }
func (in Adopt) apply(c *Core)             { c.adopt(in) }
func (in Release) apply(c *Core)           { c.releaseByOwner(in.Conn, in.Task) }
func (in Migrated) apply(c *Core)          { c.releaseByOwner(in.Conn, in.Task) }
func (in Ping) apply(c *Core)              { c.ping(in) }
func (in OwnerConnected) apply(c *Core)    { c.connectOwner(in) }
func (in OwnerDisconnected) apply(c *Core) { c.disconnectOwner(in.Conn) }
func (in ProtocolError) apply(c *Core)     { c.protocolError(in.Conn) }
func (in LinkUp) apply(c *Core)            { c.linkUp(in.Link) }
func (in LinkDown) apply(c *Core)          { c.linkDown(in) }
func (in NodeMessage) apply(c *Core)       { c.handleNodeMessage(in) }
func (in SendFailed) apply(c *Core)        { c.sendFailed(in) }
func (in NodesUpdated) apply(c *Core)      { c.updateNodes(in) }
func (WatchEstablished) apply(c *Core)     { c.watchEstablished() }
func (WatchFailed) apply(c *Core)          { c.watchFailed() }
func (Shutdown) apply(c *Core)             { c.shuttingDown = true }
