// Package daemon runs a scheduler: it connects one or more scheduler cores to sockets, the clock, logs and metrics. Decisions
// about jobs are made by the cores only. Each core is owned by one goroutine; the event loops of connections parse messages
// and send them to the mailboxes of these goroutines.
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
	streamHeartbeatInterval = 10 * time.Second // between the heartbeats on an event stream to a client
	pingInterval            = time.Second      // between the pings to a node or the inventory
	peerIdleTimeout         = 5 * time.Second  // after which a node or inventory that answers no pings is disconnected
	inventoryDialTimeout    = time.Second
	closeTimeout            = 5 * time.Second // limits the wait for queued writes to clients when the daemon stops
)

// reconnectBackoff is the delay between attempts to connect to a node or to the inventory.
var reconnectBackoff = transport.Backoff{Initial: 20 * time.Millisecond, Max: time.Second}

// Daemon is a running scheduler. It is safe for concurrent use.
type Daemon struct {
	settings  *settings.Scheduler
	log       zerolog.Logger
	startedAt scheduler.Time
	shards    *shard.Map
	runners   []*coreRunner
	front     *drmaafront.Frontend
	hook      Hook
	closeOnce sync.Once
	closeErr  error

	server                *transport.Server
	dialer                *transport.Dialer
	nodes                 nodeConnections
	inventoryConn         atomic.Pointer[transport.Conn] // latest connection, possibly closed; nil before the first
	clientConnectionCount atomic.Int64
	keylessSubmissions    atomic.Uint64 // counts submissions without a key, to distribute them over the cores
	metrics               *metrics
}

// Hook replaces inputs and effects on their way between the cores and the sockets. It is for tests, for example of a rule
// checker with a daemon that violates a rule on purpose, or of a core that stalls. The goroutine of each core calls both
// methods, so the hook of a daemon with several cores must be safe for concurrent use.
type Hook interface {
	// InterceptInput returns the input that the core receives in place of the argument.
	InterceptInput(scheduler.Input) scheduler.Input
	// InterceptEffects returns the effects that are executed in place of those that the core's step at the time now returned.
	InterceptEffects(now scheduler.Time, effects []scheduler.Effect) []scheduler.Effect
}

// Start starts a daemon. When Start returns, the daemon accepts connections. The caller must end it with Shutdown or Stop.
func Start(cfg *settings.Scheduler, log zerolog.Logger) (*Daemon, error) {
	return StartWithHook(cfg, log, nil)
}

// StartWithHook is Start with a hook, for tests. The hook may be nil.
func StartWithHook(cfg *settings.Scheduler, log zerolog.Logger, hook Hook) (*Daemon, error) {
	coreCount := max(cfg.Shards, 1)
	startedAt := clock.Now()
	d := &Daemon{
		settings:  cfg,
		hook:      hook,
		log:       log.With().Str("scheduler", cfg.Name).Logger(),
		startedAt: startedAt,
		shards:    shard.New(cfg.Name, cfg.CoreConfig(startedAt), coreCount),
		front:     drmaafront.New(cfg, startedAt),
		nodes:     nodeConnections{byName: map[string]*nodeConnection{}},
	}
	if err := d.open(coreCount); err != nil {
		return nil, errors.Join(err, d.closeResources(context.Background()))
	}
	for _, runner := range d.runners {
		go runner.run()
	}
	d.linkInventory()
	for _, deprecated := range cfg.Deprecations() {
		d.log.Warn().Str("file", deprecated.File).Int("line", deprecated.Line).Str("field", deprecated.Field).
			Str("value", deprecated.Value).Str("replacement", deprecated.Replacement).Str("removed_in", deprecated.RemovedIn).
			Msg("deprecated setting")
	}
	d.log.Info().Str("address", d.server.Addr()).Str("inventory", cfg.InventoryAddress).Int("cores", coreCount).
		Msg("scheduler started")
	return d, nil
}

// open creates the metrics, cores and sockets, but does not start the goroutines of the cores. After an error the caller must
// call closeResources.
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
	// The dialer has a single event loop for all nodes. With several loops, a node could receive the offer of a job's next
	// attempt before another node receives the stop of the previous attempt.
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
		EventLoops:    coreCount,
		Log:           d.log,
	}
	d.server, err = transport.Listen(d.settings.ListenAddress, clientOptions, d.accept)
	return err
}

// Addr returns the address on which the daemon serves clients, as host:port.
func (d *Daemon) Addr() string { return d.server.Addr() }

// enqueueAll sends an input to all cores. It blocks while a mailbox is full, so event loops must not call it.
func (d *Daemon) enqueueAll(input scheduler.Input) {
	for _, runner := range d.runners {
		runner.enqueue(message{input: input})
	}
}

// tryEnqueueAll sends a message to all cores without blocking. It returns false if a mailbox was full; cores with space in
// their mailbox have received the message nevertheless.
func (d *Daemon) tryEnqueueAll(m message) bool {
	ok := true
	for _, runner := range d.runners {
		ok = runner.tryEnqueue(m) && ok
	}
	return ok
}

// Shutdown ends the daemon gracefully: it rejects new jobs, waits until no placement request is open, and stops. If ctx ends
// or the shutdown timeout of the settings expires first, it stops nevertheless and returns an error. Running jobs continue
// on their nodes.
func (d *Daemon) Shutdown(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, d.settings.Limits.ShutdownTimeout.Duration())
	defer cancel()
	d.enqueueAll(scheduler.Drain{})
	var err error
	for _, runner := range d.runners {
		select {
		case <-runner.drained:
		case <-ctx.Done():
			err = errors.New("daemon: shutdown timeout expired while placement requests were open")
		}
	}
	return errors.Join(err, d.Stop())
}

// Stop ends the daemon without waiting for open placement requests, and returns when all its goroutines have ended. It may
// be called more than once.
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

// close closes the sockets after the cores have stopped. Meanwhile it discards messages from event loops, which would
// otherwise fill the mailboxes that no core reads any more.
func (d *Daemon) close() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	closed := make(chan struct{})
	var discarding sync.WaitGroup
	for _, runner := range d.runners {
		discarding.Go(func() { runner.discardMessages(closed) })
	}
	err := d.closeResources(ctx)
	close(closed)
	discarding.Wait()
	for _, runner := range d.runners {
		runner.requeueGoroutines.Wait()
	}
	if err != nil {
		d.closeErr = fmt.Errorf("daemon: stop: %w", err)
	}
}

// closeResources closes what open has created. It waits for queued writes to clients until ctx ends.
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
