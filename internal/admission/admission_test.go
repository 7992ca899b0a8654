package admission

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const ms = time.Millisecond

func control() *Control {
	return New(Limits{MaxConnections: 4, IdleTimeout: 2 * time.Second, RecentUseGrace: 200 * ms, MaxProtocolErrors: 2, MaxPendingPerConnection: 2})
}

// Hundreds of connections that say nothing push out each other, not those that were of use.
func TestSilentOnesGoFirst(t *testing.T) {
	d := control()
	d.Opened(0, 1, "owner")
	d.Touch(ms, 1)
	d.Opened(2*ms, 2, "newcomer")
	for i := range 300 {
		for _, id := range d.Opened(3*ms, ID(10+i), "flood") {
			if id < 10 {
				t.Fatalf("%d had to go for a flood", id)
			}
		}
	}
	if d.Len() != 4 {
		t.Errorf("%d are left", d.Len())
	}
}

// Where all are of use the one that was so the longest ago goes, never one with something open or used just now.
func TestLeastLatelyUsed(t *testing.T) {
	d := control()
	for i := range ID(4) {
		d.Opened(Time(i)*ms, i+1, "h")
		d.Touch(Time(i)*ms, i+1)
	}
	if !d.BeginRequest(1) {
		t.Fatal("a set-up too many")
	}
	if got := d.Opened(time.Second, 5, "h"); !slices.Equal(got, []ID{2}) {
		t.Errorf("closed %v, want 2", got)
	}
	d.Touch(time.Second, 5)
	d.EndRequest(time.Second, 1, true)
	d.Touch(time.Second, 3)
	d.Touch(time.Second, 4)
	if got := d.Opened(time.Second+ms, 6, "h"); !slices.Equal(got, []ID{6}) {
		t.Errorf("closed %v, want the newcomer: all others were used just now", got)
	}
}

func TestSilence(t *testing.T) {
	d := control()
	d.Opened(0, 1, "h")
	d.Opened(100*ms, 2, "h")
	d.Touch(200*ms, 1)
	if out, next := d.CloseIdle(2 * time.Second); len(out) > 0 || next != 2100*ms {
		t.Errorf("%v, %v", out, next)
	}
	if out, next := d.CloseIdle(2100 * ms); !slices.Equal(out, []ID{2}) || next != 0 {
		t.Errorf("%v, %v", out, next)
	}
}

// A stranger is not closed while its set-up waits; answered it is an owner, taken back it is as silent as before.
func TestSilenceOfSetUps(t *testing.T) {
	for _, answered := range []bool{true, false} {
		d := control()
		d.Opened(0, 1, "h")
		d.BeginRequest(1)
		if out, next := d.CloseIdle(3 * time.Second); len(out) > 0 || next != 3250*ms {
			t.Errorf("%v, %v", out, next)
		}
		d.EndRequest(3*time.Second, 1, answered)
		if out, next := d.CloseIdle(3250 * ms); (len(out) == 0) != answered || next != 0 {
			t.Errorf("answered %v: %v, %v", answered, out, next)
		}
	}
}

func TestBoundsOfOne(t *testing.T) {
	d := control()
	d.Opened(0, 1, "h")
	for n := range 3 {
		if d.ProtocolError(1) != (n == 2) {
			t.Errorf("message %d of no use: the third is one too many", n+1)
		}
	}
	for n := range 3 {
		if d.BeginRequest(1) != (n < 2) {
			t.Errorf("open set-up %d: the third is one too many", n+1)
		}
	}
	if d.EndRequest(0, 1, true); !d.BeginRequest(1) {
		t.Error("a set-up that has its answer counts on")
	}
	if d.ProtocolError(9) || d.BeginRequest(9) {
		t.Error("of a connection that is not there")
	}
}

// Whatever happens, the bound is kept, nothing with a set-up open goes for others, and nothing is remembered of what has
// gone.
func TestAnyOrder(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	d, now, last := control(), Time(0), ID(0)
	open := map[ID]int{}
	for range 20000 {
		now += Time(rng.IntN(int(50 * ms)))
		id := ID(rng.IntN(int(last) + 1))
		switch rng.IntN(6) {
		case 0:
			last++
			for _, gone := range d.Opened(now, last, fmt.Sprint(rng.IntN(3))) {
				if open[gone] > 0 {
					t.Fatalf("%d went with %d open", gone, open[gone])
				}
			}
		case 1:
			d.Touch(now, id)
		case 2:
			d.Touch(now, id)
			if d.BeginRequest(id) {
				open[id]++
			}
		case 3:
			if open[id] > 0 {
				open[id]--
				d.EndRequest(now, id, rng.IntN(2) == 0)
			}
		case 4:
			d.Closed(id)
			delete(open, id)
		case 5:
			d.CloseIdle(now)
		}
		if d.Len() > 4 || d.unverified.Len()+d.verified.Len() != d.Len() || len(d.unverifiedPerHost) > 3 {
			t.Fatalf("%d connections, %d and %d in lists, %d hosts", d.Len(), d.unverified.Len(), d.verified.Len(), len(d.unverifiedPerHost))
		}
	}
}
