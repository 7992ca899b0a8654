package nodemodel

import (
	"fmt"
	"sort"
	"strings"
	"testing"
	"time"

	"flaxshelf.example/flaxshelf"
	"flaxshelf.example/flaxshelf/internal/codec/nodeframe/nodepb"
	"flaxshelf.example/flaxshelf/internal/machinetest"
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

// testNode is a node with its own clock, to which scheduler "s" is connected.
type testNode struct {
	node *Node
	now  Time
	t    *testing.T
}

// newTestNode boots a node and connects scheduler "s". If keys is nil, the node has a registry of its own.
func newTestNode(t *testing.T, cfg Config, keys KeyRegistry) *testNode {
	t.Helper()
	p := &testNode{node: New(cfg, time.Second, keys), now: time.Second, t: t}
	if _, ok := p.node.Connect(p.now, "s", 1, 100); !ok {
		t.Fatal("got a rejected connection, want an accepted one")
	}
	return p
}

// describe formats frames in a short form for comparisons.
func describe(out []Envelope) string {
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

// after advances the clock and returns the frames that the node sends.
func (p *testNode) after(d time.Duration) string {
	p.now += d
	return describe(p.node.Advance(p.now))
}

// offer offers a task of one core and 1 GiB that runs for 1 s. change modifies the offer before it is sent, unless it is nil.
func (p *testNode) offer(attempt string, change func(o *nodepb.Offer)) string {
	o := &nodepb.Offer{Attempt: attempt, ValidForNs: int64(time.Second), Task: &nodepb.Task{Service: "v", Class: "c",
		Cores: 1, Memory: 1, LifeNs: int64(time.Second)}}
	if change != nil {
		change(o)
	}
	return p.receive(&nodepb.Frame{Body: &nodepb.Frame_Offer{Offer: o}})
}

func (p *testNode) stop(attempt string) string {
	return p.receive(&nodepb.Frame{Body: &nodepb.Frame_Stop{Stop: &nodepb.Stop{Attempt: attempt}}})
}

// receive passes a frame from scheduler "s" to the node and returns the frames that the node sends.
func (p *testNode) receive(frame *nodepb.Frame) string {
	return describe(p.node.Receive(p.now, "s", frame))
}

// connect connects a scheduler and returns the Welcome frames.
func (p *testNode) connect(scheduler string, incarnation int64, perFrame int) string {
	p.t.Helper()
	frames, ok := p.node.Connect(p.now, scheduler, incarnation, perFrame)
	if !ok {
		p.t.Errorf("at %v: got a rejected connection of incarnation %d of %s, want an accepted one", p.now, incarnation, scheduler)
	}
	return describe(frames)
}

func (p *testNode) want(got, want string) {
	p.t.Helper()
	if got != want {
		p.t.Errorf("at %v: got %q, want %q", p.now, got, want)
	}
}

func (p *testNode) wantPrefix(got, want string) {
	p.t.Helper()
	if !strings.HasPrefix(got, want) {
		p.t.Errorf("at %v: got %q, want it to begin with %q", p.now, got, want)
	}
}

func TestMachineHasEveryField(t *testing.T) {
	config := testConfig()
	config.Zone = "z"
	d := newTestNode(t, config, nil)
	d.node.Drain(d.now)
	want := flaxshelf.Machine{ID: "n", Kind: -1, Zone: "z", Cell: 3, State: flaxshelf.Draining, Started: time.Second, FreeCores: 4,
		FreeMemory: 8}
	machinetest.Expect(t, d.node.Machine(3), want)
	machinetest.ExpectFilled(t, want)
}

// Offers are reviewed one at a time, and offers beyond MaxWaitingOffers are rejected. Accepted tasks start one at a time, faster
// if their program is cached.
func TestOffersAreReviewedAndTasksStartedOneByOne(t *testing.T) {
	p := newTestNode(t, testConfig(), nil)
	p.want(p.offer("a", nil), "")
	p.want(p.offer("b", nil), "")
	p.want(p.offer("c", nil), "refused c TOO_MANY_WAIT")
	p.want(p.after(10*ms), "accepted a")
	p.want(p.after(10*ms), "accepted b")
	p.want(p.after(89*ms), "")
	p.want(p.after(1*ms), "started a")
	p.want(p.after(20*ms), "started b") // faster, since a task of the same service runs
	p.want(p.after(2*time.Second), "ended a FINISHED UNTOLD; ended b FINISHED UNTOLD")
	p.want(p.offer("d", nil), "")
	p.want(p.after(10*ms), "accepted d")
	p.want(p.after(20*ms), "started d") // faster, since the program is cached
	p.node.EvictCachedPrograms(1)
	p.after(2 * time.Second)
	p.node.EvictCachedPrograms(1)
	p.offer("e", nil)
	p.want(p.after(30*ms), "accepted e")
	p.want(p.after(80*ms), "started e")
}

func TestLateAdvanceHasEffectOfManyOnTime(t *testing.T) {
	a, b := newTestNode(t, testConfig(), nil), newTestNode(t, testConfig(), nil)
	for _, p := range []*testNode{a, b} {
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

func TestRejectionHasReasonAndHigherPriorityPreempts(t *testing.T) {
	cfg := testConfig()
	cfg.Preempts = true
	cfg.MaxWaitingOffers = 10
	p := newTestNode(t, cfg, nil)
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

func TestNodesThatShareKeysAcceptOneCopyOfTask(t *testing.T) {
	keys := NewLocalKeyRegistry()
	p, q := newTestNode(t, testConfig(), keys), newTestNode(t, testConfig(), keys)
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
	// The key of a rejected task is released.
	p.offer("e", func(o *nodepb.Offer) { keyed(o); o.Task.Key, o.Task.Cores = "big", 100 })
	p.want(p.after(10*ms), "refused e NO_CORES")
	if !keys.Reserve("big", "x") {
		t.Error("got false from Reserve for the key of a rejected task, want true")
	}
}

func TestStopCancelsWaitingOfferOrEndsTask(t *testing.T) {
	p := newTestNode(t, testConfig(), nil)
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

// After a disconnect, accepted tasks continue and the next Welcome lists them, outcomes are retained until they are
// acknowledged, waiting offers are dropped, and connections of earlier incarnations are rejected.
func TestReconnectedSchedulerGetsTasksAndOutcomes(t *testing.T) {
	cfg := testConfig()
	p := newTestNode(t, cfg, nil)
	p.offer("a", nil)
	p.after(10 * ms)
	p.offer("b", func(o *nodepb.Offer) { o.Task.LifeNs = int64(time.Hour) })
	p.after(10 * ms)
	p.offer("waits", nil)
	p.node.Disconnect(p.now, "s")
	p.want(p.after(2*time.Second), "")
	p.want(p.connect("s", 2, 1), "welcome [b ended:a] more=false fresh=false")
	p.receive(&nodepb.Frame{Body: &nodepb.Frame_Ack{Ack: &nodepb.Ack{Attempt: "a"}}})
	p.want(p.connect("s", 3, 100), "welcome [b] more=false fresh=false")
	if _, ok := p.node.Connect(p.now, "s", 2, 100); ok {
		t.Error("got an accepted connection of an earlier incarnation, want a rejected one")
	}
	p.want(p.connect("another", 1, 100), "welcome [] more=false fresh=false")
}

func TestNodeInSlowStartIsSlowAndOverloadable(t *testing.T) {
	cfg := testConfig()
	cfg.SlowStartDuration = 10 * time.Second
	cfg.MaxWaitingOffers = 100
	p := newTestNode(t, cfg, nil)
	p.offer("a", nil)
	p.want(p.after(10*ms), "accepted a")
	p.want(p.after(150*ms), "") // at half the rate, an uncached start of 100 ms takes 200 ms
	p.want(p.after(60*ms), "started a")
	// One slot with uncached starts of 100 ms does 10 starts per second, at half the rate 5. OverloadMultiple is 4, which allows
	// 20 offers within a second.
	for i := range 19 {
		p.offer(fmt.Sprint(i), nil)
		p.after(ms)
	}
	if p.node.Dead() {
		t.Fatal("got a dead node after 20 offers within a second, want it alive")
	}
	p.offer("b", nil)
	p.offer("c", nil)
	if !p.node.Dead() || !p.node.Overloaded() {
		t.Errorf("got a node that is dead: %v, overloaded: %v; want both", p.node.Dead(), p.node.Overloaded())
	}
	p.want(p.offer("d", nil), "")
}

func TestWarmNodeIsNotOverloaded(t *testing.T) {
	warm := newTestNode(t, testConfig(), nil)
	for i := range 100 {
		warm.offer(fmt.Sprint(i), nil)
	}
	if warm.node.Dead() {
		t.Error("got a dead node, want it alive")
	}
}

// A shortage of memory evicts tasks of the lowest priority, latest first. Shortages of cores and memory are reported.
func TestMemoryPressureEvictsAndIsReported(t *testing.T) {
	cfg := testConfig()
	cfg.CoreOvercommit, cfg.MemoryOvercommit, cfg.UsageReportInterval, cfg.CachedStartTime, cfg.StartSlots = 3, 2, 100*ms, ms, 4
	cfg.MemoryUsageRange = [2]float64{0.9, 0.9}
	p := newTestNode(t, cfg, nil)
	for i, priority := range []int32{1, 0, 0} {
		p.offer(string(rune('a'+i)), func(o *nodepb.Offer) {
			o.Task.Priority, o.Task.Memory, o.Task.Cores, o.Task.LifeNs = priority, 2.5, 2, int64(time.Hour)
		})
		p.after(11 * ms)
	}
	got := p.after(100 * ms)
	for _, want := range []string{"note a 4 0.", "note b 4 0.", "note c 5 0."} {
		if !strings.Contains(got, want) {
			t.Errorf("got %q, want it to contain %q", got, want)
		}
	}
	p.node.SetFault(p.now, Fault{OccupiedFraction: 0.3})
	p.wantPrefix(p.after(100*ms), "ended c LOST EVICTED; note a")
	p.node.SetFault(p.now, Fault{UsageFactor: 2, UsageClass: "c"})
	p.wantPrefix(p.after(100*ms), "ended b LOST EVICTED")
}

func TestFaultAffectsItsClassOnly(t *testing.T) {
	p := newTestNode(t, testConfig(), nil)
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

func TestDrainingNodeMigratesTasksOneByOne(t *testing.T) {
	cfg := testConfig()
	cfg.DrainMigrationInterval = 50 * ms
	p := newTestNode(t, cfg, nil)
	for _, a := range []string{"a", "b"} {
		p.offer(a, func(o *nodepb.Offer) { o.Task.LifeNs = int64(time.Hour) })
		p.after(10 * ms)
	}
	p.node.Drain(p.now)
	p.want(p.after(50*ms), "ended a LOST SENT_AWAY")
	p.want(p.after(50*ms), "ended b LOST SENT_AWAY")
}

func TestRepliesHaveLoadReportsIfConfigured(t *testing.T) {
	cfg := testConfig()
	p := newTestNode(t, cfg, nil)
	probe := &nodepb.Frame{Body: &nodepb.Frame_Probe{Probe: &nodepb.Probe{Token: 1}}}
	p.want(p.receive(probe), "probed false")
	cfg.SendsLoadReports = true
	p = newTestNode(t, cfg, nil)
	p.want(p.receive(probe), "probed true")
	p.want(p.receive(&nodepb.Frame{Body: &nodepb.Frame_Ping{Ping: &nodepb.Ping{}}}), "pong")
}
