package search

import (
	"math/rand/v2"
	"time"

	"flaxshelf.example/flaxshelf/internal/testbed/platformsim"
)

// Draw returns the day of a seed. One fault in four days is alone, and one day in four has three of them.
func Draw(seed uint64) *platformsim.Day {
	rng := rand.New(rand.NewPCG(seed, 2))
	day := &platformsim.Day{
		Seed:   seed,
		Length: time.Duration(10+rng.IntN(30)) * time.Second,
		Nodes:  3 + rng.IntN(13),
		Rate:   0.5 + 15*rng.Float64(),
		Keyed:  0.4 * rng.Float64(),
		Unsafe: 0.3 * rng.Float64(),

		GiveUps: 0.2 * rng.Float64(),
	}
	if rng.IntN(6) == 0 { // a quiet day
		day.Rate /= 50
	}
	if rng.IntN(2) == 0 {
		day.Standby = rng.IntN(3 * day.Nodes)
	}
	count := []int{1, 2, 2, 3}[rng.IntN(4)]
	at := time.Duration(rng.Int64N(int64(day.Length / 2)))
	node := rng.IntN(day.Nodes)
	for range count {
		day.Faults = append(day.Faults, drawFault(rng, at, node))
		// The next fault is likely to meet what the former one has left behind: it follows soon, often at the same node.
		at = min(at+time.Duration(rng.ExpFloat64()*float64(time.Second)), day.Length)
		if rng.IntN(3) == 0 {
			node = rng.IntN(day.Nodes)
		}
	}
	return day
}

// drawFault returns a random fault within the limits of its kind.
func drawFault(rng *rand.Rand, at time.Duration, node int) platformsim.Fault {
	kinds := platformsim.Kinds()
	kind := kinds[rng.IntN(len(kinds))]
	limits := platformsim.Catalogue[kind]
	fault := platformsim.Fault{Kind: kind, At: at, Node: node}
	if limits.MaxLength > 0 {
		fault.For = limits.MaxLength/8 + time.Duration(rng.Int64N(int64(limits.MaxLength-limits.MaxLength/8)))
	}
	if limits.MaxCount > 0 {
		fault.Count = 1 + rng.IntN(min(limits.MaxCount, 8))
	}
	if rng.IntN(2) == 0 {
		fault.Phase = platformsim.Phases[rng.IntN(len(platformsim.Phases))]
	}
	return fault
}
