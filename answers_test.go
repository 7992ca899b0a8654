package flaxshelf

import (
	"slices"
	"testing"
	"time"
)

// First rule: every open task is answered before its owner gives up, whatever is missing.
func TestAnswerBeforeDeadline(t *testing.T) {
	for _, n := range []int{0, 1} { // no machine at all; one that never answers
		p := startPlacer(t, testConfig(), testMachines(n))
		until := 4 * time.Second
		as := p.Step(time.Second, []Event{submit("t", 0, until)})
		for i := 0; i < 1000; i++ {
			w := slices.IndexFunc(as, func(a Action) bool { _, ok := a.(SetTimer); return ok })
			if w < 0 {
				t.Fatalf("%d machines: no wake while a task is open", n)
			}
			now := p.now + as[w].(SetTimer).After
			as = p.Step(now, []Event{TimerFired{}})
			if hasAction(as, Reject{"t"}) {
				if now >= until {
					t.Errorf("%d machines: answered at %v", n, now)
				}
				break
			}
			if now > until {
				t.Fatalf("%d machines: no answer", n)
			}
		}
		if len(p.openTasks) != 0 {
			t.Errorf("%d machines: still open", n)
		}
	}
}

func TestMaxAttempts(t *testing.T) {
	p := startPlacer(t, testConfig(), testMachines(9))
	as := p.Step(time.Second, []Event{submit("t", 0, 9*time.Second)})
	for i := range 3 {
		o := onlyOffer(t, as)
		e := AttemptEnded{Task: "t", Machine: o.Machine, Attempt: i, Outcome: Unreachable}
		as = p.Step(time.Second+Time(i+1)*millisecond, []Event{e})
	}
	if len(offersOf(as)) != 0 || !hasAction(as, Reject{"t"}) {
		t.Errorf("after three attempts: %v", as)
	}
}

// Odd events: no action, no crash.
func TestUnknownReferencesAreIgnored(t *testing.T) {
	p := startPlacer(t, testConfig(), testMachines(2))
	as := p.Step(2*time.Second, []Event{
		AttemptEnded{Task: "x", Machine: "y"}, AttemptPlaced{Task: "x"}, UsageReport{Task: "x", Kind: 99}, TaskCanceled{"x"},
		HealthChecked{Machine: "y"}, GossipReceived{From: 3}, TimerFired{}, AttemptEnded{Task: "t", Machine: "m0", Attempt: -1}})
	if len(as) != 0 {
		t.Errorf("got %v", as)
	}
	as = p.Step(2*time.Second, []Event{submit("odd", 77, 9*time.Second)})
	if !hasAction(as, Reject{"odd"}) {
		t.Errorf("unknown class: %v", as)
	}
}

// What tenants ask beyond their share waits behind the others.
func TestOverQuotaTaskIsServedLast(t *testing.T) {
	c := testConfig()
	c.Tenants = []Tenant{{Name: "a", QuotaCores: 1}, {Name: "b", QuotaCores: 100}}
	p := startPlacer(t, c, testMachines(2))
	p.tenantCores[0], p.tenantCores[1] = 5, 5
	over, within := &task{class: &c.Classes[0]}, &task{class: &c.Classes[0]}
	within.Tenant = 1
	over.submittedAt, within.submittedAt = p.now, p.now
	if p.queueRankOf(over) <= p.queueRankOf(within) {
		t.Errorf("ranks %d and %d", p.queueRankOf(over), p.queueRankOf(within))
	}
	within.submittedAt = p.now - time.Minute
	if p.queueRankOf(over) <= p.queueRankOf(within) {
		t.Error("a late task within its share goes before one beyond it")
	}
}
