package replay

import "flaxshelf.example/flaxshelf"

// eventRecordOf is the stored form of an event.
func eventRecordOf(event flaxshelf.Event) (eventRecord, error) {
	switch e := event.(type) {
	case flaxshelf.MachinesUpdated:
		return listedRecordOf(e), nil
	case flaxshelf.DiscoveryFailed:
		return listFailedRecordOf(e), nil
	case flaxshelf.TaskSubmitted:
		return placeRecordOf(e), nil
	case flaxshelf.TaskAdopted:
		return runningRecordOf(e), nil
	case flaxshelf.AttemptPlaced:
		return placedRecordOf(e), nil
	case flaxshelf.AttemptEnded:
		return endedRecordOf(e), nil
	case flaxshelf.UsageReport:
		return noteRecordOf(e), nil
	case flaxshelf.HealthChecked:
		return probedRecordOf(e), nil
	case flaxshelf.GossipReceived:
		return messageRecordOf(e), nil
	case flaxshelf.TimerFired:
		return wokenRecordOf(e), nil
	case flaxshelf.TaskCanceled:
		return goneRecordOf(e), nil
	}
	return nil, &UnknownTypeError{Value: event}
}

func listedRecordOf(e flaxshelf.MachinesUpdated) listedRecord {
	return listedRecord{
		Machines: convertAll(e.Machines, machineRecordOf),
		Whole:    e.Complete,
		Stale:    e.Stale,
	}
}

func (r listedRecord) event() flaxshelf.Event {
	return flaxshelf.MachinesUpdated{
		Machines: convertAll(r.Machines, machineRecord.machine),
		Complete: r.Whole,
		Stale:    r.Stale,
	}
}

func listFailedRecordOf(flaxshelf.DiscoveryFailed) listFailedRecord { return listFailedRecord{} }

func (listFailedRecord) event() flaxshelf.Event { return flaxshelf.DiscoveryFailed{} }

func placeRecordOf(e flaxshelf.TaskSubmitted) placeRecord {
	return placeRecord{
		Task: taskRecordOf(e.Task),
	}
}

func (r placeRecord) event() flaxshelf.Event {
	return flaxshelf.TaskSubmitted{
		Task: r.Task.task(),
	}
}

func runningRecordOf(e flaxshelf.TaskAdopted) runningRecord {
	return runningRecord{
		Task:    taskRecordOf(e.Task),
		Machine: e.Machine,
	}
}

func (r runningRecord) event() flaxshelf.Event {
	return flaxshelf.TaskAdopted{
		Task:    r.Task.task(),
		Machine: r.Machine,
	}
}

func placedRecordOf(e flaxshelf.AttemptPlaced) placedRecord {
	return placedRecord{
		Task:    e.Task,
		Machine: e.Machine,
		Attempt: e.Attempt,
		Lag:     e.Latency,
	}
}

func (r placedRecord) event() flaxshelf.Event {
	return flaxshelf.AttemptPlaced{
		Task:    r.Task,
		Machine: r.Machine,
		Attempt: r.Attempt,
		Latency: r.Lag,
	}
}

func endedRecordOf(e flaxshelf.AttemptEnded) endedRecord {
	return endedRecord{
		Task:    e.Task,
		Machine: e.Machine,
		Attempt: e.Attempt,
		Verdict: int(e.Outcome),
		Reason:  int(e.Reason),
		Done:    e.Final,
		Lag:     e.Latency,
		Load:    loadRecordOf(e.Load),
	}
}

func (r endedRecord) event() flaxshelf.Event {
	return flaxshelf.AttemptEnded{
		Task:    r.Task,
		Machine: r.Machine,
		Attempt: r.Attempt,
		Outcome: flaxshelf.Outcome(r.Verdict),
		Reason:  flaxshelf.Reason(r.Reason),
		Final:   r.Done,
		Latency: r.Lag,
		Load:    r.Load.load(),
	}
}

func noteRecordOf(e flaxshelf.UsageReport) noteRecord {
	return noteRecord{
		Task:    e.Task,
		Machine: e.Machine,
		Attempt: e.Attempt,
		Kind:    int(e.Kind),
		Amount:  e.Amount,
	}
}

func (r noteRecord) event() flaxshelf.Event {
	return flaxshelf.UsageReport{
		Task:    r.Task,
		Machine: r.Machine,
		Attempt: r.Attempt,
		Kind:    flaxshelf.UsageKind(r.Kind),
		Amount:  r.Amount,
	}
}

func probedRecordOf(e flaxshelf.HealthChecked) probedRecord {
	return probedRecord{
		Machine: e.Machine,
		Verdict: int(e.Outcome),
		Load:    loadRecordOf(e.Load),
	}
}

func (r probedRecord) event() flaxshelf.Event {
	return flaxshelf.HealthChecked{
		Machine: r.Machine,
		Outcome: flaxshelf.Outcome(r.Verdict),
		Load:    r.Load.load(),
	}
}

func messageRecordOf(e flaxshelf.GossipReceived) messageRecord {
	return messageRecord{
		From: e.From,
		Data: e.Data,
	}
}

func (r messageRecord) event() flaxshelf.Event {
	return flaxshelf.GossipReceived{
		From: r.From,
		Data: r.Data,
	}
}

func wokenRecordOf(flaxshelf.TimerFired) wokenRecord { return wokenRecord{} }

func (wokenRecord) event() flaxshelf.Event { return flaxshelf.TimerFired{} }

func goneRecordOf(e flaxshelf.TaskCanceled) goneRecord {
	return goneRecord{
		Task: e.Task,
	}
}

func (r goneRecord) event() flaxshelf.Event {
	return flaxshelf.TaskCanceled{
		Task: r.Task,
	}
}
