package recordproxy

import (
	"net"
	"sync"
)

const (
	// readSize is how many bytes a proxy reads at a time.
	readSize = 64 << 10
	// queueLength is how many reads of one direction may wait to be forwarded; beyond it the sender's socket fills.
	queueLength = 256
)

// The reasons of closed connections, as a recording stores them.
const (
	closedByParty = "closed by a party"
	closedByFault = "cut"
	closedMidway  = "cut in the middle"
	closedByProxy = "end of the trial"
)

// connection is one connection on both sides of the proxy.
type connection struct {
	proxy            *Proxy
	id               uint64
	dialer, listener net.Conn
	closing          sync.Once
	done             chan struct{} // closed with the connection
}

// close records the end and closes both sides. It is recorded ahead of what the parties do when they see it.
func (c *connection) close(reason string) {
	c.closing.Do(func() {
		c.proxy.recorder.closed(c.id, reason)
		close(c.done)
		_ = c.dialer.Close()
		_ = c.listener.Close()
	})
}

// run forwards both directions until the connection is closed.
func (c *connection) run() {
	var directions sync.WaitGroup
	directions.Go(func() { c.forward(c.dialer, c.listener, false) })
	directions.Go(func() { c.forward(c.listener, c.dialer, true) })
	directions.Wait()
}

// forward carries one direction. Bytes are recorded when they are received, though earlier ones may still be delayed by a
// fault, and again when they are forwarded.
func (c *connection) forward(source, destination net.Conn, fromListener bool) {
	queue := make(chan []byte, queueLength)
	var writer sync.WaitGroup
	writer.Go(func() { c.close(c.write(destination, fromListener, queue)) })
	defer writer.Wait()
	defer close(queue)
	buffer := make([]byte, readSize)
	for {
		size, err := source.Read(buffer)
		if size > 0 {
			c.proxy.recorder.sent(c.id, fromListener, buffer[:size])
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

// write forwards what was read until there is no more, and returns the reason of the connection's end.
func (c *connection) write(destination net.Conn, fromListener bool, queue <-chan []byte) string {
	for data := range queue {
		forwarded, closing, err := c.applyFault(len(data), fromListener)
		if err != nil {
			return err.Error()
		}
		// Recorded before the write, so that no answer to these bytes is recorded ahead of them.
		c.proxy.recorder.delivered(c.id, fromListener, forwarded, len(data)-forwarded)
		c.proxy.droppedBytes.Add(int64(len(data) - forwarded))
		if _, err := destination.Write(data[:forwarded]); err != nil {
			return closedByParty
		}
		if closing {
			return closedMidway
		}
	}
	return closedByParty
}
