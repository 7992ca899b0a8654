// Package transport implements connections: gnet event loops, bounded queues in both directions, idle and connect timeouts,
// and reconnection. It must not interpret the bytes.
//
// Each connection belongs to one event loop for its lifetime. A Handler's methods are called on that loop, one at a time;
// all loops of a Dialer or a Server end with its Stop.
package transport

import (
	"errors"
	"time"

	"github.com/rs/zerolog"
)

// The reasons why a connection is closed. Handler.Closed receives them wrapped, with details if there are any.
var (
	// ErrSlowReader reports that more bytes than Options.MaxWriteQueue wait for the peer.
	ErrSlowReader = errors.New("transport: the peer does not read what is sent")
	// ErrReadBufferFull reports that more bytes than Options.MaxReadBuffer wait for the handler.
	ErrReadBufferFull = errors.New("transport: the peer sends more than can be buffered")
	// ErrIdleTimeout reports that nothing was read for Options.IdleTimeout.
	ErrIdleTimeout = errors.New("transport: idle timeout")
	// ErrStopping reports that this side is stopping or no longer needs the connection.
	ErrStopping = errors.New("transport: stopping")
	// ErrPeerClosed reports that the peer closed the connection, or that it broke.
	ErrPeerClosed = errors.New("transport: closed by the peer")
	// ErrMessageTimeout reports that the rest of a message did not arrive within the timeout of Conn.SetMessageTimeout.
	ErrMessageTimeout = errors.New("transport: the rest of a partial message did not arrive")
)

const (
	defaultMaxReadBuffer = 2 << 20 // bytes
	defaultMaxWriteQueue = 8 << 20 // bytes
	defaultLoops         = 1
)

// Options configure connections. Zero values mean the defaults given.
type Options struct {
	MaxReadBuffer int           // bytes read and not used by the handler; 2 MiB by default
	MaxWriteQueue int           // bytes queued for the peer; 8 MiB by default
	IdleTimeout   time.Duration // after which a connection without reads is closed; zero means never
	EventLoops    int           // event loops; 1 by default
	Log           zerolog.Logger
}

func (o Options) withDefaults() Options {
	if o.MaxReadBuffer <= 0 {
		o.MaxReadBuffer = defaultMaxReadBuffer
	}
	if o.MaxWriteQueue <= 0 {
		o.MaxWriteQueue = defaultMaxWriteQueue
	}
	if o.EventLoops <= 0 {
		o.EventLoops = defaultLoops
	}
	return o
}

// Handler handles the events of one connection. Its methods are called on the connection's event loop, one at a time. They
// must not block or wait for a lock that may be held for long.
type Handler interface {
	// Receive is called with all unused bytes and returns how many it has used. It must not retain in. An error closes the
	// connection and is passed to Closed.
	Receive(c *Conn, in []byte) (used int, err error)
	// Closed is called once, after all other methods. reason is not nil.
	Closed(c *Conn, reason error)
}

// Opener is implemented by a Handler that is notified when its connection opens, before any other call.
type Opener interface {
	// Opened is called on the connection's event loop.
	Opened(c *Conn)
}
