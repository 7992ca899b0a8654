// Package platform runs a scheduler on the users' platform: it connects requests.Core to sockets, the clock, signals and the
// control feed. It makes no decisions about tasks.
//
// Goroutines: the run loop is the only one that uses the core and the fields of Scheduler marked as its own. One event loop
// of package transport serves all connections of owners and nodes. Each stream of the control feed, each dial and the
// listener have a goroutine of their own. All of them pass messages to the run loop through a mailbox, and Run waits for all
// of them before it returns.
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

	"flaxshelf.example/flaxshelf/internal/admission"
	"flaxshelf.example/flaxshelf/internal/front/platformfront"
	"flaxshelf.example/flaxshelf/internal/replay"
	"flaxshelf.example/flaxshelf/internal/requests"
	"flaxshelf.example/flaxshelf/internal/transport"
)

const (
	queueCapacity = 1 << 12  // messages in the mailbox of the run loop
	maxBatch      = 512      // messages of one step
	maxWriteQueue = 1 << 20  // bytes to be written to one peer
	maxReadBuffer = 64 << 10 // bytes of one peer that are not parsed yet
	// idleTimeout is how long an owner's connection may stay unused, or a message on it incomplete. The protocol expects the
	// connection of a misbehaving client to be closed within 3 s.
	idleTimeout = 2300 * time.Millisecond
	// recentUseGrace is how long after its last use a connection is not evicted: an owner resends what crosses a close once,
	// within 50 ms.
	recentUseGrace = 200 * time.Millisecond
	// maxPendingRequests is the maximum number of requests without a response.
	maxPendingRequests = 2048
	// maxPendingPerConnection is the maximum number of requests without a response on one connection.
	maxPendingPerConnection = maxPendingRequests / 8
	// maxProtocolErrors is how many malformed requests a connection may send after its last use without being closed.
	maxProtocolErrors = 3
	// heapTenths is how many tenths of the process's memory its heap may use.
	heapTenths = 6
)

// Options are the settings of the command line.
type Options struct {
	Config    string         // path of the configuration file
	Recording string         // path of the file that records the module's steps; empty means no recording
	Log       zerolog.Logger // at trace level it receives each input and effect of the core
}

// Scheduler is a running scheduler. Run creates it; it has no exported methods.
type Scheduler struct {
	options  Options
	config   atomic.Pointer[platformfront.Config] // replaced by the run loop, read by all goroutines
	mailbox  *mailbox
	loopDone chan struct{} // closed when the run loop has ended
	dialer   *transport.Dialer
	acceptor *transport.Acceptor
	dials    sync.WaitGroup

	ownerConnections     atomic.Uint64 // number of owners' connections so far, and the last one's ID
	ownerSlots           chan struct{} // contains a token for each owner's connection
	ownerPartialMessages atomic.Int64  // owners' connections on which a message has arrived in part

	released releasedTasks // belongs to the event loop

	// The fields below belong to the run loop.
	core        *requests.Core
	recording   *replay.Writer // nil means no recording
	owners      map[requests.ConnID]*peer
	links       map[requests.LinkID]*peer
	unflushed   []*peer // peers whose outboxes are not empty
	watch       endpointWatch
	position    watchPosition
	reportedCPU time.Duration // CPU time of the process at the last report
}

// peer is a connection with the messages of a step for it.
type peer struct {
	conn   *transport.Conn
	outbox transport.Outbox
}

// Run runs a scheduler until stop is closed or receives a value and all requests have their responses. For each value from
// reload it reads the configuration again. It limits the whole process to one CPU and sets its memory limit. The error
// matches platformfront.ErrConfig if the configuration file cannot be read or decoded.
func Run(options Options, stop, reload <-chan struct{}) error {
	config, err := platformfront.ReadConfig(options.Config)
	if err != nil {
		return err
	}
	limitProcess(config.Limits)
	budget := divideDescriptors(config.Limits.Sockets)
	s := newScheduler(options, config, budget)
	if err := s.newCore(config, budget); err != nil {
		return errors.Join(err, s.closeRecording())
	}
	if err := s.listen(config); err != nil {
		return errors.Join(err, s.closeRecording())
	}
	options.Log.Info().Str("address", s.acceptor.Addr()).Str("control_feed", config.DiscoveryAddr).
		Float64("cores", config.Limits.Cores).Int("memory_mb", config.Limits.MemoryMB).Int("sockets", config.Limits.Sockets).
		Uint64("last_event", config.LastSequence).Msg("scheduler started")
	dialContext, cancelDials := context.WithCancel(context.Background())
	defer cancelDials()
	s.run(dialContext, stop, reload)
	return s.close(cancelDials)
}

// limitProcess restricts the process to one CPU, of which it has a share, and limits its heap to heapTenths of its memory.
func limitProcess(limits platformfront.Limits) {
	runtime.GOMAXPROCS(1)
	debug.SetMemoryLimit(int64(limits.MemoryMB) << 20 * heapTenths / 10)
}

func newScheduler(options Options, config *platformfront.Config, budget descriptorBudget) *Scheduler {
	s := &Scheduler{
		options:    options,
		mailbox:    newMailbox(queueCapacity),
		loopDone:   make(chan struct{}),
		ownerSlots: make(chan struct{}, budget.ownerConnections),
		owners:     map[requests.ConnID]*peer{},
		links:      map[requests.LinkID]*peer{},
		position:   watchPosition{last: config.LastSequence},
	}
	s.watch.scheduler = s
	s.config.Store(config)
	return s
}

// newCore creates the core, and the recording of its steps if Options.Recording names a file.
func (s *Scheduler) newCore(config *platformfront.Config, budget descriptorBudget) error {
	coreConfig := requests.Config{
		Placer:                 config.Module,
		Seed:                   config.Seed,
		NodeUnreachableTimeout: requests.DefaultNodeUnreachableTimeout,
		NodeIdleTimeout:        config.NodeIdleTimeout,
		MaxPending:             maxPendingRequests,
		MaxLinks:               budget.links,
		Admission: admission.Limits{
			MaxConnections:          budget.retainedConnections,
			IdleTimeout:             idleTimeout,
			RecentUseGrace:          recentUseGrace,
			MaxProtocolErrors:       maxProtocolErrors,
			MaxPendingPerConnection: maxPendingPerConnection,
		},
	}
	var err error
	if s.options.Recording != "" {
		if s.recording, err = replay.Create(s.options.Recording, config.Module, config.Seed); err != nil {
			return err
		}
		coreConfig.RecordStep = s.recording.WriteStep
	}
	s.core, err = requests.New(coreConfig)
	return err
}

// listen starts the event loop and listens for owners.
func (s *Scheduler) listen(config *platformfront.Config) (err error) {
	transportOptions := transport.Options{MaxReadBuffer: maxReadBuffer, MaxWriteQueue: maxWriteQueue, Log: s.options.Log}
	if s.dialer, err = transport.NewDialer(transportOptions); err != nil {
		return err
	}
	if s.acceptor, err = s.dialer.Accept(config.Listen, s.acquireOwnerSlot, s.newOwnerHandler); err != nil {
		return errors.Join(err, s.dialer.Stop())
	}
	return nil
}

// close ends all connections and goroutines. What was written before is delivered to the owners first.
func (s *Scheduler) close(cancelDials context.CancelFunc) error {
	s.acceptor.Stop()
	cancelDials()
	s.closeOwners()
	s.dials.Wait()
	s.watch.stop()
	if err := errors.Join(s.dialer.Stop(), s.closeRecording()); err != nil {
		return fmt.Errorf("platform: stop: %w", err)
	}
	return nil
}

// closeRecording ends the recording of the core's steps, if there is one.
func (s *Scheduler) closeRecording() error {
	if s.recording == nil {
		return nil
	}
	return s.recording.Close()
}

// closeOwners ends our side of the owners' connections and waits up to ownerCloseTimeout until they have ended theirs: the
// close of a socket with unread bytes sends a reset, which may destroy an answer on its way.
func (s *Scheduler) closeOwners() {
	for _, owner := range s.owners {
		owner.conn.CloseWrite()
	}
	timeout := time.NewTimer(ownerCloseTimeout)
	defer timeout.Stop()
	var batch []message
	for len(s.owners) > 0 {
		select {
		case <-s.mailbox.ready:
			batch = s.mailbox.take(batch[:0], maxBatch)
			for _, m := range batch {
				s.handleMessage(m, nil)
			}
		case <-timeout.C:
			return
		}
	}
}
