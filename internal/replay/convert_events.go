package replay

import "flaxshelf.example/flaxshelf"

// eventRecordOf is the stored form of an event.
func eventRecordOf(event flaxshelf.Event) (eventRecord, error) {
	switch e := event.(type) {
	case flaxshelf.Listed:
		return listedRecordOf(e), nil
	case flaxshelf.ListFailed:
		return listFailedRecordOf(e), nil
	case flaxshelf.Place:
		return placeRecordOf(e), nil
	case flaxshelf.Running:
		return runningRecordOf(e), nil
	case flaxshelf.Placed:
		return placedRecordOf(e), nil
	case flaxshelf.Ended:
		return endedRecordOf(e), nil
	case flaxshelf.Note:
		return noteRecordOf(e), nil
	case flaxshelf.Probed:
		return probedRecordOf(e), nil
	case flaxshelf.Message:
		return messageRecordOf(e), nil
	case flaxshelf.Woken:
		return wokenRecordOf(e), nil
	case flaxshelf.Gone:
		return goneRecordOf(e), nil
	}
	return nil, &UnknownTypeError{Value: event}
}

func listedRecordOf(e flaxshelf.Listed) listedRecord {
	return listedRecord{
		Machines: convertAll(e.Machines, machineRecordOf),
		Whole:    e.Whole,
		Stale:    e.Stale,
	}
}

func (r listedRecord) event() flaxshelf.Event {
	return flaxshelf.Listed{
		Machines: convertAll(r.Machines, machineRecord.machine),
		Whole:    r.Whole,
		Stale:    r.Stale,
	}
}

func listFailedRecordOf(flaxshelf.ListFailed) listFailedRecord { return listFailedRecord{} }

func (listFailedRecord) event() flaxshelf.Event { return flaxshelf.ListFailed{} }

func placeRecordOf(e flaxshelf.Place) placeRecord {
	return placeRecord{
		Task: taskRecordOf(e.Task),
	}
}

func (r placeRecord) event() flaxshelf.Event {
	return flaxshelf.Place{
		Task: r.Task.task(),
	}
}

func runningRecordOf(e flaxshelf.Running) runningRecord {
	return runningRecord{
		Task:    taskRecordOf(e.Task),
		Machine: e.Machine,
	}
}

func (r runningRecord) event() flaxshelf.Event {
	return flaxshelf.Running{
		Task:    r.Task.task(),
		Machine: r.Machine,
	}
}

func placedRecordOf(e flaxshelf.Placed) placedRecord {
	return placedRecord{
		Task:    e.Task,
		Machine: e.Machine,
		Attempt: e.Attempt,
		Lag:     e.Lag,
	}
}

func (r placedRecord) event() flaxshelf.Event {
	return flaxshelf.Placed{
		Task:    r.Task,
		Machine: r.Machine,
		Attempt: r.Attempt,
		Lag:     r.Lag,
	}
}

func endedRecordOf(e flaxshelf.Ended) endedRecord {
	return endedRecord{
		Task:    e.Task,
		Machine: e.Machine,
		Attempt: e.Attempt,
		Verdict: int(e.Verdict),
		Reason:  int(e.Reason),
		Done:    e.Done,
		Lag:     e.Lag,
		Load:    loadRecordOf(e.Load),
	}
}

func (r endedRecord) event() flaxshelf.Event {
	return flaxshelf.Ended{
		Task:    r.Task,
		Machine: r.Machine,
		Attempt: r.Attempt,
		Verdict: flaxshelf.Verdict(r.Verdict),
		Reason:  flaxshelf.Reason(r.Reason),
		Done:    r.Done,
		Lag:     r.Lag,
		Load:    r.Load.load(),
	}
}

func noteRecordOf(e flaxshelf.Note) noteRecord {
	return noteRecord{
		Task:    e.Task,
		Machine: e.Machine,
		Attempt: e.Attempt,
		Kind:    int(e.Kind),
		Amount:  e.Amount,
	}
}

func (r noteRecord) event() flaxshelf.Event {
	return flaxshelf.Note{
		Task:    r.Task,
		Machine: r.Machine,
		Attempt: r.Attempt,
		Kind:    flaxshelf.NoteKind(r.Kind),
		Amount:  r.Amount,
	}
}

func probedRecordOf(e flaxshelf.Probed) probedRecord {
	return probedRecord{
		Machine: e.Machine,
		Verdict: int(e.Verdict),
		Load:    loadRecordOf(e.Load),
	}
}

func (r probedRecord) event() flaxshelf.Event {
	return flaxshelf.Probed{
		Machine: r.Machine,
		Verdict: flaxshelf.Verdict(r.Verdict),
		Load:    r.Load.load(),
	}
}

func messageRecordOf(e flaxshelf.Message) messageRecord {
	return messageRecord{
		From: e.From,
		Data: e.Data,
	}
}

func (r messageRecord) event() flaxshelf.Event {
	return flaxshelf.Message{
		From: r.From,
		Data: r.Data,
	}
}

func wokenRecordOf(flaxshelf.Woken) wokenRecord { return wokenRecord{} }

func (wokenRecord) event() flaxshelf.Event { return flaxshelf.Woken{} }

func goneRecordOf(e flaxshelf.Gone) goneRecord {
	return goneRecord{
		Task: e.Task,
	}
}

func (r goneRecord) event() flaxshelf.Event {
	return flaxshelf.Gone{
		Task: r.Task,
	}
}
