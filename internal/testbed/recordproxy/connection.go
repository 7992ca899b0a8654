package recordproxy

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"flaxshelf.example/flaxshelf/internal/clock"
)

const (
	// maxReadSize limits the bytes that one read from a connection returns.
	maxReadSize = 64 << 10
	// queueLength limits the reads of one direction that wait to be forwarded. When the queue is full the proxy stops reading,
	// so that TCP flow control slows the sender down.
	queueLength = 256
)

// connection is one proxied connection: a TCP connection from the dialing party to the proxy, and one from the proxy to the
// listening party.
type connection struct {
	proxy                    *Proxy
	id                       uint64
	dialerConn, listenerConn net.Conn
	closeOnce                sync.Once
	done                     chan struct{} // closed by close
}

// close records the end of the connection and then closes both TCP connections. In this order the recording has the end before
// anything that the parties send in reaction to it. endDelay is how long the proxy had not noticed that the dialing party
// closed its connection. Calls after the first have no effect.
func (c *connection) close(reason string, endDelay time.Duration) {
	c.closeOnce.Do(func() {
		c.proxy.recorder.recordClose(c.id, reason, endDelay)
		close(c.done)
		_ = c.dialerConn.Close()
		_ = c.listenerConn.Close()
	})
}

// run forwards bytes in both directions until the connection is closed.
func (c *connection) run() {
	var directions sync.WaitGroup
	directions.Go(func() { c.forward(c.dialerConn, c.listenerConn, false) })
	directions.Go(func() { c.forward(c.listenerConn, c.dialerConn, true) })
	directions.Wait()
}

// forward copies bytes from source to destination until the connection ends. It records bytes as sent when it receives them,
// even while a fault delays earlier bytes; forwardQueued records them as delivered.
func (c *connection) forward(source, destination net.Conn, fromListener bool) {
	reader, err := newSocketReader(source, c.proxy.stalls)
	if err != nil {
		c.close(err.Error(), 0)
		return
	}
	queue := make(chan []byte, queueLength)
	var endDelay atomic.Int64 // in nanoseconds
	var writer sync.WaitGroup
	writer.Go(func() {
		reason := c.forwardQueued(destination, fromListener, queue)
		c.close(reason, time.Duration(endDelay.Load()))
	})
	defer writer.Wait()
	defer close(queue)
	buffer := make([]byte, maxReadSize)
	for {
		size, received, err := reader.read(buffer)
		if errors.Is(err, io.EOF) && !fromListener { // the dialer learns of the listener's end only when the proxy closes
			endDelay.Store(int64(clock.Now() - received.earliest))
		}
		if err != nil {
			return
		}
		c.proxy.recorder.recordSent(c.id, fromListener, buffer[:size], received)
		select {
		case queue <- append([]byte(nil), buffer[:size]...):
		case <-c.done:
			return
		}
	}
}

// forwardQueued writes the queued bytes to destination until the queue is closed or the connection must end. It returns the
// reason for the end.
func (c *connection) forwardQueued(destination net.Conn, fromListener bool, queue <-chan []byte) string {
	for data := range queue {
		forwarded, closeAfter, err := c.applyFault(len(data), fromListener)
		if err != nil {
			return err.Error()
		}
		// Recorded before the write, so that a response to these bytes is never recorded ahead of their delivery.
		c.proxy.recorder.recordDelivered(c.id, fromListener, forwarded, len(data)-forwarded)
		c.proxy.droppedBytes.Add(int64(len(data) - forwarded))
		if _, err := destination.Write(data[:forwarded]); err != nil {
			return reasonClosedByParty
		}
		if closeAfter {
			return reasonDisconnectedMidReply
		}
	}
	return reasonClosedByParty
}
