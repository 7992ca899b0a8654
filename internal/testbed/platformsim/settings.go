package platformsim

import (
	"encoding/json"
	"fmt"
	"time"
)

// The classes of a day's requests.
const (
	classIdempotent = "sensor"
	classKeyed      = "simulation"
	classUnsafe     = "ledger"
)

// Times of the settings that the rules refer to.
const (
	drainGrace     = 2 * time.Second
	keyTTL         = 5 * time.Second
	makeSureDelay  = 3 * time.Second // how long an owner waits before it submits a task again that may run
	smallTimeLeft  = 6 * time.Second
	largeTimeLeft  = 9 * time.Second
	smallObjective = 600 * time.Millisecond
	largeObjective = 5 * time.Second
)

// configText returns the configuration of a scheduler, with the events of the feed up to now.
func configText(s *simulation, start uint64) []byte {
	var events []json.RawMessage
	for _, event := range s.feed.events {
		events = append(events, json.RawMessage(event.data))
	}
	text, err := json.Marshal(map[string]any{
		"name": "s0", "listen": "127.0.0.1:1", "feed": "127.0.0.1:2", "seed": fmt.Sprintf("%x", s.day.Seed*1000+start),
		"limits":   map[string]any{"cores": 0.25, "memory_mb": 64, "sockets": 256},
		"known":    map[string]any{"n": len(events), "events": events},
		"settings": settings(),
	})
	if err != nil {
		panic(err) // the values above can always be encoded
	}
	return text
}

// settings returns the settings of a deployment with one class of each idempotency.
func settings() map[string]any {
	class := func(name, effect, scope string, objective, deadline time.Duration, worth float64) map[string]any {
		return map[string]any{"name": name, "effect": effect, "key_scope": scope, "key_ttl_ns": keyTTL, "objective_ns": objective,
			"deadline_ns": deadline, "late_worth": 0.1, "worth": worth}
	}
	return map[string]any{
		"balancers": 1, "index": 0, "zone": roomName(0), "discovery": "on_request", "round_ns": 2 * time.Millisecond,
		"kinds": []string{"medium"}, "customers": []any{},
		"caps": map[string]any{"cancel": true, "conn_idle_ns": 30 * time.Second, "connect_timeout_ns": 250 * time.Millisecond,
			"most_tries": 3, "probes": false},
		"categories": []any{
			class(classIdempotent, "read_like", "all", smallObjective, smallTimeLeft, 3),
			class(classKeyed, "idempotency_key", "zone", largeObjective, largeTimeLeft, 9),
			class(classUnsafe, "non_idempotent", "all", largeObjective, smallTimeLeft, 5),
		},
		"obligations": map[string]any{"ask_within_ns": 10 * time.Second, "cold_ns": 15 * time.Second, "fall_ns": 3 * time.Second,
			"stop_sending_within_ns": drainGrace},
		"prices": map[string]any{"cross_zone": 0.03, "moves": 0.08},
		"specifics": map[string]any{"admit_cores": 1.5, "class_calm": []float64{1, 0.8, 1}, "confirms": "accepted",
			"fade_span": []float64{1, 0.2, 1}, "fresh_offers": 86.0, "kind_by_class": []int{-1, -1, -1}, "kind_cores": []int{30},
			"mem_of_kind": []float64{86}, "memory_multiple": 1.5, "priority_by_class": []int{0, 1, 0}, "pushes_out": true,
			"quota_cores": []float64{}, "refusal_fee": 0.02, "shows_free": false, "spread_over": []string{"off", "off", "off"},
			"start_seconds": []float64{12, 8, 8}, "together_max": []int{0, 0, 0}},
	}
}
