package flaxshelf

import (
	"fmt"
	"math"
	"slices"

	"github.com/bits-and-blooms/bitset"

	"flaxshelf.example/flaxshelf/internal/machineindex"
)

// choiceOracle is a test oracle that observes a Placer and compares the result of each stage of its choices with linear
// scans. The scans read the Placer's records of machines, tasks and attempts and the oracle's own history, but none of the
// sets, columns and lists of the index. Machine numbers only serve to find the machines that the index returned.
//
// Where a formula reads a single record, such as the slow start budget, the oracle calls the Placer's own function, since a
// copy would have the same errors. The recorded decisions of package replay check those formulas.
type choiceOracle struct {
	placer          *Placer
	listings        map[string]*listing // by machine ID
	history         []*oraclePlacement  // in order of time
	placementCounts map[string]int      // placements added so far, by task ID

	// assumedStart is the index in history of the first placement that counts as assumed on a machine. It is fixed when the
	// machine's capacity is first compared in a step: until the step ends, its placements do not push older ones out.
	assumedStart     map[*machine]int
	activeAttempts   *attemptCounts // counted at the first choice of a step and updated by the later ones
	attemptsCounted  bool           // activeAttempts was counted in the step in progress
	startedAttempts  []startedAttempt
	pendingAdoptions []string // IDs of adopted tasks that the Placer may not have records of yet

	// The choice in progress.
	service             string
	eligible            []*machine
	candidates          []*machine
	constraintsObserved bool // afterHardConstraints was called; false for a request known to be infeasible

	coverage      choiceCoverage
	firstMismatch error
}

// listing is the latest entry of a machine in the machine list.
type listing struct {
	entry    Machine
	listed   bool // false until a list has named the machine
	listedAt Time
}

// startedAttempt identifies an attempt by its task and its index in task.attempts, where its record tells whether it is active.
type startedAttempt struct {
	task  *task
	index int
}

// oraclePlacement is an entry of the oracle's history.
type oraclePlacement struct {
	machineID string
	machine   *machine // nil for an adopted task until resolveMachine sets it
	taskID    string
	attempt   int
	offeredAt Time
	task      Task
	forgotten bool
}

// choiceCoverage is how often each constraint or stage of a choice affected its result, by name.
type choiceCoverage map[string]int

// Add adds the counts of another oracle.
func (c choiceCoverage) Add(other choiceCoverage) {
	for name, count := range other {
		c[name] += count
	}
}

func newChoiceOracle(p *Placer) *choiceOracle {
	o := &choiceOracle{placer: p, listings: map[string]*listing{}, placementCounts: map[string]int{}, coverage: choiceCoverage{},
		assumedStart: map[*machine]int{}, activeAttempts: newAttemptCounts()}
	p.observer = o
	return o
}

// recordMismatch records a mismatch unless there was one before.
func (o *choiceOracle) recordMismatch(format string, args ...any) {
	if o.firstMismatch == nil {
		o.firstMismatch = fmt.Errorf("at %v: %s", o.placer.now, fmt.Sprintf(format, args...))
	}
}

// Events and steps.

// beforeStep updates the oracle's listings and history by the events of a step. It is called before the Placer's Step.
func (o *choiceOracle) beforeStep(now Time, events []Event) {
	o.coverage["steps"]++
	o.attemptsCounted = false
	clear(o.assumedStart)
	for _, e := range events {
		switch e := e.(type) {
		case MachinesUpdated:
			o.updateListings(now, e)
		case TaskAdopted:
			if o.placer.tasks[e.Task.ID] == nil {
				o.addPlacement(now, e.Task, e.Machine, nil)
				o.pendingAdoptions = append(o.pendingAdoptions, e.Task.ID)
			}
		case AttemptEnded:
			if e.Outcome == Rejected || e.Outcome == Unreachable || e.Outcome == NotSent {
				o.forgetPlacements(func(placed *oraclePlacement) bool {
					return placed.taskID == e.Task && placed.attempt == e.Attempt
				})
			}
		}
	}
}

// updateListings records an update of the machine list and forgets the placements on machines that restarted or were removed.
func (o *choiceOracle) updateListings(now Time, e MachinesUpdated) {
	stillListed := map[string]bool{}
	forgetMachinePlacements := func(id string) {
		o.forgetPlacements(func(placed *oraclePlacement) bool { return placed.machineID == id && placed.offeredAt < now })
	}
	for _, entry := range e.Machines {
		stillListed[entry.ID] = true
		known := o.listings[entry.ID]
		if known == nil {
			known = &listing{entry: Machine{State: Removed}}
			o.listings[entry.ID] = known
		}
		restarted := known.listed && entry.Started > known.entry.Started
		removed := entry.State == Removed && known.entry.State != Removed
		if restarted || removed {
			forgetMachinePlacements(entry.ID)
		}
		*known = listing{entry: entry, listed: true, listedAt: now}
	}
	for id, known := range o.listings {
		if e.Complete && !stillListed[id] && known.entry.State != Removed {
			known.entry.State = Removed
			forgetMachinePlacements(id)
		}
	}
}

func (o *choiceOracle) forgetPlacements(matches func(*oraclePlacement) bool) {
	for _, placed := range o.history {
		placed.forgotten = placed.forgotten || matches(placed)
	}
}

func (o *choiceOracle) addPlacement(now Time, spec Task, machineID string, m *machine) {
	o.history = append(o.history, &oraclePlacement{machineID: machineID, machine: m, taskID: spec.ID,
		attempt: o.placementCounts[spec.ID], offeredAt: now, task: spec})
	o.placementCounts[spec.ID]++
}

// afterStep drops placements that are too old, too many or forgotten, and the listings of machines that the Placer pruned.
func (o *choiceOracle) afterStep() {
	p := o.placer
	kept := o.history[:0]
	for i, placed := range o.history {
		o.resolveMachine(placed)
		recent := i >= len(o.history)-maxHistoryPlacements && placed.offeredAt >= p.now-p.historyMaxAge()
		if recent && !placed.forgotten {
			kept = append(kept, placed)
		}
	}
	o.history = kept
	for id := range o.listings {
		if p.machines[id] == nil {
			delete(o.listings, id)
			o.coverage["pruned machines"]++
		}
	}
	o.compareMachineNumbers()
}

// resolveMachine sets the machine record of the placement of an adopted task, once the Placer has that record.
func (o *choiceOracle) resolveMachine(placed *oraclePlacement) {
	if placed.machine == nil {
		placed.machine = o.placer.machines[placed.machineID]
	}
}

// compareMachineNumbers checks that sortedMachines has all machine records in the order of their IDs.
func (o *choiceOracle) compareMachineNumbers() {
	var ids []string
	for id := range o.placer.machines {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	numbered := o.placer.sortedMachines
	if !slices.EqualFunc(ids, numbered, func(id string, m *machine) bool { return m.ID == id }) {
		o.recordMismatch("sortedMachines has %d machines, want all %d in the order of their IDs: %v", len(numbered), len(ids), ids)
	}
}

// machineByNumber returns the machine with a number of the index.
func (o *choiceOracle) machineByNumber(number int32) *machine { return o.placer.sortedMachines[number] }

// The stages of a choice: the methods of choiceObserver.

func (o *choiceOracle) afterHardConstraints(t *task, eligible *bitset.BitSet) {
	o.constraintsObserved, o.service = true, t.Service
	var got []*machine
	for number := range eligible.EachSet() {
		got = append(got, o.machineByNumber(int32(number)))
	}
	o.eligible = o.scanEligible(t)
	o.compareMachines(t, "eligible", got, o.eligible)
}

func (o *choiceOracle) afterSoftConstraints(t *task, candidates []machineindex.Candidate) {
	var got []*machine
	for _, c := range candidates {
		got = append(got, o.machineByNumber(c.Machine))
	}
	o.candidates = o.scanCandidates(t, o.eligible, true)
	o.compareMachines(t, "candidate", got, o.candidates)
	o.compareAffinities(t, candidates)
	for _, c := range candidates {
		m := o.machineByNumber(c.Machine)
		got, want := o.indexedLoad(m), o.externalLoadOf(m)
		if math.Abs(got-want) > 1e-9 {
			o.recordMismatch("external load of %s is %v in the index, want %v", m.ID, got, want)
		}
	}
}

func (o *choiceOracle) beforeReplay(contenders []machineindex.Candidate, replayed []replayedPlacement) {
	var got []*machine
	for _, c := range contenders {
		got = append(got, o.machineByNumber(c.Machine))
	}
	want := o.scanContenders()
	o.compareMachines(nil, "contender", got, want)
	o.coverage["votes"]++
	if len(o.history) > maxHistoryPlacements {
		o.coverage["votes with truncated history"]++
	}
	if len(want) < len(o.candidates) {
		o.coverage["votes with fewer contenders than candidates"]++
	}
	if o.firstMismatch == nil {
		o.compareReplayed(got, replayed)
	}
	o.candidates = want
}

func (o *choiceOracle) afterChoice(t *task, chosen *machine) {
	o.coverage["choices"]++
	if !o.constraintsObserved {
		o.coverage["infeasible requests"]++
		o.candidates = o.scanCandidates(t, o.scanEligible(t), false)
	}
	switch {
	case chosen == nil && len(o.candidates) > 0:
		o.recordMismatch("no machine is chosen for task %s, want one of %v", t.ID, idsOf(o.candidates))
	case chosen != nil && !slices.Contains(o.candidates, chosen):
		o.recordMismatch("machine %s is chosen for task %s, want one of %v", chosen.ID, t.ID, idsOf(o.candidates))
	}
	if chosen != nil {
		o.addPlacement(o.placer.now, t.Task, chosen.ID, chosen)
		o.activeAttempts.add(t.Service, chosen, true)
		o.startedAttempts = append(o.startedAttempts, startedAttempt{t, len(t.attempts)})
	}
	o.eligible, o.candidates, o.constraintsObserved = nil, nil, false
}

// afterMigrationCheck compares hasBetter with a scan. It must be true if, of the machines that t may run on, at least two and
// at least half (rounded down) serve tasks well, and no machine is ejected for t's class or rejects tasks.
func (o *choiceOracle) afterMigrationCheck(t *task, hasBetter bool) {
	p := o.placer
	o.recountAttempts()
	attempts := o.activeAttempts.byMachine
	feasible, good, unreliable := 0, 0, 0
	for _, m := range p.machines {
		if m.classHealth[t.Class].ejectedUntil > p.now || m.rejectsUntil > p.now {
			unreliable++
		}
		if !o.isEligibleByKind(t, m) {
			continue
		}
		feasible++
		ejected, overloaded := m.health.ejectedUntil > p.now, m.overloadedUntil > p.now
		if attempts[m] > 0 && !ejected && !overloaded && !p.inSlowStart(m) {
			good++
		}
	}
	want := unreliable == 0 && good >= 2 && good >= feasible/2
	if hasBetter != want {
		o.recordMismatch("hasBetterMachines of task %s is %v, want %v", t.ID, hasBetter, want)
	}
	if want {
		o.coverage["migrations allowed"]++
	} else {
		o.coverage["migrations refused"]++
	}
}

// compareMachines compares two sets of machines in any order. t and stage are only used in the message.
func (o *choiceOracle) compareMachines(t *task, stage string, got, want []*machine) {
	if slices.Equal(got, want) {
		return
	}
	if gotIDs, wantIDs := idsOf(got), idsOf(want); !slices.Equal(gotIDs, wantIDs) {
		o.recordMismatch("%s machines for task %+v are %v, want %v", stage, t, gotIDs, wantIDs)
	}
}

func idsOf(machines []*machine) (ids []string) {
	for _, m := range machines {
		ids = append(ids, m.ID)
	}
	slices.Sort(ids)
	return ids
}

// compareAffinities checks that the candidates' affinities order each pair of them as their rendezvous ranks do.
func (o *choiceOracle) compareAffinities(t *task, candidates []machineindex.Candidate) {
	for _, a := range candidates {
		for _, b := range candidates {
			higher := compareAffinity(a.Affinity, b.Affinity) > 0
			machineA, machineB := o.machineByNumber(a.Machine), o.machineByNumber(b.Machine)
			if want := o.rank(t.Service, machineA) > o.rank(t.Service, machineB); higher != want {
				o.recordMismatch("service %s has a higher affinity for %s than for %s: got %v, want %v",
					t.Service, machineA.ID, machineB.ID, higher, want)
			}
		}
	}
}

// compareReplayed compares the placements that a vote replays, in order of time, with the oracle's history.
func (o *choiceOracle) compareReplayed(contenders []*machine, replayed []replayedPlacement) {
	want := o.recentPlacementsOn(o.candidates)
	if len(replayed) != len(want) {
		o.recordMismatch("vote replays %d placements, want %d", len(replayed), len(want))
		return
	}
	o.coverage["replayed placements"] += len(want)
	for i, r := range replayed {
		placed, m := want[i], contenders[r.candidate]
		kind := o.placer.cfg.Kinds[m.Kind]
		survival := float64(r.survival) / (1 << 53)
		same := m == placed.machine && r.cores*kind.Cores == placed.task.Cores && r.memory == placed.task.Memory/kind.Memory
		if !same || math.Abs(survival-o.survivalOf(placed)) > 1e-9 {
			o.recordMismatch("replayed placement %d is %+v on %s, want %+v with survival %v",
				i, r, m.ID, *placed, o.survivalOf(placed))
			return
		}
	}
}
