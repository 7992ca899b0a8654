package requests

import "flaxshelf.example/flaxshelf"

// Time is the host's clock: Unix nanoseconds that never go back.
type Time = flaxshelf.Time

// ConnID identifies an owner's connection. The host assigns the numbers, never 0 and none twice.
type ConnID uint64

// LinkID identifies a connection to a node. The core assigns the numbers.
type LinkID uint64

// Cause is the reason for a release, by its number in the protocol.
type Cause int

// Causes of releases.
const (
	CauseNormal   Cause = 16  // a request is canceled; after its response: the task has completed
	CauseCanceled Cause = 31  // migrated, or ended by its owner, who needs no notification
	CauseRejected Cause = 34  // rejected: a retry does no harm
	CauseLost     Cause = 41  // the connection or the node was lost: the task may have run
	CauseError    Cause = 47  // an error: the task may have run
	CauseObsolete Cause = 102 // from nodes: the offer arrived too late and the task never ran
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
		Task           flaxshelf.Task // its ID is the 16 hex digits of the wire
		Class          string         // as the owner wrote it
		IdempotencyKey string
		Description    string
	}
	// Adopt reports a task that a node runs already, so that this scheduler manages it. It gets no response.
	Adopt struct {
		Conn ConnID
		Task flaxshelf.Task
		Node string
	}
	// Release is an owner's release: it cancels a pending request, or ends a running task.
	Release struct {
		Conn ConnID
		Task string
	}
	// Migrated is an owner's request to end a running task because the owner migrates it.
	Migrated struct {
		Conn ConnID
		Task string
	}
	// Ping is an owner's health check. The effect Pong answers it.
	Ping struct {
		Conn ConnID
		Task string
	}
	// OwnerConnected reports a new connection of an owner.
	OwnerConnected struct {
		Conn ConnID
		Host string // the peer's address without its port
	}
	// OwnerDisconnected reports that an owner's connection has ended. Requests pending on it are canceled.
	OwnerDisconnected struct{ Conn ConnID }
	// ProtocolError reports that a message on an owner's connection was malformed or out of place.
	ProtocolError struct{ Conn ConnID }
)

// Inputs from nodes and their links.
type (
	// LinkUp reports that a link is established.
	LinkUp struct{ Link LinkID }
	// LinkDown reports that a link has ended or could not be established.
	LinkDown struct {
		Link              LinkID
		ConnectionRefused bool // nothing listens at the address
	}
	// NodeMessage is a message of a node about a task.
	NodeMessage struct {
		Link        LinkID
		Kind        NodeMessageKind
		Task        string
		Cause       Cause
		Reason      flaxshelf.Reason
		UsageKind   flaxshelf.UsageKind
		Amount      float64
		Description string
	}
	// SendFailed reports that an Offer was not written.
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
		Addr    string // empty if the list has none: the address is unchanged
	}
	// NodesUpdated is an update of the endpoint list.
	NodesUpdated struct {
		Endpoints  []Endpoint
		Complete   bool // nodes that it does not contain are removed
		FromConfig bool // from the configuration at the start; it may be stale
	}
	// WatchEstablished reports that the discovery service has accepted the subscription.
	WatchEstablished struct{}
	// WatchFailed reports that the discovery service could not be reached, or that its watch broke off or timed out.
	WatchFailed struct{}
	// Shutdown reports that the scheduler is to shut down. Health checks fail after it.
	Shutdown struct{}
)

// NodeMessageKind is the kind of a NodeMessage.
type NodeMessageKind int

// Kinds of node messages.
const (
	NodeAccepted         NodeMessageKind = iota // the task runs
	NodeReleased                                // it never ran, or has ended
	NodeConfirmedRelease                        // the node has received our release
	NodeUsage                                   // a usage report
)

// String returns the name of the kind.
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
