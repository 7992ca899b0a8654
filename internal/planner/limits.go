package planner

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
)

// LimitName is a kind of limit. The value is its name in reports.
type LimitName string

// The kinds of limit.
const (
	RequestedCores    LimitName = "requested cores"         // cores that running jobs request
	RequestedMemory   LimitName = "requested memory"        // memory that running jobs request
	UsedCores         LimitName = "cores in use"            // above it, tasks get fewer cores than they use
	UsedMemory        LimitName = "memory in use"           // above it, nodes evict tasks
	StartRate         LimitName = "start rate"              // concurrent starts
	OfferReview       LimitName = "offer review"            // time that nodes need to decide on offers
	SpreadCapacity    LimitName = "spread capacity"         // jobs of one service that their spread allows
	SchedulerCPU      LimitName = "scheduler CPU"           // placements that the schedulers handle
	ClassCapacity     LimitName = "class capacity"          // jobs of one class that fit the nodes
	NoNodeLargeEnough LimitName = "no node is large enough" // a job requests more than any node has
)

// Limit is a limit and the distance of the load from it.
type Limit struct {
	Name         LimitName
	Class        string  // empty means all classes together
	LoadMultiple float64 // multiple of the load at which the limit is met; zero means that any load meets it
	// Low and High bound Multiple for limits on capacity: at Low a scheduler without knowledge of the nodes' free capacity
	// rejects lossFraction of the jobs, at High one with full knowledge does. For other limits they equal Multiple.
	Low, High     float64
	Utilization   float64 // fraction of the limit that the present load uses
	RaisedByNodes bool    // whether more nodes raise the limit
	Reason        string
}

// String returns the limit as a line of a table.
func (l Limit) String() string {
	class := "all classes"
	if l.Class != "" {
		class = l.Class
	}
	interval := ""
	if l.Low < l.High {
		interval = fmt.Sprintf(" (%.2f to %.2f)", l.Low, l.High)
	}
	return fmt.Sprintf("%-24s %-12s at %6.2f times the load%s: %s", l.Name, class, l.LoadMultiple, interval, l.Reason)
}

// newLimit returns a limit of all classes together of which the load uses a fraction. Low and High equal Multiple.
func newLimit(name LimitName, loadFraction float64, movedByNodes bool, reason string, args ...any) Limit {
	multiple := math.Inf(1)
	if loadFraction > 0 {
		multiple = 1 / loadFraction
	}
	return Limit{Name: name, LoadMultiple: multiple, Low: multiple, High: multiple, Utilization: loadFraction,
		RaisedByNodes: movedByNodes, Reason: fmt.Sprintf(reason, args...)}
}

// demand is the mean use of a fleet by a load, over all classes.
type demand struct {
	runningJobs       float64 // jobs
	cores, memory     float64 // requested
	usedCores         float64
	usedMemory        float64
	jobsPerSecond     float64
	startsInFlight    float64
	coresPerJob       float64 // mean request
	memoryPerJob      float64
	reviewUtilization float64 // fraction of the time in which nodes decide on offers
}

func demandOf(f *Fleet, load []Class) demand {
	const minJobs = 1e-9 // prevents a division by zero for an empty load
	var d demand
	for i := range load {
		c := &load[i]
		running := c.runningJobs()
		d.runningJobs += running
		d.cores += running * c.Cores
		d.memory += running * c.Memory
		d.usedCores += running * c.Cores * c.CoreUsage
		d.usedMemory += running * c.Memory * c.MemoryUsage
		d.jobsPerSecond += c.JobsPerSecond
		d.startsInFlight += c.JobsPerSecond * f.startSeconds(c)
	}
	d.coresPerJob, d.memoryPerJob = d.cores/max(d.runningJobs, minJobs), d.memory/max(d.runningJobs, minJobs)
	d.reviewUtilization = d.jobsPerSecond * f.OfferReviewSeconds / float64(f.NodeCount())
	return d
}

// Limits returns all limits of a load on a fleet, ordered by the multiple of the load at which they are met.
func Limits(f *Fleet, load []Class) []Limit {
	d := demandOf(f, load)
	limits := f.resourceLimits(&d)
	limits = append(limits, f.rateLimits(&d)...)
	for i := range load {
		limits = append(limits, f.classLimits(&load[i])...)
	}
	slices.SortStableFunc(limits, func(a, b Limit) int { return cmp.Compare(a.LoadMultiple, b.LoadMultiple) })
	return limits
}

// resourceLimits returns the limits of cores and memory. Capacity is counted in jobs of the mean size.
func (f *Fleet) resourceLimits(d *demand) []Limit {
	cores, memory := f.capacity()
	acceptedCores, acceptedMemory := cores*f.CoreOvercommit, memory*f.MemoryOvercommit
	requestedCores := newLimit(RequestedCores, d.cores/acceptedCores, true,
		"running jobs request %.0f cores of %.0f that nodes accept", d.cores, acceptedCores)
	requestedMemory := newLimit(RequestedMemory, d.memory/acceptedMemory, true,
		"running jobs request %.0f GiB of %.0f that nodes accept", d.memory, acceptedMemory)
	return []Limit{
		f.withLossBounds(requestedCores, d.runningJobs,
			func(g *NodeGroup) float64 { return g.Cores * f.CoreOvercommit / d.coresPerJob }),
		f.withLossBounds(requestedMemory, d.runningJobs,
			func(g *NodeGroup) float64 { return g.Memory * f.MemoryOvercommit / d.memoryPerJob }),
		newLimit(UsedCores, d.usedCores/cores, true, "%.0f cores in use of %.0f; beyond, tasks are served worse",
			d.usedCores, cores),
		newLimit(UsedMemory, d.usedMemory/memory, true, "%.0f GiB in use of %.0f; beyond, nodes evict",
			d.usedMemory, memory),
	}
}

// rateLimits returns the limits of starts, of offers and of placements.
func (f *Fleet) rateLimits(d *demand) []Limit {
	slots := f.NodeCount() * f.StartSlots
	limits := []Limit{
		newLimit(StartRate, d.startsInFlight/float64(slots), true,
			"%.1f starts are in progress at a time, of %d start slots", d.startsInFlight, slots),
		newLimit(OfferReview, d.reviewUtilization, true, "nodes review offers for %.0f%% of their time",
			100*d.reviewUtilization),
	}
	if f.PlacementsPerSecond > 0 {
		placements := f.PlacementsPerSecond * float64(f.Schedulers)
		limits = append(limits, newLimit(SchedulerCPU, d.jobsPerSecond/placements, false,
			"%.0f placements a second of %.0f that %d schedulers handle", d.jobsPerSecond, placements, f.Schedulers))
	}
	return limits
}

// classLimits returns the limits of one class.
func (f *Fleet) classLimits(c *Class) []Limit {
	slots := 0.0
	for i := range f.Groups {
		slots += float64(f.Groups[i].Count) * floorSlots(f.jobsPerNode(&f.Groups[i], c))
	}
	if slots == 0 {
		return []Limit{{Name: NoNodeLargeEnough, Class: c.Name,
			Reason: fmt.Sprintf("%.4g cores and %.4g GiB fit no node, not even an empty one", c.Cores, c.Memory)}}
	}
	capacity := newLimit(ClassCapacity, c.runningJobs()/slots, true, "%.0f jobs run at a time of %.0f that fit the nodes",
		c.runningJobs(), slots)
	capacity.Class = c.Name
	limits := []Limit{f.withLossBounds(capacity, c.runningJobs(), func(g *NodeGroup) float64 { return f.jobsPerNode(g, c) })}
	if c.SpreadDomain != "" && c.MaxPerDomain > 0 {
		limits = append(limits, f.spreadLimit(c))
	}
	return limits
}

// spreadLimit returns the limit of a class whose jobs of one service are limited in each domain. Clients submit to any scheduler,
// so a service's jobs are distributed randomly over the schedulers, and the scheduler with the most meets the limit first.
func (f *Fleet) spreadLimit(c *Class) Limit {
	schedulers := max(f.Schedulers, 1)
	domains := f.domainCount(c.SpreadDomain)
	maxJobs := float64(domains * c.MaxPerDomain)
	perScheduler := c.jobsPerService() / float64(schedulers)
	l := newLimit(SpreadCapacity, perScheduler/offeredLoadAtLoss(maxJobs, lossFraction), c.SpreadDomain == "machine",
		"%.1f jobs of a service run at a time; %d schedulers may have %d in each of %d domains, %.0f in all",
		c.jobsPerService(), f.Schedulers, c.MaxPerDomain, domains, float64(domains*c.MaxPerDomain*schedulers))
	l.Class = c.Name
	return l
}

// First returns the first limit, and for each class the first that is its own or that of all classes. limits must be in the
// order of Limits.
func FirstLimits(limits []Limit) (overall Limit, byClass map[string]Limit) {
	byClass = map[string]Limit{}
	for _, l := range slices.Backward(limits) {
		overall = l
		if l.Class != "" {
			byClass[l.Class] = l
			continue
		}
		for class := range byClass {
			byClass[class] = l
		}
	}
	return overall, byClass
}

// FormatLimits returns a line of text for each limit.
func FormatLimits(limits []Limit) string {
	var text strings.Builder
	for _, l := range limits {
		text.WriteString(l.String())
		text.WriteByte('\n')
	}
	return text.String()
}
