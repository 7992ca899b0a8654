package planner

import "math"

// lossFraction is the fraction of jobs without capacity at which a limit on capacity counts as met.
const lossFraction = 0.01

// roundingSlack is added before rounding down, so that a rounding error does not cost a slot.
const roundingSlack = 1e-9

// roundDownSlots rounds a number of slots down.
func floorSlots(slots float64) float64 { return math.Floor(slots + roundingSlack) }

// Steps of the bisections, after which their results no longer change.
const (
	loadBisectionSteps      = 60
	occupancyBisectionSteps = 50
)

// loadAtLoss returns the offered load, in erlangs, at which a fraction of the arrivals finds all servers busy: Erlang's
// loss formula, solved for the load.
func offeredLoadAtLoss(servers, loss float64) float64 {
	low, high := 0.0, 2*servers+1
	for range loadBisectionSteps {
		middle := (low + high) / 2
		if erlangB(servers, middle) > loss {
			high = middle
		} else {
			low = middle
		}
	}
	return low
}

// erlangB returns the fraction of arrivals that find all servers busy, for an offered load in erlangs: Erlang's loss
// formula.
func erlangB(servers, load float64) float64 {
	if load <= 0 {
		return 0
	}
	loss := 1.0
	for n := 1.0; n <= servers; n++ {
		loss = load * loss / (n + load*loss)
	}
	return loss
}

// withLoss sets the multiple of a limit on capacity to that at which lossFraction of the jobs find no capacity. slotsPerNode
// returns how many jobs a node of a group holds; running is the mean number of running jobs.
//
// High assumes that all nodes are one pool: Erlang's loss formula. Low assumes that a job tries MaxAttempts random nodes and
// is lost if all are full. A scheduler knows the part of the load that it placed itself, so the multiple is between the two,
// and the closer to High the fewer schedulers there are: the geometric mean, weighted by one over the square root of their
// number.
func (f *Fleet) withLossBounds(l Limit, runningJobs float64, slotsPerNode func(*NodeGroup) float64) Limit {
	totalSlots := 0.0
	for i := range f.Groups {
		totalSlots += float64(f.Groups[i].Count) * floorSlots(slotsPerNode(&f.Groups[i]))
	}
	if runningJobs <= 0 || totalSlots <= 0 {
		return l
	}
	l.High = offeredLoadAtLoss(totalSlots, lossFraction) / runningJobs
	l.Low = min(f.runningJobsByRandomChoice(totalSlots, slotsPerNode)/runningJobs, l.High)
	highExponent := 1 / math.Sqrt(float64(max(f.Schedulers, 1)))
	l.LoadMultiple = math.Pow(l.High, highExponent) * math.Pow(l.Low, 1-highExponent)
	return l
}

// carriedByRandomChoice returns the mean number of running jobs if each job tries MaxAttempts random nodes and lossFraction
// of the jobs find all of them full. pool is the number of slots of all nodes.
func (f *Fleet) runningJobsByRandomChoice(totalSlots float64, slotsPerNode func(*NodeGroup) float64) float64 {
	fullFraction := math.Pow(lossFraction, 1/float64(max(f.MaxAttempts, 1))) // of the nodes that a job tries
	low, high := 0.0, 8.0                                                    // load offered to each slot
	runningJobs := 0.0
	for range occupancyBisectionSteps {
		load := (low + high) / 2
		full, running := 0.0, 0.0
		for i := range f.Groups {
			slots := floorSlots(slotsPerNode(&f.Groups[i]))
			loss := erlangB(slots, load*slots)
			groupSlots := float64(f.Groups[i].Count) * slots
			full += loss * groupSlots / totalSlots
			running += groupSlots * load * (1 - loss)
		}
		if full > fullFraction {
			high = load
		} else {
			low, runningJobs = load, running
		}
	}
	return runningJobs
}
