package emulator

import (
	"fmt"

	"flaxshelf.example/flaxshelf/internal/lab/load"
	"flaxshelf.example/flaxshelf/internal/lab/scenario"
)

// arrivals is where submissions come from: drawn from a day's load, or played from a trace.
type arrivals interface {
	Next(factor, hot float64) (scenario.Arrival, bool)
}

// played is the submissions of a trace at their own times. The schedulers get them in turn. What makes a drawn load
// larger or hotter does nothing to it.
type played struct {
	trace      *load.Trace
	loads      map[string]*scenario.Load // by class and tenant
	schedulers int
	n          int
}

// newPlayed checks a trace against the day that it is to be played on.
func newPlayed(t *load.Trace, d *scenario.Day) (*played, error) {
	p := &played{trace: t, loads: map[string]*scenario.Load{}, schedulers: d.Schedulers}
	for i := range t.Jobs {
		j := &t.Jobs[i]
		if d.Class(j.Class) == nil {
			return nil, fmt.Errorf("emulator: the load has class %q, which %s does not know", j.Class, d.Name)
		}
		if k := j.Class + "\x00" + j.Tenant; p.loads[k] == nil {
			p.loads[k] = &scenario.Load{Class: j.Class, Tenant: j.Tenant}
		}
	}
	return p, nil
}

// Next is the next job of the trace.
func (p *played) Next(float64, float64) (scenario.Arrival, bool) {
	if p.n == len(p.trace.Jobs) {
		return scenario.Arrival{}, false
	}
	j := &p.trace.Jobs[p.n]
	a := scenario.Arrival{At: j.At, Load: p.loads[j.Class+"\x00"+j.Tenant], Key: fmt.Sprintf("p%d", p.n), Service: j.Service,
		Life: j.Life, Scheduler: p.n % p.schedulers, Verb: 1, Cores: j.Cores, Memory: j.Memory}
	p.n++
	return a, true
}
