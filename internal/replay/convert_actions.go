package replay

import "flaxshelf.example/flaxshelf"

// actionRecordOf is the stored form of an action.
func actionRecordOf(action flaxshelf.Action) (actionRecord, error) {
	switch a := action.(type) {
	case flaxshelf.Offer:
		return offerRecordOf(a), nil
	case flaxshelf.Withdraw:
		return withdrawRecordOf(a), nil
	case flaxshelf.Refuse:
		return refuseRecordOf(a), nil
	case flaxshelf.Fail:
		return failRecordOf(a), nil
	case flaxshelf.Move:
		return moveRecordOf(a), nil
	case flaxshelf.Probe:
		return probeRecordOf(a), nil
	case flaxshelf.Tell:
		return tellRecordOf(a), nil
	case flaxshelf.Subscribe:
		return subscribeRecordOf(a), nil
	case flaxshelf.Wake:
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

func withdrawRecordOf(a flaxshelf.Withdraw) withdrawRecord {
	return withdrawRecord{
		Task:    a.Task,
		Attempt: a.Attempt,
	}
}

func (r withdrawRecord) action() flaxshelf.Action {
	return flaxshelf.Withdraw{
		Task:    r.Task,
		Attempt: r.Attempt,
	}
}

func refuseRecordOf(a flaxshelf.Refuse) refuseRecord {
	return refuseRecord{
		Task: a.Task,
	}
}

func (r refuseRecord) action() flaxshelf.Action {
	return flaxshelf.Refuse{
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

func moveRecordOf(a flaxshelf.Move) moveRecord {
	return moveRecord{
		Task: a.Task,
	}
}

func (r moveRecord) action() flaxshelf.Action {
	return flaxshelf.Move{
		Task: r.Task,
	}
}

func probeRecordOf(a flaxshelf.Probe) probeRecord {
	return probeRecord{
		Machine: a.Machine,
	}
}

func (r probeRecord) action() flaxshelf.Action {
	return flaxshelf.Probe{
		Machine: r.Machine,
	}
}

func tellRecordOf(a flaxshelf.Tell) tellRecord {
	return tellRecord{
		Data: a.Data,
	}
}

func (r tellRecord) action() flaxshelf.Action {
	return flaxshelf.Tell{
		Data: r.Data,
	}
}

func subscribeRecordOf(flaxshelf.Subscribe) subscribeRecord { return subscribeRecord{} }

func (subscribeRecord) action() flaxshelf.Action { return flaxshelf.Subscribe{} }

func wakeRecordOf(a flaxshelf.Wake) wakeRecord {
	return wakeRecord{
		After: a.After,
	}
}

func (r wakeRecord) action() flaxshelf.Action {
	return flaxshelf.Wake{
		After: r.After,
	}
}
