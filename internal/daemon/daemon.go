// Package daemon owns a running scheduler: it joins cores to sockets, the clock, logs and metrics. It must
// decide nothing about jobs; one goroutine owns each core, event loops only parse and pass on.
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
	"flaxshelf.example/flaxshelf/internal/front/nodefront"
	"flaxshelf.example/flaxshelf/internal/scheduler"
	"flaxshelf.example/flaxshelf/internal/settings"
	"flaxshelf.example/flaxshelf/internal/shard"
	"flaxshelf.example/flaxshelf/internal/transport"
)

const (
	beatEvery = 10 * time.Second // of event streams
	pingEvery = time.Second      // of nodes and the inventory
	peerIdle  = 5 * time.Second  // a node or inventory that does not answer pings is cut off
)

// Daemon is a running scheduler.
type Daemon struct {
	set    *settings.Scheduler
	log    zerolog.Logger
	boot   scheduler.Time
	shards *shard.Map
	cores  []*core
	front  *drmaafront.Front
	hook   Hook
	ended  sync.Once
	err    error // of ending

	server  *transport.Server
	dialer  *transport.Dialer
	nodes   nodes
	list    atomic.Pointer[transport.Conn] // to the inventory; nil before the first
	clients atomic.Int64
	turn    atomic.Uint64 // of submissions without a key
	metrics *metrics
}

// Hook stands between the cores and the sockets. It is there for tests: of the rules' checker, whose host errs on
// purpose, and of cores that stall. Both are called by the owner of a core.
type Hook interface {
	In(scheduler.Input) scheduler.Input
	Out(now scheduler.Time, effects []scheduler.Effect) []scheduler.Effect
}

// Start runs a daemon. Its address is known when Start returns.
func Start(set *settings.Scheduler, log zerolog.Logger) (*Daemon, error) {
	return StartHooked(set, log, nil)
}

// StartHooked is Start with a hook, for tests.
func StartHooked(set *settings.Scheduler, log zerolog.Logger, hook Hook) (*Daemon, error) {
	n := max(set.Shards, 1)
	d := &Daemon{set: set, hook: hook, log: log.With().Str("scheduler", set.Name).Logger(), boot: clock.Now()}
	d.shards, d.nodes.m = shard.New(set.Name, set.CoreConfig(d.boot), n), map[string]*nodeLink{}
	var err error
	if d.metrics, err = newMetrics(set.MetricsAddress); err != nil {
		return nil, err
	}
	for i := range n {
		c, err := newCore(d, i, n)
		if err != nil {
			return nil, errors.Join(err, d.metrics.close(), d.closeTaps())
		}
		d.cores = append(d.cores, c)
	}
	d.front = drmaafront.New(set, d.boot)
	// One loop writes to all nodes. Risk covered: with several, the stop of an attempt that was given up could leave after
	// the offer that follows it, to another node.
	d.dialer, err = transport.NewDialer(transport.Options{MaxWriteQueue: set.Limits.MaxNodeWriteQueue,
		IdleTimeout: peerIdle, Log: d.log})
	if err != nil {
		return nil, err
	}
	d.server, err = transport.Listen(set.ListenAddress, transport.Options{MaxWriteQueue: set.Limits.MaxClientWriteQueue,
		IdleTimeout: set.Limits.IdleTimeout.Duration(), Loops: n, Log: d.log}, d.accept)
	if err != nil {
		_ = d.dialer.Stop()
		return nil, err
	}
	for _, c := range d.cores {
		go c.own()
	}
	d.dialer.Link(set.InventoryAddress, time.Second, backoff, func() transport.Handler {
		return &inventoryPeer{d: d,
			front: nodefront.Inventory{Set: set}}
	},
		func(err error) {
			d.log.Debug().Err(err).Msg("no connection to the inventory")
			d.passAll(scheduler.DiscoveryFailed{})
		})
	d.log.Info().Str("address", d.server.Addr()).Str("inventory", set.InventoryAddress).Int("cores", n).Msg("the scheduler is up")
	return d, nil
}

var backoff = transport.Backoff{Initial: 20 * time.Millisecond, Max: time.Second}

// Addr is where clients reach the daemon.
func (d *Daemon) Addr() string { return d.server.Addr() }

// passAll hands an input to all cores and waits for room; not for loops.
func (d *Daemon) passAll(in scheduler.Input) {
	for _, c := range d.cores {
		c.pass(message{in: in})
	}
}

// offerAll hands a message to all cores; for loops. It is false where one has no room.
func (d *Daemon) offerAll(m message) bool {
	ok := true
	for _, c := range d.cores {
		ok = c.offer(m) && ok
	}
	return ok
}

// Shutdown takes no new work, waits until what is in flight has its outcome, or for the time that the settings
// give, and stops. It returns an error where something had none by then. What runs, runs on at its nodes.
func (d *Daemon) Shutdown(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, d.set.Limits.ShutdownTimeout.Duration())
	defer cancel()
	d.passAll(scheduler.Drain{})
	var err error
	for _, c := range d.cores {
		select {
		case <-c.drained:
		case <-ctx.Done():
			err = errors.New("daemon: jobs were left without an outcome at the end of the time to stop")
		}
	}
	return errors.Join(err, d.Stop())
}

// Stop stops at once.
func (d *Daemon) Stop() error {
	for _, c := range d.cores {
		c.pass(message{})
	}
	for _, c := range d.cores {
		<-c.done
	}
	d.ended.Do(d.close)
	return d.err
}

// close ends the sockets. The cores have stopped: what loops still pass to them is let go, so that no loop finds a box
// full for want of its reader.
func (d *Daemon) close() {
	var errs []error
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	stopped := make(chan struct{})
	var wg sync.WaitGroup
	for _, c := range d.cores {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for {
				select {
				case <-c.box:
				case <-stopped:
					return
				}
			}
		}()
	}
	errs = append(errs, d.server.Stop(ctx), d.dialer.Stop(), d.metrics.close())
	close(stopped)
	wg.Wait()
	errs = append(errs, d.closeTaps())
	if err := errors.Join(errs...); err != nil {
		d.err = fmt.Errorf("daemon: stop: %w", err)
	}
}

func (d *Daemon) closeTaps() error {
	var errs []error
	for _, c := range d.cores {
		if c.tap != nil {
			errs = append(errs, c.tap.Close())
		}
	}
	return errors.Join(errs...)
}

func (d *Daemon) outcome(o *scheduler.LogOutcome) {
	i := &o.Info
	d.metrics.outcome(d.set, i)
	l := d.log.Info()
	if i.State.Ended() {
		l = l.Str("event", "ended")
	} else {
		l = l.Str("event", "outcome")
	}
	l.Str("job", i.ID).Str("session", i.Spec.Session).Str("class", d.set.Classes[i.Spec.Class].Name).
		Int("ask", i.Request).Str("outcome", string(i.Outcome)).Str("attempt", o.Attempt).Str("node", i.Node).
		Str("state", string(i.State)).Str("sub", i.SubState).Str("reason", i.Reason).
		Dur("waited", time.Duration(clock.Now()-i.RequestedAt)).Msg("job")
}
