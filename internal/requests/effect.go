package requests

import "time"

// Effect is something that the host has to do. The effect types of this package implement it.
type Effect interface{ effect() }

// Effects on owners' connections.
type (
	// Accepted responds to an owner that its task runs.
	Accepted struct {
		Conn        ConnID
		Task        string
		Description string
	}
	// Terminated responds to an owner that its request was rejected or has failed, or notifies it that its running task has
	// ended: by a release with Cause or, if Migrate is true, by a migration, after which the owner submits the task again.
	Terminated struct {
		Conn    ConnID
		Task    string
		Cause   Cause
		Migrate bool
	}
	// Pong answers a health check.
	Pong struct {
		Conn   ConnID
		Task   string
		Passed bool
	}
	// CloseOwner closes an owner's connection after what was written to it has been sent.
	CloseOwner struct{ Conn ConnID }
)

// Effects on links to nodes, and on the discovery service.
type (
	// Dial opens a connection to a node; LinkUp or LinkDown follows.
	Dial struct {
		Link LinkID
		Node string
		Addr string
	}
	// CloseLink closes a link; LinkDown may follow.
	CloseLink struct{ Link LinkID }
	// Offer writes a request to a node.
	Offer struct {
		Link           LinkID
		Attempt        int    // its number among the attempts of the task
		Owner          ConnID // the connection of the request
		Node           string
		Task           string
		Class          string
		Key            string
		IdempotencyKey string
		Description    string
		TimeLeft       time.Duration // until the attempt times out
	}
	// SendRelease writes a release to a node.
	SendRelease struct {
		Link  LinkID
		Task  string
		Cause Cause
	}
	// Subscribe opens a watch on the discovery service; WatchEstablished or WatchFailed follows.
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
