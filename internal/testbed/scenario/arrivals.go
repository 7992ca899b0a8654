package scenario

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// maxControlDelay bounds, in seconds, how long after its submission a client terminates, or holds, a job.
const maxControlDelay = 0.3

// Arrival is one submission of a load.
type Arrival struct {
	At        time.Duration // intended time since the start of the day, even if the sender is late
	Load      *Load
	Key       string // idempotency key
	Service   string
	Runtime   time.Duration // runtime
	Scheduler int           // index of the scheduler that it is sent to
	// ControlDraw, in [0, 1), determines whether the client terminates the job, holds it or lets it run: it is compared with the
	// shares of the load. Pause is the delay until then.
	ControlDraw  float64
	ControlDelay time.Duration
	// Cores and Memory are the requested resources; 0: as the class has them.
	Cores  float64
	Memory float64
}

// Arrivals draws the submissions of one load. They depend on the day and the seed alone, so that two designs that are
// compared get the same ones. Not safe for concurrent use.
type Arrivals struct {
	load       *Load
	loadIndex  int
	rng        *rand.Rand
	seed       uint64
	schedulers int
	drawn      int     // submissions so far
	seconds    float64 // time of the last one
}

// Arrivals starts to draw the submissions of load i.
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

// Next draws the next submission; it returns false when the load has ended. rateFactor multiplies the rate of submissions,
// and hotShare is the share of them that goes to the first service.
func (a *Arrivals) Next(rateFactor, hotShare float64) (Arrival, bool) {
	l, rng := a.load, a.rng
	a.seconds += rng.ExpFloat64() / (l.PerSecond * rateFactor)
	if a.seconds >= l.To {
		return Arrival{}, false
	}
	// The order of the draws is part of what a seed stands for.
	service := rng.IntN(l.Services)
	if rng.Float64() < hotShare {
		service = 0
	}
	life := l.Runtime[0].Duration() + time.Duration(rng.Float64()*float64(l.Runtime[1]-l.Runtime[0]))
	scheduler := rng.IntN(a.schedulers)
	verb := rng.Float64()
	pause := Seconds(rng.Float64() * maxControlDelay)
	arrival := Arrival{
		At:           Seconds(a.seconds),
		Load:         l,
		Key:          fmt.Sprintf("t%d-%d-%d", a.seed, a.loadIndex, a.drawn),
		Service:      fmt.Sprintf("%s-%d", l.Class, service),
		Runtime:      life,
		Scheduler:    scheduler,
		ControlDraw:  verb,
		ControlDelay: pause,
		Cores:        l.Cores,
		Memory:       l.Memory,
	}
	a.drawn++
	return arrival, true
}
