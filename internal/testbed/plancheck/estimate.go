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

// ClassEstimate is an estimate of the load of one class from a captured trace, with its uncertainty.
type ClassEstimate struct {
	planner.Class
	Jobs             int      // number of captured jobs
	CensoredRuntimes int      // number of jobs whose runtime is only a lower bound
	RelativeError    float64  // two relative standard errors, of the rate and the mean runtime combined
	Warnings         []string // reasons not to trust the estimate
}

// Thresholds for warnings.
const (
	minSampleCount          = 30 // minimum number of jobs, and of jobs with an observed end
	maxCensoredFraction     = 0.25
	minLengthInMeanRuntimes = 5 // minimum length of the capture, in mean runtimes
)

// EstimateLoad estimates the load of each class in a captured trace. Properties of classes and nodes that a trace does not have
// are those of the day. Gaps in the capture are excluded from its length. The mean runtime is the total runtime of all jobs
// divided by the number of observed ends, which is the maximum-likelihood estimate for exponential runtimes with censoring.
// EstimateLoad returns an error if the capture is too short or has a class that the day does not have.
func EstimateLoad(trace *load.Trace, day *scenario.Day) ([]ClassEstimate, error) {
	length := trace.Duration()
	for _, gap := range trace.Gaps {
		length -= gap.To - gap.From
	}
	if length <= 0 || len(trace.Jobs) < 2 {
		return nil, fmt.Errorf("plancheck: the captured load has %d jobs in %v, expected at least 2 jobs in a time above 0",
			len(trace.Jobs), length)
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

// estimateClass estimates the load of the named class from its jobs in a capture of the given length.
func estimateClass(day *scenario.Day, name string, jobs []load.Job, length time.Duration) (ClassEstimate, error) {
	classSettings := day.Class(name)
	if classSettings == nil {
		return ClassEstimate{}, fmt.Errorf("plancheck: the captured load has class %q, which the day does not have", name)
	}
	count := float64(len(jobs))
	class := ClassEstimate{Jobs: len(jobs), Class: planner.Class{
		Name:          name,
		JobsPerSecond: count / length.Seconds(),
		CoreUsage:     mean(day.Behaviour.CoreUsageRange),
		MemoryUsage:   mean(day.Behaviour.MemoryUsageRange),
		SpreadDomain:  classSettings.SpreadDomain,
		MaxPerDomain:  classSettings.MaxPerDomain,
	}}
	services := map[string]bool{}
	var runtimes time.Duration
	for _, job := range jobs {
		class.Cores += positiveOr(job.Cores, classSettings.Cores) / count
		class.Memory += positiveOr(job.Memory, classSettings.Memory) / count
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

// observedEnds returns the number of jobs whose end was observed.
func (c *ClassEstimate) observedEnds() int { return c.Jobs - c.CensoredRuntimes }

// addWarnings sets the reasons not to trust the estimate. gaps is the number of gaps in the capture, length its length without
// them.
func (c *ClassEstimate) addWarnings(gaps int, length time.Duration) {
	warn := func(format string, args ...any) { c.Warnings = append(c.Warnings, fmt.Sprintf(format, args...)) }
	if c.Jobs < minSampleCount {
		warn("only %d jobs were captured, fewer than %d", c.Jobs, minSampleCount)
	}
	if c.observedEnds() < minSampleCount {
		warn("only %d jobs were observed to their end, fewer than %d", c.observedEnds(), minSampleCount)
	}
	if float64(c.CensoredRuntimes) > maxCensoredFraction*float64(c.Jobs) {
		warn("%d of %d runtimes are censored; the mean assumes an exponential distribution", c.CensoredRuntimes, c.Jobs)
	}
	if gaps > 0 {
		warn("%d gaps were excluded", gaps)
	}
	if length.Seconds() < minLengthInMeanRuntimes*c.MeanRuntimeSeconds {
		warn("only %v were captured, under five mean runtimes; a daily peak is not included", length.Round(time.Second))
	}
}
