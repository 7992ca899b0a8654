package nodemodel

import (
	"fmt"
	"sort"
	"strings"
	"testing"
	"time"

	"flaxshelf.example/flaxshelf/internal/codec/nodeframe/nodepb"
)

const ms = time.Millisecond

func config() Config {
	return Config{Name: "n", Cores: 4, Memory: 8, CoreOvercommit: 1, MemoryOvercommit: 1, OfferReviewTime: 10 * ms, MaxWaitingOffers: 2, StartSlots: 1,
		CachedStartTime: 20 * ms, UncachedStartFactor: 5, MaxCachedPrograms: 1, UseCores: [2]float64{1, 1}, UseMemory: [2]float64{1, 1}, Seed: 1,
		FallMultiple: 4, FallWindow: time.Second, FreshOffers: 3, ColdFrom: 0.5}
}

// player drives a node and writes down what it says.
type player struct {
	n   *Node
	now Time
	t   *testing.T
}

func newPlayer(t *testing.T, cfg Config, room Keys) *player {
	p := &player{n: New(cfg, time.Second, room), now: time.Second, t: t}
	if _, ok := p.n.Connect(p.now, "s", 1, 100); !ok {
		t.Fatal("not welcomed")
	}
	return p
}

func say(out []Send) string {
	var all []string
	for _, s := range out {
		switch b := s.Frame.Body.(type) {
		case *nodepb.Frame_Accepted:
			all = append(all, "accepted "+b.Accepted.Attempt)
		case *nodepb.Frame_Refused:
			all = append(all, fmt.Sprintf("refused %s %v", b.Refused.Attempt, b.Refused.Reason))
		case *nodepb.Frame_Failed:
			all = append(all, "failed "+b.Failed.Attempt)
		case *nodepb.Frame_Started:
			all = append(all, "started "+b.Started.Attempt)
		case *nodepb.Frame_Ended:
			all = append(all, fmt.Sprintf("ended %s %v %v", b.Ended.Attempt, b.Ended.Ending, b.Ended.Reason))
		case *nodepb.Frame_Note:
			all = append(all, fmt.Sprintf("note %s %d %.2f", b.Note.Attempt, b.Note.Kind, b.Note.Amount))
		case *nodepb.Frame_Welcome:
			var held []string
			for _, h := range b.Welcome.Held {
				held = append(held, h.Attempt)
			}
			for _, e := range b.Welcome.Ended {
				held = append(held, "ended:"+e.Attempt)
			}
			sort.Strings(held)
			all = append(all, fmt.Sprintf("welcome %v more=%v fresh=%v", held, b.Welcome.More, b.Welcome.Fresh))
		case *nodepb.Frame_Pong:
			all = append(all, "pong")
		case *nodepb.Frame_Probed:
			all = append(all, fmt.Sprintf("probed %v", b.Probed.Load != nil))
		}
	}
	return strings.Join(all, "; ")
}

// after lets time pass.
func (p *player) after(d time.Duration) string {
	p.now += d
	return say(p.n.Advance(p.now))
}

func (p *player) offer(attempt string, change func(o *nodepb.Offer)) string {
	o := &nodepb.Offer{Attempt: attempt, ValidForNs: int64(time.Second), Task: &nodepb.Task{Service: "v", Class: "c",
		Cores: 1, Memory: 1, LifeNs: int64(time.Second)}}
	if change != nil {
		change(o)
	}
	return say(p.n.Receive(p.now, "s", &nodepb.Frame{Body: &nodepb.Frame_Offer{Offer: o}}))
}

func (p *player) stop(attempt string) string {
	return say(p.n.Receive(p.now, "s", &nodepb.Frame{Body: &nodepb.Frame_Stop{Stop: &nodepb.Stop{Attempt: attempt}}}))
}

func (p *player) want(got, want string) {
	p.t.Helper()
	if got != want {
		p.t.Errorf("at %v: got %q, want %q", p.now, got, want)
	}
}

// One ask is looked at a time; so many may wait; accepted ones start one after the other, slowly where the node
// has no task of the service, fast where its program is kept.
func TestLife(t *testing.T) {
	p := newPlayer(t, config(), nil)
	p.want(p.offer("a", nil), "")
	p.want(p.offer("b", nil), "")
	p.want(p.offer("c", nil), "refused c TOO_MANY_WAIT")
	p.want(p.after(10*ms), "accepted a")
	p.want(p.after(10*ms), "accepted b")
	p.want(p.after(89*ms), "")
	p.want(p.after(1*ms), "started a")
	p.want(p.after(20*ms), "started b") // beside one of its service
	p.want(p.after(2*time.Second), "ended a FINISHED UNTOLD; ended b FINISHED UNTOLD")
	p.want(p.offer("d", nil), "")
	p.want(p.after(10*ms), "accepted d")
	p.want(p.after(20*ms), "started d") // kept
	p.n.DropPrograms(1)
	p.after(2 * time.Second)
	p.n.DropPrograms(1)
	p.offer("e", nil)
	p.want(p.after(30*ms), "accepted e")
	p.want(p.after(80*ms), "started e")
}

// One late call gives what many on time would.
func TestLateCall(t *testing.T) {
	a, b := newPlayer(t, config(), nil), newPlayer(t, config(), nil)
	for _, p := range []*player{a, b} {
		p.offer("a", nil)
		p.offer("b", nil)
	}
	var parts []string
	for range 4000 {
		if s := a.after(ms); s != "" {
			parts = append(parts, s)
		}
	}
	b.want(b.after(4*time.Second), strings.Join(parts, "; "))
}

func TestRefusals(t *testing.T) {
	cfg := config()
	cfg.Preempts = true
	cfg.MaxWaitingOffers = 10
	p := newPlayer(t, cfg, nil)
	p.offer("big", func(o *nodepb.Offer) { o.Task.Cores = 4 })
	p.want(p.after(10*ms), "accepted big")
	p.offer("cores", nil)
	p.want(p.after(10*ms), "refused cores NO_CORES")
	p.offer("memory", func(o *nodepb.Offer) { o.Task.Cores, o.Task.Memory = 0, 8 })
	p.want(p.after(10*ms), "refused memory NO_MEMORY")
	p.offer("late", func(o *nodepb.Offer) { o.ValidForNs = int64(5 * ms) })
	p.want(p.after(10*ms), "refused late NOT_HERE")
	p.offer("higher", func(o *nodepb.Offer) { o.Task.Priority = 1 })
	p.want(p.after(10*ms), "ended big LOST PUSHED_OUT; accepted higher")
	p.n.Drain(p.now)
	p.offer("draining", nil)
	p.want(p.after(10*ms), "refused draining NOT_HERE")
	p.want(p.offer("", nil), "")
}

// The nodes of a room let one copy of a key stand, until it has ended.
func TestKeys(t *testing.T) {
	room := NewRoom()
	p, q := newPlayer(t, config(), room), newPlayer(t, config(), room)
	q.n.cfg.Name = "other"
	keyed := func(o *nodepb.Offer) { o.Task.Key, o.Task.Effect = "k", 1 }
	p.offer("a", keyed)
	p.want(p.after(10*ms), "accepted a")
	q.offer("b", keyed)
	q.want(q.after(10*ms), "refused b NOT_HERE")
	p.want(p.stop("a"), "ended a STOPPED UNTOLD")
	q.offer("c", keyed)
	q.want(q.after(10*ms), "accepted c")
	q.n.Die()
	p.offer("d", keyed)
	p.want(p.after(10*ms), "accepted d")
	// A refused one leaves nothing behind.
	p.offer("e", func(o *nodepb.Offer) { keyed(o); o.Task.Key, o.Task.Cores = "big", 100 })
	p.want(p.after(10*ms), "refused e NO_CORES")
	if !room.Take("big", "x") {
		t.Error("a refused key stands")
	}
}

// A stop withdraws what waits and ends what was accepted; the scheduler learns which.
func TestStop(t *testing.T) {
	p := newPlayer(t, config(), nil)
	p.offer("a", nil)
	p.offer("b", nil)
	p.want(p.stop("b"), "refused b UNTOLD")
	p.want(p.stop("a"), "refused a UNTOLD")
	p.offer("c", nil)
	p.after(10 * ms)
	p.want(p.stop("c"), "ended c STOPPED UNTOLD")
	p.want(p.stop("c"), "")
	p.want(p.after(time.Second), "")
}

// What a scheduler's connection leaves behind: accepted work runs on and is handed over, endings are kept until
// they are acknowledged, asks that nobody looked at are dropped, and an older life is turned away.
func TestHandOver(t *testing.T) {
	cfg := config()
	p := newPlayer(t, cfg, nil)
	p.offer("a", nil)
	p.after(10 * ms)
	p.offer("b", func(o *nodepb.Offer) { o.Task.LifeNs = int64(time.Hour) })
	p.after(10 * ms)
	p.offer("waits", nil)
	p.n.Disconnect(p.now, "s")
	p.want(p.after(2*time.Second), "")
	out, ok := p.n.Connect(p.now, "s", 2, 1)
	if !ok {
		t.Fatal("turned away")
	}
	p.want(say(out), "welcome [b ended:a] more=false fresh=false")
	say(p.n.Receive(p.now, "s", &nodepb.Frame{Body: &nodepb.Frame_Ack{Ack: &nodepb.Ack{Attempt: "a"}}}))
	out, _ = p.n.Connect(p.now, "s", 3, 100)
	p.want(say(out), "welcome [b] more=false fresh=false")
	if _, ok := p.n.Connect(p.now, "s", 2, 100); ok {
		t.Error("an older life was welcomed")
	}
	out, _ = p.n.Connect(p.now, "another", 1, 100)
	p.want(say(out), "welcome [] more=false fresh=false")
}

// A node that has just come up starts slowly, and falls over when it is offered too much.
func TestCold(t *testing.T) {
	cfg := config()
	cfg.SlowStartDuration = 10 * time.Second
	cfg.MaxWaitingOffers = 100
	p := newPlayer(t, cfg, nil)
	p.offer("a", nil)
	p.want(p.after(10*ms), "accepted a")
	p.want(p.after(150*ms), "") // 100 ms at half the pace take 200
	p.want(p.after(60*ms), "started a")
	// One slot and 100 ms a start are 10 a second, at 0.5 of the pace 5; four times that is 20 within a second.
	for i := range 19 {
		p.offer(fmt.Sprint(i), nil)
		p.after(ms)
	}
	if p.n.Dead() {
		t.Fatal("it fell over before its time")
	}
	p.offer("b", nil)
	p.offer("c", nil)
	if !p.n.Dead() || !p.n.FellOver() {
		t.Error("it did not fall over")
	}
	p.want(p.offer("d", nil), "")
	warm := newPlayer(t, config(), nil)
	for i := range 100 {
		warm.offer(fmt.Sprint(i), nil)
	}
	if warm.n.Dead() {
		t.Error("a warm node fell over")
	}
}

// Memory that runs out evicts the lowest priority, the latest first; crowded cores and short memory are told.
func TestPressure(t *testing.T) {
	cfg := config()
	cfg.CoreOvercommit, cfg.MemoryOvercommit, cfg.NoteEvery, cfg.CachedStartTime, cfg.StartSlots = 3, 2, 100*ms, ms, 4
	cfg.UseMemory = [2]float64{0.9, 0.9}
	p := newPlayer(t, cfg, nil)
	for i, prio := range []int32{1, 0, 0} {
		p.offer(string(rune('a'+i)), func(o *nodepb.Offer) {
			o.Task.Priority, o.Task.Memory, o.Task.Cores, o.Task.LifeNs = prio, 2.5, 2, int64(time.Hour)
		})
		p.after(11 * ms)
	}
	got := p.after(100 * ms)
	for _, want := range []string{"note a 4 0.", "note b 4 0.", "note c 5 0."} {
		if !strings.Contains(got, want) {
			t.Errorf("%q does not say %q", got, want)
		}
	}
	p.n.SetFault(p.now, Fault{Crowd: 0.3})
	if got := p.after(100 * ms); !strings.HasPrefix(got, "ended c LOST EVICTED; note a") {
		t.Errorf("another program took memory: %q", got)
	}
	p.n.SetFault(p.now, Fault{SwellFactor: 2, SwellClass: "c"})
	if got := p.after(100 * ms); !strings.HasPrefix(got, "ended b LOST EVICTED") {
		t.Errorf("tasks swelled: %q", got)
	}
}

func TestFaults(t *testing.T) {
	p := newPlayer(t, config(), nil)
	p.n.SetFault(p.now, Fault{SilentClass: "c"})
	p.offer("a", nil)
	p.want(p.after(time.Second), "")
	p.n.SetFault(p.now, Fault{FailShare: 1, FailClass: "other"})
	p.offer("b", nil)
	p.want(p.after(10*ms), "accepted b")
	p.n.SetFault(p.now, Fault{FailShare: 1, FailClass: "c"})
	p.offer("c", nil)
	p.want(p.after(10*ms), "failed c")
	p.n.SetFault(p.now, Fault{SilentClass: "*"})
	p.offer("d", nil)
	p.want(p.after(10*ms), "")
}

// A draining node may send its tasks away one after the other.
func TestDrainSendsAway(t *testing.T) {
	cfg := config()
	cfg.DrainSendsAway = 50 * ms
	p := newPlayer(t, cfg, nil)
	for _, a := range []string{"a", "b"} {
		p.offer(a, func(o *nodepb.Offer) { o.Task.LifeNs = int64(time.Hour) })
		p.after(10 * ms)
	}
	p.n.Drain(p.now)
	p.want(p.after(50*ms), "ended a LOST SENT_AWAY")
	p.want(p.after(50*ms), "ended b LOST SENT_AWAY")
}

// Loads are told where the settings have it.
func TestReports(t *testing.T) {
	cfg := config()
	p := newPlayer(t, cfg, nil)
	probe := &nodepb.Frame{Body: &nodepb.Frame_Probe{Probe: &nodepb.Probe{Token: 1}}}
	p.want(say(p.n.Receive(p.now, "s", probe)), "probed false")
	cfg.Reports = true
	p = newPlayer(t, cfg, nil)
	p.want(say(p.n.Receive(p.now, "s", probe)), "probed true")
	p.want(say(p.n.Receive(p.now, "s", &nodepb.Frame{Body: &nodepb.Frame_Ping{Ping: &nodepb.Ping{}}})), "pong")
}
