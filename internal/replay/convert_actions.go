package replay

import "flaxshelf.example/flaxshelf"

// actionRecordOf is the stored form of an action.
func actionRecordOf(action flaxshelf.Action) (actionRecord, error) {
	switch a := action.(type) {
	case flaxshelf.Offer:
		return offerRecordOf(a), nil
	case flaxshelf.Cancel:
		return withdrawRecordOf(a), nil
	case flaxshelf.Reject:
		return refuseRecordOf(a), nil
	case flaxshelf.Fail:
		return failRecordOf(a), nil
	case flaxshelf.Migrate:
		return moveRecordOf(a), nil
	case flaxshelf.HealthCheck:
		return probeRecordOf(a), nil
	case flaxshelf.SendGossip:
		return tellRecordOf(a), nil
	case flaxshelf.Subscribe:
		return subscribeRecordOf(a), nil
	case flaxshelf.SetTimer:
		return wakeRecordOf(a), nil
	}
	return nil, &UnknownTypeError{Value: action}
}

func offerRecordOf(a flaxshelf.Offer) offerRecord {
	return offerRecord{
		Task:    a.Task,
		Machine: a.Machine,
		Timeout: a.Timeout,
	}
}

func (r offerRecord) action() flaxshelf.Action {
	return flaxshelf.Offer{
		Task:    r.Task,
		Machine: r.Machine,
		Timeout: r.Timeout,
	}
}

func withdrawRecordOf(a flaxshelf.Cancel) withdrawRecord {
	return withdrawRecord{
		Task:    a.Task,
		Attempt: a.Attempt,
	}
}

func (r withdrawRecord) action() flaxshelf.Action {
	return flaxshelf.Cancel{
		Task:    r.Task,
		Attempt: r.Attempt,
	}
}

func refuseRecordOf(a flaxshelf.Reject) refuseRecord {
	return refuseRecord{
		Task: a.Task,
	}
}

func (r refuseRecord) action() flaxshelf.Action {
	return flaxshelf.Reject{
		Task: r.Task,
	}
}

func failRecordOf(a flaxshelf.Fail) failRecord {
	return failRecord{
		Task: a.Task,
	}
}

func (r failRecord) action() flaxshelf.Action {
	return flaxshelf.Fail{
		Task: r.Task,
	}
}

func moveRecordOf(a flaxshelf.Migrate) moveRecord {
	return moveRecord{
		Task: a.Task,
	}
}

func (r moveRecord) action() flaxshelf.Action {
	return flaxshelf.Migrate{
		Task: r.Task,
	}
}

func probeRecordOf(a flaxshelf.HealthCheck) probeRecord {
	return probeRecord{
		Machine: a.Machine,
	}
}

func (r probeRecord) action() flaxshelf.Action {
	return flaxshelf.HealthCheck{
		Machine: r.Machine,
	}
}

func tellRecordOf(a flaxshelf.SendGossip) tellRecord {
	return tellRecord{
		Data: a.Data,
	}
}

func (r tellRecord) action() flaxshelf.Action {
	return flaxshelf.SendGossip{
		Data: r.Data,
	}
}

func subscribeRecordOf(flaxshelf.Subscribe) subscribeRecord { return subscribeRecord{} }

func (subscribeRecord) action() flaxshelf.Action { return flaxshelf.Subscribe{} }

func wakeRecordOf(a flaxshelf.SetTimer) wakeRecord {
	return wakeRecord{
		After: a.After,
	}
}

func (r wakeRecord) action() flaxshelf.Action {
	return flaxshelf.SetTimer{
		After: r.After,
	}
}
