package planner

import (
	"fmt"
	"math"
)

// Class is the load of one class of jobs, as means.
type Class struct {
	Name               string
	JobsPerSecond      float64 // submissions, over all schedulers
	MeanRuntimeSeconds float64
	Cores              float64 // requested by one job
	Memory             float64 // requested by one job, in GiB
	CoreUsage          float64 // cores in use, as a fraction of the request
	MemoryUsage        float64 // memory in use, as a fraction of the request
	Services           int     // number of services, over which the jobs are distributed evenly
	SpreadDomain       string  // machine, cell or zone, to which MaxPerDomain applies; empty means no limit
	MaxPerDomain       int     // jobs of one service in one domain, for each scheduler
}

// runningJobs returns the mean number of running jobs of the class, by Little's law.
func (c *Class) runningJobs() float64 { return c.JobsPerSecond * c.MeanRuntimeSeconds }

// jobsPerService returns the mean number of running jobs of one service.
func (c *Class) jobsPerService() float64 { return c.runningJobs() / float64(max(c.Services, 1)) }

// Group is the nodes of one kind in one cell.
type NodeGroup struct {
	Name, Kind, Zone string
	Cell, Count      int
	Cores            float64 // of one node
	Memory           float64 // of one node, in GiB
}

// Fleet is the nodes and the parameters with which they handle offers.
type Fleet struct {
	Groups                []NodeGroup
	Schedulers            int
	CoreOvercommit        float64 // multiple of a node's cores up to which it accepts tasks
	MemoryOvercommit      float64 // the same for memory
	OfferReviewSeconds    float64 // to decide on one offer; a node decides on one offer at a time
	StartSlots            int     // concurrent starts on one node
	CachedStartSeconds    float64 // of a start whose program is cached
	UncachedStartFactor   float64 // multiple of CachedStartSeconds if the program is not cached
	SlowStartBudget       float64 // offers within OverloadWindowSeconds that a node in slow start withstands
	OverloadWindowSeconds float64
	SlowStartSeconds      float64
	MaxAttempts           int     // of a placement request
	PlacementsPerSecond   float64 // that one scheduler handles; zero means no limit
}

// Nodes returns the number of nodes.
func (f *Fleet) NodeCount() int {
	count := 0
	for _, g := range f.Groups {
		count += g.Count
	}
	return count
}

// capacity returns the cores and the memory of all nodes.
func (f *Fleet) capacity() (cores, memory float64) {
	for _, g := range f.Groups {
		cores += float64(g.Count) * g.Cores
		memory += float64(g.Count) * g.Memory
	}
	return cores, memory
}

// domains returns the number of topology domains of a kind: machine, cell or zone.
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

// jobsPerNode returns how many jobs of a class fit the resources of an empty node of a group, without rounding.
func (f *Fleet) jobsPerNode(g *NodeGroup, c *Class) float64 {
	return min(g.Cores*f.CoreOvercommit/c.Cores, g.Memory*f.MemoryOvercommit/c.Memory)
}

// startSeconds returns the mean duration of a start: the fewer jobs a service runs, the fewer nodes have its program cached.
func (f *Fleet) startSeconds(c *Class) float64 {
	cached := 1 - math.Exp(-c.jobsPerService()) // probability that a job of the service runs where the next one is placed
	return f.CachedStartSeconds * (cached + (1-cached)*max(f.UncachedStartFactor, 1))
}

// Without returns the fleet without the nodes that match. An empty zone or kind, and a cell below zero, match all.
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
