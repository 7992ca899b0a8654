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
	"flaxshelf.example/flaxshelf/internal/codec/ownerline"
	"flaxshelf.example/flaxshelf/internal/requests"
)

// customer is a deployment drawn at random: its configuration, and the names in it.
type customer struct {
	text           string
	class, tenant  []string
	kinds          []string
	keyed          []bool
	cores, memory  []float64
	deadlineMillis int
}

// draw makes a configuration that no page holds. named makes each name from its number.
func draw(rng *rand.Rand, named func(what string, i int) string) customer {
	var c customer
	pick := func(all ...any) any { return all[rng.IntN(len(all))] }
	upTo := func(most int) int { return 1 + rng.IntN(most) }
	ns := func(least, most time.Duration) int64 { return int64(least) + rng.Int64N(int64(most-least)) }
	var categories, customers []map[string]any
	n := upTo(6)
	lists := map[string][]any{}
	for i := range n {
		c.class = append(c.class, named("class", i))
		effect := pick("read_like", "idempotency_key", "non_idempotent")
		c.keyed = append(c.keyed, effect == "idempotency_key")
		categories = append(categories, map[string]any{"name": c.class[i], "effect": effect, "worth": float64(upTo(9)),
			"key_scope": pick("machine", "cell", "zone", "all"), "key_ttl_ns": ns(time.Second, time.Minute),
			"objective_ns": ns(10*time.Millisecond, 20*time.Second), "late_worth": rng.Float64()})
		spread := pick("off", "machine", "cell", "zone")
		for k, v := range map[string]any{"start_seconds": upTo(20), "class_calm": 1, "fade_span": 1, "kind_by_class": -1,
			"priority_by_class": rng.IntN(3), "together_max": upTo(5), "spread_over": spread} {
			lists[k] = append(lists[k], v)
		}
	}
	for i := range rng.IntN(6) {
		c.tenant = append(c.tenant, named("tenant", i))
		customers = append(customers, map[string]any{"name": c.tenant[i], "fraction": rng.Float64(), "quota_per_s": rng.Float64() * 50})
		lists["quota_cores"] = append(lists["quota_cores"], upTo(100))
	}
	for i := range upTo(4) {
		c.kinds = append(c.kinds, named("kind", i))
		c.cores, c.memory = append(c.cores, float64(upTo(64))), append(c.memory, float64(upTo(256)))
	}
	specifics := map[string]any{"kind_cores": c.cores, "mem_of_kind": c.memory, "admit_cores": 1 + rng.Float64()*3,
		"memory_multiple": 1 + rng.Float64(), "confirms": pick("running", "accepted"), "pushes_out": pick(true, false),
		"shows_free": pick(true, false), "fresh_offers": rng.Float64() * 40, "refusal_fee": rng.Float64() / 10}
	for k, v := range lists {
		specifics[k] = v
	}
	balancers := upTo(100)
	settings := map[string]any{"index": rng.IntN(balancers), "balancers": balancers, "zone": pick("", "east"), "kinds": c.kinds,
		"discovery": pick("pushed", "on_request"), "round_ns": ns(time.Millisecond, 20*time.Millisecond),
		"caps": map[string]any{"cancel": pick(true, false), "most_tries": rng.IntN(6), "probes": pick(true, false),
			"connect_timeout_ns": ns(time.Millisecond, time.Second), "conn_idle_ns": rng.Int64N(int64(time.Minute))},
		"obligations": map[string]any{"stop_sending_within_ns": ns(50*time.Millisecond, 10*time.Second),
			"cold_ns": ns(time.Second, 30*time.Second), "fall_ns": ns(500*time.Millisecond, 5*time.Second)},
		"categories": categories, "customers": customers, "specifics": specifics,
		"prices": map[string]any{"moves": rng.Float64() / 4, "fleet": rng.Float64() / 4, "cross_zone": rng.Float64() / 10}}
	c.deadlineMillis = 300 + upTo(90_000)
	b, _ := json.Marshal(map[string]any{"name": "n0", "listen": "127.0.0.1:0", "feed": "127.0.0.1:1", "seed": "1f", "settings": settings,
		"limits": map[string]any{"cores": 0.1 + rng.Float64(), "memory_mb": 32 + rng.IntN(160), "sockets": 256 + rng.IntN(768)},
		"known":  map[string]any{"n": 1, "events": []any{c.list(rng.IntN(2) == 0)}}})
	c.text = string(b)
	return c
}

// list is an event that names a few nodes of every kind.
func (c *customer) list(free bool) map[string]any {
	var all []map[string]any
	for i := range 3 * len(c.kinds) {
		k := i % len(c.kinds)
		all = append(all, map[string]any{"id": fmt.Sprint("s-", i), "addr": fmt.Sprintf("10.0.0.%d:1", i+1), "zone": "east",
			"kind": c.kinds[k], "cell": i / 2, "state": "active", "weight": 1, "started_ms": 0})
		if free {
			all[i]["unasked"] = []float64{c.cores[k], c.memory[k]}
		}
	}
	return map[string]any{"n": 1, "members": map[string]any{"version": 1, "full": true, "servers": all}}
}

// day plays a few set-ups of each class on a customer's core and returns its effects; the names in them are those of plain.
func day(t *testing.T, c, plain customer, seed uint64) []requests.Effect {
	t.Helper()
	cfg, err := ParseConfig([]byte(c.text))
	if err != nil {
		t.Fatalf("%v\n%s", err, c.text)
	}
	core, err := requests.New(requests.Config{Module: cfg.Module, Seed: cfg.Seed, NodeUnreachableTimeout: 6 * time.Second, NodeIdleTimeout: cfg.NodeIdleTimeout, MaxPending: 100,
		Admission: admission.Limits{MaxConnections: 10, IdleTimeout: time.Second, RecentUseGrace: time.Millisecond, MaxProtocolErrors: 3, MaxPendingPerConnection: 50}})
	if err != nil {
		t.Fatalf("%v\n%s", err, c.text)
	}
	rng := rand.New(rand.NewPCG(seed, 9))
	now := requests.Time(1_000_000 * time.Second)
	list, _ := MergeUpdates(cfg.InitialEvents)
	var all []requests.Effect
	step := func(in ...requests.Input) {
		effects, _ := core.Step(now, in)
		effects = slices.Clone(effects)
		now += 3 * time.Millisecond
		for _, e := range effects {
			if o, ok := e.(requests.Offer); ok {
				o.Class = plain.class[slices.Index(c.class, o.Class)]
				e = o
			}
			all = append(all, e)
		}
		for _, e := range effects {
			var next requests.Input
			switch e := e.(type) {
			case requests.Dial:
				next = requests.LinkUp{Link: e.Link}
			case requests.Offer:
				next = requests.NodeMessage{Link: e.Link, Kind: requests.NodeAccepted, Task: e.Task, Description: "d"}
				if rng.IntN(3) == 0 {
					next = requests.NodeMessage{Link: e.Link, Kind: requests.NodeReleased, Task: e.Task, Cause: []int{34, 41, 47, 102}[rng.IntN(4)]}
				}
			default:
				continue
			}
			more, _ := core.Step(now, []requests.Input{next})
			all = append(all, slices.DeleteFunc(slices.Clone(more), func(e requests.Effect) bool { _, o := e.(requests.Offer); return o })...)
		}
	}
	step(requests.OwnerConnected{Conn: 1, Host: "h"}, list)
	for i := range 8 * len(c.class) {
		class := i % len(c.class)
		kind := rng.IntN(len(c.kinds))
		m := &ownerline.Message{Type: ownerline.SetUp, ID: fmt.Sprintf("%016x", i+1), Cause: -1, Described: true, Description: "x",
			Fields: map[string]string{"class": c.class[class], "left": fmt.Sprint(c.deadlineMillis), "key": fmt.Sprint("k", i),
				"extras": fmt.Sprintf("cores:%g;memory:%g;service:v%d", c.cores[kind]/4, c.memory[kind]/4, i%3)}}
		if c.keyed[class] {
			m.Fields["idem"] = "i"
		}
		if len(c.tenant) > 0 {
			m.Fields["tenant"] = c.tenant[rng.IntN(len(c.tenant))]
		}
		in, err := cfg.DecodeOwnerMessage(1, now, m)
		if err != nil {
			t.Fatalf("%v\n%s", err, c.text)
		}
		step(in)
	}
	return all
}

// Settings of customers that nobody knows yet pass the start and a few set-ups; and with other names for classes, tenants and
// kinds, odd ones among them, every decision stays as it was.
func TestOtherCustomers(t *testing.T) {
	for seed := range uint64(150) {
		plain := draw(rand.New(rand.NewPCG(seed, 5)), func(what string, i int) string { return fmt.Sprint(what, i) })
		odd := draw(rand.New(rand.NewPCG(seed, 5)), func(what string, i int) string {
			return strings.Repeat("é, ", i) + "a=b " + what[:1] + "\t\"" + strings.Repeat("z", 40*i)
		})
		want, got := day(t, plain, plain, seed), day(t, odd, plain, seed)
		if !reflect.DeepEqual(want, got) {
			t.Fatalf("seed %d: other names, other decisions: %d effects, %d before", seed, len(got), len(want))
		}
		if !slices.ContainsFunc(want, func(e requests.Effect) bool { _, o := e.(requests.Offer); return o }) {
			t.Errorf("seed %d: nothing was offered", seed)
		}
	}
}
