package admission

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const ms = time.Millisecond

// maxConnections is the bound of newTestControl.
const maxConnections = 4

func newTestControl() *Control {
	return New(Limits{
		MaxConnections:          maxConnections,
		IdleTimeout:             2 * time.Second,
		RecentUseGrace:          200 * ms,
		MaxProtocolErrors:       2,
		MaxPendingPerConnection: 2,
	})
}

// Hundreds of unused connections of one host push out each other, not those that were used, nor a new one of another host.
func TestEvictsUnverifiedOfBusiestHostFirst(t *testing.T) {
	c := newTestControl()
	c.Opened(0, 1, "owner")
	c.RecordOwnerUse(ms, 1)
	c.Opened(2*ms, 2, "newcomer")
	for i := range 300 {
		for _, id := range c.Opened(3*ms, ID(10+i), "flood") {
			if id < 10 {
				t.Fatalf("connection %d was evicted for a flood", id)
			}
		}
	}
	if c.Len() != maxConnections {
		t.Errorf("%d connections are left", c.Len())
	}
}

// Where all are verified the least recently used one is evicted, never one with pending requests or used within the grace.
func TestEvictsLeastRecentlyUsed(t *testing.T) {
	c := newTestControl()
	for i := range ID(maxConnections) {
		c.Opened(Time(i)*ms, i+1, "h")
		c.RecordOwnerUse(Time(i)*ms, i+1)
	}
	if !c.BeginRequest(1) {
		t.Fatal("the first request is over the limit")
	}
	if evicted := c.Opened(time.Second, 5, "h"); !slices.Equal(evicted, []ID{2}) {
		t.Errorf("evicted %v, want 2", evicted)
	}
	c.RecordOwnerUse(time.Second, 5)
	c.EndRequest(time.Second, 1, true)
	c.RecordOwnerUse(time.Second, 3)
	c.RecordOwnerUse(time.Second, 4)
	if evicted := c.Opened(time.Second+ms, 6, "h"); !slices.Equal(evicted, []ID{6}) {
		t.Errorf("evicted %v, want the new one: all others were used within the grace", evicted)
	}
}

// Connections that each pass one health check and stay, from as many hosts, push out each other, not one that carried a
// task, though that was used longer ago. One that was pinged and then carries a task is as good as any owner's.
func TestEvictsPingedBeforeVerified(t *testing.T) {
	c := newTestControl()
	c.Opened(0, 1, "owner")
	c.RecordOwnerUse(0, 1)
	c.Opened(0, 2, "pinged owner")
	c.RecordPing(0, 2)
	c.RecordOwnerUse(0, 2)
	c.RecordPing(0, 2)
	for i := range 300 {
		now, id := Time(i+1)*200*ms, ID(10+i)
		for _, evicted := range c.Opened(now, id, fmt.Sprint(id)) {
			if evicted != id-2 {
				t.Fatalf("connection %d was evicted at %v, want %d", evicted, now, id-2)
			}
		}
		c.RecordPing(now, id)
	}
	if c.Len() != maxConnections || c.verified.Len() != 2 {
		t.Errorf("%d connections are left, %d of them verified", c.Len(), c.verified.Len())
	}
}

// A health check keeps a connection from being closed as idle, and does not end the stay of a likely owner's.
func TestCloseIdleAfterPing(t *testing.T) {
	c := newTestControl()
	c.Opened(0, 1, "owner")
	c.MarkLikelyOwner(1)
	c.Opened(0, 2, "h")
	c.RecordPing(ms, 2)
	if idle, next := c.CloseIdle(2 * time.Second); len(idle) > 0 || next != 2250*ms {
		t.Errorf("%v, %v", idle, next)
	}
	c.RecordOwnerUse(2*time.Second, 2)
	if idle, next := c.CloseIdle(2250 * ms); !slices.Equal(idle, []ID{1}) || next != 0 {
		t.Errorf("%v, %v", idle, next)
	}
}

// A use of a connection that was used before allocates nothing: it is recorded for each request.
func TestUseDoesNotAllocate(t *testing.T) {
	for name, use := range map[string]func(c *Control){
		"owner": func(c *Control) { c.RecordOwnerUse(ms, 1) },
		"ping":  func(c *Control) { c.RecordPing(ms, 1) },
	} {
		t.Run(name, func(t *testing.T) {
			c := newTestControl()
			c.Opened(0, 1, "h")
			use(c)
			if n := testing.AllocsPerRun(100, func() { use(c) }); n > 0 {
				t.Errorf("%v allocations", n)
			}
		})
	}
}

// A connection that stays unverified is closed after the idle timeout; a verified one is not.
func TestCloseIdle(t *testing.T) {
	c := newTestControl()
	c.Opened(0, 1, "h")
	c.Opened(100*ms, 2, "h")
	c.RecordOwnerUse(200*ms, 1)
	if idle, next := c.CloseIdle(2 * time.Second); len(idle) > 0 || next != 2100*ms {
		t.Errorf("%v, %v", idle, next)
	}
	if idle, next := c.CloseIdle(2100 * ms); !slices.Equal(idle, []ID{2}) || next != 0 {
		t.Errorf("%v, %v", idle, next)
	}
}

// An unverified connection is not closed while its request is pending. A response verifies it; a cancellation leaves it as
// idle as before.
func TestCloseIdleWithPendingRequest(t *testing.T) {
	for _, answered := range []bool{true, false} {
		t.Run(fmt.Sprintf("answered %v", answered), func(t *testing.T) {
			c := newTestControl()
			c.Opened(0, 1, "h")
			c.BeginRequest(1)
			if idle, next := c.CloseIdle(3 * time.Second); len(idle) > 0 || next != 3250*ms {
				t.Errorf("%v, %v", idle, next)
			}
			c.EndRequest(3*time.Second, 1, answered)
			if idle, next := c.CloseIdle(3250 * ms); (len(idle) == 0) != answered || next != 0 {
				t.Errorf("%v, %v", idle, next)
			}
		})
	}
}

// The third protocol error and the third pending request of a connection are over its limits.
func TestLimitsPerConnection(t *testing.T) {
	c := newTestControl()
	c.Opened(0, 1, "h")
	for i := range 3 {
		if c.ProtocolError(1) != (i == 2) {
			t.Errorf("protocol error %d: the third is one too many", i+1)
		}
	}
	for i := range 3 {
		if c.BeginRequest(1) != (i < 2) {
			t.Errorf("pending request %d: the third is one too many", i+1)
		}
	}
	if c.EndRequest(0, 1, true); !c.BeginRequest(1) {
		t.Error("a request that has its response still counts")
	}
	if c.ProtocolError(9) || c.BeginRequest(9) {
		t.Error("a connection that is not open has limits")
	}
}

// Whatever happens, the bound holds, no connection with a pending request is evicted, and nothing is kept of connections
// that have ended.
func TestRandomOperations(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	c, now, lastID := newTestControl(), Time(0), ID(0)
	pending := map[ID]int{}
	for range 20000 {
		now += Time(rng.IntN(int(50 * ms)))
		id := ID(rng.IntN(int(lastID) + 1))
		switch rng.IntN(7) {
		case 0:
			lastID++
			for _, evicted := range c.Opened(now, lastID, fmt.Sprint(rng.IntN(3))) {
				if pending[evicted] > 0 {
					t.Fatalf("connection %d was evicted with %d requests pending", evicted, pending[evicted])
				}
			}
		case 1:
			c.RecordOwnerUse(now, id)
		case 2:
			c.RecordOwnerUse(now, id)
			if c.BeginRequest(id) {
				pending[id]++
			}
		case 3:
			if pending[id] > 0 {
				pending[id]--
				c.EndRequest(now, id, rng.IntN(2) == 0)
			}
		case 4:
			c.Closed(id)
			delete(pending, id)
		case 5:
			c.CloseIdle(now)
		case 6:
			c.RecordPing(now, id)
		}
		checkLists(t, c)
	}
}

// checkLists checks that each connection is in one list, and that the bound holds.
func checkLists(t *testing.T, c *Control) {
	t.Helper()
	inLists := c.unverified.Len() + c.pinged.Len() + c.verified.Len()
	if c.Len() > maxConnections || inLists != c.Len() || len(c.unverifiedPerHost) > 3 {
		t.Fatalf("%d connections, %d in lists, %d hosts", c.Len(), inLists, len(c.unverifiedPerHost))
	}
}
