package shard

import (
	"cmp"
	"slices"

	"flaxshelf.example/flaxshelf/internal/scheduler"
)

// Everyone reports whether a request concerns all cores, or one, which it then names. Of the session commands, those
// that change a session concern all cores; IsAnsweredByFirstCore tells in which order they get it.
func (m *Map) Everyone(in scheduler.Input) (core int, all bool) {
	if m.cores == 1 {
		return 0, false
	}
	switch in := in.(type) {
	case scheduler.Command:
		return m.Job(in.Job), false
	case scheduler.Query:
		return m.Job(in.Job), in.Job == ""
	case scheduler.Watch:
		return m.Job(in.Job), in.Job == ""
	case scheduler.SessionCommand:
		return 0, in.Verb == scheduler.Create || in.Verb == scheduler.Destroy
	case scheduler.Machines:
		return 0, true
	}
	return 0, false
}

// IsAnsweredByFirstCore reports whether core 0 gets a request first, whose answer decides whether the other cores get
// it: otherwise two cores might get the end of a session and its new creation in different orders.
func IsAnsweredByFirstCore(in scheduler.Input) bool {
	_, ok := in.(scheduler.SessionCommand)
	return ok
}

// Merge makes one answer of those of all cores to one request. If any is an error, the first of them is the answer.
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

// mergeJobs lists the jobs of all cores in the order of their IDs, at most limit of them; 0 stands for all.
func mergeJobs(answers []scheduler.Answer, limit int) []scheduler.Info {
	var jobs []scheduler.Info
	for _, answer := range answers {
		jobs = append(jobs, answer.Jobs...)
	}
	slices.SortFunc(jobs, func(a, b scheduler.Info) int { return cmp.Compare(a.ID, b.ID) })
	if limit > 0 {
		jobs = jobs[:min(limit, len(jobs))]
	}
	return jobs
}

// mergeMachines lists each machine once, in the order of their IDs, with the jobs of all cores added up. A machine is
// connected if it is for any core.
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
