package flaxshelf

import (
	"fmt"
	"testing"
	"time"
)

func TestRejectedPlacementIsForgotten(t *testing.T) {
	p := startPlacer(t, testConfig(), testMachines(2))
	offer := onlyOffer(t, p.Step(time.Second, []Event{newSubmission("t", 0, 9*time.Second)}))
	ended := firstAttemptEnded(offer, Rejected)
	ended.Reason = InsufficientCores
	p.Step(time.Second+millisecond, []Event{ended})
	if p.history.Len() != 1 || p.sortedMachines[p.history.Recent()[0].Machine.Number()].ID == offer.Machine {
		t.Errorf("got history %+v, want one placement, on a machine other than %s", p.history.Recent(), offer.Machine)
	}
}

func TestPlacementsBeforeRestartAreForgotten(t *testing.T) {
	p := startPlacer(t, testConfig(), testMachines(1))
	offer := onlyOffer(t, p.Step(time.Second, []Event{newSubmission("t", 0, 9*time.Second)}))
	p.Step(2*time.Second, []Event{AttemptPlaced{Task: "t", Machine: offer.Machine}})
	restarted := Machine{ID: "m0", Zone: "a", Started: 8 * time.Second}
	p.Step(9*time.Second, []Event{MachinesUpdated{Machines: []Machine{restarted}}})
	if p.history.Len() != 0 {
		t.Errorf("got history %+v after the restart of m0, want it empty", p.history.Recent())
	}
}

// The numbers of placements, tasks and machines in memory stay bounded while 5000 tasks and 100 machines come and go.
func TestStateIsBounded(t *testing.T) {
	p := startPlacer(t, testConfig(), testMachines(3))
	now := time.Second
	for i := range 5000 {
		now += 20 * millisecond
		id := fmt.Sprint("t", i)
		for _, offer := range offersOf(p.Step(now, []Event{newSubmission(id, 0, now+5*time.Second)})) {
			p.Step(now, []Event{AttemptPlaced{Task: offer.Task, Machine: offer.Machine}})
			ended := firstAttemptEnded(offer, Completed)
			ended.Final = true
			p.Step(now, []Event{ended})
		}
		temporary := Machine{ID: fmt.Sprint("x", i/50)}
		p.Step(now, []Event{MachinesUpdated{Complete: true, Machines: append(testMachines(3), temporary)}})
	}
	if p.history.Len() > maxHistoryPlacements || len(p.tasks) > 10 || len(p.sortedMachines) > 100 {
		t.Errorf("got %d placements, %d tasks and %d machines, want at most %d, 10 and 100",
			p.history.Len(), len(p.tasks), len(p.sortedMachines), maxHistoryPlacements)
	}
}
