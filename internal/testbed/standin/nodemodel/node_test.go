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

func testConfig() Config {
	return Config{
		Name:                 "n",
		Cores:                4,
		Memory:               8,
		CoreOvercommit:       1,
		MemoryOvercommit:     1,
		OfferReviewTime:      10 * ms,
		MaxWaitingOffers:     2,
		StartSlots:           1,
		CachedStartTime:      20 * ms,
		UncachedStartFactor:  5,
		MaxCachedPrograms:    1,
		CoreUsageRange:       [2]float64{1, 1},
		MemoryUsageRange:     [2]float64{1, 1},
		Seed:                 1,
		OverloadMultiple:     4,
		OverloadWindow:       time.Second,
		SlowStartBudget:      3,
		SlowStartInitialRate: 0.5,
	}
}

// driver runs a node on a clock of its own, as scheduler "s", and describes the frames that the node sends.
type driver struct {
	node *Node
	now  Time
	t    *testing.T
}

func newDriver(t *testing.T, cfg Config, keys KeyRegistry) *driver {
	p := &driver{node: New(cfg, time.Second, keys), now: time.Second, t: t}
	if _, ok := p.node.Connect(p.now, "s", 1, 100); !ok {
		t.Fatal("rejected")
	}
	return p
}

// describe writes frames in short form.
func describe(out []Send) string {
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

// after advances the clock.
func (p *driver) after(d time.Duration) string {
	p.now += d
	return describe(p.node.Advance(p.now))
}

// offer sends an offer of a task of one core; change may change it first.
func (p *driver) offer(attempt string, change func(o *nodepb.Offer)) string {
	o := &nodepb.Offer{Attempt: attempt, ValidForNs: int64(time.Second), Task: &nodepb.Task{Service: "v", Class: "c",
		Cores: 1, Memory: 1, LifeNs: int64(time.Second)}}
	if change != nil {
		change(o)
	}
	return describe(p.node.Receive(p.now, "s", &nodepb.Frame{Body: &nodepb.Frame_Offer{Offer: o}}))
}

func (p *driver) stop(attempt string) string {
	return describe(p.node.Receive(p.now, "s", &nodepb.Frame{Body: &nodepb.Frame_Stop{Stop: &nodepb.Stop{Attempt: attempt}}}))
}

func (p *driver) want(got, want string) {
	p.t.Helper()
	if got != want {
		p.t.Errorf("at %v: got %q, want %q", p.now, got, want)
	}
}

// One offer is reviewed at a time and MaxWaitingOffers may wait. Accepted tasks start one after the other: slowly, or fast if
// their program is cached.
func TestTaskLifecycle(t *testing.T) {
	p := newDriver(t, testConfig(), nil)
	p.want(p.offer("a", nil), "")
	p.want(p.offer("b", nil), "")
	p.want(p.offer("c", nil), "refused c TOO_MANY_WAIT")
	p.want(p.after(10*ms), "accepted a")
	p.want(p.after(10*ms), "accepted b")
	p.want(p.after(89*ms), "")
	p.want(p.after(1*ms), "started a")
	p.want(p.after(20*ms), "started b") // a task of its service runs
	p.want(p.after(2*time.Second), "ended a FINISHED UNTOLD; ended b FINISHED UNTOLD")
	p.want(p.offer("d", nil), "")
	p.want(p.after(10*ms), "accepted d")
	p.want(p.after(20*ms), "started d") // the program is cached
	p.node.DropPrograms(1)
	p.after(2 * time.Second)
	p.node.DropPrograms(1)
	p.offer("e", nil)
	p.want(p.after(30*ms), "accepted e")
	p.want(p.after(80*ms), "started e")
}

// One late call has the effect of many on time.
func TestLateAdvance(t *testing.T) {
	a, b := newDriver(t, testConfig(), nil), newDriver(t, testConfig(), nil)
	for _, p := range []*driver{a, b} {
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

// Each reason for a rejection; a higher priority preempts.
func TestRejections(t *testing.T) {
	cfg := testConfig()
	cfg.Preempts = true
	cfg.MaxWaitingOffers = 10
	p := newDriver(t, cfg, nil)
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
	p.node.Drain(p.now)
	p.offer("draining", nil)
	p.want(p.after(10*ms), "refused draining NOT_HERE")
	p.want(p.offer("", nil), "")
}

// The nodes that share keys accept one copy of a keyed task until it has ended.
func TestKeys(t *testing.T) {
	keys := NewLocalKeys()
	p, q := newDriver(t, testConfig(), keys), newDriver(t, testConfig(), keys)
	q.node.cfg.Name = "other"
	keyed := func(o *nodepb.Offer) { o.Task.Key, o.Task.Effect = "k", 1 }
	p.offer("a", keyed)
	p.want(p.after(10*ms), "accepted a")
	q.offer("b", keyed)
	q.want(q.after(10*ms), "refused b NOT_HERE")
	p.want(p.stop("a"), "ended a STOPPED UNTOLD")
	q.offer("c", keyed)
	q.want(q.after(10*ms), "accepted c")
	q.node.Die()
	p.offer("d", keyed)
	p.want(p.after(10*ms), "accepted d")
	// A rejected task leaves no key behind.
	p.offer("e", func(o *nodepb.Offer) { keyed(o); o.Task.Key, o.Task.Cores = "big", 100 })
	p.want(p.after(10*ms), "refused e NO_CORES")
	if !keys.Reserve("big", "x") {
		t.Error("the key of a rejected task is taken")
	}
}

// A stop cancels an offer that waits or ends an accepted task; the scheduler learns which.
func TestStop(t *testing.T) {
	p := newDriver(t, testConfig(), nil)
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

// After a disconnect, accepted tasks run on and the next Welcome lists them, outcomes are retained until they are acknowledged,
// unreviewed offers are dropped, and an older incarnation is rejected.
func TestReconnect(t *testing.T) {
	cfg := testConfig()
	p := newDriver(t, cfg, nil)
	p.offer("a", nil)
	p.after(10 * ms)
	p.offer("b", func(o *nodepb.Offer) { o.Task.LifeNs = int64(time.Hour) })
	p.after(10 * ms)
	p.offer("waits", nil)
	p.node.Disconnect(p.now, "s")
	p.want(p.after(2*time.Second), "")
	out, ok := p.node.Connect(p.now, "s", 2, 1)
	if !ok {
		t.Fatal("rejected")
	}
	p.want(describe(out), "welcome [b ended:a] more=false fresh=false")
	describe(p.node.Receive(p.now, "s", &nodepb.Frame{Body: &nodepb.Frame_Ack{Ack: &nodepb.Ack{Attempt: "a"}}}))
	out, _ = p.node.Connect(p.now, "s", 3, 100)
	p.want(describe(out), "welcome [b] more=false fresh=false")
	if _, ok := p.node.Connect(p.now, "s", 2, 100); ok {
		t.Error("an older incarnation was accepted")
	}
	out, _ = p.node.Connect(p.now, "another", 1, 100)
	p.want(describe(out), "welcome [] more=false fresh=false")
}

// A node that warms up starts tasks slowly, and breaks down when it is offered too much.
func TestSlowStart(t *testing.T) {
	cfg := testConfig()
	cfg.SlowStartDuration = 10 * time.Second
	cfg.MaxWaitingOffers = 100
	p := newDriver(t, cfg, nil)
	p.offer("a", nil)
	p.want(p.after(10*ms), "accepted a")
	p.want(p.after(150*ms), "") // 100 ms at half the rate take 200
	p.want(p.after(60*ms), "started a")
	// One slot and 100 ms a start are 10 a second, at half the rate 5; four times that is 20 within a second.
	for i := range 19 {
		p.offer(fmt.Sprint(i), nil)
		p.after(ms)
	}
	if p.node.Dead() {
		t.Fatal("it broke down too early")
	}
	p.offer("b", nil)
	p.offer("c", nil)
	if !p.node.Dead() || !p.node.Overloaded() {
		t.Error("it did not break down")
	}
	p.want(p.offer("d", nil), "")
	warm := newDriver(t, testConfig(), nil)
	for i := range 100 {
		warm.offer(fmt.Sprint(i), nil)
	}
	if warm.node.Dead() {
		t.Error("a warm node broke down")
	}
}

// A shortage of memory evicts the lowest priority, the latest first; shortages of cores and memory are reported.
func TestMemoryPressure(t *testing.T) {
	cfg := testConfig()
	cfg.CoreOvercommit, cfg.MemoryOvercommit, cfg.UsageReportInterval, cfg.CachedStartTime, cfg.StartSlots = 3, 2, 100*ms, ms, 4
	cfg.MemoryUsageRange = [2]float64{0.9, 0.9}
	p := newDriver(t, cfg, nil)
	for i, priority := range []int32{1, 0, 0} {
		p.offer(string(rune('a'+i)), func(o *nodepb.Offer) {
			o.Task.Priority, o.Task.Memory, o.Task.Cores, o.Task.LifeNs = priority, 2.5, 2, int64(time.Hour)
		})
		p.after(11 * ms)
	}
	got := p.after(100 * ms)
	for _, want := range []string{"note a 4 0.", "note b 4 0.", "note c 5 0."} {
		if !strings.Contains(got, want) {
			t.Errorf("%q does not contain %q", got, want)
		}
	}
	p.node.SetFault(p.now, Fault{OccupiedFraction: 0.3})
	if got := p.after(100 * ms); !strings.HasPrefix(got, "ended c LOST EVICTED; note a") {
		t.Errorf("another program took memory: %q", got)
	}
	p.node.SetFault(p.now, Fault{UsageFactor: 2, UsageClass: "c"})
	if got := p.after(100 * ms); !strings.HasPrefix(got, "ended b LOST EVICTED") {
		t.Errorf("tasks swelled: %q", got)
	}
}

// A fault affects the classes that it names.
func TestFaults(t *testing.T) {
	p := newDriver(t, testConfig(), nil)
	p.node.SetFault(p.now, Fault{DropRepliesClass: "c"})
	p.offer("a", nil)
	p.want(p.after(time.Second), "")
	p.node.SetFault(p.now, Fault{StartFailureFraction: 1, StartFailureClass: "other"})
	p.offer("b", nil)
	p.want(p.after(10*ms), "accepted b")
	p.node.SetFault(p.now, Fault{StartFailureFraction: 1, StartFailureClass: "c"})
	p.offer("c", nil)
	p.want(p.after(10*ms), "failed c")
	p.node.SetFault(p.now, Fault{DropRepliesClass: "*"})
	p.offer("d", nil)
	p.want(p.after(10*ms), "")
}

// A draining node with a migration interval ends its tasks one after the other.
func TestDrainMigratesTasks(t *testing.T) {
	cfg := testConfig()
	cfg.DrainMigrationInterval = 50 * ms
	p := newDriver(t, cfg, nil)
	for _, a := range []string{"a", "b"} {
		p.offer(a, func(o *nodepb.Offer) { o.Task.LifeNs = int64(time.Hour) })
		p.after(10 * ms)
	}
	p.node.Drain(p.now)
	p.want(p.after(50*ms), "ended a LOST SENT_AWAY")
	p.want(p.after(50*ms), "ended b LOST SENT_AWAY")
}

// Answers carry load reports if the settings say so.
func TestLoadReports(t *testing.T) {
	cfg := testConfig()
	p := newDriver(t, cfg, nil)
	probe := &nodepb.Frame{Body: &nodepb.Frame_Probe{Probe: &nodepb.Probe{Token: 1}}}
	p.want(describe(p.node.Receive(p.now, "s", probe)), "probed false")
	cfg.SendsLoadReports = true
	p = newDriver(t, cfg, nil)
	p.want(describe(p.node.Receive(p.now, "s", probe)), "probed true")
	p.want(describe(p.node.Receive(p.now, "s", &nodepb.Frame{Body: &nodepb.Frame_Ping{Ping: &nodepb.Ping{}}})), "pong")
}
