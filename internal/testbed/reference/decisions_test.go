package reference_test

import (
	"flag"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"flaxshelf.example/flaxshelf"
	"flaxshelf.example/flaxshelf/internal/testbed/reference"
)

var eventLimit = flag.Int("former.events", 60_000, "random events that the module and the reference are given")

// decisionCounts is what a run of random events exercised.
type decisionCounts struct {
	events     int
	offers     int
	rejections int
}

// The module answers as the reference does, action by action, for random events in deployments of all sorts.
func TestSameDecisions(t *testing.T) {
	var counts decisionCounts
	for round := uint64(0); counts.events < *eventLimit; round++ {
		rapid.Check(t, func(t *rapid.T) { counts.compare(t, round) })
		if t.Failed() {
			return
		}
	}
	t.Logf("%d events, %d offers, %d rejections", counts.events, counts.offers, counts.rejections)
	if counts.offers < counts.events/20 || counts.rejections == 0 {
		t.Errorf("%d events, %d offers, %d rejections: the random events exercise too little",
			counts.events, counts.offers, counts.rejections)
	}
}

// compare plays one deployment.
func (c *decisionCounts) compare(t *rapid.T, round uint64) {
	cfg := randomConfig(t)
	seed := rapid.Uint64().Draw(t, "seed")
	source := newEventSource(cfg, rand.New(rand.NewPCG(seed, round)))
	twin, err := reference.NewTwin(cfg, seed)
	if err != nil {
		t.Fatal(err)
	}
	events := []flaxshelf.Event{source.completeList()}
	for range 120 {
		actions := twin.Step(source.now, events)
		if twin.Err != nil {
			t.Fatalf("%v\nafter %v", twin.Err, events)
		}
		for _, action := range actions {
			source.follow(action)
			switch action.(type) {
			case flaxshelf.Offer:
				c.offers++
			case flaxshelf.Reject:
				c.rejections++
			}
		}
		source.now += time.Duration(1+source.random.IntN(30)) * 2 * millisecond
		events = source.events()
	}
	c.events += twin.Events
}
