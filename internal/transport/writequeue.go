package transport

import (
	"context"
	"fmt"
)

// Send queues b to be written. The caller must not change b afterwards. If the write queue is full, Send closes the connection
// with ErrSlowReader and returns false. It also returns false if the event loop has stopped. The calls of one goroutine are
// written in order.
func (c *Conn) Send(b []byte) bool {
	return c.RunOnLoop(len(b), func(write func([]byte)) { write(b) })
}

// RunOnLoop queues f to run on the connection's event loop. f is not run if the connection has closed by then. size is about
// how many bytes f will write; it counts towards the write queue until f runs. If the write queue is full, RunOnLoop closes
// the connection with ErrSlowReader and returns false. It also returns false if the event loop has stopped. It may be called
// on any goroutine.
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
	})
}

func slowReaderError(queued int64) error {
	return fmt.Errorf("%w: %d bytes queued", ErrSlowReader, queued)
}

// enqueue queues f to run on the connection's event loop, in the order of the calls. It returns false if the event loop has
// stopped.
//
// The functions are queued here because gnet's queue does not preserve their order: it has two priorities, and gives the lower
// one to tasks that are added while more than 1,024 tasks are queued.
func (c *Conn) enqueue(f func()) bool {
	c.mu.Lock()
	c.pending = append(c.pending, f)
	scheduled := c.scheduled
	c.scheduled = true
	c.mu.Unlock()
	if scheduled {
		return true
	}
	c.queued.add()
	if err := c.socket.EventLoop().Execute(context.Background(), loopTask(c.runPending)); err != nil {
		c.mu.Lock()
		c.pending, c.scheduled = nil, false
		c.mu.Unlock()
		c.queued.done()
		return false
	}
	return true
}

// runPending runs pending functions until there are none. It is called on the event loop.
func (c *Conn) runPending() {
	defer c.queued.done()
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
