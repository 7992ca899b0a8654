package scenario

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"flaxshelf.example/flaxshelf/internal/settings"
)

// Arrival is one submission of a load.
type Arrival struct {
	At            time.Duration // since the start of the day: the intended time, whatever holds the sender up
	Load          *Load
	Key, Service  string
	Life          time.Duration
	Scheduler     int
	Verb          float64       // a draw of [0, 1) for what its owner does to it
	Pause         time.Duration // until then
	Cores, Memory float64       // 0: as the class has it
}

// Arrivals are the submissions of one load, drawn from a seed and from nothing else, so that two designs meet the
// same ones.
type Arrivals struct {
	load  *Load
	rng   *rand.Rand
	seed  uint64
	index int
	n     int
	at    float64
	count int
}

// Arrivals begins the submissions of load i.
func (d *Day) Arrivals(i int, seed uint64) *Arrivals {
	return &Arrivals{load: &d.Load[i], rng: rand.New(rand.NewPCG(seed, uint64(i)+1)), seed: seed, index: i,
		at: d.Load[i].From, count: d.Schedulers}
}

// Next draws the next submission. factor multiplies the rate now, hot is the share that goes to one service now.
func (a *Arrivals) Next(factor, hot float64) (Arrival, bool) {
	l, r := a.load, a.rng
	a.at += r.ExpFloat64() / (l.PerSecond * factor)
	if a.at >= l.To {
		return Arrival{}, false
	}
	service := r.IntN(l.Services)
	if r.Float64() < hot {
		service = 0
	}
	x := Arrival{At: Seconds(a.at), Load: l, Key: fmt.Sprintf("t%d-%d-%d", a.seed, a.index, a.n),
		Service: fmt.Sprintf("%s-%d", l.Class, service), Cores: l.Cores, Memory: l.Memory,
		Life:      l.Life[0].Duration() + time.Duration(r.Float64()*float64(l.Life[1]-l.Life[0])),
		Scheduler: r.IntN(a.count), Verb: r.Float64(), Pause: Seconds(r.Float64() * 0.3)}
	a.n++
	return x, true
}

// Seconds turns a number of seconds into a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Place is one node of the fleet.
type Place struct {
	Name  string
	Group *Group
}

// Places lists the fleet's nodes.
func (d *Day) Places() []Place {
	var all []Place
	for i := range d.Fleet {
		for n := range d.Fleet[i].Count {
			all = append(all, Place{fmt.Sprintf("%s%d", d.Fleet[i].Name, n), &d.Fleet[i]})
		}
	}
	return all
}

// Rand is the source of what trouble i draws.
func (d *Day) Rand(i int, seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 1000+uint64(i))) }

// Pick draws the nodes that a trouble is put upon, as indexes of Places.
func (d *Day) Pick(t *Trouble, rng *rand.Rand) []int {
	var all []int
	for i, p := range d.Places() {
		if t.Zone == "" || t.Zone == p.Group.Zone {
			all = append(all, i)
		}
	}
	rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:int(math.Ceil(float64(len(all))*t.Share))]
}

// Class is the record of a class.
func (d *Day) Class(name string) *settings.Class {
	for i := range d.Classes {
		if d.Classes[i].Name == name {
			return &d.Classes[i]
		}
	}
	return nil
}
