package flaxshelf

import (
	"fmt"
	"math"
	"slices"

	"github.com/bits-and-blooms/bitset"

	"flaxshelf.example/flaxshelf/internal/machineindex"
)

// choiceOracle compares each choice of a Placer with what plain scans over its records find. It reads the records of
// machines, tasks and attempts and keeps a history of its own, but no set, column or list of the index; machine numbers only
// name the machines in what the index gave.
//
// Where a formula reads one record alone, as for the budget in slow start, the oracle calls it: a second text of it would
// repeat its errors. The recorded decisions of package replay hold those formulas.
type choiceOracle struct {
	placer   *Placer
	listings map[string]*listing // by machine ID
	history  []*oraclePlacement  // in order of time
	offers   map[string]int      // by task ID

	// Where the recent history began when a machine's capacity was first compared in this step. Placements of the step do
	// not push older ones out until it ends.
	assumedFrom map[*machine]int
	attempts    *attemptCounts // as of the step in progress, from its first choice on
	counted     bool           // attempts is up to date
	started     []startedAttempt
	adopted     []string // task IDs, until the Placer has their records

	// The choice in progress.
	service    string
	eligible   []*machine
	candidates []*machine
	observed   bool // it was not answered by the infeasible requests

	counts oracleCounts
	err    error // the first difference
}

// listing is what the oracle knows of a machine from the machine list.
type listing struct {
	entry    Machine
	listed   bool
	listedAt Time
}

// startedAttempt identifies an attempt; its record has whether it is active.
type startedAttempt struct {
	task   *task
	number int
}

// oraclePlacement is an entry of the oracle's history.
type oraclePlacement struct {
	machineID string
	machine   *machine // nil until it is needed
	taskID    string
	attempt   int
	offeredAt Time
	task      Task
	forgotten bool
}

// oracleCounts is how often each part of a choice made a difference.
type oracleCounts map[string]int

// Add adds the counts of another run.
func (c oracleCounts) Add(other oracleCounts) {
	for name, count := range other {
		c[name] += count
	}
}

func newChoiceOracle(p *Placer) *choiceOracle {
	o := &choiceOracle{placer: p, listings: map[string]*listing{}, offers: map[string]int{}, counts: oracleCounts{},
		assumedFrom: map[*machine]int{}, attempts: newAttemptCounts()}
	p.observer = o
	return o
}

// differ records a difference unless one has been recorded.
func (o *choiceOracle) differ(format string, args ...any) {
	if o.err == nil {
		o.err = fmt.Errorf("at %v: %s", o.placer.now, fmt.Sprintf(format, args...))
	}
}

// Events and steps.

// beforeStep follows the events of a step before the Placer gets them.
func (o *choiceOracle) beforeStep(now Time, events []Event) {
	o.counts["steps"]++
	o.counted = false
	clear(o.assumedFrom)
	for _, e := range events {
		switch e := e.(type) {
		case MachinesUpdated:
			o.followList(now, e)
		case TaskAdopted:
			if o.placer.tasks[e.Task.ID] == nil {
				o.addPlacement(now, e.Task, e.Machine, nil)
				o.adopted = append(o.adopted, e.Task.ID)
			}
		case AttemptEnded:
			if e.Outcome == Rejected || e.Outcome == Unreachable || e.Outcome == NotSent {
				o.forget(func(b *oraclePlacement) bool { return b.taskID == e.Task && b.attempt == e.Attempt })
			}
		}
	}
}

// followList keeps the entries of the machine list and forgets the placements on machines that restarted or were removed.
func (o *choiceOracle) followList(now Time, e MachinesUpdated) {
	stillListed := map[string]bool{}
	forgetMachine := func(id string) {
		o.forget(func(b *oraclePlacement) bool { return b.machineID == id && b.offeredAt < now })
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
			forgetMachine(entry.ID)
		}
		*known = listing{entry: entry, listed: true, listedAt: now}
	}
	for id, known := range o.listings {
		if e.Complete && !stillListed[id] && known.entry.State != Removed {
			known.entry.State = Removed
			forgetMachine(id)
		}
	}
}

func (o *choiceOracle) forget(which func(*oraclePlacement) bool) {
	for _, b := range o.history {
		b.forgotten = b.forgotten || which(b)
	}
}

func (o *choiceOracle) addPlacement(now Time, spec Task, machineID string, m *machine) {
	o.history = append(o.history, &oraclePlacement{machineID: machineID, machine: m, taskID: spec.ID,
		attempt: o.offers[spec.ID], offeredAt: now, task: spec})
	o.offers[spec.ID]++
}

// afterStep drops what has left the history and the listings of machines that the Placer forgot.
func (o *choiceOracle) afterStep() {
	p := o.placer
	kept := o.history[:0]
	for i, b := range o.history {
		o.resolve(b)
		recent := i >= len(o.history)-maxHistoryPlacements && b.offeredAt >= p.now-p.historyMaxAge()
		if recent && !b.forgotten {
			kept = append(kept, b)
		}
	}
	o.history = kept
	for id := range o.listings {
		if p.machines[id] == nil {
			delete(o.listings, id)
			o.counts["forgotten machines"]++
		}
	}
	o.checkNumbers()
}

// resolve finds the record of the machine of an adopted task.
func (o *choiceOracle) resolve(b *oraclePlacement) {
	if b.machine == nil {
		b.machine = o.placer.machines[b.machineID]
	}
}

// checkNumbers compares the order of the numbered machines with that of all machine records.
func (o *choiceOracle) checkNumbers() {
	var ids []string
	for id := range o.placer.machines {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	numbered := o.placer.sortedMachines
	if !slices.EqualFunc(ids, numbered, func(id string, m *machine) bool { return m.ID == id }) {
		o.differ("%d machines are numbered, want %d in the order of their IDs", len(numbered), len(ids))
	}
}

// machineOf returns the machine that a number names.
func (o *choiceOracle) machineOf(number int32) *machine { return o.placer.sortedMachines[number] }

// The stages of a choice.

func (o *choiceOracle) afterHardConstraints(t *task, eligible *bitset.BitSet) {
	o.observed, o.service = true, t.Service
	var got []*machine
	for number := range eligible.EachSet() {
		got = append(got, o.machineOf(int32(number)))
	}
	o.eligible = o.scanEligible(t)
	o.compareMachines(t, "eligible", got, o.eligible)
}

func (o *choiceOracle) afterSoftConstraints(t *task, candidates []machineindex.Candidate) {
	var got []*machine
	for _, c := range candidates {
		got = append(got, o.machineOf(c.Machine))
	}
	o.candidates = o.scanCandidates(t, o.eligible, true)
	o.compareMachines(t, "candidates", got, o.candidates)
	o.compareAffinities(t, candidates)
	for _, c := range candidates {
		m := o.machineOf(c.Machine)
		got, want := o.indexedLoad(m), o.externalLoadOf(m)
		if math.Abs(got-want) > 1e-9 {
			o.differ("load of %s is %v, want %v", m.ID, got, want)
		}
	}
}

func (o *choiceOracle) beforeReplay(contenders []machineindex.Candidate, replayed []replayedPlacement) {
	var got []*machine
	for _, c := range contenders {
		got = append(got, o.machineOf(c.Machine))
	}
	want := o.scanContenders()
	o.compareMachines(nil, "contenders", got, want)
	o.counts["votes"]++
	if len(o.history) > maxHistoryPlacements {
		o.counts["votes with more than the recent history"]++
	}
	if len(want) < len(o.candidates) {
		o.counts["dropped contenders"]++
	}
	if o.err == nil {
		o.compareReplayed(got, replayed)
	}
	o.candidates = want
}

func (o *choiceOracle) afterChoice(t *task, chosen *machine) {
	o.counts["choices"]++
	if !o.observed {
		o.counts["infeasible requests"]++
		o.candidates = o.scanCandidates(t, o.scanEligible(t), false)
	}
	switch {
	case chosen == nil && len(o.candidates) > 0:
		o.differ("task %s finds no machine, want one of %v", t.ID, idsOf(o.candidates))
	case chosen != nil && !slices.Contains(o.candidates, chosen):
		o.differ("task %s is offered to %s, want one of %v", t.ID, chosen.ID, idsOf(o.candidates))
	}
	if chosen != nil {
		o.addPlacement(o.placer.now, t.Task, chosen.ID, chosen)
		o.attempts.add(t.Service, chosen, true)
		o.started = append(o.started, startedAttempt{t, len(t.attempts)})
	}
	o.eligible, o.candidates, o.observed = nil, nil, false
}

// afterMigrationCheck: half of the machines that could take t, and two at least, serve tasks well, and none fails t's class
// or rejects tasks.
func (o *choiceOracle) afterMigrationCheck(t *task, hasBetter bool) {
	p := o.placer
	o.countAttempts()
	attempts := o.attempts.all
	possible, good, bad := 0, 0, 0
	for _, m := range p.machines {
		if m.classHealth[t.Class].ejectedUntil > p.now || m.rejectsUntil > p.now {
			bad++
		}
		if !o.couldTake(t, m) {
			continue
		}
		possible++
		ejected, overloaded := m.health.ejectedUntil > p.now, m.overloadedUntil > p.now
		if attempts[m] > 0 && !ejected && !overloaded && !p.inSlowStart(m) {
			good++
		}
	}
	want := bad == 0 && good >= 2 && good >= possible/2
	if hasBetter != want {
		o.differ("better machines for %s are known: %v, want %v", t.ID, hasBetter, want)
	}
	if want {
		o.counts["possible migrations"]++
	} else {
		o.counts["refused migrations"]++
	}
}

// compareMachines compares two sets of machines.
func (o *choiceOracle) compareMachines(t *task, what string, got, want []*machine) {
	if slices.Equal(got, want) {
		return
	}
	if gotIDs, wantIDs := idsOf(got), idsOf(want); !slices.Equal(gotIDs, wantIDs) {
		o.differ("%s of %+v are %v, want %v", what, t, gotIDs, wantIDs)
	}
}

func idsOf(machines []*machine) (ids []string) {
	for _, m := range machines {
		ids = append(ids, m.ID)
	}
	slices.Sort(ids)
	return ids
}

// compareAffinities compares the order of the candidates by affinity with that by rendezvous rank.
func (o *choiceOracle) compareAffinities(t *task, candidates []machineindex.Candidate) {
	for _, a := range candidates {
		for _, b := range candidates {
			higher := compareAffinity(a.Affinity, b.Affinity) > 0
			if want := o.rank(t.Service, o.machineOf(a.Machine)) > o.rank(t.Service, o.machineOf(b.Machine)); higher != want {
				o.differ("affinity of %s to %s is above that of %s: %v, want %v", t.Service,
					o.machineOf(a.Machine).ID, o.machineOf(b.Machine).ID, higher, want)
			}
		}
	}
}

// compareReplayed compares the history of the vote, in order of time.
func (o *choiceOracle) compareReplayed(contenders []*machine, replayed []replayedPlacement) {
	want := o.replayedOn(o.candidates)
	if len(replayed) != len(want) {
		o.differ("%d placements are replayed, want %d", len(replayed), len(want))
		return
	}
	o.counts["replayed placements"] += len(want)
	for i, r := range replayed {
		b, m := want[i], contenders[r.candidate]
		kind := o.placer.cfg.Kinds[m.Kind]
		survival := float64(r.survival) / (1 << 53)
		same := m == b.machine && r.cores*kind.Cores == b.task.Cores && r.memory == b.task.Memory/kind.Memory
		if !same || math.Abs(survival-o.survivalOf(b)) > 1e-9 {
			o.differ("placement %d of the replay is %+v on %s, want %+v with survival %v", i, r, m.ID, *b, o.survivalOf(b))
			return
		}
	}
}
