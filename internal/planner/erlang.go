package planner

import "math"

// lossFraction is the fraction of jobs that find no capacity at which a capacity limit counts as reached.
const lossFraction = 0.01

// roundingSlack is added before rounding down, so that a floating-point error does not remove a slot.
const roundingSlack = 1e-9

// floorSlots rounds a number of slots down to a whole number.
func floorSlots(slots float64) float64 { return math.Floor(slots + roundingSlack) }

// Numbers of bisection steps, after which the results no longer change.
const (
	loadBisectionSteps      = 60
	occupancyBisectionSteps = 50
)

// offeredLoadAtLoss returns the offered load, in erlangs, at which the given fraction of arrivals finds all servers busy. It
// solves Erlang's loss formula for the load by bisection.
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

// erlangB returns the fraction of arrivals that find all servers busy at an offered load in erlangs, by Erlang's loss formula
// (Erlang B).
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

// withLossBounds returns a capacity limit with LoadMultiple, Low and High set to the multiples of the load at which lossFraction
// of the jobs find no capacity. slotsPerNode returns how many jobs fit on a node of a group, and runningJobs is the mean number
// of running jobs at the present load.
//
// High treats all nodes as a single pool and applies Erlang's loss formula to it. Low assumes that a job tries MaxAttempts
// random nodes and is lost if all of them are full. A scheduler knows only the part of the load that it placed itself, so
// LoadMultiple lies between the two, and closer to High the fewer schedulers there are: it is their weighted geometric mean, in
// which the weight of High is 1 over the square root of the number of schedulers.
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

// runningJobsByRandomChoice returns the mean number of running jobs at which lossFraction of the jobs are lost, if each job tries
// MaxAttempts random nodes and is lost if all of them are full. totalSlots is the number of slots of all nodes.
func (f *Fleet) runningJobsByRandomChoice(totalSlots float64, slotsPerNode func(*NodeGroup) float64) float64 {
	// All attempts of a job find full nodes with probability lossFraction if each one does with probability fullFraction.
	fullFraction := math.Pow(lossFraction, 1/float64(max(f.MaxAttempts, 1)))
	low, high := 0.0, 8.0 // bounds of the load offered to each slot, in erlangs
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
