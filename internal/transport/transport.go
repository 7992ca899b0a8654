// Package transport provides TCP connections on gnet event loops, with bounded buffers in both directions, connect, idle and
// message timeouts, and reconnection. It must not interpret the bytes that it carries.
//
// Each connection belongs to one event loop for its lifetime. The methods of its Handler are called on that loop, one at a
// time. The Stop method of a Dialer or Server ends its event loops.
package transport

import (
	"errors"
	"time"

	"github.com/rs/zerolog"
)

// The reasons why a connection is closed. Handler.Closed may receive them wrapped in an error with details.
var (
	// ErrSlowReader reports that the peer reads too slowly: the bytes queued for it exceed Options.MaxWriteQueue.
	ErrSlowReader = errors.New("transport: write queue full, the peer reads too slowly")
	// ErrReadBufferFull reports that the bytes received and not used by the handler exceed Options.MaxReadBuffer.
	ErrReadBufferFull = errors.New("transport: read buffer full")
	// ErrIdleTimeout reports that no bytes were received for Options.IdleTimeout.
	ErrIdleTimeout = errors.New("transport: idle timeout")
	// ErrStopping reports that this side is stopping or no longer needs the connection.
	ErrStopping = errors.New("transport: stopping")
	// ErrPeerClosed reports that the peer closed the connection, or that the connection failed.
	ErrPeerClosed = errors.New("transport: closed by the peer")
	// ErrMessageTimeout reports that the rest of a message did not arrive within the timeout of Conn.SetMessageTimeout.
	ErrMessageTimeout = errors.New("transport: message timeout, the rest of a partial message did not arrive")
)

const (
	defaultMaxReadBuffer = 2 << 20 // bytes
	defaultMaxWriteQueue = 8 << 20 // bytes
	defaultLoops         = 1
)

// Options configures the connections of a Dialer or Server. A zero value means the default.
type Options struct {
	MaxReadBuffer int // limit of bytes received and not used by the handler; 2 MiB by default
	MaxWriteQueue int // limit of bytes queued for the peer; 8 MiB by default
	// MaxQueuedWrites is the limit of bytes queued for all peers together, above which the connection with most of them is
	// closed; none by default. It needs one event loop.
	MaxQueuedWrites int
	IdleTimeout     time.Duration // a connection is closed when it has received nothing for this long; zero means never
	EventLoops      int           // number of event loops; 1 by default
	Log             zerolog.Logger
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
// must not block, nor wait for a lock that may be held for long, since other connections share the event loop.
type Handler interface {
	// Receive is called with all received bytes that it has not used yet, and returns how many of them it has used. It must
	// not retain in. An error closes the connection and is passed to Closed.
	Receive(c *Conn, in []byte) (used int, err error)
	// Closed is called once, as the last method. reason is not nil.
	Closed(c *Conn, reason error)
}

// Opener is implemented by a Handler that must know when its connection opens.
type Opener interface {
	// Opened is called on the connection's event loop, before all other methods of the Handler.
	Opened(c *Conn)
}
