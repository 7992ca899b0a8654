package requests

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"flaxshelf.example/flaxshelf"
	"flaxshelf.example/flaxshelf/internal/admission"
)

// world is a core with a clock that the test moves and a node that it plays.
type world struct {
	t    *testing.T
	c    *Core
	now  Time
	out  []Effect // of the last step
	up   map[string]Link
	all  []Effect
	seen []flaxshelf.Event
}

func settings() flaxshelf.Config {
	return flaxshelf.Config{
		Schedulers: 1, Zone: "a", MaxAttempts: 3, CanCancel: true, Tick: 2 * time.Millisecond,
		ConnectTimeout: 250 * time.Millisecond, DrainGrace: 2 * time.Second, CoreOvercommit: 1.5, MemoryOvercommit: 1.5,
		Kinds: []flaxshelf.Kind{{Name: "k", Cores: 32, Memory: 64}},
		Classes: []flaxshelf.Class{
			{Name: "safe", Idempotency: flaxshelf.Idempotent, LatencyObjective: 600 * time.Millisecond, PriorityWeight: 1, Kind: -1},
			{Name: "keyed", Idempotency: flaxshelf.IdempotentByKey, KeyDomain: flaxshelf.ZoneDomain, KeyTTL: 5 * time.Second,
				LatencyObjective: 600 * time.Millisecond, PriorityWeight: 1, Kind: -1},
		},
	}
}

func newWorld(t *testing.T, change ...func(*Config)) *world {
	t.Helper()
	cfg := Config{Module: settings(), Seed: 1, NodeUnreachableTimeout: 6 * time.Second, MaxPending: 100,
		Admission: admission.Limits{MaxConnections: 10, IdleTimeout: 2 * time.Second, RecentUseGrace: 200 * time.Millisecond, MaxProtocolErrors: 2, MaxPendingPerConnection: 50}}
	for _, f := range change {
		f(&cfg)
	}
	w := &world{t: t, now: Time(1_000_000 * time.Second), up: map[string]Link{}}
	cfg.RecordStep = func(_ Time, events []flaxshelf.Event, _ []flaxshelf.Action) { w.seen = append(w.seen, events...) }
	var err error
	if w.c, err = New(cfg); err != nil {
		t.Fatal(err)
	}
	return w
}

// step gives the core inputs now.
func (w *world) step(in ...Input) {
	w.t.Helper()
	effects, _ := w.c.Step(w.now, in)
	w.out = slices.Clone(effects)
	w.all = append(w.all, w.out...)
}

// pass lets time go by, in the steps that the core asks for.
func (w *world) pass(d time.Duration) {
	w.t.Helper()
	end := w.now + d
	var all []Effect
	for {
		_, next := w.c.Step(w.now, nil)
		all = append(all, slices.Clone(w.c.effects)...)
		if next == 0 || next > end {
			break
		}
		w.now = max(next, w.now+1)
	}
	w.now = end
	w.step()
	w.out = append(all, w.out...)
	w.all = append(w.all, all...)
}

func machine(name string, state flaxshelf.MachineState, started Time) flaxshelf.Machine {
	return flaxshelf.Machine{ID: name, Zone: "a", State: state, Started: started}
}

// list tells of nodes: name, or name@address, all at the address of their name else.
func (w *world) list(state flaxshelf.MachineState, names ...string) {
	w.t.Helper()
	var in NodesUpdated
	for _, n := range names {
		name, addr, at := strings.Cut(n, "@")
		if !at {
			addr = n
		}
		in.Machines, in.Addrs = append(in.Machines, machine(name, state, 0)), append(in.Addrs, addr)
	}
	w.step(in)
}

// nodes lists nodes that are in service and brings up their links.
func (w *world) nodes(names ...string) {
	w.t.Helper()
	w.list(flaxshelf.Active, names...)
	dials := find[Dial](w)
	for _, d := range dials {
		w.up[d.Node] = d.Link
		w.step(LinkUp{d.Link})
	}
}

func id(n int) string { return fmt.Sprintf("%016x", n) }

func (w *world) ask(conn Conn, n int, class int) Submit {
	return Submit{Conn: conn, Class: "c", IdempotencyKey: "idem", Description: "owner's",
		Task: flaxshelf.Task{ID: id(n), Key: "k" + id(n), Service: "s", Class: class, Tenant: -1, Cores: 1, Memory: 1,
			Deadline: w.now + 4*time.Second}}
}

// find returns the effects of one type of the last step.
func find[T Effect](w *world) []T {
	var all []T
	for _, e := range w.out {
		if x, ok := e.(T); ok {
			all = append(all, x)
		}
	}
	return all
}

// one is find where exactly one is expected.
func one[T Effect](w *world) T {
	w.t.Helper()
	all := find[T](w)
	if len(all) != 1 {
		w.t.Fatalf("%d of %T, want 1: %+v", len(all), *new(T), w.out)
	}
	return all[0]
}

// none fails where an effect of the type is among the last step's.
func none[T Effect](w *world) {
	w.t.Helper()
	if all := find[T](w); len(all) > 0 {
		w.t.Fatalf("unexpected %+v", all)
	}
}

// told returns the module's events of one type so far.
func told[T flaxshelf.Event](w *world) []T {
	var all []T
	for _, e := range w.seen {
		if x, ok := e.(T); ok {
			all = append(all, x)
		}
	}
	return all
}

// place has a task stand: it returns the offer that it came by.
func (w *world) place(conn Conn, n, class int) Offer {
	w.t.Helper()
	w.step(w.ask(conn, n, class))
	o := one[Offer](w)
	w.step(NodeMessage{Link: o.Link, Kind: NodeAccepted, Task: id(n), Description: "node's"})
	one[Accepted](w)
	return o
}
