package scenario

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// maxControlDelay is the maximum delay, in seconds, from the submission of a job until its client terminates or holds it.
const maxControlDelay = 0.3

// Arrival is one submission of a load.
type Arrival struct {
	At        time.Duration // intended time since the start of the day, even if the sender is late
	Load      *Load
	Key       string // idempotency key
	Service   string
	Runtime   time.Duration
	Scheduler int // index of the scheduler that it is sent to
	// ControlDraw, in [0, 1), determines whether the client terminates the job, holds it or lets it run: it is compared with
	// the fractions Terminate and Hold of the load. ControlDelay is the delay from the submission until then.
	ControlDraw  float64
	ControlDelay time.Duration
	// Cores and Memory are the requested resources; zero means those of the class.
	Cores  float64
	Memory float64
}

// Arrivals draws the submissions of one load. They depend only on the day and the seed, so that designs are compared on
// the same submissions. It is not safe for concurrent use.
type Arrivals struct {
	load        *Load
	loadIndex   int
	rng         *rand.Rand
	seed        uint64
	schedulers  int
	drawn       int     // submissions so far
	lastSeconds float64 // time of the last submission
}

// Arrivals returns the submissions of load i.
func (d *Day) Arrivals(loadIndex int, seed uint64) *Arrivals {
	return &Arrivals{
		load:        &d.Loads[loadIndex],
		loadIndex:   loadIndex,
		rng:         rand.New(rand.NewPCG(seed, uint64(loadIndex)+1)),
		seed:        seed,
		schedulers:  d.Schedulers,
		lastSeconds: d.Loads[loadIndex].From,
	}
}

// Next returns the next submission, or false when the load has ended. rateFactor multiplies the rate of submissions, and
// hotServiceFraction is the fraction of them that goes to the first service.
func (a *Arrivals) Next(rateFactor, hotServiceFraction float64) (Arrival, bool) {
	load, rng := a.load, a.rng
	a.lastSeconds += rng.ExpFloat64() / (load.PerSecond * rateFactor)
	if a.lastSeconds >= load.To {
		return Arrival{}, false
	}
	// The order of the draws must not change: it determines the submissions of a seed.
	service := rng.IntN(load.Services)
	if rng.Float64() < hotServiceFraction {
		service = 0
	}
	runtime := load.RuntimeBounds[0].Duration() + time.Duration(rng.Float64()*float64(load.RuntimeBounds[1]-load.RuntimeBounds[0]))
	scheduler := rng.IntN(a.schedulers)
	controlDraw := rng.Float64()
	controlDelay := Seconds(rng.Float64() * maxControlDelay)
	arrival := Arrival{
		At:           Seconds(a.lastSeconds),
		Load:         load,
		Key:          fmt.Sprintf("t%d-%d-%d", a.seed, a.loadIndex, a.drawn),
		Service:      fmt.Sprintf("%s-%d", load.Class, service),
		Runtime:      runtime,
		Scheduler:    scheduler,
		ControlDraw:  controlDraw,
		ControlDelay: controlDelay,
		Cores:        load.Cores,
		Memory:       load.Memory,
	}
	a.drawn++
	return arrival, true
}
