package flaxshelf

import (
	"fmt"
	"testing"
	"time"
)

func TestRejectedPlacementLeavesHistory(t *testing.T) {
	p := startPlacer(t, testConfig(), testMachines(2))
	o := onlyOffer(t, p.Step(time.Second, []Event{submit("t", 0, 9*time.Second)}))
	p.Step(time.Second+millisecond, []Event{AttemptEnded{Task: "t", Machine: o.Machine, Outcome: Rejected, Reason: InsufficientCores}})
	if len(p.history) != 1 || p.history[0].machine.ID == o.Machine {
		t.Errorf("history %v", p.history)
	}
}

// A machine that started anew doesn't keep the replayed tasks of its former life.
func TestRestartedMachineLosesPlacements(t *testing.T) {
	p := startPlacer(t, testConfig(), testMachines(1))
	o := onlyOffer(t, p.Step(time.Second, []Event{submit("t", 0, 9*time.Second)}))
	p.Step(2*time.Second, []Event{AttemptPlaced{Task: "t", Machine: o.Machine}})
	anew := Machine{ID: "m0", Zone: "a", Started: 8 * time.Second}
	p.Step(9*time.Second, []Event{MachinesUpdated{Machines: []Machine{anew}}})
	if len(p.history) != 0 {
		t.Errorf("history %v", p.history)
	}
}

// State stays bounded.
func TestStateIsBounded(t *testing.T) {
	p := startPlacer(t, testConfig(), testMachines(3))
	now := time.Second
	for i := range 5000 {
		now += 20 * millisecond
		id := fmt.Sprint("t", i)
		for _, o := range offersOf(p.Step(now, []Event{submit(id, 0, now+5*time.Second)})) {
			p.Step(now, []Event{AttemptPlaced{Task: o.Task, Machine: o.Machine}})
			p.Step(now, []Event{AttemptEnded{Task: o.Task, Machine: o.Machine, Outcome: Completed, Final: true}})
		}
		passing := Machine{ID: fmt.Sprint("x", i/50)}
		p.Step(now, []Event{MachinesUpdated{Complete: true, Machines: append(testMachines(3), passing)}})
	}
	if len(p.history) > maxHistory || len(p.tasks) > 10 || len(p.machinesByID) > 100 {
		t.Errorf("history %d, tasks %d, machines %d", len(p.history), len(p.tasks), len(p.machinesByID))
	}
}
