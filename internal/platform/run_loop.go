package platform

import (
	"context"
	"time"

	"flaxshelf.example/flaxshelf/internal/clock"
	"flaxshelf.example/flaxshelf/internal/requests"
)

// runLoop is the state of the goroutine that runs the core.
type runLoop struct {
	*scheduler
	timer           *time.Timer      // fires when the core's next step is due
	inputs          []requests.Input // inputs of the core's next step
	batch           []message        // messages taken from the mailbox; the slice is reused by each step
	shutdown        gracefulShutdown
	shutdownRecheck <-chan time.Time // receives when it is time to check the shutdown again; nil until one is requested
	listenerStopped <-chan struct{}  // closed when the listener has stopped; nil unless it is being drained
}

// run steps the core until a shutdown is complete. Canceling dialContext cancels the dials to nodes that are in progress.
func (s *scheduler) run(dialContext context.Context, stop, reload <-chan struct{}) {
	defer close(s.loopDone)
	loop := &runLoop{scheduler: s, timer: time.NewTimer(0), inputs: s.configuredNodes()}
	defer loop.timer.Stop()
	statsTicker := time.NewTicker(statsInterval)
	defer statsTicker.Stop()
	for {
		select {
		case <-s.mailbox.ready:
		case <-loop.timer.C:
		case <-reload:
			loop.inputs = append(loop.inputs, s.reload()...)
		case <-stop:
			stop = nil
			loop.beginShutdown()
		case <-loop.shutdownRecheck:
		case <-loop.listenerStopped:
			loop.listenerStopped = nil
		case <-statsTicker.C:
			s.reportStats()
			continue
		}
		now := loop.collectInputs()
		next := loop.step(dialContext, now)
		if loop.shutdown.requested() && loop.advanceShutdown(now) {
			s.reportStats()
			return
		}
		if next > 0 {
			loop.timer.Reset(max(next-clock.Now(), 0))
		}
	}
}

// collectInputs takes one batch of messages from the mailbox and appends their inputs to those of the next step. It returns
// the time of that step, which is not earlier than the arrival of any of the messages.
func (l *runLoop) collectInputs() requests.Time {
	clear(l.batch) // so that the texts in them are not retained
	l.batch = l.mailbox.take(l.batch[:0], maxBatchMessages)
	for _, m := range l.batch {
		l.inputs = l.handleMessage(m, l.inputs)
		l.shutdown.lastReceived = max(l.shutdown.lastReceived, m.receivedAt)
		l.shutdown.socketsRead = max(l.shutdown.socketsRead, m.socketsRead)
	}
	return clock.Now()
}

// step passes the inputs to the core and executes its effects. It returns the time by which the next step is due; zero means
// that none is scheduled.
func (l *runLoop) step(dialContext context.Context, now requests.Time) requests.Time {
	l.traceInputs(l.inputs)
	effects, next := l.core.Step(now, l.inputs)
	l.traceEffects(effects)
	clear(l.inputs)
	l.inputs = l.inputs[:0]
	l.executeEffects(dialContext, now, effects)
	return next
}

func (l *runLoop) beginShutdown() {
	l.shutdown.requestedAt = clock.Now()
	l.inputs = append(l.inputs, requests.Shutdown{})
	l.options.Log.Info().Msg("shutdown requested, still serving requests")
}

// advanceShutdown performs the next step of a graceful shutdown and reports whether the shutdown is complete.
func (l *runLoop) advanceShutdown(now requests.Time) bool {
	step := l.shutdown.nextStep(now, shutdownState{
		idle:            l.core.Idle() && l.mailbox.empty(),
		partialMessages: l.ownerPartialMessages.Load() > 0,
		unreadSockets:   len(l.owners) > 0 && !l.shutdown.hasReadSockets(),
		listening:       !l.acceptor.Stopped(),
	})
	if step.drain {
		l.acceptor.Drain()
		l.listenerStopped = l.acceptor.Done()
	}
	if step.read {
		l.readSockets(now)
	}
	if !step.exit {
		l.shutdownRecheck = time.After(step.recheck)
	}
	return step.exit
}

// readSockets makes the event loop report when it has read what owners had sent by now. The loop reads the sockets that are ready
// before it runs what was queued for it meanwhile. An event loop that did not get the processor may have read nothing for longer
// than a quiet period.
func (l *runLoop) readSockets(now requests.Time) {
	for _, owner := range l.owners {
		queued := owner.conn.RunOnLoop(0, func(func([]byte)) { l.mailbox.forcePut(message{socketsRead: now}) })
		if queued && !owner.conn.IsClosed() {
			return
		}
	}
}

// handleMessage applies a message to the tables of connections and to the endpoint watch, and appends the message's inputs for
// the core to inputs, which it returns.
func (s *scheduler) handleMessage(m message, inputs []requests.Input) []requests.Input {
	if m.notification != nil {
		if input := s.handleWatchNotification(m.notification); input != nil {
			inputs = append(inputs, input)
		}
	}
	for _, input := range m.inputs {
		s.trackConnection(input, m)
		inputs = append(inputs, input)
	}
	return inputs
}

// trackConnection updates s.owners and s.links if an input of a message reports that a connection has opened or closed.
func (s *scheduler) trackConnection(input requests.Input, m message) {
	switch input := input.(type) {
	case requests.OwnerConnected:
		s.owners[input.Conn] = &peer{conn: m.openedConn}
	case requests.OwnerDisconnected:
		delete(s.owners, input.Conn)
	case requests.LinkUp:
		s.links[input.Link] = &peer{conn: m.openedConn}
	case requests.LinkDown:
		delete(s.links, input.Link)
	}
}
