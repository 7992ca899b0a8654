package planner

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
)

// LimitName is a kind of limit. Its value is the name in reports.
type LimitName string

// The kinds of limit.
const (
	RequestedCores    LimitName = "requested cores"         // cores that running jobs request
	RequestedMemory   LimitName = "requested memory"        // memory that running jobs request
	UsedCores         LimitName = "cores in use"            // beyond this limit, tasks get fewer cores than they demand
	UsedMemory        LimitName = "memory in use"           // beyond this limit, nodes evict tasks
	StartRate         LimitName = "start rate"              // start slots that concurrent starts occupy
	OfferReview       LimitName = "offer review"            // time that nodes need to decide on offers
	SpreadCapacity    LimitName = "spread capacity"         // jobs of one service that MaxPerDomain allows
	SchedulerCPU      LimitName = "scheduler CPU"           // placements that the schedulers can handle
	ClassCapacity     LimitName = "class capacity"          // jobs of one class that fit on the nodes
	NoNodeLargeEnough LimitName = "no node is large enough" // a job requests more than any node accepts
)

// Limit is a limit of a fleet, and how far the load is from it.
type Limit struct {
	Name         LimitName
	Class        string  // empty means all classes together
	LoadMultiple float64 // multiple of the load at which the limit is reached; zero means by any load
	// Low and High are the bounds of LoadMultiple for capacity limits: at Low, a scheduler that knows nothing about the nodes'
	// free capacity rejects lossFraction of the jobs; at High, one that knows all of it does. For other limits, both equal
	// LoadMultiple.
	Low, High     float64
	Utilization   float64 // present load as a fraction of the limit
	RaisedByNodes bool    // whether additional nodes raise the limit
	Reason        string
}

// String returns the limit as a row of a table with aligned columns.
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

// newLimit returns a limit of all classes together. utilization is the present load as a fraction of the limit. Low and High
// equal LoadMultiple.
func newLimit(name LimitName, utilization float64, raisedByNodes bool, reasonFormat string, args ...any) Limit {
	multiple := math.Inf(1)
	if utilization > 0 {
		multiple = 1 / utilization
	}
	return Limit{Name: name, LoadMultiple: multiple, Low: multiple, High: multiple, Utilization: utilization,
		RaisedByNodes: raisedByNodes, Reason: fmt.Sprintf(reasonFormat, args...)}
}

// demand is the mean demand of a load on a fleet, summed over all classes.
type demand struct {
	runningJobs       float64
	cores, memory     float64 // total requests of the running jobs
	usedCores         float64
	usedMemory        float64
	jobsPerSecond     float64
	startsInFlight    float64
	coresPerJob       float64 // mean request of a running job
	memoryPerJob      float64
	reviewUtilization float64 // fraction of the time that a node spends deciding on offers
}

// demandOf returns the mean demand of a load on a fleet.
func demandOf(f *Fleet, load []Class) demand {
	const minJobs = 1e-9 // prevents division by zero if the load is empty
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

// Limits returns all limits of a fleet for a load, sorted by LoadMultiple, so that the limit that is reached first comes first.
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

// resourceLimits returns the limits of requested and used cores and memory. For the requested ones, the capacity of a node is
// counted in jobs of the mean size.
func (f *Fleet) resourceLimits(d *demand) []Limit {
	cores, memory := f.capacity()
	acceptedCores, acceptedMemory := cores*f.CoreOvercommit, memory*f.MemoryOvercommit
	requestedCores := newLimit(RequestedCores, d.cores/acceptedCores, true,
		"running jobs request %.0f of the %.0f cores that nodes accept", d.cores, acceptedCores)
	requestedMemory := newLimit(RequestedMemory, d.memory/acceptedMemory, true,
		"running jobs request %.0f of the %.0f GiB that nodes accept", d.memory, acceptedMemory)
	return []Limit{
		f.withLossBounds(requestedCores, d.runningJobs,
			func(g *NodeGroup) float64 { return g.Cores * f.CoreOvercommit / d.coresPerJob }),
		f.withLossBounds(requestedMemory, d.runningJobs,
			func(g *NodeGroup) float64 { return g.Memory * f.MemoryOvercommit / d.memoryPerJob }),
		newLimit(UsedCores, d.usedCores/cores, true,
			"tasks use %.0f of the %.0f cores; beyond that, they get fewer cores than they demand", d.usedCores, cores),
		newLimit(UsedMemory, d.usedMemory/memory, true,
			"tasks use %.0f of the %.0f GiB; beyond that, nodes evict tasks", d.usedMemory, memory),
	}
}

// rateLimits returns the limits on the rates of starts, offers and placements.
func (f *Fleet) rateLimits(d *demand) []Limit {
	slots := f.NodeCount() * f.StartSlots
	limits := []Limit{
		newLimit(StartRate, d.startsInFlight/float64(slots), true,
			"starts occupy %.1f of the %d start slots on average", d.startsInFlight, slots),
		newLimit(OfferReview, d.reviewUtilization, true, "nodes review offers for %.0f%% of their time",
			100*d.reviewUtilization),
	}
	if f.PlacementsPerSecond > 0 {
		placements := f.PlacementsPerSecond * float64(f.Schedulers)
		limits = append(limits, newLimit(SchedulerCPU, d.jobsPerSecond/placements, false,
			"%.0f of the %.0f placements per second that %d schedulers can handle", d.jobsPerSecond, placements, f.Schedulers))
	}
	return limits
}

// classLimits returns the limits that apply to one class only.
func (f *Fleet) classLimits(c *Class) []Limit {
	slots := 0.0
	for i := range f.Groups {
		slots += float64(f.Groups[i].Count) * floorSlots(f.jobsPerNode(&f.Groups[i], c))
	}
	if slots == 0 {
		return []Limit{{Name: NoNodeLargeEnough, Class: c.Name,
			Reason: fmt.Sprintf("a job requests %.4g cores and %.4g GiB, more than any empty node accepts", c.Cores, c.Memory)}}
	}
	capacity := newLimit(ClassCapacity, c.runningJobs()/slots, true, "%.0f jobs run on average, and %.0f fit on the nodes",
		c.runningJobs(), slots)
	capacity.Class = c.Name
	limits := []Limit{f.withLossBounds(capacity, c.runningJobs(), func(g *NodeGroup) float64 { return f.jobsPerNode(g, c) })}
	if c.SpreadDomain != "" && c.MaxPerDomain > 0 {
		limits = append(limits, f.spreadLimit(c))
	}
	return limits
}

// spreadLimit returns the limit of a class in which MaxPerDomain limits the jobs of each service. Clients submit to any
// scheduler, so the jobs of a service are distributed randomly over the schedulers, and the scheduler with the most of them
// reaches the limit first. Erlang's loss formula gives the load at which lossFraction of a scheduler's jobs exceed the limit.
func (f *Fleet) spreadLimit(c *Class) Limit {
	schedulers := max(f.Schedulers, 1)
	domains := f.domainCount(c.SpreadDomain)
	maxJobs := float64(domains * c.MaxPerDomain)
	perScheduler := c.jobsPerService() / float64(schedulers)
	l := newLimit(SpreadCapacity, perScheduler/offeredLoadAtLoss(maxJobs, lossFraction), c.SpreadDomain == "machine",
		"%.1f jobs of a service run on average; each of %d schedulers may have %d in each of %d domains, %.0f in total",
		c.jobsPerService(), f.Schedulers, c.MaxPerDomain, domains, float64(domains*c.MaxPerDomain*schedulers))
	l.Class = c.Name
	return l
}

// FirstLimits returns the limit that is reached first, and for each class the first limit that applies to it: one of its own or
// one of all classes together. limits must be in the order in which Limits returns them.
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

// FormatLimits returns the limits as text, one per line.
func FormatLimits(limits []Limit) string {
	var text strings.Builder
	for _, l := range limits {
		text.WriteString(l.String())
		text.WriteByte('\n')
	}
	return text.String()
}
