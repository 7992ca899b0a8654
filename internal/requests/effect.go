package requests

import "time"

// Effect is an operation that the caller of Step must execute. The effect types of this package implement it.
type Effect interface{ effect() }

// Effects on owners' connections.
type (
	// Accepted tells an owner, as the response to its request, that a node has accepted the task and runs it.
	Accepted struct {
		Conn        ConnID
		Task        string
		Description string
	}
	// Terminated tells an owner, as the response to its request, that the request was rejected or has failed, or notifies the
	// owner that its running task has ended. If Migrate is true, the task ends by a migration, Cause is unused, and the owner
	// submits the task again.
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
	// CloseOwner closes an owner's connection after the messages to it have been sent.
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
	// FinishLink closes the writing side of a link after the messages to it have been sent. Its node's messages are still
	// received. LinkDown follows once the node has closed its side.
	FinishLink struct{ Link LinkID }
	// Offer offers a task to a node. If it cannot be sent, SendFailed follows.
	Offer struct {
		Link           LinkID
		Attempt        int    // number of the attempt among those of the task, from 0
		Owner          ConnID // connection on which the task was submitted
		Node           string
		Task           string
		Class          string
		Key            string
		IdempotencyKey string
		Description    string
		TimeLeft       time.Duration // time until the attempt times out
	}
	// SendRelease sends a node the release of a task.
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
func (FinishLink) effect()  {}
func (Offer) effect()       {}
func (SendRelease) effect() {}
func (Subscribe) effect()   {}
