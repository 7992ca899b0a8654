package recordproxy

import (
	"net"
	"sync"
)

const (
	// readSize is the maximum number of bytes of one read.
	maxReadSize = 64 << 10
	// queueLength is the maximum number of reads of one direction that wait to be forwarded; beyond it the proxy does not
	// read, so that the sender is slowed down by TCP flow control.
	queueLength = 256
)

// connection is a pair of TCP connections: the dialer's to the proxy and the proxy's to the listener.
type connection struct {
	proxy                    *Proxy
	id                       uint64
	dialerConn, listenerConn net.Conn
	closeOnce                sync.Once
	done                     chan struct{} // closed with the connection
}

// close records the end of the connection and then closes both sides, so that the record precedes those of the parties'
// reactions. Calls after the first have no effect.
func (c *connection) close(reason string) {
	c.closeOnce.Do(func() {
		c.proxy.recorder.recordClose(c.id, reason)
		close(c.done)
		_ = c.dialerConn.Close()
		_ = c.listenerConn.Close()
	})
}

// run forwards both directions until the connection is closed.
func (c *connection) run() {
	var directions sync.WaitGroup
	directions.Go(func() { c.forward(c.dialerConn, c.listenerConn, false) })
	directions.Go(func() { c.forward(c.listenerConn, c.dialerConn, true) })
	directions.Wait()
}

// forward transfers one direction until the connection ends. Bytes are recorded when they are received, even while a fault
// delays earlier ones, and again when they are forwarded.
func (c *connection) forward(source, destination net.Conn, fromListener bool) {
	queue := make(chan []byte, queueLength)
	var writer sync.WaitGroup
	writer.Go(func() { c.close(c.forwardQueued(destination, fromListener, queue)) })
	defer writer.Wait()
	defer close(queue)
	buffer := make([]byte, maxReadSize)
	for {
		size, err := source.Read(buffer)
		if size > 0 {
			c.proxy.recorder.recordSent(c.id, fromListener, buffer[:size])
			select {
			case queue <- append([]byte(nil), buffer[:size]...):
			case <-c.done:
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// write forwards the queued bytes until the queue is closed, and returns the reason why the connection ends.
func (c *connection) forwardQueued(destination net.Conn, fromListener bool, queue <-chan []byte) string {
	for data := range queue {
		forwarded, closeAfter, err := c.applyFault(len(data), fromListener)
		if err != nil {
			return err.Error()
		}
		// Recorded before the write, so that no response to these bytes is recorded before them.
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
