package admission

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const ms = time.Millisecond

// maxConnections is the Limits.MaxConnections of newTestControl.
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

// expectIdle checks which connections CloseIdle closes at now, and when it is to be called again.
func expectIdle(t *testing.T, c *Control, now, wantNext Time, want ...ID) {
	t.Helper()
	if got, next := c.CloseIdle(now); !slices.Equal(got, want) || next != wantNext {
		t.Errorf("at %v: got idle connections %v and next call at %v, want %v and %v", now, got, next, want, wantNext)
	}
}

// expectEvicted opens a connection and checks which ones are closed for it.
func expectEvicted(t *testing.T, c *Control, now Time, id ID, want ...ID) {
	t.Helper()
	if got := c.Opened(now, id, "h"); !slices.Equal(got, want) {
		t.Errorf("at %v: got evicted connections %v for %d, want %v", now, got, id, want)
	}
}

// Hundreds of unused connections of one host displace each other, but neither connections that were used nor a new one of
// another host.
func TestEvictsUnverifiedOfBusiestHostFirst(t *testing.T) {
	c := newTestControl()
	c.Opened(0, 1, "owner")
	c.RecordOwnerUse(ms, 1)
	c.Opened(2*ms, 2, "newcomer")
	for i := range 300 {
		for _, id := range c.Opened(3*ms, ID(10+i), "flood") {
			if id < 10 {
				t.Fatalf("got connection %d evicted for a flood, want only connections of its host", id)
			}
		}
	}
	if c.Len() != maxConnections {
		t.Errorf("got %d connections, want %d", c.Len(), maxConnections)
	}
}

// If all connections are verified, the least recently used one is evicted, never one with pending requests or one that was used
// within the grace.
func TestEvictsLeastRecentlyUsed(t *testing.T) {
	c := newTestControl()
	for i := range ID(maxConnections) {
		c.Opened(Time(i)*ms, i+1, "h")
		c.RecordOwnerUse(Time(i)*ms, i+1)
	}
	if !c.BeginRequest(1) {
		t.Fatal("got the first request rejected, want it accepted")
	}
	expectEvicted(t, c, time.Second, 5, 2)
	c.RecordOwnerUse(time.Second, 5)
	c.EndRequest(time.Second, 1, true)
	c.RecordOwnerUse(time.Second, 3)
	c.RecordOwnerUse(time.Second, 4)
	expectEvicted(t, c, time.Second+ms, 6, 6) // all others were used within the grace
}

// Connections from different hosts that send only one health check displace each other, but not a connection that carried a
// task, even if that was used longer ago. A connection that was pinged and then carries a task is verified.
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
				t.Fatalf("got connection %d evicted at %v, want %d", evicted, now, id-2)
			}
		}
		c.RecordPing(now, id)
	}
	if c.Len() != maxConnections || c.verified.Len() != 2 {
		t.Errorf("got %d connections, %d of them verified, want %d and 2", c.Len(), c.verified.Len(), maxConnections)
	}
}

// A pinged connection is not closed as idle, and that of a likely owner stays open until another one is verified.
func TestPingedConnectionIsNotClosedAsIdle(t *testing.T) {
	c := newTestControl()
	c.Opened(0, 1, "owner")
	c.MarkLikelyOwner(1)
	c.Opened(0, 2, "h")
	c.RecordPing(ms, 2)
	expectIdle(t, c, 2*time.Second, 2250*ms)
	c.RecordOwnerUse(2*time.Second, 2)
	expectIdle(t, c, 2250*ms, 0, 1)
}

// Uses are recorded for each request, so recording a further use of a connection must not allocate.
func TestUseDoesNotAllocate(t *testing.T) {
	for _, test := range []struct {
		name string
		use  func(c *Control)
	}{
		{"by its owner", func(c *Control) { c.RecordOwnerUse(ms, 1) }},
		{"by a ping", func(c *Control) { c.RecordPing(ms, 1) }},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := newTestControl()
			c.Opened(0, 1, "h")
			test.use(c)
			if n := testing.AllocsPerRun(100, func() { test.use(c) }); n > 0 {
				t.Errorf("got %v allocations, want none", n)
			}
		})
	}
}

// A connection that stays unverified is closed after the idle timeout; a verified one is not.
func TestUnverifiedConnectionIsClosedAsIdle(t *testing.T) {
	c := newTestControl()
	c.Opened(0, 1, "h")
	c.Opened(100*ms, 2, "h")
	c.RecordOwnerUse(200*ms, 1)
	expectIdle(t, c, 2*time.Second, 2100*ms)
	expectIdle(t, c, 2100*ms, 0, 2)
}

// An unverified connection is not closed as idle while its request is pending.
func TestPendingRequestDefersIdleClose(t *testing.T) {
	for _, test := range []struct {
		name     string
		answered bool
		wantIdle []ID
	}{
		{"a response verifies the connection", true, nil},
		{"a cancellation leaves it idle", false, []ID{1}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := newTestControl()
			c.Opened(0, 1, "h")
			c.BeginRequest(1)
			expectIdle(t, c, 3*time.Second, 3250*ms)
			c.EndRequest(3*time.Second, 1, test.answered)
			expectIdle(t, c, 3250*ms, 0, test.wantIdle...)
		})
	}
}

// The third protocol error and the third pending request of a connection are over its limits.
func TestLimitsPerConnectionAreEnforced(t *testing.T) {
	c := newTestControl()
	c.Opened(0, 1, "h")
	for i := range 3 {
		if got, want := c.RecordProtocolError(1), i == 2; got != want {
			t.Errorf("protocol error %d: got over the limit %v, want %v", i+1, got, want)
		}
	}
	for i := range 3 {
		if got, want := c.BeginRequest(1), i < 2; got != want {
			t.Errorf("pending request %d: got accepted %v, want %v", i+1, got, want)
		}
	}
	if c.EndRequest(0, 1, true); !c.BeginRequest(1) {
		t.Error("got a request rejected after another was answered, want it accepted")
	}
	if c.RecordProtocolError(9) || c.BeginRequest(9) {
		t.Error("got a protocol error or request recorded for a connection that is not open, want neither")
	}
}

// In any order of operations, the limit on connections holds, no connection with a pending request is evicted, and no state
// of closed connections remains.
func TestRandomOperationsRespectLimits(t *testing.T) {
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
					t.Fatalf("got connection %d evicted with %d requests pending, want none pending", evicted, pending[evicted])
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

// checkLists checks that each connection is in one list, and that the limit on connections holds.
func checkLists(t *testing.T, c *Control) {
	t.Helper()
	inLists := c.unverified.Len() + c.pinged.Len() + c.verified.Len()
	if c.Len() > maxConnections || inLists != c.Len() || len(c.unverifiedPerHost) > 3 {
		t.Fatalf("got %d connections, %d in lists, %d hosts, want at most %d, each in one list, of at most 3 hosts", c.Len(), inLists,
			len(c.unverifiedPerHost), maxConnections)
	}
}
