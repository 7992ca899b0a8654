package scheduler

import (
	"testing"
	"time"
)

// A timer whose reason is gone leaves the heap at once: a job's whole life leaves none behind, though its time-outs, its
// deadline and its give-up lie far ahead.
func TestTimersLeaveWithTheirReason(t *testing.T) {
	c, err := New(settingsForTests())
	if err != nil {
		t.Fatal(err)
	}
	now := time.Second
	offers := func(o Output) (out []SendOffer) {
		for _, effect := range o.Effects {
			if e, ok := effect.(SendOffer); ok {
				out = append(out, e)
			}
		}
		return out
	}
	w := &world{}
	c.Step(now, []Input{NodesUpdated{Complete: true, Machines: w.machines()}, NodeUp{Node: "n1"}, NodeUp{Node: "n2"}, NodeUp{Node: "n3"}})
	before, ended := c.timers.Len(), 0
	for i := range 50 {
		now += 20 * time.Millisecond
		sent := offers(c.Step(now, []Input{Submit{Req: uint64(i) + 1,
			Spec: Spec{Tenant: -1, Cores: 0.01, Memory: 0.01, PlacementTimeout: time.Hour, Deadline: now + time.Hour}}}))
		for _, o := range sent {
			if c.timers.Len() < before+3 {
				t.Fatalf("%d timers with an offer out: the test shows nothing", c.timers.Len())
			}
			c.Step(now+1, []Input{AttemptAccepted{Node: o.Node, Attempt: o.Attempt}, AttemptStarted{Node: o.Node, Attempt: o.Attempt}})
			c.Step(now+2, []Input{AttemptEnded{Node: o.Node, Attempt: o.Attempt}})
			ended++
		}
	}
	if ended < 45 || c.timers.Len() > before+2*(50-ended) {
		t.Errorf("%d timers are left of %d ended jobs, %d before", c.timers.Len(), ended, before)
	}
}
