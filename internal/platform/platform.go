// Package platform runs a scheduler on the users' platform. It connects requests.Core, which makes all decisions about tasks, to
// sockets, the clock, requests to shut down or reload, and the control feed. The control feed is the platform's discovery
// service: an HTTP stream of server-sent events with changes of the endpoint list.
//
// Goroutines: only the run loop uses the core and those fields of scheduler that are marked as its own. One event loop of
// package transport serves all connections to owners and nodes. Each stream of the control feed, each dial and the listener have
// a goroutine of their own. All of them pass messages to the run loop through a mailbox, and Run waits for all of them before it
// returns.
package platform

import (
	"context"
	"errors"
	"fmt"
	"runtime"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"flaxshelf.example/flaxshelf/internal/corelimits"
	"flaxshelf.example/flaxshelf/internal/front/platformfront"
	"flaxshelf.example/flaxshelf/internal/replay"
	"flaxshelf.example/flaxshelf/internal/requests"
	"flaxshelf.example/flaxshelf/internal/transport"
)

const (
	mailboxCapacity  = 1 << 12   // messages queued for the run loop, except those with reserved bytes
	maxBatchMessages = 512       // messages handled by one step
	maxBatchBytes    = 256 << 10 // bytes from peers after which a step handles no further message
	maxWriteQueue    = 1 << 20   // bytes queued for writing to one peer
	maxReadBuffer    = 64 << 10  // bytes received from one peer and not parsed yet
	// maxHeapTenths is how many tenths of the configured memory Go's soft memory limit allows.
	maxHeapTenths = 6
)

// Options are the settings from the command line.
type Options struct {
	ConfigPath    string         // the configuration file
	RecordingPath string         // the file to which the steps of the placer are recorded; empty means no recording
	Log           zerolog.Logger // at trace level, each input and effect of the core is logged
}

// scheduler is a running scheduler: the host of a requests.Core.
type scheduler struct {
	options  Options
	config   atomic.Pointer[platformfront.Config] // replaced by the run loop, read by all goroutines
	mailbox  *mailbox
	loopDone chan struct{} // closed when the run loop has ended
	dialer   *transport.Dialer
	acceptor *transport.Acceptor
	dials    sync.WaitGroup // dials in progress

	lastConnID           atomic.Uint64 // ID of the newest connection from an owner; IDs count from 1
	ownerSlots           chan struct{} // semaphore: contains a token for each open connection from an owner
	ownerPartialMessages atomic.Int64  // number of owners' connections with a partially received message
	rejectedOnReceipt    atomic.Uint64 // number of requests that were rejected because too much from owners was unhandled

	released releasedTasks // used on the event loop only

	// The fields below are used by the run loop only.
	core            *requests.Core
	recording       *replay.Writer            // nil means no recording
	owners          map[requests.ConnID]*peer // open connections from owners
	links           map[requests.LinkID]*peer // open connections to nodes
	peersToFlush    []*peer                   // peers whose outboxes are not empty
	watch           endpointWatch
	watchPosition   watchPosition
	cpuAtLastReport time.Duration // CPU time that the process had used at the last report of statistics
}

// peer is the connection to an owner or a node, with the messages that the current step sends on it.
type peer struct {
	conn   *transport.Conn
	outbox transport.Outbox
}

// Run runs a scheduler until stop is closed or delivers a value; then it shuts down gracefully, and returns once all requests
// have their responses. For each value from reload, it reads the configuration file again. Run limits the whole process to one
// CPU and sets Go's memory limit. The error matches platformfront.ErrConfig if the configuration file cannot be read or decoded.
func Run(options Options, stop, reload <-chan struct{}) error {
	config, err := platformfront.ReadConfig(options.ConfigPath)
	if err != nil {
		return err
	}
	limitProcess(config.Limits)
	s := newScheduler(options, config)
	if err := s.newCore(config); err != nil {
		return errors.Join(err, s.closeRecording())
	}
	if err := s.listen(config); err != nil {
		return errors.Join(err, s.closeRecording())
	}
	options.Log.Info().Str("address", s.acceptor.Addr()).Str("control_feed", config.ControlFeedAddr).
		Float64("cores", config.Limits.Cores).Int("memory_mb", config.Limits.MemoryMB).Int("sockets", config.Limits.Sockets).
		Uint64("last_event", config.LastSequence).Msg("scheduler started")
	dialContext, cancelDials := context.WithCancel(context.Background())
	defer cancelDials()
	s.run(dialContext, stop, reload)
	return s.close(cancelDials)
}

// limitProcess restricts the process to one CPU, since the platform gives it a share of one, and sets Go's memory limit to
// maxHeapTenths tenths of the configured memory.
func limitProcess(limits platformfront.Limits) {
	runtime.GOMAXPROCS(1)
	debug.SetMemoryLimit(int64(limits.MemoryMB) << 20 * maxHeapTenths / 10)
}

func newScheduler(options Options, config *platformfront.Config) *scheduler {
	descriptors := corelimits.DivideDescriptors(config.Limits.Sockets)
	s := &scheduler{
		options: options,
		mailbox: newMailbox(mailboxLimits{
			messages: mailboxCapacity,
			memory:   corelimits.DivideMemory(config.Limits.MemoryMB),
			owners:   descriptors.OwnerConnections,
			links:    descriptors.NodeLinks,
		}),
		loopDone:      make(chan struct{}),
		ownerSlots:    make(chan struct{}, descriptors.OwnerConnections),
		owners:        map[requests.ConnID]*peer{},
		links:         map[requests.LinkID]*peer{},
		watchPosition: watchPosition{lastSequence: config.LastSequence},
	}
	s.watch.scheduler = s
	s.config.Store(config)
	return s
}

// newCore creates the core, and the recording of the placer's steps if Options.RecordingPath is set. The error for settings that
// the core rejects is a *platformfront.ConfigError.
func (s *scheduler) newCore(config *platformfront.Config) error {
	coreConfig := corelimits.CoreConfig(config)
	var err error
	if s.options.RecordingPath != "" {
		if s.recording, err = replay.Create(s.options.RecordingPath, config.Placer, config.Seed); err != nil {
			return err
		}
		coreConfig.RecordStep = s.recording.WriteStep
	}
	if s.core, err = requests.New(coreConfig); err != nil {
		return platformfront.NewSettingsError(err)
	}
	return nil
}

// listen starts the event loop and listens for owners.
func (s *scheduler) listen(config *platformfront.Config) (err error) {
	transportOptions := transport.Options{
		MaxReadBuffer:   maxReadBuffer,
		MaxWriteQueue:   maxWriteQueue,
		MaxQueuedWrites: corelimits.DivideMemory(config.Limits.MemoryMB).QueuedWrites,
		Log:             s.options.Log,
	}
	if s.dialer, err = transport.NewDialer(transportOptions); err != nil {
		return err
	}
	if s.acceptor, err = s.dialer.StartAcceptor(config.ListenAddr, s.acquireOwnerSlot, s.newOwnerHandler); err != nil {
		return errors.Join(err, s.dialer.Stop())
	}
	return nil
}

// close closes all connections and ends all goroutines. It gives the owners time to read what was written to them before.
func (s *scheduler) close(cancelDials context.CancelFunc) error {
	s.acceptor.Stop()
	cancelDials()
	s.closeOwners()
	s.dials.Wait()
	s.watch.stop()
	if err := errors.Join(s.dialer.Stop(), s.closeRecording()); err != nil {
		return fmt.Errorf("platform: stop the event loop and close the recording: %w", err)
	}
	return nil
}

// closeRecording closes the recording of the placer's steps, if there is one.
func (s *scheduler) closeRecording() error {
	if s.recording == nil {
		return nil
	}
	return s.recording.Close()
}

// closeOwners closes the writing side of all connections to owners and waits up to ownerCloseTimeout for the owners to close
// their side. If a socket were closed with unread bytes, the operating system would send a reset, and the owner could lose a
// response that it has not read yet.
func (s *scheduler) closeOwners() {
	for _, owner := range s.owners {
		owner.conn.CloseWrite()
	}
	timeout := time.NewTimer(ownerCloseTimeout)
	defer timeout.Stop()
	var batch []message
	for len(s.owners) > 0 {
		select {
		case <-s.mailbox.ready:
			batch = s.mailbox.take(batch[:0], maxBatchMessages)
			for _, m := range batch {
				s.handleMessage(m, nil)
			}
		case <-timeout.C:
			return
		}
	}
}
