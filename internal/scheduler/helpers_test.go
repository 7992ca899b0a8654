package scheduler

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"flaxshelf.example/flaxshelf"
)

// testConfig returns a configuration with one kind of node, a drain grace of 1 s, a settle time of 2 s and four classes:
// idempotent; idempotent by key in a zone for 5 s; not idempotent; and idempotent with at most one task per zone.
func testConfig() Config {
	return Config{
		Name: "s",
		Seed: 1,
		Module: flaxshelf.Config{
			Schedulers:            1,
			MaxAttempts:           3,
			CanCancel:             true,
			CoreOvercommit:        1,
			MemoryOvercommit:      1,
			DiscoveryOnRequest:    true,
			Tick:                  2 * time.Millisecond,
			ConnectTimeout:        250 * time.Millisecond,
			AnswerSlack:           100 * time.Millisecond,
			DrainGrace:            time.Second,
			DiscoveryPollDeadline: 10 * time.Second,
			SlowStartDuration:     10 * time.Second,
			OverloadWindow:        2 * time.Second,
			SlowStartBudget:       4,
			Kinds:                 []flaxshelf.MachineKind{{Name: "small", Cores: 8, Memory: 32}},
			Classes: []flaxshelf.TaskClass{
				{Name: "safe", Idempotency: flaxshelf.Idempotent, LatencyObjective: time.Second, Kind: -1},
				{Name: "keyed", Idempotency: flaxshelf.IdempotentByKey, KeyDomain: flaxshelf.ZoneDomain,
					KeyTTL: 5 * time.Second, LatencyObjective: time.Second, Kind: -1},
				{Name: "unsafe", Idempotency: flaxshelf.NonIdempotent, LatencyObjective: time.Second, Kind: -1},
				{Name: "spread", Idempotency: flaxshelf.Idempotent, LatencyObjective: time.Second, Kind: -1,
					SpreadDomain: flaxshelf.ZoneDomain, MaxPerDomain: 1},
			},
		},
		Limits: Limits{
			MaxPending:        4,
			MaxRunning:        100,
			MaxFinished:       3,
			MaxSessions:       2,
			Retention:         time.Minute,
			SettleTime:        2 * time.Second,
			StallThreshold:    500 * time.Millisecond,
			PlacementTimeouts: []time.Duration{3 * time.Second, 8 * time.Second, 3 * time.Second, 3 * time.Second},
		},
	}
}

func newTestCore(t rapid.TB, cfg Config) *Core {
	t.Helper()
	core, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	return core
}

// newConnectedCore creates a core with testConfig and the connected nodes n1, n2 and n3.
func newConnectedCore(t *testing.T, now Time) *Core {
	t.Helper()
	core := newTestCore(t, testConfig())
	machines := (&simulation{}).machines()
	core.Step(now, []Input{
		NodesUpdated{Complete: true, Machines: machines},
		NodeConnected{Node: "n1"}, NodeConnected{Node: "n2"}, NodeConnected{Node: "n3"},
	})
	return core
}

// answerTo returns the answer to a request. It fails the test unless there is exactly one.
func answerTo(t *testing.T, out Output, requestID uint64) Answer {
	t.Helper()
	var found []Answer
	for _, effect := range out.Effects {
		if answer, ok := effect.(Answer); ok && answer.RequestID == requestID {
			found = append(found, answer)
		}
	}
	if len(found) != 1 {
		t.Fatalf("got %d answers to request %d, want 1", len(found), requestID)
	}
	return found[0]
}

// offersOf returns the offers that a step sent.
func offersOf(out Output) []SendOffer {
	var offers []SendOffer
	for _, effect := range out.Effects {
		if offer, ok := effect.(SendOffer); ok {
			offers = append(offers, offer)
		}
	}
	return offers
}
