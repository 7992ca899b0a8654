package plancheck

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"flaxshelf.example/flaxshelf/internal/planner"
	"flaxshelf.example/flaxshelf/internal/testbed/load"
	"flaxshelf.example/flaxshelf/internal/testbed/scenario"
)

// CapturedClass is an estimate of the load of one class from a captured load, with its uncertainty.
type ClassEstimate struct {
	planner.Class
	Jobs             int      // captured jobs
	CensoredRuntimes int      // jobs whose end was not observed
	RelativeError    float64  // of the rate and of the mean runtime: two standard errors
	Warnings         []string // reasons not to trust the estimate
}

// Thresholds of the warnings.
const (
	minSamples          = 30 // jobs, or ends of jobs
	maxCensoredFraction = 0.25
	minMeanRuntimes     = 5 // length of the capture, in mean runtimes
)

// EstimateLoad estimates the load of each class of a captured trace, with the classes and nodes of a day. Gaps of the
// capture are excluded from its length. The mean runtime is the total runtime of all jobs divided by the number of ends that
// were observed, which assumes exponential runtimes. EstimateLoad returns an error if the capture is too short or has a
// class that the day does not have.
func EstimateLoad(trace *load.Trace, day *scenario.Day) ([]ClassEstimate, error) {
	length := trace.Duration()
	for _, gap := range trace.Gaps {
		length -= gap.To - gap.From
	}
	if length <= 0 || len(trace.Jobs) < 2 {
		return nil, fmt.Errorf("plancheck: the captured load has %d jobs in %v: too few to plan with", len(trace.Jobs), length)
	}
	jobsByClass := map[string][]load.Job{}
	for _, job := range trace.Jobs {
		jobsByClass[job.Class] = append(jobsByClass[job.Class], job)
	}
	var classes []ClassEstimate
	for name, jobs := range jobsByClass {
		class, err := estimateClass(day, name, jobs, length)
		if err != nil {
			return nil, err
		}
		class.addWarnings(len(trace.Gaps), length)
		classes = append(classes, class)
	}
	slices.SortFunc(classes, func(a, b ClassEstimate) int { return cmp.Compare(a.Name, b.Name) })
	return classes, nil
}

// estimateClass estimates the load of one class from its jobs in a capture of the given length.
func estimateClass(day *scenario.Day, name string, jobs []load.Job, length time.Duration) (ClassEstimate, error) {
	settings := day.Class(name)
	if settings == nil {
		return ClassEstimate{}, fmt.Errorf("plancheck: the captured load has class %q, which the day does not have", name)
	}
	count := float64(len(jobs))
	class := ClassEstimate{Jobs: len(jobs), Class: planner.Class{
		Name:          name,
		JobsPerSecond: count / length.Seconds(),
		CoreUsage:     mean(day.Behaviour.CoreUsageRange),
		MemoryUsage:   mean(day.Behaviour.MemoryUsageRange),
		SpreadDomain:  settings.SpreadDomain,
		MaxPerDomain:  settings.MaxPerDomain,
	}}
	services := map[string]bool{}
	var runtimes time.Duration
	for _, job := range jobs {
		class.Cores += positiveOr(job.Cores, settings.Cores) / count
		class.Memory += positiveOr(job.Memory, settings.Memory) / count
		services[job.Service] = true
		runtimes += job.Runtime
		if job.Censored {
			class.CensoredRuntimes++
		}
	}
	ends := float64(max(class.observedEnds(), 1))
	class.Services = len(services)
	class.MeanRuntimeSeconds = runtimes.Seconds() / ends
	class.RelativeError = 2 * math.Sqrt(1/count+1/ends)
	return class, nil
}

// ends returns the number of jobs whose end was observed.
func (c *ClassEstimate) observedEnds() int { return c.Jobs - c.CensoredRuntimes }

// addWarnings adds the reasons not to trust the estimate.
func (c *ClassEstimate) addWarnings(gaps int, length time.Duration) {
	warn := func(format string, args ...any) { c.Warnings = append(c.Warnings, fmt.Sprintf(format, args...)) }
	if c.Jobs < minSamples {
		warn("only %d jobs were captured", c.Jobs)
	}
	if c.observedEnds() < minSamples {
		warn("only %d runtimes were observed to their end", c.observedEnds())
	}
	if float64(c.CensoredRuntimes) > maxCensoredFraction*float64(c.Jobs) {
		warn("%d of %d runtimes are censored; the mean assumes an exponential distribution", c.CensoredRuntimes, c.Jobs)
	}
	if gaps > 0 {
		warn("%d gaps were excluded", gaps)
	}
	if length.Seconds() < minMeanRuntimes*c.MeanRuntimeSeconds {
		warn("only %v were captured, under five mean runtimes: a daily peak is not included", length.Round(time.Second))
	}
}
