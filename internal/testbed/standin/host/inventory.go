package host

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/rs/zerolog"

	"flaxshelf.example/flaxshelf/internal/clock"
	"flaxshelf.example/flaxshelf/internal/codec/nodeframe/nodepb"
	"flaxshelf.example/flaxshelf/internal/testbed/standin/inventorymodel"
	"flaxshelf.example/flaxshelf/internal/transport"
)

const (
	inventoryName    = "inventory"          // name in the inventory's Welcome frames
	waitPollInterval = 5 * time.Millisecond // between the polls of WaitForNodes
)

var errInventoryStopped = errors.New("inventory: stopped")

// Inventory is a stand-in inventory on sockets. Its exported methods are safe for concurrent use.
type Inventory struct {
	*host
	inventoryModel *inventorymodel.Inventory // used only by the owner
}

// StartInventory starts an inventory that listens on addr, host:port; port 0 picks a free port. The caller must call Stop.
func StartInventory(addr string, cfg inventorymodel.Config, log zerolog.Logger) (*Inventory, error) {
	h, err := listen(addr, log)
	if err != nil {
		return nil, fmt.Errorf("inventory: %w", err)
	}
	v := &Inventory{host: h, inventoryModel: inventorymodel.New(cfg)}
	h.model = v
	go func() {
		defer h.closeServer()
		h.serve(nil, nil)
	}()
	return v, nil
}

// Do runs f with the model on the goroutine that owns it, and sends the frames that f returns.
func (v *Inventory) Do(f func(m *inventorymodel.Inventory, now inventorymodel.Time) []inventorymodel.Envelope) {
	v.do(func() { v.send(f(v.inventoryModel, clock.Now())) })
}

// WaitForNodes waits until the published list has at least the given number of nodes. It returns an error if the context or the
// inventory ends first.
func (v *Inventory) WaitForNodes(ctx context.Context, nodes int) error {
	for {
		published := 0
		v.Do(func(m *inventorymodel.Inventory, _ inventorymodel.Time) []inventorymodel.Envelope {
			published = len(m.Published())
			return nil
		})
		if published >= nodes {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("inventory: %d of %d nodes published: %w", published, nodes, ctx.Err())
		case <-v.Done():
			return errInventoryStopped
		case <-time.After(waitPollInterval):
		}
	}
}

func (v *Inventory) send(frames []inventorymodel.Envelope) {
	for _, envelope := range frames {
		v.parties.send(envelope.To, envelope.Frame)
	}
}

func (v *Inventory) nextDue() time.Duration    { return v.inventoryModel.NextDue() }
func (v *Inventory) advance(now time.Duration) { v.send(v.inventoryModel.Advance(now)) }
func (v *Inventory) isDead() bool              { return false }

func (v *Inventory) connect(_ time.Duration, conn *transport.Conn, hello *nodepb.Hello) {
	v.parties.add(hello.Party, conn)
	conn.Send(encode(&nodepb.Frame{Body: &nodepb.Frame_Welcome{Welcome: &nodepb.Welcome{Node: inventoryName}}}))
}

func (v *Inventory) disconnect(now time.Duration, party string) {
	v.send(v.inventoryModel.Disconnect(now, party))
}

func (v *Inventory) receive(now time.Duration, party string, frame *nodepb.Frame) {
	v.send(v.inventoryModel.Receive(now, party, frame))
}
