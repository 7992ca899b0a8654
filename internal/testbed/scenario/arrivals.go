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
	load       *Load
	loadIndex  int
	rng        *rand.Rand
	seed       uint64
	schedulers int
	drawn      int     // submissions so far
	seconds    float64 // time of the last submission
}

// Arrivals returns the submissions of load i.
func (d *Day) Arrivals(i int, seed uint64) *Arrivals {
	return &Arrivals{
		load:       &d.Load[i],
		loadIndex:  i,
		rng:        rand.New(rand.NewPCG(seed, uint64(i)+1)),
		seed:       seed,
		schedulers: d.Schedulers,
		seconds:    d.Load[i].From,
	}
}

// Next returns the next submission, or false when the load has ended. rateFactor multiplies the rate of submissions, and
// hotServiceFraction is the fraction of them that goes to the first service.
func (a *Arrivals) Next(rateFactor, hotServiceFraction float64) (Arrival, bool) {
	l, rng := a.load, a.rng
	a.seconds += rng.ExpFloat64() / (l.PerSecond * rateFactor)
	if a.seconds >= l.To {
		return Arrival{}, false
	}
	// The order of the draws must not change: it determines the submissions of a seed.
	service := rng.IntN(l.Services)
	if rng.Float64() < hotServiceFraction {
		service = 0
	}
	runtime := l.Runtime[0].Duration() + time.Duration(rng.Float64()*float64(l.Runtime[1]-l.Runtime[0]))
	scheduler := rng.IntN(a.schedulers)
	controlDraw := rng.Float64()
	controlDelay := Seconds(rng.Float64() * maxControlDelay)
	arrival := Arrival{
		At:           Seconds(a.seconds),
		Load:         l,
		Key:          fmt.Sprintf("t%d-%d-%d", a.seed, a.loadIndex, a.drawn),
		Service:      fmt.Sprintf("%s-%d", l.Class, service),
		Runtime:      runtime,
		Scheduler:    scheduler,
		ControlDraw:  controlDraw,
		ControlDelay: controlDelay,
		Cores:        l.Cores,
		Memory:       l.Memory,
	}
	a.drawn++
	return arrival, true
}
