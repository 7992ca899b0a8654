package shard

import (
	"cmp"
	"slices"

	"flaxshelf.example/flaxshelf/internal/scheduler"
)

// Route reports whether a request concerns all cores; if not, it returns the core that it concerns. Commands that create or
// destroy a session concern all cores, in the order that IsDecidedByFirstCore describes.
func (m *Map) Route(in scheduler.Input) (core int, all bool) {
	if m.cores == 1 {
		return 0, false
	}
	switch in := in.(type) {
	case scheduler.Command:
		return m.CoreOfJob(in.Job), false
	case scheduler.Query:
		return m.CoreOfJob(in.Job), in.Job == ""
	case scheduler.Watch:
		return m.CoreOfJob(in.Job), in.Job == ""
	case scheduler.SessionCommand:
		return 0, in.Verb == scheduler.CreateSession || in.Verb == scheduler.DestroySession
	case scheduler.Machines:
		return 0, true
	}
	return 0, false
}

// IsDecidedByFirstCore reports whether a request must be passed to core 0 first, and to the other cores only if core 0 does
// not answer with an error. If all cores got such requests at once, two of them might destroy and create a session in different
// orders.
func IsDecidedByFirstCore(in scheduler.Input) bool {
	_, ok := in.(scheduler.SessionCommand)
	return ok
}

// Merge merges the answers of all cores to a request. If any of them has an error, it returns the first one that has.
func Merge(in scheduler.Input, answers []scheduler.Answer) scheduler.Answer {
	for _, answer := range answers {
		if answer.Err != nil {
			return answer
		}
	}
	merged := answers[0]
	switch in := in.(type) {
	case scheduler.Query:
		merged.Jobs = mergeJobs(answers, in.Limit)
	case scheduler.Machines:
		merged.Machines = mergeMachines(answers)
	}
	return merged
}

// mergeJobs returns the jobs of all cores ordered by ID, at most limit of them. A limit of zero means no limit.
func mergeJobs(answers []scheduler.Answer, limit int) []scheduler.JobInfo {
	var jobs []scheduler.JobInfo
	for _, answer := range answers {
		jobs = append(jobs, answer.Jobs...)
	}
	slices.SortFunc(jobs, func(a, b scheduler.JobInfo) int { return cmp.Compare(a.ID, b.ID) })
	if limit > 0 {
		jobs = jobs[:min(limit, len(jobs))]
	}
	return jobs
}

// mergeMachines returns each machine once, ordered by ID, with the number of its jobs on all cores. A machine is connected if
// any core reports it as connected.
func mergeMachines(answers []scheduler.Answer) []scheduler.MachineInfo {
	merged := slices.Clone(answers[0].Machines)
	indexes := map[string]int{}
	for i, machine := range merged {
		indexes[machine.ID] = i
	}
	for _, answer := range answers[1:] {
		for _, machine := range answer.Machines {
			i, known := indexes[machine.ID]
			if !known {
				indexes[machine.ID] = len(merged)
				merged = append(merged, machine)
				continue
			}
			merged[i].Jobs += machine.Jobs
			merged[i].Connected = merged[i].Connected || machine.Connected
		}
	}
	slices.SortFunc(merged, func(a, b scheduler.MachineInfo) int { return cmp.Compare(a.ID, b.ID) })
	return merged
}
