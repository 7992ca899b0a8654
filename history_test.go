package flaxshelf

import (
	"fmt"
	"testing"
	"time"
)

func TestRejectedPlacementLeavesHistory(t *testing.T) {
	p := startPlacer(t, testConfig(), testMachines(2))
	offer := onlyOffer(t, p.Step(time.Second, []Event{submit("t", 0, 9*time.Second)}))
	ended := AttemptEnded{Task: "t", Machine: offer.Machine, Outcome: Rejected, Reason: InsufficientCores}
	p.Step(time.Second+millisecond, []Event{ended})
	if p.history.Len() != 1 || p.machinesByID[p.history.Recent()[0].Machine.Number()].ID == offer.Machine {
		t.Errorf("history %v", p.history.Recent())
	}
}

// A machine that has restarted doesn't keep the placements from before.
func TestRestartedMachineLosesPlacements(t *testing.T) {
	p := startPlacer(t, testConfig(), testMachines(1))
	offer := onlyOffer(t, p.Step(time.Second, []Event{submit("t", 0, 9*time.Second)}))
	p.Step(2*time.Second, []Event{AttemptPlaced{Task: "t", Machine: offer.Machine}})
	restarted := Machine{ID: "m0", Zone: "a", Started: 8 * time.Second}
	p.Step(9*time.Second, []Event{MachinesUpdated{Machines: []Machine{restarted}}})
	if p.history.Len() != 0 {
		t.Errorf("history %v", p.history.Recent())
	}
}

// State stays bounded while tasks and machines come and go.
func TestStateIsBounded(t *testing.T) {
	p := startPlacer(t, testConfig(), testMachines(3))
	now := time.Second
	for i := range 5000 {
		now += 20 * millisecond
		id := fmt.Sprint("t", i)
		for _, offer := range offersOf(p.Step(now, []Event{submit(id, 0, now+5*time.Second)})) {
			p.Step(now, []Event{AttemptPlaced{Task: offer.Task, Machine: offer.Machine}})
			p.Step(now, []Event{AttemptEnded{Task: offer.Task, Machine: offer.Machine, Outcome: Completed, Final: true}})
		}
		temporary := Machine{ID: fmt.Sprint("x", i/50)}
		p.Step(now, []Event{MachinesUpdated{Complete: true, Machines: append(testMachines(3), temporary)}})
	}
	if p.history.Len() > maxHistory || len(p.tasks) > 10 || len(p.machinesByID) > 100 {
		t.Errorf("history %d, tasks %d, machines %d", p.history.Len(), len(p.tasks), len(p.machinesByID))
	}
}
