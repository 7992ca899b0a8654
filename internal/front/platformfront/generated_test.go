package platformfront

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"flaxshelf.example/flaxshelf/internal/admission"
	"flaxshelf.example/flaxshelf/internal/codec/ownerjson"
	"flaxshelf.example/flaxshelf/internal/requests"
)

// deployment is a random configuration file and the names in it.
type deployment struct {
	text              string // the configuration file
	classes, tenants  []string
	kinds             []string
	keyed             []bool    // by class: requests need an idempotency key
	cores, memory     []float64 // capacity of a machine, by kind
	timeLeftMillis    int       // time left in each request
	categories        []map[string]any
	customers         []map[string]any
	specificsPerClass map[string][]any // settings that are lists with a value for each class or tenant
}

// generator generates the parts of a deployment.
type generator struct {
	*rand.Rand
	nameOf func(what string, i int) string // returns the name of the i-th "class", "tenant" or "kind"
}

func (g *generator) oneOf(values ...any) any { return values[g.IntN(len(values))] }

func (g *generator) intUpTo(limit int) int { return 1 + g.IntN(limit) }

func (g *generator) nanosBetween(lower, upper time.Duration) int64 {
	return int64(lower) + g.Int64N(int64(upper-lower))
}

// generateDeployment returns a random deployment.
func generateDeployment(g *generator) deployment {
	d := deployment{specificsPerClass: map[string][]any{}}
	g.addClasses(&d)
	g.addTenants(&d)
	for i := range g.intUpTo(4) {
		d.kinds = append(d.kinds, g.nameOf("kind", i))
		d.cores, d.memory = append(d.cores, float64(g.intUpTo(64))), append(d.memory, float64(g.intUpTo(256)))
	}
	specifics := map[string]any{"kind_cores": d.cores, "mem_of_kind": d.memory, "admit_cores": 1 + g.Float64()*3,
		"memory_multiple": 1 + g.Float64(), "confirms": g.oneOf("running", "accepted"), "pushes_out": g.oneOf(true, false),
		"shows_free": g.oneOf(true, false), "fresh_offers": g.Float64() * 40, "refusal_fee": g.Float64() / 10}
	for key, list := range d.specificsPerClass {
		specifics[key] = list
	}
	settings := g.generateSettings(&d, specifics)
	d.timeLeftMillis = 300 + g.intUpTo(90_000)
	text, _ := json.Marshal(map[string]any{"name": "n0", "listen": "127.0.0.1:0", "feed": "127.0.0.1:1", "seed": "1f", "settings": settings,
		"limits": map[string]any{"cores": 0.1 + g.Float64(), "memory_mb": 32 + g.IntN(160), "sockets": 256 + g.IntN(768)},
		"known":  map[string]any{"n": 1, "events": []any{d.initialEvent(g.IntN(2) == 0)}}})
	d.text = string(text)
	return d
}

func (g *generator) addClasses(d *deployment) {
	for i := range g.intUpTo(6) {
		d.classes = append(d.classes, g.nameOf("class", i))
		effect := g.oneOf("read_like", "idempotency_key", "non_idempotent")
		d.keyed = append(d.keyed, effect == "idempotency_key")
		d.categories = append(d.categories, map[string]any{"name": d.classes[i], "effect": effect, "worth": float64(g.intUpTo(9)),
			"key_scope": g.oneOf("machine", "cell", "zone", "all"), "key_ttl_ns": g.nanosBetween(time.Second, time.Minute),
			"objective_ns": g.nanosBetween(10*time.Millisecond, 20*time.Second), "late_worth": g.Float64()})
		spread := g.oneOf("off", "machine", "cell", "zone")
		for key, value := range map[string]any{"start_seconds": g.intUpTo(20), "class_calm": 1, "fade_span": 1, "kind_by_class": -1,
			"priority_by_class": g.IntN(3), "together_max": g.intUpTo(5), "spread_over": spread} {
			d.specificsPerClass[key] = append(d.specificsPerClass[key], value)
		}
	}
}

func (g *generator) addTenants(d *deployment) {
	for i := range g.IntN(6) {
		d.tenants = append(d.tenants, g.nameOf("tenant", i))
		d.customers = append(d.customers, map[string]any{"name": d.tenants[i], "fraction": g.Float64(), "quota_per_s": g.Float64() * 50})
		d.specificsPerClass["quota_cores"] = append(d.specificsPerClass["quota_cores"], g.intUpTo(100))
	}
}

func (g *generator) generateSettings(d *deployment, specifics map[string]any) map[string]any {
	balancers := g.intUpTo(100)
	return map[string]any{"index": g.IntN(balancers), "balancers": balancers, "zone": g.oneOf("", "east"), "kinds": d.kinds,
		"discovery": g.oneOf("pushed", "on_request"), "round_ns": g.nanosBetween(time.Millisecond, 20*time.Millisecond),
		"caps": map[string]any{"cancel": g.oneOf(true, false), "most_tries": g.IntN(6), "probes": g.oneOf(true, false),
			"connect_timeout_ns": g.nanosBetween(time.Millisecond, time.Second), "conn_idle_ns": g.Int64N(int64(time.Minute))},
		"obligations": map[string]any{"stop_sending_within_ns": g.nanosBetween(50*time.Millisecond, 10*time.Second),
			"cold_ns": g.nanosBetween(time.Second, 30*time.Second), "fall_ns": g.nanosBetween(500*time.Millisecond, 5*time.Second)},
		"categories": d.categories, "customers": d.customers, "specifics": specifics,
		"prices": map[string]any{"moves": g.Float64() / 4, "fleet": g.Float64() / 4, "cross_zone": g.Float64() / 10}}
}

// initialEvent returns an event of the control feed that lists three nodes of each kind.
func (d *deployment) initialEvent(withFreeCapacity bool) map[string]any {
	var servers []map[string]any
	for i := range 3 * len(d.kinds) {
		kind := i % len(d.kinds)
		servers = append(servers, map[string]any{"id": fmt.Sprint("s-", i), "addr": fmt.Sprintf("10.0.0.%d:1", i+1), "zone": "east",
			"kind": d.kinds[kind], "cell": i / 2, "state": "active", "weight": 1, "started_ms": 0})
		if withFreeCapacity {
			servers[i]["unasked"] = []float64{d.cores[kind], d.memory[kind]}
		}
	}
	return map[string]any{"n": 1, "members": map[string]any{"version": 1, "full": true, "servers": servers}}
}

// session submits tasks to a core with the configuration of a deployment and collects the core's effects. In the effects, it
// replaces the names of classes by those of the deployment plain, so that effects of both deployments can be compared.
type session struct {
	config            *Config
	core              *requests.Core
	deployment, plain *deployment
	rng               *rand.Rand
	now               requests.Time
	effects           []requests.Effect
}

func newSession(t *testing.T, d, plain *deployment, seed uint64) *session {
	t.Helper()
	config, err := ParseConfig([]byte(d.text))
	if err != nil {
		t.Fatalf("%v\n%s", err, d.text)
	}
	core, err := requests.New(requests.Config{Placer: config.Placer, Seed: config.Seed, NodeUnreachableTimeout: 6 * time.Second, MaxPendingBytes: 1 << 20,
		NodeIdleTimeout: config.NodeIdleTimeout, MaxPending: 100, MaxUnconfirmedAdoptions: 100, Admission: admission.Limits{MaxConnections: 10,
			IdleTimeout: time.Second, RecentUseGrace: time.Millisecond, MaxProtocolErrors: 3, MaxPendingPerConnection: 50}})
	if err != nil {
		t.Fatalf("%v\n%s", err, d.text)
	}
	return &session{config: config, core: core, deployment: d, plain: plain, rng: rand.New(rand.NewPCG(seed, 9)),
		now: 1_000_000 * time.Second}
}

// step passes inputs to the core, and then the responses of nodes to the resulting effects.
func (s *session) step(inputs ...requests.Input) {
	effects, _ := s.core.Step(s.now, inputs)
	effects = slices.Clone(effects)
	s.now += 3 * time.Millisecond
	for _, e := range effects {
		if offer, ok := e.(requests.Offer); ok {
			offer.Class = s.plain.classes[slices.Index(s.deployment.classes, offer.Class)]
			e = offer
		}
		s.effects = append(s.effects, e)
	}
	for _, e := range effects {
		if answer := s.answer(e); answer != nil {
			more, _ := s.core.Step(s.now, []requests.Input{answer})
			s.effects = append(s.effects, slices.DeleteFunc(slices.Clone(more), isOffer)...)
		}
	}
}

// answer returns a node's response to an effect, or nil if there is none. One in three offers is rejected on average.
func (s *session) answer(e requests.Effect) requests.Input {
	switch e := e.(type) {
	case requests.Dial:
		return requests.LinkUp{Link: e.Link}
	case requests.Offer:
		if s.rng.IntN(3) == 0 {
			return requests.NodeMessage{Link: e.Link, Kind: requests.NodeReleased, Task: e.Task, Cause: []requests.Cause{34, 41, 47, 102}[s.rng.IntN(4)]}
		}
		return requests.NodeMessage{Link: e.Link, Kind: requests.NodeAccepted, Task: e.Task, Description: "d"}
	}
	return nil
}

// setUp returns the i-th set-up message.
func (s *session) setUp(i int) *ownerjson.Message {
	d := s.deployment
	class, kind := i%len(d.classes), s.rng.IntN(len(d.kinds))
	m := &ownerjson.Message{Type: ownerjson.SetUp, ID: fmt.Sprintf("%016x", i+1), Cause: ownerjson.NoCause, HasDescription: true, Description: "x",
		Fields: map[string]string{"class": d.classes[class], "left": fmt.Sprint(d.timeLeftMillis), "key": fmt.Sprint("k", i),
			"extras": fmt.Sprintf("cores:%g;memory:%g;service:v%d", d.cores[kind]/4, d.memory[kind]/4, i%3)}}
	if d.keyed[class] {
		m.Fields["idem"] = "i"
	}
	if len(d.tenants) > 0 {
		m.Fields["tenant"] = d.tenants[s.rng.IntN(len(d.tenants))]
	}
	return m
}

// submitSetUps submits eight tasks of each class and returns all effects.
func submitSetUps(t *testing.T, d, plain *deployment, seed uint64) []requests.Effect {
	t.Helper()
	s := newSession(t, d, plain, seed)
	nodes, _ := MergeUpdates(s.config.InitialEvents)
	s.step(requests.OwnerConnected{Conn: 1, Host: "h"}, nodes)
	for i := range 8 * len(d.classes) {
		input, err := s.config.DecodeOwnerMessage(1, s.now, s.setUp(i))
		if err != nil {
			t.Fatalf("%v\n%s", err, d.text)
		}
		s.step(input)
	}
	return s.effects
}

func isOffer(e requests.Effect) bool {
	_, ok := e.(requests.Offer)
	return ok
}

// Random configurations are accepted, and their schedulers make offers. The decisions do not depend on the names of classes,
// tenants and kinds, even if these have non-ASCII characters, separators, quotes or many characters.
func TestGeneratedDeployments(t *testing.T) {
	plainName := func(what string, i int) string { return fmt.Sprint(what, i) }
	unusualName := func(what string, i int) string {
		return strings.Repeat("é, ", i) + "a=b " + what[:1] + "\t\"" + strings.Repeat("z", 40*i)
	}
	for seed := range uint64(150) {
		plain := generateDeployment(&generator{rand.New(rand.NewPCG(seed, 5)), plainName})
		unusual := generateDeployment(&generator{rand.New(rand.NewPCG(seed, 5)), unusualName})
		want, got := submitSetUps(t, &plain, &plain, seed), submitSetUps(t, &unusual, &plain, seed)
		if !reflect.DeepEqual(want, got) {
			t.Fatalf("seed %d: got %d effects with unusual names, want the same %d as with plain ones", seed, len(got), len(want))
		}
		if !slices.ContainsFunc(want, isOffer) {
			t.Errorf("seed %d: got no offer, want at least one", seed)
		}
	}
}
