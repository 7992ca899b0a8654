package platformsim

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Phase is a phase of a task at a node, as it can be seen from outside.
type Phase string

// The phases.
const (
	PhaseOffered   Phase = "offered"   // the node has the offer and has not answered
	PhaseRunning   Phase = "running"   // the owner has the answer
	PhaseReleasing Phase = "releasing" // the owner has ended the task, or was told that it moves, and it still runs
	PhaseUntold    Phase = "untold"    // the task has ended and its owner was not notified
	PhaseHandOver  Phase = "hand-over" // the task was handed over within the last second
)

// Phases lists all phases.
var Phases = []Phase{PhaseOffered, PhaseRunning, PhaseReleasing, PhaseUntold, PhaseHandOver}

// Coverage counts which phases of tasks at their nodes the faults of days have met.
type Coverage map[Crossing]int

// Crossing is a kind of fault that met a phase of a task.
type Crossing struct {
	Fault FaultKind
	Phase Phase
}

// Add adds the counts of another day.
func (c Coverage) Add(other Coverage) {
	for crossing, count := range other {
		c[crossing] += count
	}
}

// cross counts the phases that a fault meets.
func (c Coverage) cross(s *simulation, f *Fault) {
	for _, phase := range Phases {
		if c.inPhase(s, s.nodes[f.Node], phase) {
			c[Crossing{f.Kind, phase}]++
		}
	}
}

// inPhase reports whether a task at a node is in a phase.
func (c Coverage) inPhase(s *simulation, n *node, phase Phase) bool {
	return slices.ContainsFunc(sortedRuns(s.judge.lastRun), func(r *run) bool { return r.node == n && phaseOf(s, r) == phase })
}

// phaseOf returns the phase of a task, or "" if it is over.
func phaseOf(s *simulation, r *run) Phase {
	req := r.request
	switch {
	case r.endedAt != 0 && !req.terminated && req.placed:
		return PhaseUntold
	case r.endedAt != 0:
		return ""
	case req.terminated:
		return PhaseReleasing
	case req.handedOver > 0 && s.now-req.handedOver < handOverPeriod:
		return PhaseHandOver
	case req.placed:
		return PhaseRunning
	}
	return PhaseOffered
}

// handOverPeriod is how long after its hand-over a task is in PhaseHandOver.
const handOverPeriod = time.Second

// String returns a table of the crossings: a line for each kind of fault, with the count of each phase.
func (c Coverage) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%-18s", "")
	for _, phase := range Phases {
		fmt.Fprintf(&text, "%11s", phase)
	}
	text.WriteByte('\n')
	for _, kind := range Kinds() {
		fmt.Fprintf(&text, "%-18s", kind)
		for _, phase := range Phases {
			fmt.Fprintf(&text, "%11d", c[Crossing{kind, phase}])
		}
		text.WriteByte('\n')
	}
	return text.String()
}

// Kinds returns all kinds of the catalogue in the order of their names.
func Kinds() []FaultKind {
	var kinds []FaultKind
	for kind := range Catalogue {
		kinds = append(kinds, kind)
	}
	slices.Sort(kinds)
	return kinds
}
