package daemon

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"flaxshelf.example/flaxshelf/internal/clock"
	"flaxshelf.example/flaxshelf/internal/replay"
	"flaxshelf.example/flaxshelf/internal/scheduler"
	"flaxshelf.example/flaxshelf/internal/shard"
	"flaxshelf.example/flaxshelf/internal/transport"
)

const (
	minStepInterval = 500 * time.Microsecond // between steps, so that the inputs of a burst share them
	mailboxCapacity = 1 << 16                // messages that may wait for a core
	maxStepInputs   = 4096                   // that one step takes
)

// message is what event loops pass to the goroutine that owns a core. Exactly one of stop, input and buildInput is set.
type message struct {
	stop       bool
	input      scheduler.Input
	buildInput func(requestID, streamID uint64) scheduler.Input // of a client's request, which the owner numbers

	reply      func(*scheduler.Answer)    // to a client's request
	publish    func(*scheduler.Info) bool // a change to the client of a Watch; false ends the stream
	heartbeat  func() bool                // to the client of a Watch; false ends the stream
	receivedAt time.Time                  // when the client's request had been read
	isNewJob   bool                       // a submission; set by the owner

	conn      *transport.Conn   // of a NodeUp
	addresses map[string]string // of the nodes in a NodesUpdated
}

// coreRunner is a scheduler.Core with the goroutine that owns it. Other goroutines may call enqueue, tryEnqueue and
// requeue, and read done and drained; all else belongs to the owner.
type coreRunner struct {
	daemon       *Daemon
	index        int
	core         *scheduler.Core
	mailbox      chan message
	done         chan struct{} // closed when the owner has ended
	drained      chan struct{} // closed when a draining core has no open request any more
	isDrained    bool
	recorder     *replay.Writer // of the module's steps; nil without the setting
	blockedSends sync.WaitGroup // goroutines of requeue; none is added once the event loops have ended

	lastRequestID uint64
	pending       map[uint64]message   // requests by ID that wait for their answer
	streams       map[uint64]message   // Watch requests by stream ID
	submittedAt   map[string]time.Time // of jobs not yet offered, by job ID
	outboxes      map[string]*nodeOutbox
	unflushed     []*nodeOutbox     // those with frames of the current step
	addresses     map[string]string // of nodes
	offer         offerFrame
}

func newCoreRunner(d *Daemon, index, coreCount int) (*coreRunner, error) {
	r := &coreRunner{daemon: d, index: index, mailbox: make(chan message, mailboxCapacity), done: make(chan struct{}),
		drained: make(chan struct{}), pending: map[uint64]message{}, streams: map[uint64]message{},
		submittedAt: map[string]time.Time{}, outboxes: map[string]*nodeOutbox{}, addresses: map[string]string{}}
	r.offer.init()
	config := shard.Divide(d.settings.CoreConfig(d.startedAt), index, coreCount)
	config.WrapStep = d.metrics.timeModuleStep
	if d.settings.ModuleRecording != "" {
		recorder, err := replay.Create(recordingPath(d.settings.ModuleRecording, index), config.Module, config.Seed)
		if err != nil {
			return nil, err
		}
		r.recorder, config.RecordStep = recorder, recorder.Step
	}
	core, err := scheduler.New(config)
	if err != nil {
		return nil, errors.Join(err, closeRecorder(r.recorder))
	}
	r.core = core
	return r, nil
}

// recordingPath is where the steps of a core's module are recorded.
func recordingPath(path string, index int) string {
	if index == 0 {
		return path
	}
	return fmt.Sprintf("%s.%d", path, index)
}

// enqueue passes a message to the owner and waits while the mailbox is full; not for event loops.
func (r *coreRunner) enqueue(m message) {
	select {
	case r.mailbox <- m:
	case <-r.done:
	}
}

// tryEnqueue passes a message to the owner if the mailbox has room; for event loops.
func (r *coreRunner) tryEnqueue(m message) bool {
	select {
	case r.mailbox <- m:
		return true
	default:
		r.daemon.metrics.mailboxFull.Inc()
		return false
	}
}

// requeue gives the core an input in a later step. It must not be lost, and neither the owner, which would wait for
// itself, nor an event loop may wait: if the mailbox is full, a goroutine does.
func (r *coreRunner) requeue(input scheduler.Input) {
	m := message{input: input}
	if !r.tryEnqueue(m) {
		r.blockedSends.Go(func() { r.enqueue(m) })
	}
}

// discardMail empties the mailbox of a runner whose goroutine has ended until closed is closed.
func (r *coreRunner) discardMail(closed <-chan struct{}) {
	for {
		select {
		case <-r.mailbox:
		case <-closed:
			return
		}
	}
}

// run is the goroutine that owns the core. It ends with the message to stop.
func (r *coreRunner) run() {
	defer close(r.done)
	gcBallast()
	defer retainGCBallast()
	wake := time.NewTimer(0)
	heartbeat, ping := time.NewTicker(streamHeartbeatInterval), time.NewTicker(pingInterval)
	defer wake.Stop()
	defer heartbeat.Stop()
	defer ping.Stop()
	var lastStep time.Time
	for {
		var inputs []scheduler.Input
		select {
		case m := <-r.mailbox:
			if m.stop {
				return
			}
			inputs = r.appendInput(inputs, m)
		case <-wake.C:
		case <-heartbeat.C:
			r.sendHeartbeats()
			continue
		case <-ping.C:
			r.pingPeers()
			continue
		}
		if rest := minStepInterval - time.Since(lastStep); rest > 0 {
			time.Sleep(rest)
		}
		inputs, stop := r.collectInputs(inputs)
		if stop {
			return
		}
		lastStep = time.Now()
		wakeAt := r.step(lastStep, inputs)
		wake.Reset(max(wakeAt-clock.Now(), 0))
	}
}

// collectInputs adds the inputs that wait in the mailbox, up to the bound of a step. It is true after the message to
// stop.
func (r *coreRunner) collectInputs(inputs []scheduler.Input) ([]scheduler.Input, bool) {
	for len(inputs) < maxStepInputs {
		select {
		case m := <-r.mailbox:
			if m.stop {
				return inputs, true
			}
			inputs = r.appendInput(inputs, m)
		default:
			return inputs, false
		}
	}
	return inputs, false
}

// step steps the core, executes its effects and returns the time of the next step.
func (r *coreRunner) step(began time.Time, inputs []scheduler.Input) (wakeAt scheduler.Time) {
	now := clock.At(began)
	output := r.core.Step(now, inputs)
	if hook := r.daemon.hook; hook != nil {
		output.Effects = hook.Out(now, output.Effects)
	}
	r.executeEffects(now, output.Effects)
	r.daemon.metrics.recordStep(time.Since(began), len(inputs))
	return output.NextStep
}
