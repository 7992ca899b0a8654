// Package requests owns the life of each request on the platform: a set-up from its coming to its one answer, and the task that
// stands from then on to the release of its owner. It turns what owners, nodes and the control feed say into the module's
// events, and the module's actions into messages. It is free of I/O, clocks and goroutines, and decides nothing about
// placement. What it decides itself is the health of links: when one is opened, given up and when what stood behind it
// counts as cut.
//
// It must not keep jobs: asking anew after a loss, joining by key and waiting belong to the owner here, where
// internal/scheduler has them for DRMAA. See docs/platform.md.
package requests

import (
	"time"

	"flaxshelf.example/flaxshelf"
)

// Time is the host's clock: Unix nanoseconds that only move forward.
type Time = flaxshelf.Time

// Causes of releases, as the platform numbers them.
const (
	CauseNormal   = 16 // a set-up is given up; after an answer: the task has come to its end
	CauseCanceled = 31 // moved, or ended by its owner, who is owed no release
	CauseRejected = 34 // refused: trying again is harmless
	CauseLost     = 41
	CauseError    = 47
	CauseObsolete = 102
)

// Input is one of the input types below.
type Input interface{ input() }

// Conn is an owner's connection, numbered by the host, never 0 and never used again.
type Conn uint64

// Link is a connection to a node, numbered by the core.
type Link uint64

type (
	// Submit asks for a task to be placed.
	Submit struct {
		Conn           Conn
		Task           flaxshelf.Task // ID is the 16 hex digits of the wire
		Class          string         // as the owner wrote it
		IdempotencyKey string
		Description    string
	}
	// Adopt hands over a task that a node holds already. It wants no answer.
	Adopt struct {
		Conn Conn
		Task flaxshelf.Task
		Node string
	}
	// Release is an owner's: a set-up given up, or a standing task ended.
	Release struct {
		Conn Conn
		Task string
	}
	// Migrated is an owner's word that a standing task is to end.
	Migrated struct {
		Conn Conn
		Task string
	}
	// Ping is an owner's test: the host answers it by the effect Pong.
	Ping struct {
		Conn Conn
		Task string
	}
	// OwnerConnected tells of an owner's new connection, Closed that it has ended.
	OwnerConnected struct {
		Conn Conn
		Host string // the peer's address without its port
	}
	// OwnerDisconnected tells that an owner's connection has ended. Set-ups open on it are given up.
	OwnerDisconnected struct{ Conn Conn }

	// ProtocolError tells that a message on an owner's connection made no sense.
	ProtocolError struct{ Conn Conn }

	// LinkUp tells that a link stands.
	LinkUp struct{ Link Link }
	// LinkDown tells that a link has ended or could not be made.
	LinkDown struct {
		Link              Link
		ConnectionRefused bool // nothing listens there: the process is dead
	}
	// NodeMessage is what a node says on a link.
	NodeMessage struct {
		Link        Link
		Kind        NodeMessageKind
		Task        string
		Cause       int
		Reason      flaxshelf.Reason
		UsageKind   flaxshelf.UsageKind
		Amount      float64
		Description string
	}
	// SendFailed tells that a set-up was not written.
	SendFailed struct {
		Link    Link
		Task    string
		Attempt int
	}

	// NodesUpdated is the control feed's word.
	NodesUpdated struct {
		Machines   []flaxshelf.Machine
		Addrs      []string // of the machines, in their order
		Complete   bool
		FromConfig bool // from the configuration, not from the feed
	}
	// WatchEstablished tells that the feed has taken the subscription; FeedDown that it could not be asked or broke off.
	WatchEstablished struct{}
	// WatchFailed tells that the feed could not be asked, broke off or fell silent.
	WatchFailed struct{}
	// Shutdown tells that the scheduler is to leave: tests fail from now on.
	Shutdown struct{}
)

// NodeMessageKind is what a node says of a task.
type NodeMessageKind int

// What nodes say.
const (
	NodeAccepted         NodeMessageKind = iota // the task stands
	NodeReleased                                // it never stood, or is over
	NodeConfirmedRelease                        // our release was heard
	NodeUsage
)

func (Submit) input()            {}
func (Adopt) input()             {}
func (Release) input()           {}
func (Migrated) input()          {}
func (Ping) input()              {}
func (OwnerConnected) input()    {}
func (OwnerDisconnected) input() {}
func (ProtocolError) input()     {}
func (LinkUp) input()            {}
func (LinkDown) input()          {}
func (NodeMessage) input()       {}
func (SendFailed) input()        {}
func (NodesUpdated) input()      {}
func (WatchEstablished) input()  {}
func (WatchFailed) input()       {}
func (Shutdown) input()          {}

// Effect is one of the effect types below.
type Effect interface{ effect() }

type (
	// Accepted tells an owner that its task stands.
	Accepted struct {
		Conn              Conn
		Task, Description string
	}
	// Terminated tells an owner that its set-up was refused or failed, or that its standing task is over: by a release with
	// Cause, or by a move, after which the owner brings the task again.
	Terminated struct {
		Conn    Conn
		Task    string
		Cause   int
		Migrate bool
	}
	// Pong answers a test.
	Pong struct {
		Conn   Conn
		Task   string
		Passed bool
	}
	// CloseOwner closes an owner's connection, after what was written on it.
	CloseOwner struct{ Conn Conn }
	// Dial has a connection to a node made; Up or Down follows.
	Dial struct {
		Link       Link
		Node, Addr string
	}
	// CloseLink ends a link; Down follows or not.
	CloseLink struct{ Link Link }
	// Offer writes a set-up.
	Offer struct {
		Link                                                Link
		Attempt                                             int  // its number among those of the task
		Owner                                               Conn // whose set-up it is
		Node, Task, Class, Key, IdempotencyKey, Description string
		TimeLeft                                            time.Duration
	}
	// SendRelease writes a release.
	SendRelease struct {
		Link  Link
		Task  string
		Cause int
	}
	// Subscribe has the control feed asked.
	Subscribe struct{}
)

func (Accepted) effect()    {}
func (Terminated) effect()  {}
func (Pong) effect()        {}
func (CloseOwner) effect()  {}
func (Dial) effect()        {}
func (CloseLink) effect()   {}
func (Offer) effect()       {}
func (SendRelease) effect() {}
func (Subscribe) effect()   {}

// Stats are what a core has and has done.
type Stats struct {
	// Now.
	Pending, Running, RunningUnlisted, Owners, Nodes, Links int
	// Final answers, set-ups taken back, offers made.
	Placed, Rejected, Failed, Canceled, Offers uint64
	// Tasks handed over, and standing tasks that are over: by their node's word and why, or without it.
	Adopted, Ended, Completed, Evicted, Preempted, LostByNodeReport uint64
	LostToNodeDeath, LostToUnreachable, LostToRemoval               uint64
	// Offers that were not placed.
	RejectedOffers, FailedOffers, TimedOutOffers, LostOffers, UnreachableOffers uint64
	// Owners' connections closed, and set-ups over the bounds.
	OwnersClosed, RejectedAtLimit uint64
	// Links that broke or were replaced for silence; answers that were late or nobody's.
	BrokenLinks, SuspectedLinks, StaleMessages uint64
}
