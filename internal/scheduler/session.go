package scheduler

import (
	"maps"
	"slices"
)

// apply executes a command on DRMAA job sessions. A session is a name that groups jobs.
func (in SessionCommand) apply(c *Core) {
	exists := c.sessions[in.Name]
	switch {
	case in.Verb == ListSessions:
		c.answer(in.RequestID, Answer{Sessions: c.sessionNames()})
	case in.Verb == CreateSession && exists:
		c.reject(in.RequestID, InvalidArgument, 0, "job session %q exists", in.Name)
	case in.Verb == CreateSession && len(c.sessions) >= c.cfg.Limits.MaxSessions:
		c.reject(in.RequestID, OutOfResource, 0, "%d job sessions, no more are kept", len(c.sessions))
	case in.Verb == CreateSession:
		c.sessions[in.Name] = true
		c.answer(in.RequestID, Answer{Sessions: []string{in.Name}})
	case !exists:
		c.reject(in.RequestID, InvalidArgument, 0, "no job session %q", in.Name)
	case in.Verb == DestroySession: // its jobs continue; see section 8.4 of GFD.194
		delete(c.sessions, in.Name)
		c.answer(in.RequestID, Answer{})
	default:
		c.answer(in.RequestID, Answer{Sessions: []string{in.Name}})
	}
}

// apply adds the session of a job that another core has adopted.
func (in SessionAdopted) apply(c *Core) {
	switch {
	case c.sessions[in.Name]:
	case in.Share:
		c.addSession(in.Name)
	default:
		c.sessions[in.Name] = true
	}
}

// addSession adds a session without a command, and passes it on to the other cores.
func (c *Core) addSession(name string) {
	c.sessions[name] = true
	c.emit(ShareSession{name})
}

// sessionNames returns the names of the job sessions, sorted. The result is never nil, so that it is encoded as a list.
func (c *Core) sessionNames() []string {
	names := slices.AppendSeq(make([]string, 0, len(c.sessions)), maps.Keys(c.sessions))
	slices.Sort(names)
	return names
}
