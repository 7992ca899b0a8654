package planrun

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"flaxshelf.example/flaxshelf/internal/lab/load"
	"flaxshelf.example/flaxshelf/internal/lab/scenario"
	"flaxshelf.example/flaxshelf/internal/planner"
)

// Captured is what a captured load says of one class, and how far that can be trusted.
type Captured struct {
	planner.Class
	Jobs   int
	CutOff int     // lives not seen to their end
	Within float64 // the rate and the mean life are uncertain by this share, two standard errors
	Doubts []string
}

// few is how many jobs, or ends of lives, are too few to plan with.
const few = 30

// FromTrace makes a load of a captured one, on the classes of a day. Gaps are left out of the time; lives that were
// cut off count as censored: time seen running over ends seen, as of exponential lives.
func FromTrace(t *load.Trace, d *scenario.Day) ([]Captured, error) {
	length := t.Length()
	for _, g := range t.Gaps {
		length -= g.To - g.From
	}
	if length <= 0 || len(t.Jobs) < 2 {
		return nil, fmt.Errorf("planrun: the captured load has %d jobs in %v: nothing to plan with",
			len(t.Jobs), length)
	}
	byClass := map[string][]load.Job{}
	for _, j := range t.Jobs {
		byClass[j.Class] = append(byClass[j.Class], j)
	}
	var all []Captured
	for name, jobs := range byClass {
		c := d.Class(name)
		if c == nil {
			return nil, fmt.Errorf("planrun: the captured load has class %q, which the fleet's file does not know", name)
		}
		k := Captured{Jobs: len(jobs)}
		k.Name, k.PerSecond = name, float64(len(jobs))/length.Seconds()
		k.UseCores, k.UseMemory = mean(d.Behaviour.CoreUsageRange), mean(d.Behaviour.MemoryUsageRange)
		k.Spread, k.Most, k.GiveUp = c.SpreadDomain, c.MaxPerDomain, c.PlacementTimeout.Duration().Seconds()
		services := map[string]bool{}
		var seen time.Duration
		ends := 0
		for _, j := range jobs {
			k.Cores += or(j.Cores, c.Cores) / float64(len(jobs))
			k.Memory += or(j.Memory, c.Memory) / float64(len(jobs))
			services[j.Service] = true
			seen += j.Life
			if j.CutOff {
				k.CutOff++
			} else {
				ends++
			}
		}
		k.Services = len(services)
		k.Life = seen.Seconds() / float64(max(ends, 1))
		k.Within = 2 * math.Sqrt(1/float64(len(jobs))+1/float64(max(ends, 1)))
		k.suspect(t, length, ends)
		all = append(all, k)
	}
	slices.SortFunc(all, func(a, b Captured) int { return cmp.Compare(a.Name, b.Name) })
	return all, nil
}

func or(v, other float64) float64 {
	if v > 0 {
		return v
	}
	return other
}

func (k *Captured) suspect(t *load.Trace, length time.Duration, ends int) {
	say := func(format string, args ...any) { k.Doubts = append(k.Doubts, fmt.Sprintf(format, args...)) }
	if k.Jobs < few {
		say("only %d jobs were captured", k.Jobs)
	}
	if ends < few {
		say("only %d lives were seen to their end", ends)
	}
	if k.CutOff*4 > k.Jobs {
		say("%d of %d lives were cut off; the mean takes them for exponential", k.CutOff, k.Jobs)
	}
	if len(t.Gaps) > 0 {
		say("%d gaps were left out", len(t.Gaps))
	}
	if length.Seconds() < 5*k.Life {
		say("%v were captured, under five mean lives: a daily peak is not in it", length.Round(time.Second))
	}
}
