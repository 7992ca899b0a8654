// Package transport owns sockets: gnet event loops, bounded queues in both directions, idle and connect timeouts, and
// reconnection. It must not know what the bytes mean.
//
// Each connection belongs to one event loop for its lifetime. A Handler's methods are called on that loop, one at a time;
// all loops of a Dialer or a Server end with its Stop.
package transport

import (
	"errors"
	"time"

	"github.com/rs/zerolog"
)

// The reasons for which a connection is closed. Handler.Closed gets them wrapped, with figures where there are some.
var (
	// ErrSlowReader reports that more bytes than Options.MaxWriteQueue wait for the peer.
	ErrSlowReader = errors.New("transport: the peer does not read what is sent")
	// ErrReadBufferFull reports that more bytes than Options.MaxReadBuffer wait for the handler.
	ErrReadBufferFull = errors.New("transport: the peer sends more than can be buffered")
	// ErrIdleTimeout reports that nothing was read for Options.IdleTimeout.
	ErrIdleTimeout = errors.New("transport: idle timeout")
	// ErrStopping reports that this side is stopping, or gave the connection up.
	ErrStopping = errors.New("transport: stopping")
	// ErrPeerClosed reports that the peer closed the connection, or that it broke.
	ErrPeerClosed = errors.New("transport: closed by the peer")
	// ErrPartialMessage reports that the rest of a message did not arrive within the timeout of Conn.SetMessageTimeout.
	ErrPartialMessage = errors.New("transport: the rest of a partial message did not arrive")
)

const (
	defaultMaxReadBuffer = 2 << 20 // bytes
	defaultMaxWriteQueue = 8 << 20 // bytes
	defaultLoops         = 1
)

// Options bound a connection. Zero values mean the defaults given.
type Options struct {
	MaxReadBuffer int           // bytes that the handler has not used yet; 2 MiB by default
	MaxWriteQueue int           // bytes queued for the peer; 8 MiB by default
	IdleTimeout   time.Duration // a connection on which nothing was read for so long is closed; 0: never
	Loops         int           // event loops; 1 by default
	Log           zerolog.Logger
}

func (o Options) withDefaults() Options {
	if o.MaxReadBuffer <= 0 {
		o.MaxReadBuffer = defaultMaxReadBuffer
	}
	if o.MaxWriteQueue <= 0 {
		o.MaxWriteQueue = defaultMaxWriteQueue
	}
	if o.Loops <= 0 {
		o.Loops = defaultLoops
	}
	return o
}

// Handler handles the events of one connection. All calls come from the connection's event loop, one at a time; they must
// not block or take a lock that others hold for long.
type Handler interface {
	// Receive gets all bytes not used yet and returns how many it has used. It must not keep any part of in. An error closes
	// the connection, and is what Closed gets.
	Receive(c *Conn, in []byte) (used int, err error)
	// Closed is called once, as the last method; reason is never nil.
	Closed(c *Conn, reason error)
}

// Opener is a Handler that is called when its connection is open, before any other method.
type Opener interface {
	// Opened is called on the connection's event loop.
	Opened(c *Conn)
}
