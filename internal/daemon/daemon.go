// Package daemon runs a scheduler: it connects scheduler cores to sockets, the clock, logs and metrics. It must not make
// decisions about jobs. One goroutine owns each core; the event loops of connections parse messages and pass them to it.
package daemon

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"flaxshelf.example/flaxshelf/internal/clock"
	"flaxshelf.example/flaxshelf/internal/front/drmaafront"
	"flaxshelf.example/flaxshelf/internal/replay"
	"flaxshelf.example/flaxshelf/internal/scheduler"
	"flaxshelf.example/flaxshelf/internal/settings"
	"flaxshelf.example/flaxshelf/internal/shard"
	"flaxshelf.example/flaxshelf/internal/transport"
)

const (
	streamHeartbeatInterval = 10 * time.Second // of event streams to clients
	pingInterval            = time.Second      // of nodes and the inventory
	peerIdleTimeout         = 5 * time.Second  // a node or inventory that does not answer pings is disconnected
	inventoryDialTimeout    = time.Second
	closeTimeout            = 5 * time.Second // for queued writes to clients when the daemon stops
)

// reconnectBackoff is the backoff of the links to nodes and to the inventory.
var reconnectBackoff = transport.Backoff{Initial: 20 * time.Millisecond, Max: time.Second}

// Daemon is a running scheduler. It is safe for concurrent use.
type Daemon struct {
	settings  *settings.Scheduler
	log       zerolog.Logger
	startedAt scheduler.Time
	shards    *shard.Map
	runners   []*coreRunner
	front     *drmaafront.Front
	hook      Hook
	closeOnce sync.Once
	closeErr  error

	server             *transport.Server
	dialer             *transport.Dialer
	nodes              nodeConnections
	inventoryConn      atomic.Pointer[transport.Conn] // nil before the first
	clientCount        atomic.Int64
	keylessSubmissions atomic.Uint64 // spreads submissions without a key over the cores
	metrics            *metrics
}

// Hook replaces inputs and effects on their way between the cores and the sockets. It is for tests, for example of a rule
// checker with a daemon that violates a rule on purpose, or of a core that stalls. Each core's goroutine calls both methods,
// so a hook of several cores must be safe for concurrent use.
type Hook interface {
	// InterceptInput returns the input that the core receives in place of the argument.
	InterceptInput(scheduler.Input) scheduler.Input
	// InterceptEffects returns the effects that are executed in place of those that the core's step at the time now returned.
	InterceptEffects(now scheduler.Time, effects []scheduler.Effect) []scheduler.Effect
}

// Start starts a daemon, which listens when Start returns. The caller ends it with Shutdown or Stop.
func Start(set *settings.Scheduler, log zerolog.Logger) (*Daemon, error) {
	return StartWithHook(set, log, nil)
}

// StartWithHook is Start with a hook, for tests.
func StartWithHook(set *settings.Scheduler, log zerolog.Logger, hook Hook) (*Daemon, error) {
	coreCount := max(set.Shards, 1)
	startedAt := clock.Now()
	d := &Daemon{
		settings:  set,
		hook:      hook,
		log:       log.With().Str("scheduler", set.Name).Logger(),
		startedAt: startedAt,
		shards:    shard.New(set.Name, set.CoreConfig(startedAt), coreCount),
		front:     drmaafront.New(set, startedAt),
		nodes:     nodeConnections{byName: map[string]*nodeConnection{}},
	}
	if err := d.open(coreCount); err != nil {
		return nil, errors.Join(err, d.closeResources(context.Background()))
	}
	for _, runner := range d.runners {
		go runner.run()
	}
	d.linkInventory()
	for _, deprecated := range set.Deprecations() {
		d.log.Warn().Str("file", deprecated.File).Int("line", deprecated.Line).Str("field", deprecated.Field).
			Str("value", deprecated.Value).Str("replacement", deprecated.Replacement).Str("removed_in", deprecated.RemovedIn).
			Msg("deprecated setting")
	}
	d.log.Info().Str("address", d.server.Addr()).Str("inventory", set.InventoryAddress).Int("cores", coreCount).
		Msg("scheduler started")
	return d, nil
}

// open opens the daemon's resources; it does not start the goroutines of the cores. After an error the caller must call
// closeResources.
func (d *Daemon) open(coreCount int) (err error) {
	if d.metrics, err = newMetrics(d.settings.MetricsAddress); err != nil {
		return err
	}
	for i := range coreCount {
		runner, err := newCoreRunner(d, i, coreCount)
		if err != nil {
			return err
		}
		d.runners = append(d.runners, runner)
	}
	// One event loop writes to all nodes. With several, the stop of an attempt could be sent after the offer of its
	// successor to another node.
	d.dialer, err = transport.NewDialer(transport.Options{
		MaxWriteQueue: d.settings.Limits.MaxNodeWriteQueue,
		IdleTimeout:   peerIdleTimeout,
		Log:           d.log,
	})
	if err != nil {
		return err
	}
	clientOptions := transport.Options{
		MaxWriteQueue: d.settings.Limits.MaxClientWriteQueue,
		IdleTimeout:   d.settings.Limits.IdleTimeout.Duration(),
		Loops:         coreCount,
		Log:           d.log,
	}
	d.server, err = transport.Listen(d.settings.ListenAddress, clientOptions, d.accept)
	return err
}

// Addr returns the address, as host:port, on which the daemon serves its clients.
func (d *Daemon) Addr() string { return d.server.Addr() }

// enqueueAll passes an input to all cores. It blocks while a mailbox is full, so event loops must not call it.
func (d *Daemon) enqueueAll(input scheduler.Input) {
	for _, runner := range d.runners {
		runner.enqueue(message{input: input})
	}
}

// tryEnqueueAll passes a message to all cores without blocking. It returns false if a mailbox was full.
func (d *Daemon) tryEnqueueAll(m message) bool {
	ok := true
	for _, runner := range d.runners {
		ok = runner.tryEnqueue(m) && ok
	}
	return ok
}

// Shutdown ends the daemon gracefully: it rejects new work, waits until all placement requests are closed or for the
// shutdown timeout of the settings, and stops. It returns an error if a placement request was still open then. Running
// jobs continue on their nodes.
func (d *Daemon) Shutdown(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, d.settings.Limits.ShutdownTimeout.Duration())
	defer cancel()
	d.enqueueAll(scheduler.Drain{})
	var err error
	for _, runner := range d.runners {
		select {
		case <-runner.drained:
		case <-ctx.Done():
			err = errors.New("daemon: placement requests were still open at the shutdown timeout")
		}
	}
	return errors.Join(err, d.Stop())
}

// Stop ends the daemon without waiting for open placement requests, and returns when all its goroutines have ended. It may
// be called repeatedly.
func (d *Daemon) Stop() error {
	for _, runner := range d.runners {
		runner.enqueue(message{stop: true})
	}
	for _, runner := range d.runners {
		<-runner.done
	}
	d.closeOnce.Do(d.close)
	return d.closeErr
}

// close closes the sockets after the cores have stopped. It discards messages from event loops meanwhile, so that no loop
// finds a full mailbox without a reader.
func (d *Daemon) close() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	closed := make(chan struct{})
	var discarding sync.WaitGroup
	for _, runner := range d.runners {
		discarding.Go(func() { runner.discardMail(closed) })
	}
	err := d.closeResources(ctx)
	close(closed)
	discarding.Wait()
	for _, runner := range d.runners {
		runner.blockedSends.Wait()
	}
	if err != nil {
		d.closeErr = fmt.Errorf("daemon: stop: %w", err)
	}
}

// closeResources closes what open has opened. When ctx ends it stops waiting for queued writes.
func (d *Daemon) closeResources(ctx context.Context) error {
	var errs []error
	if d.server != nil {
		errs = append(errs, d.server.Stop(ctx))
	}
	if d.dialer != nil {
		errs = append(errs, d.dialer.Stop())
	}
	if d.metrics != nil {
		errs = append(errs, d.metrics.close())
	}
	for _, runner := range d.runners {
		errs = append(errs, closeRecorder(runner.recorder))
	}
	return errors.Join(errs...)
}

func closeRecorder(recorder *replay.Writer) error {
	if recorder == nil {
		return nil
	}
	return recorder.Close()
}
