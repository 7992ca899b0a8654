package replay

import (
	"bytes"
	"compress/gzip"
	"errors"
	"flag"
	"fmt"
	"io"
	"io/fs"
	"math/rand/v2"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"flaxshelf.example/flaxshelf"
)

// The stored recordings were written by the build of commit ad3e0ee, which encoded the module's own types.
//
// allTypesFile has one value of each event and action type and is never written again: it stands for the recordings
// that users keep. decisionsFile also holds decisions, so a change of them on purpose has it written anew with -update.
const (
	allTypesFile  = "testdata/all-types.gob.gz"
	decisionsFile = "testdata/decisions.gob.gz"
)

var update = flag.Bool("update", false, "write the stored decisions anew, and the other recordings that are missing")

func TestMain(m *testing.M) {
	flag.Parse()
	if *update {
		if err := updateRecordings(); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
	os.Exit(m.Run())
}

func updateRecordings() error {
	if _, err := os.Stat(allTypesFile); errors.Is(err, fs.ErrNotExist) {
		if err := writeStored(allTypesFile, recordAllTypes); err != nil {
			return err
		}
	}
	return writeStored(decisionsFile, recordDecisions)
}

func writeStored(path string, record func(io.Writer) error) error {
	var plain, zipped bytes.Buffer
	if err := record(&plain); err != nil {
		return err
	}
	z := gzip.NewWriter(&zipped)
	if _, err := z.Write(plain.Bytes()); err != nil {
		return err
	}
	if err := z.Close(); err != nil {
		return err
	}
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return err
	}
	return os.WriteFile(path, zipped.Bytes(), 0o644)
}

func readStored(t *testing.T, path string) []byte {
	t.Helper()
	f, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	z, err := gzip.NewReader(f)
	if err != nil {
		t.Fatal(err)
	}
	plain, err := io.ReadAll(z)
	if err != nil {
		t.Fatal(err)
	}
	return plain
}

const storedSeed = 0x1234567890abcdef

// storedConfig has every field set.
func storedConfig() flaxshelf.Config {
	return flaxshelf.Config{
		Index: 1, Schedulers: 2, Zone: "zone-a",
		Classes: []flaxshelf.Class{
			{Name: "service", Idempotency: flaxshelf.Idempotent, LatencyObjective: time.Second, PriorityWeight: 3, LateStartWeight: 0.1, StartValueSeconds: 2, FullServiceUtilization: 0.8,
				ServiceFadeRange: 0.2, Kind: -1, Priority: 2, SpreadDomain: flaxshelf.ZoneDomain, MaxPerDomain: 40},
			{Name: "keyed", Idempotency: flaxshelf.IdempotentByKey, KeyDomain: flaxshelf.ZoneDomain, KeyTTL: 2 * time.Second,
				LatencyObjective: 2 * time.Second, PriorityWeight: 2, LateStartWeight: 0.2, StartValueSeconds: 3, FullServiceUtilization: 0.9, ServiceFadeRange: 0.1, Kind: 1, Priority: 1,
				SpreadDomain: flaxshelf.CellDomain, MaxPerDomain: 30},
			{Name: "ledger", Idempotency: flaxshelf.NonIdempotent, LatencyObjective: time.Second, PriorityWeight: 1, LateStartWeight: 0.3, StartValueSeconds: 1, FullServiceUtilization: 0.7,
				ServiceFadeRange: 0.3, Kind: -1, Priority: 3, SpreadDomain: flaxshelf.MachineDomain, MaxPerDomain: 20},
		},
		Kinds: []flaxshelf.Kind{{Name: "small", Cores: 8, Memory: 32}, {Name: "large", Cores: 16, Memory: 64}},
		Tenants: []flaxshelf.Tenant{{Name: "t0", QuotaFraction: 0.75, TasksPerSecond: 20, QuotaCores: 60},
			{Name: "t1", QuotaFraction: 0.25, TasksPerSecond: 5, QuotaCores: 20}},
		OverQuotaWeight: 0.5,
		Prices: flaxshelf.Prices{CrossZone: 0.01, Waste: 0.02, HealthCheck: 0.03, Gossip: 0.04, Migration: 0.05, Discovery: 0.06,
			Fleet: 0.07, Rejection: 0.08, EvictionMigrations: 2},
		CoreOvercommit: 1.5, MemoryOvercommit: 1.25, PlacedWhenRunning: true, Preempts: true, ListsFreeCapacity: true, ReportsUsage: true,
		DiscoveryOnRequest: true, MaxAttempts: 3, HedgedRequests: true, CanCancel: true, CanHealthCheck: true, CanGossip: true,
		CanRetryAfter: true, MaxRetryAfter: 5 * time.Second, Tick: 2 * time.Millisecond,
		ConnectTimeout: 100 * time.Millisecond, AnswerSlack: 50 * time.Millisecond, DrainGrace: 2 * time.Second,
		DiscoveryPollDeadline: 3 * time.Second, SlowStartDuration: 4 * time.Second, OverloadWindow: time.Second, SlowStartBudget: 12,
	}
}

// allEvents has each event type once, with every field set, and once as its zero value.
func allEvents() []flaxshelf.Event {
	task := flaxshelf.Task{ID: "id", Key: "key", Service: "service", Class: 1, Tenant: 1, Cores: 0.5, Memory: 1.5,
		ExpectedRuntime: 7 * time.Second, Deadline: 9 * time.Second, Retry: true}
	load := flaxshelf.LoadReport{Present: true, FreeCores: 2.5, FreeMemory: 3.5, HasCores: true, HasMemory: true}
	machine := flaxshelf.Machine{ID: "m", Kind: 1, Zone: "zone-b", Cell: 3, State: flaxshelf.Draining,
		Started: 5 * time.Second, FreeCores: 4.5, FreeMemory: 5.5}
	return []flaxshelf.Event{
		flaxshelf.MachinesUpdated{Machines: []flaxshelf.Machine{machine, {}}, Complete: true, Stale: true},
		flaxshelf.DiscoveryFailed{},
		flaxshelf.TaskSubmitted{Task: task},
		flaxshelf.TaskAdopted{Task: task, Machine: "m"},
		flaxshelf.AttemptPlaced{Task: "id", Machine: "m", Attempt: 2, Latency: time.Millisecond},
		flaxshelf.AttemptEnded{Task: "id", Machine: "m", Attempt: 2, Outcome: flaxshelf.Lost, Reason: flaxshelf.Preempted, Final: true,
			Latency: time.Millisecond, Load: load},
		flaxshelf.UsageReport{Task: "id", Machine: "m", Attempt: 2, Kind: flaxshelf.ServiceLevel, Amount: 0.75},
		flaxshelf.HealthChecked{Machine: "m", Outcome: flaxshelf.Unreachable, Load: load},
		flaxshelf.GossipReceived{From: 3, Data: []byte{1, 2, 3}},
		flaxshelf.TimerFired{},
		flaxshelf.TaskCanceled{Task: "id"},
		flaxshelf.MachinesUpdated{}, flaxshelf.TaskSubmitted{}, flaxshelf.TaskAdopted{}, flaxshelf.AttemptPlaced{}, flaxshelf.AttemptEnded{}, flaxshelf.UsageReport{},
		flaxshelf.HealthChecked{}, flaxshelf.GossipReceived{}, flaxshelf.TaskCanceled{},
	}
}

// allActions is allEvents of the actions.
func allActions() []flaxshelf.Action {
	return []flaxshelf.Action{
		flaxshelf.Offer{Task: "id", Machine: "m", Timeout: 50 * time.Millisecond},
		flaxshelf.Cancel{Task: "id", Attempt: 2},
		flaxshelf.Reject{Task: "id"},
		flaxshelf.Fail{Task: "id"},
		flaxshelf.Migrate{Task: "id"},
		flaxshelf.HealthCheck{Machine: "m"},
		flaxshelf.SendGossip{Data: []byte{4, 5, 6}},
		flaxshelf.Subscribe{},
		flaxshelf.SetTimer{After: time.Second},
		flaxshelf.Offer{}, flaxshelf.Cancel{}, flaxshelf.Reject{}, flaxshelf.Fail{}, flaxshelf.Migrate{}, flaxshelf.HealthCheck{},
		flaxshelf.SendGossip{}, flaxshelf.SetTimer{},
	}
}

const allTypesNow = 11 * time.Second

func recordAllTypes(out io.Writer) error {
	w, err := NewWriter(out, storedConfig(), storedSeed)
	if err != nil {
		return err
	}
	w.Step(allTypesNow, allEvents(), allActions())
	w.Step(0, nil, nil)
	return w.Close()
}

// scripted is a module that expects events and gives the actions that a test has written down.
type scripted struct {
	t       *testing.T
	steps   int
	events  [][]flaxshelf.Event
	actions [][]flaxshelf.Action
	times   []flaxshelf.Time
}

func (s *scripted) Step(now flaxshelf.Time, events []flaxshelf.Event) []flaxshelf.Action {
	i := s.steps
	s.steps++
	if i >= len(s.times) {
		s.t.Fatalf("step %d was never recorded", i+1)
	}
	if now != s.times[i] {
		s.t.Errorf("step %d at %v, recorded was %v", i+1, now, s.times[i])
	}
	if !reflect.DeepEqual(events, s.events[i]) {
		s.t.Errorf("step %d: events %#v,\nrecorded were %#v", i+1, events, s.events[i])
	}
	return s.actions[i]
}

// checkAllTypes has a recording of recordAllTypes read, and compares each value.
func checkAllTypes(t *testing.T, recording []byte) {
	t.Helper()
	s := &scripted{t: t, times: []flaxshelf.Time{allTypesNow, 0}, events: [][]flaxshelf.Event{allEvents(), nil},
		actions: [][]flaxshelf.Action{allActions(), nil}}
	result, err := CheckWith(bytes.NewReader(recording), func(c flaxshelf.Config, seed uint64) (Module, error) {
		if !reflect.DeepEqual(c, storedConfig()) {
			t.Errorf("settings %+v,\nrecorded were %+v", c, storedConfig())
		}
		if seed != storedSeed {
			t.Errorf("seed %x, recorded was %x", seed, uint64(storedSeed))
		}
		return s, nil
	})
	if err != nil {
		t.Fatal(err)
	}
	want := Result{Steps: 2, Events: len(allEvents()), Actions: len(allActions())}
	if result != want {
		t.Errorf("%+v, want %+v", result, want)
	}
}

// A recording of an earlier build is read with every value of every type.
func TestStoredTypesAreRead(t *testing.T) {
	checkAllTypes(t, readStored(t, allTypesFile))
}

// typeCounter plays to a module, and counts the types of its events and actions.
type typeCounter struct {
	Module
	types map[reflect.Type]int
}

func (c *typeCounter) Step(now flaxshelf.Time, events []flaxshelf.Event) []flaxshelf.Action {
	actions := c.Module.Step(now, events)
	for _, e := range events {
		c.types[reflect.TypeOf(e)]++
	}
	for _, a := range actions {
		c.types[reflect.TypeOf(a)]++
	}
	return actions
}

// A recording of an earlier build plays to the same decisions. It has all events, and all actions that a module gives
// today: none asks a machine for a report or tells the other schedulers anything.
func TestStoredDecisionsArePlayed(t *testing.T) {
	recording := readStored(t, decisionsFile)
	result, err := Check(bytes.NewReader(recording))
	if err != nil {
		t.Fatal(err)
	}
	if want := (Result{Steps: decisionSteps, Events: 3813, Actions: 543}); result != want {
		t.Errorf("%+v, want %+v", result, want)
	}
	counter := &typeCounter{types: map[reflect.Type]int{}}
	if _, err := CheckWith(bytes.NewReader(recording), func(c flaxshelf.Config, seed uint64) (Module, error) {
		counter.Module, err = flaxshelf.New(c, seed)
		return counter, err
	}); err != nil {
		t.Fatal(err)
	}
	for _, e := range allEvents() {
		if counter.types[reflect.TypeOf(e)] == 0 {
			t.Errorf("no event %T", e)
		}
	}
	for _, a := range allActions() {
		switch a.(type) {
		case flaxshelf.HealthCheck, flaxshelf.SendGossip:
			continue
		}
		if counter.types[reflect.TypeOf(a)] == 0 {
			t.Errorf("no action %T", a)
		}
	}
}

// The simulated cluster of the stored decisions.
const (
	decisionSteps  = 400
	decisionStep   = 20 * time.Millisecond
	decisionSeed   = 7
	machineCount   = 12
	drainedMachine = 3
	drainStep      = 120
	removeStep     = 200
	strainStep     = 150
	strainSteps    = 150
	sendersPerStep = 2
)

// cluster answers a module's actions by chance, from a fixed seed.
type cluster struct {
	rng      *rand.Rand
	now      flaxshelf.Time
	machines []flaxshelf.Machine
	due      []dueEvent
	out      map[string][]attempt // by task
	tasks    int
}

type dueEvent struct {
	at    flaxshelf.Time
	event flaxshelf.Event
}

type attempt struct {
	machine string
	over    bool
	placed  bool
}

func newCluster() *cluster {
	c := &cluster{rng: rand.New(rand.NewPCG(decisionSeed, 1)), out: map[string][]attempt{}}
	for i := range machineCount {
		c.machines = append(c.machines, flaxshelf.Machine{ID: fmt.Sprintf("m%d", i), Kind: i % 2,
			Zone: string("abc"[i%3:][:1]), Cell: i / 3, FreeCores: 8, FreeMemory: 32})
	}
	return c
}

func (c *cluster) after(wait time.Duration, e flaxshelf.Event) {
	c.due = append(c.due, dueEvent{c.now + wait, e})
}

func (c *cluster) duration(from, to time.Duration) time.Duration {
	return from + time.Duration(c.rng.Int64N(int64(to-from)))
}

func (c *cluster) newTask() flaxshelf.Task {
	c.tasks++
	return flaxshelf.Task{ID: fmt.Sprintf("t%d", c.tasks), Key: fmt.Sprintf("k%d", c.tasks),
		Service: fmt.Sprintf("s%d", c.rng.IntN(5)), Class: c.rng.IntN(3), Tenant: c.rng.IntN(3) - 1,
		Cores: 0.5 + c.rng.Float64(), Memory: 0.5 + c.rng.Float64(), ExpectedRuntime: c.duration(time.Second, 4*time.Second),
		Deadline: c.now + c.duration(500*time.Millisecond, 3*time.Second), Retry: c.rng.IntN(20) == 0}
}

// take lists the events of one step: those that are due, in their order, and what comes from outside.
func (c *cluster) take(step int) []flaxshelf.Event {
	events := c.fromOutside(step)
	var later []dueEvent
	for _, d := range c.due {
		if d.at > c.now {
			later = append(later, d)
			continue
		}
		if c.happens(d.event) {
			events = append(events, d.event)
		}
	}
	c.due = later
	return events
}

// happens tells whether an event's attempt is still out, and notes its end.
func (c *cluster) happens(e flaxshelf.Event) bool {
	switch e := e.(type) {
	case flaxshelf.AttemptPlaced:
		a := &c.out[e.Task][e.Attempt]
		a.placed = !a.over
		return a.placed
	case flaxshelf.AttemptEnded:
		a := &c.out[e.Task][e.Attempt]
		if a.over {
			return false
		}
		a.over = true
	}
	return true
}

func (c *cluster) fromOutside(step int) []flaxshelf.Event {
	var events []flaxshelf.Event
	switch step {
	case 0:
		events = append(events, flaxshelf.MachinesUpdated{Complete: true, Stale: true, Machines: c.machines[:machineCount-1]})
	case 1:
		events = append(events, flaxshelf.DiscoveryFailed{})
	case 2:
		task := c.newTask()
		c.out[task.ID] = []attempt{{machine: "m1", placed: true}}
		events = append(events, flaxshelf.TaskAdopted{Task: task, Machine: "m1"}, flaxshelf.HealthChecked{Machine: "m2",
			Outcome: flaxshelf.Completed, Load: c.load()}, flaxshelf.GossipReceived{From: 1, Data: []byte("from the other one")})
	case 5:
		events = append(events, flaxshelf.MachinesUpdated{Complete: true, Machines: c.machines})
	case drainStep:
		events = append(events, c.changed(flaxshelf.Draining))
	case removeStep:
		events = append(events, c.changed(flaxshelf.Removed), flaxshelf.DiscoveryFailed{})
	}
	for range c.rng.IntN(sendersPerStep + 1) {
		if step > 0 {
			events = append(events, flaxshelf.TaskSubmitted{Task: c.newTask()})
		}
	}
	if c.rng.IntN(50) == 0 && c.tasks > 0 {
		events = append(events, flaxshelf.TaskCanceled{Task: fmt.Sprintf("t%d", c.tasks)})
	}
	return append(events, c.notes(step)...)
}

func (c *cluster) changed(state flaxshelf.MachineState) flaxshelf.MachinesUpdated {
	m := c.machines[drainedMachine]
	m.State = state
	return flaxshelf.MachinesUpdated{Machines: []flaxshelf.Machine{m}}
}

// notes tells, for some time, that one machine serves its tasks badly.
func (c *cluster) notes(step int) []flaxshelf.Event {
	if step < strainStep || step >= strainStep+strainSteps || step%5 != 0 {
		return nil
	}
	var events []flaxshelf.Event
	for i := 1; i <= c.tasks; i++ {
		id := fmt.Sprintf("t%d", i)
		for n, a := range c.out[id] {
			if !a.placed || a.over {
				continue
			}
			served := 1.0
			if a.machine == "m1" {
				served = 0.1
			}
			events = append(events, flaxshelf.UsageReport{Task: id, Machine: a.machine, Attempt: n, Kind: flaxshelf.ServiceLevel,
				Amount: served})
		}
	}
	return events
}

func (c *cluster) load() flaxshelf.LoadReport {
	return flaxshelf.LoadReport{Present: true, FreeCores: 1 + c.rng.Float64(), FreeMemory: 5 + c.rng.Float64(), HasCores: true,
		HasMemory: true}
}

// carryOut takes a module's actions.
func (c *cluster) carryOut(actions []flaxshelf.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case flaxshelf.Offer:
			c.offered(a)
		case flaxshelf.Cancel:
			c.after(0, flaxshelf.AttemptEnded{Task: a.Task, Machine: c.out[a.Task][a.Attempt].machine, Attempt: a.Attempt,
				Outcome: flaxshelf.Canceled, Final: true})
		case flaxshelf.Migrate:
			last := len(c.out[a.Task]) - 1
			c.after(decisionStep, flaxshelf.AttemptEnded{Task: a.Task, Machine: c.out[a.Task][last].machine, Attempt: last,
				Outcome: flaxshelf.Lost, Reason: flaxshelf.DrainedAway, Final: true, Load: c.load()})
		case flaxshelf.Subscribe:
			c.after(decisionStep, flaxshelf.MachinesUpdated{Complete: true, Machines: c.machines})
		case flaxshelf.SetTimer:
			c.after(a.After, flaxshelf.TimerFired{})
		}
	}
}

func (c *cluster) offered(o flaxshelf.Offer) {
	n := len(c.out[o.Task])
	c.out[o.Task] = append(c.out[o.Task], attempt{machine: o.Machine})
	lag := c.duration(time.Millisecond, 40*time.Millisecond)
	ended := flaxshelf.AttemptEnded{Task: o.Task, Machine: o.Machine, Attempt: n, Latency: lag, Load: c.load()}
	switch chance := c.rng.IntN(100); {
	case chance < 10:
		ended.Outcome, ended.Reason = flaxshelf.Rejected, flaxshelf.InsufficientCores
	case chance < 13:
		ended.Outcome = flaxshelf.Failed
	case chance < 16:
		ended.Outcome, ended.Load = flaxshelf.Unreachable, flaxshelf.LoadReport{}
	case chance < 18:
		ended.Outcome = flaxshelf.NotSent
	case chance < 25:
		lag, ended.Outcome, ended.Load = o.Timeout, flaxshelf.TimedOut, flaxshelf.LoadReport{}
	case chance < 29:
		return // no answer comes
	default:
		c.after(lag, flaxshelf.AttemptPlaced{Task: o.Task, Machine: o.Machine, Attempt: n, Latency: lag})
		lag += c.duration(500*time.Millisecond, 4*time.Second)
		ended.Final = true
		if c.rng.IntN(20) == 0 {
			ended.Outcome, ended.Reason = flaxshelf.Lost, flaxshelf.Evicted
		}
	}
	c.after(lag, ended)
}

// decisionConfig leaves out the spread rules and the kinds, so that most tasks find a machine.
func decisionConfig() flaxshelf.Config {
	cfg := storedConfig()
	cfg.Index, cfg.PlacedWhenRunning, cfg.HedgedRequests, cfg.Zone = 0, false, false, "a"
	for i := range cfg.Classes {
		cfg.Classes[i].Kind = -1
	}
	return cfg
}

func recordDecisions(out io.Writer) error {
	w, err := NewWriter(out, decisionConfig(), decisionSeed)
	if err != nil {
		return err
	}
	placer, err := flaxshelf.New(decisionConfig(), decisionSeed)
	if err != nil {
		return err
	}
	c := newCluster()
	for step := range decisionSteps {
		c.now += decisionStep
		events := c.take(step)
		actions := placer.Step(c.now, events)
		w.Step(c.now, events, actions)
		c.carryOut(actions)
	}
	return w.Close()
}
