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
	n := &testNode{node: New(cfg, time.Second, keys), now: time.Second, t: t}
	if _, ok := n.node.Connect(n.now, "s", 1, 100); !ok {
		t.Fatal("got a rejected connection, want an accepted one")
	}
	return n
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
func (n *testNode) after(d time.Duration) string {
	n.now += d
	return describe(n.node.Advance(n.now))
}

// offer offers a task of one core and 1 GiB that runs for 1 s. change modifies the offer before it is sent, unless it is nil.
func (n *testNode) offer(attempt string, change func(o *nodepb.Offer)) string {
	o := &nodepb.Offer{Attempt: attempt, ValidForNs: int64(time.Second), Task: &nodepb.Task{Service: "v", Class: "c",
		Cores: 1, Memory: 1, LifeNs: int64(time.Second)}}
	if change != nil {
		change(o)
	}
	return n.receive(&nodepb.Frame{Body: &nodepb.Frame_Offer{Offer: o}})
}

func (n *testNode) stop(attempt string) string {
	return n.receive(&nodepb.Frame{Body: &nodepb.Frame_Stop{Stop: &nodepb.Stop{Attempt: attempt}}})
}

// receive passes a frame from scheduler "s" to the node and returns the frames that the node sends.
func (n *testNode) receive(frame *nodepb.Frame) string {
	return describe(n.node.Receive(n.now, "s", frame))
}

// connect connects a scheduler and returns the Welcome frames.
func (n *testNode) connect(scheduler string, incarnation int64, perFrame int) string {
	n.t.Helper()
	frames, ok := n.node.Connect(n.now, scheduler, incarnation, perFrame)
	if !ok {
		n.t.Errorf("at %v: got a rejected connection of incarnation %d of %s, want an accepted one", n.now, incarnation, scheduler)
	}
	return describe(frames)
}

func (n *testNode) want(got, want string) {
	n.t.Helper()
	if got != want {
		n.t.Errorf("at %v: got %q, want %q", n.now, got, want)
	}
}

func (n *testNode) wantPrefix(got, want string) {
	n.t.Helper()
	if !strings.HasPrefix(got, want) {
		n.t.Errorf("at %v: got %q, want it to begin with %q", n.now, got, want)
	}
}

func TestMachineHasEveryField(t *testing.T) {
	config := testConfig()
	config.Zone = "z"
	n := newTestNode(t, config, nil)
	n.node.Drain(n.now)
	want := flaxshelf.Machine{ID: "n", Kind: -1, Zone: "z", Cell: 3, State: flaxshelf.Draining, Started: time.Second, FreeCores: 4,
		FreeMemory: 8}
	machinetest.Expect(t, n.node.Machine(3), want)
	machinetest.ExpectFilled(t, want)
}

// Offers are reviewed one at a time, and offers beyond MaxWaitingOffers are rejected. Accepted tasks start one at a time, faster
// if their program is cached.
func TestOffersAreReviewedAndTasksStartedOneByOne(t *testing.T) {
	n := newTestNode(t, testConfig(), nil)
	n.want(n.offer("a", nil), "")
	n.want(n.offer("b", nil), "")
	n.want(n.offer("c", nil), "refused c TOO_MANY_WAIT")
	n.want(n.after(10*ms), "accepted a")
	n.want(n.after(10*ms), "accepted b")
	n.want(n.after(89*ms), "")
	n.want(n.after(1*ms), "started a")
	n.want(n.after(20*ms), "started b") // faster, since a task of the same service runs
	n.want(n.after(2*time.Second), "ended a FINISHED UNTOLD; ended b FINISHED UNTOLD")
	n.want(n.offer("d", nil), "")
	n.want(n.after(10*ms), "accepted d")
	n.want(n.after(20*ms), "started d") // faster, since the program is cached
	n.node.EvictCachedPrograms(1)
	n.after(2 * time.Second)
	n.node.EvictCachedPrograms(1)
	n.offer("e", nil)
	n.want(n.after(30*ms), "accepted e")
	n.want(n.after(80*ms), "started e")
}

func TestLateAdvanceEqualsManyTimelyOnes(t *testing.T) {
	a, b := newTestNode(t, testConfig(), nil), newTestNode(t, testConfig(), nil)
	for _, n := range []*testNode{a, b} {
		n.offer("a", nil)
		n.offer("b", nil)
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
	n := newTestNode(t, cfg, nil)
	n.offer("big", func(o *nodepb.Offer) { o.Task.Cores = 4 })
	n.want(n.after(10*ms), "accepted big")
	n.offer("cores", nil)
	n.want(n.after(10*ms), "refused cores NO_CORES")
	n.offer("memory", func(o *nodepb.Offer) { o.Task.Cores, o.Task.Memory = 0, 8 })
	n.want(n.after(10*ms), "refused memory NO_MEMORY")
	n.offer("late", func(o *nodepb.Offer) { o.ValidForNs = int64(5 * ms) })
	n.want(n.after(10*ms), "refused late NOT_HERE")
	n.offer("higher", func(o *nodepb.Offer) { o.Task.Priority = 1 })
	n.want(n.after(10*ms), "ended big LOST PUSHED_OUT; accepted higher")
	n.node.Drain(n.now)
	n.offer("draining", nil)
	n.want(n.after(10*ms), "refused draining NOT_HERE")
	n.want(n.offer("", nil), "")
}

func TestNodesThatShareKeysAcceptOneCopyOfTask(t *testing.T) {
	keys := NewLocalKeyRegistry()
	n, other := newTestNode(t, testConfig(), keys), newTestNode(t, testConfig(), keys)
	other.node.cfg.Name = "other"
	keyed := func(o *nodepb.Offer) { o.Task.Key, o.Task.Effect = "k", 1 }
	n.offer("a", keyed)
	n.want(n.after(10*ms), "accepted a")
	other.offer("b", keyed)
	other.want(other.after(10*ms), "refused b NOT_HERE")
	n.want(n.stop("a"), "ended a STOPPED UNTOLD")
	other.offer("c", keyed)
	other.want(other.after(10*ms), "accepted c")
	other.node.Die()
	n.offer("d", keyed)
	n.want(n.after(10*ms), "accepted d")
	// The key of a rejected task is released.
	n.offer("e", func(o *nodepb.Offer) { keyed(o); o.Task.Key, o.Task.Cores = "big", 100 })
	n.want(n.after(10*ms), "refused e NO_CORES")
	if !keys.Reserve("big", "x") {
		t.Error("got false from Reserve for the key of a rejected task, want true")
	}
}

func TestStopCancelsWaitingOfferOrEndsTask(t *testing.T) {
	n := newTestNode(t, testConfig(), nil)
	n.offer("a", nil)
	n.offer("b", nil)
	n.want(n.stop("b"), "refused b UNTOLD")
	n.want(n.stop("a"), "refused a UNTOLD")
	n.offer("c", nil)
	n.after(10 * ms)
	n.want(n.stop("c"), "ended c STOPPED UNTOLD")
	n.want(n.stop("c"), "")
	n.want(n.after(time.Second), "")
}

// After a disconnect, accepted tasks continue and the next Welcome lists them, outcomes are retained until they are
// acknowledged, waiting offers are dropped, and connections of earlier incarnations are rejected.
func TestReconnectedSchedulerGetsTasksAndOutcomes(t *testing.T) {
	cfg := testConfig()
	n := newTestNode(t, cfg, nil)
	n.offer("a", nil)
	n.after(10 * ms)
	n.offer("b", func(o *nodepb.Offer) { o.Task.LifeNs = int64(time.Hour) })
	n.after(10 * ms)
	n.offer("waits", nil)
	n.node.Disconnect(n.now, "s")
	n.want(n.after(2*time.Second), "")
	n.want(n.connect("s", 2, 1), "welcome [b ended:a] more=false fresh=false")
	n.receive(&nodepb.Frame{Body: &nodepb.Frame_Ack{Ack: &nodepb.Ack{Attempt: "a"}}})
	n.want(n.connect("s", 3, 100), "welcome [b] more=false fresh=false")
	if _, ok := n.node.Connect(n.now, "s", 2, 100); ok {
		t.Error("got an accepted connection of an earlier incarnation, want a rejected one")
	}
	n.want(n.connect("another", 1, 100), "welcome [] more=false fresh=false")
}

func TestNodeInSlowStartIsSlowAndOverloadable(t *testing.T) {
	cfg := testConfig()
	cfg.SlowStartDuration = 10 * time.Second
	cfg.MaxWaitingOffers = 100
	n := newTestNode(t, cfg, nil)
	n.offer("a", nil)
	n.want(n.after(10*ms), "accepted a")
	n.want(n.after(150*ms), "") // at half the rate, an uncached start of 100 ms takes 200 ms
	n.want(n.after(60*ms), "started a")
	// One slot with uncached starts of 100 ms does 10 starts per second, at half the rate 5. OverloadMultiple is 4, which allows
	// 20 offers within a second.
	for i := range 19 {
		n.offer(fmt.Sprint(i), nil)
		n.after(ms)
	}
	if n.node.Dead() {
		t.Fatal("got a dead node after 20 offers within a second, want it alive")
	}
	n.offer("b", nil)
	n.offer("c", nil)
	if !n.node.Dead() || !n.node.Overloaded() {
		t.Errorf("got a node that is dead: %v, overloaded: %v; want both", n.node.Dead(), n.node.Overloaded())
	}
	n.want(n.offer("d", nil), "")
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
	n := newTestNode(t, cfg, nil)
	for i, priority := range []int32{1, 0, 0} {
		n.offer(string(rune('a'+i)), func(o *nodepb.Offer) {
			o.Task.Priority, o.Task.Memory, o.Task.Cores, o.Task.LifeNs = priority, 2.5, 2, int64(time.Hour)
		})
		n.after(11 * ms)
	}
	got := n.after(100 * ms)
	for _, want := range []string{"note a 4 0.", "note b 4 0.", "note c 5 0."} {
		if !strings.Contains(got, want) {
			t.Errorf("got %q, want it to contain %q", got, want)
		}
	}
	n.node.SetFault(n.now, Fault{OccupiedFraction: 0.3})
	n.wantPrefix(n.after(100*ms), "ended c LOST EVICTED; note a")
	n.node.SetFault(n.now, Fault{UsageFactor: 2, UsageClass: "c"})
	n.wantPrefix(n.after(100*ms), "ended b LOST EVICTED")
}

func TestFaultAffectsItsClassOnly(t *testing.T) {
	n := newTestNode(t, testConfig(), nil)
	n.node.SetFault(n.now, Fault{DropRepliesClass: "c"})
	n.offer("a", nil)
	n.want(n.after(time.Second), "")
	n.node.SetFault(n.now, Fault{StartFailureFraction: 1, StartFailureClass: "other"})
	n.offer("b", nil)
	n.want(n.after(10*ms), "accepted b")
	n.node.SetFault(n.now, Fault{StartFailureFraction: 1, StartFailureClass: "c"})
	n.offer("c", nil)
	n.want(n.after(10*ms), "failed c")
	n.node.SetFault(n.now, Fault{DropRepliesClass: "*"})
	n.offer("d", nil)
	n.want(n.after(10*ms), "")
}

func TestDrainingNodeMigratesTasksOneByOne(t *testing.T) {
	cfg := testConfig()
	cfg.DrainMigrationInterval = 50 * ms
	n := newTestNode(t, cfg, nil)
	for _, a := range []string{"a", "b"} {
		n.offer(a, func(o *nodepb.Offer) { o.Task.LifeNs = int64(time.Hour) })
		n.after(10 * ms)
	}
	n.node.Drain(n.now)
	n.want(n.after(50*ms), "ended a LOST SENT_AWAY")
	n.want(n.after(50*ms), "ended b LOST SENT_AWAY")
}

func TestRepliesHaveLoadReportsIfConfigured(t *testing.T) {
	cfg := testConfig()
	n := newTestNode(t, cfg, nil)
	probe := &nodepb.Frame{Body: &nodepb.Frame_Probe{Probe: &nodepb.Probe{Token: 1}}}
	n.want(n.receive(probe), "probed false")
	cfg.SendsLoadReports = true
	n = newTestNode(t, cfg, nil)
	n.want(n.receive(probe), "probed true")
	n.want(n.receive(&nodepb.Frame{Body: &nodepb.Frame_Ping{Ping: &nodepb.Ping{}}}), "pong")
}
