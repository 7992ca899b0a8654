package planner

import (
	"fmt"
	"math"
)

// Class is the mean load of one class of jobs.
type Class struct {
	Name               string
	JobsPerSecond      float64 // submission rate, over all schedulers
	MeanRuntimeSeconds float64
	Cores              float64 // requested by each job
	Memory             float64 // requested by each job, in GiB
	CoreUsage          float64 // cores in use, as a fraction of the request
	MemoryUsage        float64 // memory in use, as a fraction of the request
	Services           int     // number of services, over which the jobs are distributed evenly
	SpreadDomain       string  // topology domain of MaxPerDomain: machine, cell or zone; empty means no limit
	MaxPerDomain       int     // jobs of one service that each scheduler may have in one domain
}

// runningJobs returns the mean number of running jobs of the class, by Little's law.
func (c *Class) runningJobs() float64 { return c.JobsPerSecond * c.MeanRuntimeSeconds }

// jobsPerService returns the mean number of running jobs of one service.
func (c *Class) jobsPerService() float64 { return c.runningJobs() / float64(max(c.Services, 1)) }

// NodeGroup is the nodes of one kind in one cell.
type NodeGroup struct {
	Name, Kind, Zone string
	Cell, Count      int
	Cores            float64 // of each node
	Memory           float64 // of each node, in GiB
}

// Fleet describes the nodes, how they handle offers and starts, and the schedulers that place jobs on them.
type Fleet struct {
	Groups                []NodeGroup
	Schedulers            int
	CoreOvercommit        float64 // total request up to which a node accepts tasks, as a multiple of its cores
	MemoryOvercommit      float64 // the same for memory
	OfferReviewSeconds    float64 // time to decide on an offer; a node decides on one offer at a time
	StartSlots            int     // concurrent starts on one node
	CachedStartSeconds    float64 // duration of a start if the program is cached
	UncachedStartFactor   float64 // duration of a start if it is not cached, as a multiple of CachedStartSeconds
	SlowStartBudget       float64 // offers within OverloadWindowSeconds that do not overload a node in slow start
	OverloadWindowSeconds float64 // sliding window that counts offers to a node in slow start
	SlowStartSeconds      float64 // maximum duration of a node's slow start
	MaxAttempts           int     // maximum for one placement request
	PlacementsPerSecond   float64 // capacity of each scheduler; zero means no limit
}

// NodeCount returns the number of nodes in all groups.
func (f *Fleet) NodeCount() int {
	count := 0
	for _, g := range f.Groups {
		count += g.Count
	}
	return count
}

// capacity returns the total cores and memory (GiB) of all nodes, without overcommit.
func (f *Fleet) capacity() (cores, memory float64) {
	for _, g := range f.Groups {
		cores += float64(g.Count) * g.Cores
		memory += float64(g.Count) * g.Memory
	}
	return cores, memory
}

// domainCount returns how many topology domains of the given kind (machine, cell or zone) the fleet has.
func (f *Fleet) domainCount(kind string) int {
	names := map[string]bool{}
	machines := 0
	for _, g := range f.Groups {
		switch kind {
		case "machine":
			machines += g.Count
		case "cell":
			names[fmt.Sprint(g.Zone, "/", g.Cell)] = true
		case "zone":
			names[g.Zone] = true
		}
	}
	return machines + len(names)
}

// jobsPerNode returns how many jobs of a class an empty node of a group accepts. The result is not rounded.
func (f *Fleet) jobsPerNode(g *NodeGroup, c *Class) float64 {
	return min(g.Cores*f.CoreOvercommit/c.Cores, g.Memory*f.MemoryOvercommit/c.Memory)
}

// startSeconds returns the mean duration of a start. The fewer jobs a service runs, the fewer nodes have its program cached, and
// the longer is the mean.
func (f *Fleet) startSeconds(c *Class) float64 {
	cached := 1 - math.Exp(-c.jobsPerService()) // probability that a job is placed where the service runs
	return f.CachedStartSeconds * (cached + (1-cached)*max(f.UncachedStartFactor, 1))
}

// Without returns a copy of the fleet without the nodes that match zone, cell and kind. An empty zone or kind, and a negative
// cell, match every node.
func (f *Fleet) Without(zone string, cell int, kind string) *Fleet {
	rest := *f
	rest.Groups = nil
	for _, g := range f.Groups {
		if (zone == "" || g.Zone == zone) && (cell < 0 || g.Cell == cell) && (kind == "" || g.Kind == kind) {
			continue
		}
		rest.Groups = append(rest.Groups, g)
	}
	return &rest
}
