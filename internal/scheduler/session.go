package scheduler

import (
	"cmp"
	"slices"
)

// session is a DRMAA job session: a name under which jobs are found again.
type session struct{ name string }

func (c *Core) sessionCommand(in SessionCommand) {
	switch s := c.sessions[in.Name]; {
	case in.Verb == List:
		names := make([]string, 0, len(c.sessions))
		for name := range c.sessions {
			names = append(names, name)
		}
		slices.Sort(names)
		c.answer(in.Req, Answer{Sessions: names})
	case in.Verb == Create && s != nil:
		c.refuse(in.Req, InvalidArgument, 0, "job session %q exists", in.Name)
	case in.Verb == Create && len(c.sessions) >= c.cfg.Limits.MaxSessions:
		c.refuse(in.Req, OutOfResource, 0, "%d job sessions, no more are kept", len(c.sessions))
	case in.Verb == Create:
		c.sessions[in.Name] = &session{in.Name}
		c.answer(in.Req, Answer{Sessions: []string{in.Name}})
	case s == nil:
		c.refuse(in.Req, InvalidArgument, 0, "no job session %q", in.Name)
	case in.Verb == Destroy: // its jobs go on, as section 8.4 of GFD.194 has it
		delete(c.sessions, in.Name)
		c.answer(in.Req, Answer{})
	default:
		c.answer(in.Req, Answer{Sessions: []string{in.Name}})
	}
}

// page lists jobs in the order of their IDs, behind after. An empty session means all.
func (c *Core) page(session, after string, limit int) []Info {
	var found []*job
	for id, j := range c.jobs {
		if id == j.id && id > after && (session == "" || j.spec.Session == session) {
			found = append(found, j)
		}
	}
	slices.SortFunc(found, func(a, b *job) int { return cmp.Compare(a.id, b.id) })
	infos := make([]Info, 0, min(limit, len(found)))
	for _, j := range found[:min(limit, len(found))] {
		infos = append(infos, j.info())
	}
	return infos
}
