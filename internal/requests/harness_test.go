package requests

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"flaxshelf.example/flaxshelf"
	"flaxshelf.example/flaxshelf/internal/admission"
)

// Indexes of the classes in placerConfig.
const (
	classIdempotent = iota
	classKeyed
)

// harness drives a Core. The test controls the clock and simulates owners, nodes and the discovery service.
type harness struct {
	t            *testing.T
	core         *Core
	now          Time
	effects      []Effect          // of the last step or advance
	allEffects   []Effect          // so far
	placerEvents []flaxshelf.Event // so far
	links        map[string]LinkID // links that addNodes has established, by node
}

func placerConfig() flaxshelf.Config {
	return flaxshelf.Config{
		Schedulers:       1,
		Zone:             "a",
		MaxAttempts:      3,
		CanCancel:        true,
		Tick:             2 * time.Millisecond,
		ConnectTimeout:   250 * time.Millisecond,
		DrainGrace:       2 * time.Second,
		CoreOvercommit:   1.5,
		MemoryOvercommit: 1.5,
		Kinds:            []flaxshelf.MachineKind{{Name: "k", Cores: 32, Memory: 64}},
		Classes: []flaxshelf.TaskClass{
			classIdempotent: {Name: "safe", Idempotency: flaxshelf.Idempotent, LatencyObjective: 600 * time.Millisecond,
				PriorityWeight: 1, Kind: -1},
			classKeyed: {Name: "keyed", Idempotency: flaxshelf.IdempotentByKey, KeyDomain: flaxshelf.ZoneDomain,
				KeyTTL: 5 * time.Second, LatencyObjective: 600 * time.Millisecond, PriorityWeight: 1, Kind: -1},
		},
	}
}

func testConfig() Config {
	return Config{
		Placer:                 placerConfig(),
		Seed:                   1,
		NodeUnreachableTimeout: 6 * time.Second,
		MaxPending:             100,
		MaxPendingBytes:        1 << 20,

		MaxUnconfirmedAdoptions: 100,
		Admission: admission.Limits{
			MaxConnections:          10,
			IdleTimeout:             2 * time.Second,
			RecentUseGrace:          200 * time.Millisecond,
			MaxProtocolErrors:       2,
			MaxPendingPerConnection: 50,
		},
	}
}

// newHarness returns a harness for a new Core with testConfig after the given changes.
func newHarness(t *testing.T, changes ...func(*Config)) *harness {
	t.Helper()
	config := testConfig()
	for _, change := range changes {
		change(&config)
	}
	h := &harness{t: t, now: Time(1_000_000 * time.Second), links: map[string]LinkID{}}
	config.RecordStep = func(_ Time, events []flaxshelf.Event, _ []flaxshelf.Action) {
		h.placerEvents = append(h.placerEvents, events...)
	}
	var err error
	if h.core, err = New(config); err != nil {
		t.Fatal(err)
	}
	return h
}

// step passes inputs to the core at the current time.
func (h *harness) step(inputs ...Input) {
	h.t.Helper()
	effects, _ := h.core.Step(h.now, inputs)
	h.effects = slices.Clone(effects)
	h.allEffects = append(h.allEffects, h.effects...)
}

// advance moves the clock by d, and steps the core at each of its deadlines.
func (h *harness) advance(d time.Duration) {
	h.t.Helper()
	end := h.now + d
	var effects []Effect
	for {
		stepEffects, next := h.core.Step(h.now, nil)
		effects = append(effects, stepEffects...)
		if next == 0 || next > end {
			break
		}
		h.now = max(next, h.now+1)
	}
	h.now = end
	h.step()
	h.effects = append(effects, h.effects...)
	h.allEffects = append(h.allEffects, effects...)
}

// connect opens owners' connections from the same host.
func (h *harness) connect(conns ...ConnID) {
	h.t.Helper()
	var inputs []Input
	for _, conn := range conns {
		inputs = append(inputs, OwnerConnected{Conn: conn, Host: "h"})
	}
	h.step(inputs...)
}

// connectPinged opens an owner's connection that sends a health check, so that it is not closed as idle.
func (h *harness) connectPinged(conn ConnID) {
	h.t.Helper()
	h.step(OwnerConnected{Conn: conn, Host: "h"}, Ping{Conn: conn, Task: taskID(1)})
}

func machine(id string, state flaxshelf.MachineState, started Time) flaxshelf.Machine {
	return flaxshelf.Machine{ID: id, Zone: "a", State: state, Started: started}
}

// nodeUpdated returns an update of a single node in the endpoint list.
func nodeUpdated(m flaxshelf.Machine, addr string) NodesUpdated {
	return NodesUpdated{Endpoints: []Endpoint{{Machine: m, Addr: addr}}}
}

// updateNodes passes an update of the endpoint list to the core. A node is written as ID or ID@address; the default address
// is the ID.
func (h *harness) updateNodes(state flaxshelf.MachineState, nodes ...string) {
	h.t.Helper()
	var in NodesUpdated
	for _, node := range nodes {
		id, addr, hasAddr := strings.Cut(node, "@")
		if !hasAddr {
			addr = id
		}
		in.Endpoints = append(in.Endpoints, Endpoint{Machine: machine(id, state, 0), Addr: addr})
	}
	h.step(in)
}

// addNodes adds active nodes to the endpoint list and establishes their links.
func (h *harness) addNodes(nodes ...string) {
	h.t.Helper()
	h.updateNodes(flaxshelf.Active, nodes...)
	for _, dial := range effectsOf[Dial](h) {
		h.links[dial.Node] = dial.Link
		h.step(LinkUp{dial.Link})
	}
}

func taskID(n int) string { return fmt.Sprintf("%016x", n) }

// newSubmit returns a request for the n-th task, which is idempotent.
func (h *harness) newSubmit(conn ConnID, n int) Submit {
	return h.newSubmitOf(classIdempotent, conn, n)
}

// newSubmitOf returns a request for the n-th task, which is of the given class.
func (h *harness) newSubmitOf(class int, conn ConnID, n int) Submit {
	return Submit{
		Conn:           conn,
		Class:          "c",
		IdempotencyKey: "idem",
		Description:    "owner's",
		Task: flaxshelf.Task{
			ID:       taskID(n),
			Key:      "k" + taskID(n),
			Service:  "s",
			Class:    class,
			Tenant:   -1,
			Cores:    1,
			Memory:   1,
			Deadline: h.now + 4*time.Second,
		},
	}
}

// newAdopt returns the Adopt of the n-th task, which runs on the given node.
func (h *harness) newAdopt(conn ConnID, node string, n int) Adopt {
	return Adopt{Conn: conn, Node: node, Task: h.newSubmit(conn, n).Task}
}

// nodeAccepted returns a node's acceptance of the n-th task.
func nodeAccepted(link LinkID, n int, description string) NodeMessage {
	return NodeMessage{Link: link, Kind: NodeAccepted, Task: taskID(n), Description: description}
}

// nodeReleased returns a node's release of the n-th task.
func nodeReleased(link LinkID, n int, cause Cause) NodeMessage {
	return NodeMessage{Link: link, Kind: NodeReleased, Task: taskID(n), Cause: cause}
}

// placeTask submits the n-th task, lets a node accept it, and returns the offer.
func (h *harness) placeTask(conn ConnID, n int) Offer {
	h.t.Helper()
	h.step(h.newSubmit(conn, n))
	offer := oneEffect[Offer](h)
	h.step(nodeAccepted(offer.Link, n, "node's"))
	oneEffect[Accepted](h)
	return offer
}

// effectsOf returns the effects of type T of the last step or advance.
func effectsOf[T Effect](h *harness) []T {
	var matching []T
	for _, effect := range h.effects {
		if e, ok := effect.(T); ok {
			matching = append(matching, e)
		}
	}
	return matching
}

// oneEffect returns the only effect of type T of the last step or advance. It fails the test if there is none or more than one.
func oneEffect[T Effect](h *harness) T {
	h.t.Helper()
	matching := effectsOf[T](h)
	if len(matching) != 1 {
		h.t.Fatalf("got %d effects of type %T, want 1: %+v", len(matching), *new(T), h.effects)
	}
	return matching[0]
}

// expectEffect fails the test unless want is the only effect of its type in the last step or advance.
func expectEffect[T interface {
	Effect
	comparable
}](h *harness, want T) {
	h.t.Helper()
	if got := oneEffect[T](h); got != want {
		h.t.Errorf("got effect %+v, want %+v", got, want)
	}
}

// noEffect fails the test if the last step or advance has effects of type T.
func noEffect[T Effect](h *harness) {
	h.t.Helper()
	if matching := effectsOf[T](h); len(matching) > 0 {
		h.t.Fatalf("got effects %+v, want none of type %T", matching, *new(T))
	}
}

// placerEventsOf returns the events of type T that were passed to the placer so far.
func placerEventsOf[T flaxshelf.Event](h *harness) []T {
	var matching []T
	for _, event := range h.placerEvents {
		if e, ok := event.(T); ok {
			matching = append(matching, e)
		}
	}
	return matching
}

// expectEnded fails the test unless the placer's AttemptEnded events so far are those of want. It ignores their latency.
func (h *harness) expectEnded(want ...flaxshelf.AttemptEnded) {
	h.t.Helper()
	got := placerEventsOf[flaxshelf.AttemptEnded](h)
	for i := range got {
		got[i].Latency = 0
	}
	if !reflect.DeepEqual(got, want) {
		h.t.Errorf("got ended attempts %+v, want %+v", got, want)
	}
}

// expectNoTasks fails the test unless the core has neither pending requests nor running tasks.
func (h *harness) expectNoTasks() {
	h.t.Helper()
	stats := h.core.Stats()
	for _, pool := range h.core.adoptionPools() {
		if pool.size != 0 || len(pool.byConn) != 0 {
			h.t.Errorf("got %d unconfirmed adoptions of %d connections, want none", pool.size, len(pool.byConn))
		}
	}
	if stats.Pending != 0 || stats.Running != 0 || stats.RunningUnlisted != 0 || len(h.core.tasks) != 0 {
		h.t.Errorf("got %d tasks and %+v, want none pending or running", len(h.core.tasks), stats)
	}
}
