package scenario

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// maxControlDelay is the maximum time, in seconds, from the submission of a job until its client terminates or holds it.
const maxControlDelay = 0.3

// Arrival is the submission of one job of a load.
type Arrival struct {
	At        time.Duration // scheduled time since the start of the day, even if it is sent later
	Load      *Load
	Key       string // idempotency key
	Service   string
	Runtime   time.Duration
	Scheduler int // index of the scheduler that gets the submission
	// ControlDraw is a random number in [0, 1) that determines whether the client terminates the job, holds it or lets it run. It
	// is compared with TerminateFraction and HoldFraction of the load. ControlDelay is the time from the submission until then.
	ControlDraw  float64
	ControlDelay time.Duration
	// Cores and Memory are the requested resources. Zero means those of the class.
	Cores  float64
	Memory float64
}

// Arrivals generates the submissions of one load. They depend only on the day, the seed and the arguments of Next, so that the
// designs of an experiment are compared on the same submissions. It is not safe for concurrent use.
type Arrivals struct {
	load        *Load
	loadIndex   int
	rng         *rand.Rand
	seed        uint64
	schedulers  int
	drawn       int     // number of generated submissions
	lastSeconds float64 // time of the last submission since the start of the day
}

// Arrivals returns the submissions of the load at the given index of d.Loads.
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

// Next returns the next submission, or false if the load has ended. rateFactor multiplies the rate of submissions, and
// hotServiceFraction is the fraction of them that is sent to the first service.
func (a *Arrivals) Next(rateFactor, hotServiceFraction float64) (Arrival, bool) {
	load, rng := a.load, a.rng
	a.lastSeconds += rng.ExpFloat64() / (load.PerSecond * rateFactor)
	if a.lastSeconds >= load.To {
		return Arrival{}, false
	}
	// The order of the calls of rng must not change, since the submissions of a seed depend on it.
	service := rng.IntN(load.Services)
	if rng.Float64() < hotServiceFraction {
		service = 0
	}
	runtime := load.RuntimeBounds[0].Duration() +
		time.Duration(rng.Float64()*float64(load.RuntimeBounds[1]-load.RuntimeBounds[0]))
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
