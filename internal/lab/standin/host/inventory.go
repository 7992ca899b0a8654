package host

import (
	"context"
	"fmt"
	"math"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"flaxshelf.example/flaxshelf/internal/clock"
	"flaxshelf.example/flaxshelf/internal/codec/nodeframe/nodepb"
	"flaxshelf.example/flaxshelf/internal/lab/standin/inventorymodel"
	"flaxshelf.example/flaxshelf/internal/transport"
)

// Inventory is the stand-in inventory on sockets.
type Inventory struct {
	model   *inventorymodel.Inventory
	server  *transport.Server
	box     chan message
	stop    chan struct{}
	once    sync.Once
	done    chan struct{}
	parties parties
}

// StartInventory listens on addr.
func StartInventory(addr string, cfg inventorymodel.Config, log zerolog.Logger) (*Inventory, error) {
	v := &Inventory{model: inventorymodel.New(cfg), box: make(chan message, mailbox), stop: make(chan struct{}),
		done: make(chan struct{}), parties: newParties()}
	var err error
	v.server, err = transport.Listen(addr, transport.Options{Log: log},
		func(*transport.Conn) transport.Handler { return &peer{box: v.box} })
	if err != nil {
		return nil, fmt.Errorf("inventory: %w", err)
	}
	go v.own()
	return v, nil
}

// Addr is where the inventory listens.
func (v *Inventory) Addr() string { return v.server.Addr() }

// Do runs f with the model, on the goroutine that owns it, and sends what it returns.
func (v *Inventory) Do(f func(m *inventorymodel.Inventory, now inventorymodel.Time) []inventorymodel.Send) {
	ran := make(chan struct{})
	select {
	case v.box <- message{do: func() { v.send(f(v.model, clock.Now())); close(ran) }}:
	case <-v.done:
		return
	}
	select {
	case <-ran:
	case <-v.done:
	}
}

// Stop ends the inventory.
func (v *Inventory) Stop() {
	v.once.Do(func() { close(v.stop) })
	<-v.done
}

func (v *Inventory) own() {
	defer close(v.done)
	defer func() { _ = v.server.Stop(context.Background()) }()
	due := newTimer()
	defer due.Stop()
	for {
		if next := v.model.Next(); next < math.MaxInt64 {
			due.Reset(max(next-clock.Now(), 0))
		}
		select {
		case m := <-v.box:
			v.take(m)
		case <-due.C:
			v.send(v.model.Advance(clock.Now()))
		case <-v.stop:
			return
		}
	}
}

func (v *Inventory) take(m message) {
	now := clock.Now()
	switch {
	case m.do != nil:
		m.do()
	case m.gone:
		if from := v.parties.remove(m.conn); from != "" {
			v.send(v.model.Disconnect(now, from))
		}
	case m.hello != nil:
		v.parties.add(m.hello.Party, m.conn)
		m.conn.Send(encode(&nodepb.Frame{Body: &nodepb.Frame_Welcome{Welcome: &nodepb.Welcome{Node: "inventory"}}}))
	default:
		if from := v.parties.names[m.conn]; from != "" {
			v.send(v.model.Receive(now, from, m.frame))
		}
	}
}

func (v *Inventory) send(out []inventorymodel.Send) {
	for _, s := range out {
		v.parties.send(s.To, s.Frame)
	}
}

// WaitFor waits until the list shows n nodes.
func (v *Inventory) WaitFor(ctx context.Context, n int) error {
	for {
		shown := 0
		v.Do(func(m *inventorymodel.Inventory, _ inventorymodel.Time) []inventorymodel.Send {
			shown = len(m.Shown())
			return nil
		})
		if shown >= n {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("inventory: %d of %d nodes have registered: %w", shown, n, ctx.Err())
		case <-v.done:
			return fmt.Errorf("inventory: stopped")
		case <-time.After(5 * time.Millisecond):
		}
	}
}
