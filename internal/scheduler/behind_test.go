package scheduler

import (
	"testing"
	"time"
)

// The owner's time runs from when its submission came, not from when a busy core got to it; what is too late by then is
// turned away and not taken.
func TestACoreThatIsBehind(t *testing.T) {
	c, err := New(settingsForTests())
	if err != nil {
		t.Fatal(err)
	}
	w := &world{}
	now := 10 * time.Second
	c.Step(now, []Input{NodesUpdated{Complete: true, Machines: w.machines()}, NodeUp{Node: "n1"}, NodeUp{Node: "n2"}, NodeUp{Node: "n3"}})
	spec := Spec{Tenant: -1, Cores: 1, Memory: 1, PlacementTimeout: 4 * time.Second}
	for _, x := range []struct {
		came Time
		took bool
		due  Time
	}{{0, true, now + 4*time.Second}, {now - time.Second, true, now + 3*time.Second}, {now - 3*time.Second, false, 0}} {
		out := c.Step(now, []Input{Submit{Req: 7, ReceivedAt: x.came, Spec: spec}})
		for _, effect := range out.Effects {
			answer, ok := effect.(Answer)
			if !ok || answer.Req != 7 {
				continue
			}
			if took := answer.Err == nil; took != x.took || !took && answer.Err.Code != TryLater {
				t.Errorf("came at %v: taken %v, %v", x.came, took, answer.Err)
			}
			if answer.Err == nil && c.jobs[answer.Jobs[0].ID].placementDeadline != x.due {
				t.Errorf("came at %v: given up at %v, want %v", x.came, c.jobs[answer.Jobs[0].ID].placementDeadline, x.due)
			}
		}
	}
}
