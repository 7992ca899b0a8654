package transport

import (
	"context"
	"fmt"
)

// Send queues b, which the caller must not change afterwards. It returns false if the write queue is full, and then closes
// the connection with ErrSlowReader, since the peer does not read. It preserves the order of the calls of a goroutine.
func (c *Conn) Send(b []byte) bool {
	return c.RunOnLoop(len(b), func(write func([]byte)) { write(b) })
}

// RunOnLoop runs f on the connection's event loop, unless the connection has closed by then. f may write about size bytes.
// RunOnLoop returns false, and does not run f, if the write queue is full, as with Send, or if the event loop has stopped.
func (c *Conn) RunOnLoop(size int, f func(write func([]byte))) bool {
	if queued := c.queuedBytes.Add(int64(size)); queued > int64(c.options.MaxWriteQueue) {
		c.queuedBytes.Add(-int64(size))
		c.Close(slowReaderError(queued))
		return false
	}
	return c.enqueue(func() {
		c.queuedBytes.Add(-int64(size))
		if c.closed.Load() {
			return
		}
		f(c.write)
		if queued := c.socket.OutboundBuffered(); !c.closed.Load() && queued > c.options.MaxWriteQueue {
			c.CloseInLoop(slowReaderError(int64(queued)))
		}
	})
}

func slowReaderError(queued int64) error {
	return fmt.Errorf("%w: %d bytes wait", ErrSlowReader, queued)
}

// enqueue runs f on the connection's event loop, in the order of the calls. It returns false if the loop has stopped.
//
// The event loop's own queue does not preserve the order: it has two priorities, and gives the lower one to tasks that are
// queued while more than 1,024 tasks wait.
func (c *Conn) enqueue(f func()) bool {
	c.mu.Lock()
	c.pending = append(c.pending, f)
	scheduled := c.scheduled
	c.scheduled = true
	c.mu.Unlock()
	if scheduled {
		return true
	}
	if err := c.socket.EventLoop().Execute(context.Background(), loopTask(c.runPending)); err != nil {
		c.mu.Lock()
		c.pending, c.scheduled = nil, false
		c.mu.Unlock()
		return false
	}
	return true
}

// runPending runs the queued functions. It is called on the event loop.
func (c *Conn) runPending() {
	for {
		c.mu.Lock()
		pending := c.pending
		c.pending = nil
		c.scheduled = len(pending) > 0
		c.mu.Unlock()
		if len(pending) == 0 {
			return
		}
		for _, f := range pending {
			f()
		}
	}
}

// loopTask adapts a function to gnet.Runnable.
type loopTask func()

// Run implements gnet.Runnable.
func (t loopTask) Run(context.Context) error {
	t()
	return nil
}
