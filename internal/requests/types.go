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
	CauseGivenUp   = 16 // a set-up is given up; after an answer: the task has come to its end
	CauseCancelled = 31 // moved, or ended by its owner, who is owed no release
	CauseFull      = 34 // refused: trying again is harmless
	CauseReset     = 41
	CauseError     = 47
	CauseMoot      = 102
)

// Input is one of the input types below.
type Input interface{ input() }

// Conn is an owner's connection, numbered by the host, never 0 and never used again.
type Conn uint64

// Link is a connection to a node, numbered by the core.
type Link uint64

type (
	// SetUp asks for a task to be placed.
	SetUp struct {
		Conn        Conn
		Task        flaxshelf.Task // ID is the 16 hex digits of the wire
		Class       string         // as the owner wrote it
		Idem        string
		Description string
	}
	// Held hands over a task that a node holds already. It wants no answer.
	Held struct {
		Conn Conn
		Task flaxshelf.Task
		Node string
	}
	// Release is an owner's: a set-up given up, or a standing task ended.
	Release struct {
		Conn Conn
		Task string
	}
	// Moved is an owner's word that a standing task is to end.
	Moved struct {
		Conn Conn
		Task string
	}
	// Tested is an owner's test: the host answers it by the effect Pong.
	Tested struct {
		Conn Conn
		Task string
	}
	// Opened tells of an owner's new connection, Closed that it has ended.
	Opened struct {
		Conn Conn
		Host string // the peer's address without its port
	}
	// Closed tells that an owner's connection has ended. Set-ups open on it are given up.
	Closed struct{ Conn Conn }

	// Wrong tells that a message on an owner's connection made no sense.
	Wrong struct{ Conn Conn }

	// Up tells that a link stands.
	Up struct{ Link Link }
	// Down tells that a link has ended or could not be made.
	Down struct {
		Link    Link
		Refused bool // nothing listens there: the process is dead
	}
	// Heard is what a node says on a link.
	Heard struct {
		Link        Link
		Say         Say
		Task        string
		Cause       int
		Reason      flaxshelf.Reason
		Kind        flaxshelf.UsageKind
		Amount      float64
		Description string
	}
	// Unsent tells that a set-up was not written.
	Unsent struct {
		Link    Link
		Task    string
		Attempt int
	}

	// Listed is the control feed's word.
	Listed struct {
		Machines []flaxshelf.Machine
		Addrs    []string // of the machines, in their order
		Whole    bool
		Known    bool // from the configuration, not from the feed
	}
	// FeedUp tells that the feed has taken the subscription; FeedDown that it could not be asked or broke off.
	FeedUp struct{}
	// FeedDown tells that the feed could not be asked, broke off or fell silent.
	FeedDown struct{}
	// Stop tells that the scheduler is to leave: tests fail from now on.
	Stop struct{}
)

// Say is what a node says of a task.
type Say int

// What nodes say.
const (
	SaysAnswer   Say = iota // the task stands
	SaysRelease             // it never stood, or is over
	SaysReleased            // our release was heard
	SaysNote
)

func (SetUp) input()    {}
func (Held) input()     {}
func (Release) input()  {}
func (Moved) input()    {}
func (Tested) input()   {}
func (Opened) input()   {}
func (Closed) input()   {}
func (Wrong) input()    {}
func (Up) input()       {}
func (Down) input()     {}
func (Heard) input()    {}
func (Unsent) input()   {}
func (Listed) input()   {}
func (FeedUp) input()   {}
func (FeedDown) input() {}
func (Stop) input()     {}

// Effect is one of the effect types below.
type Effect interface{ effect() }

type (
	// Answer tells an owner that its task stands.
	Answer struct {
		Conn              Conn
		Task, Description string
	}
	// Over tells an owner that its set-up was refused or failed, or that its standing task is over: by a release with
	// Cause, or by a move, after which the owner brings the task again.
	Over struct {
		Conn  Conn
		Task  string
		Cause int
		Move  bool
	}
	// Pong answers a test.
	Pong struct {
		Conn   Conn
		Task   string
		Passed bool
	}
	// Close closes an owner's connection, after what was written on it.
	Close struct{ Conn Conn }
	// Dial has a connection to a node made; Up or Down follows.
	Dial struct {
		Link       Link
		Node, Addr string
	}
	// Hang ends a link; Down follows or not.
	Hang struct{ Link Link }
	// Offer writes a set-up.
	Offer struct {
		Link                                 Link
		Attempt                              int  // its number among those of the task
		Owner                                Conn // whose set-up it is
		Node, Task, Class, Key, Idem, Detail string
		Left                                 time.Duration
	}
	// Cut writes a release.
	Cut struct {
		Link  Link
		Task  string
		Cause int
	}
	// Subscribe has the control feed asked.
	Subscribe struct{}
)

func (Answer) effect()    {}
func (Over) effect()      {}
func (Pong) effect()      {}
func (Close) effect()     {}
func (Dial) effect()      {}
func (Hang) effect()      {}
func (Offer) effect()     {}
func (Cut) effect()       {}
func (Subscribe) effect() {}

// Figures are what a core has and has done.
type Figures struct {
	// Now.
	Open, Standing, Unlisted, Owners, Nodes, Links int
	// Final answers, set-ups taken back, offers made.
	Placed, Refused, Failed, GivenUp, Offers uint64
	// Tasks handed over, and standing tasks that are over: by their node's word and why, or without it.
	HandedOver, Ended, Finished, Evicted, PushedOut, CutByNode uint64
	CutByDeath, CutBySilence, CutByList                        uint64
	// Offers that were not placed.
	FullOffers, ErrorOffers, LateOffers, LostOffers, Unreached uint64
	// Owners' connections closed, and set-ups over the bounds.
	ConnsClosed, TooMany uint64
	// Links that broke or were replaced for silence; answers that were late or nobody's.
	LinksBroken, Suspected, StaleSays uint64
}
