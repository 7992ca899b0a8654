package scheduler

import (
	"maps"
	"slices"
)

// apply acts on DRMAA job sessions: names under which jobs are found again.
func (in SessionCommand) apply(c *Core) {
	exists := c.sessions[in.Name]
	switch {
	case in.Verb == List:
		c.answer(in.Req, Answer{Sessions: slices.Sorted(maps.Keys(c.sessions))})
	case in.Verb == Create && exists:
		c.reject(in.Req, InvalidArgument, 0, "job session %q exists", in.Name)
	case in.Verb == Create && len(c.sessions) >= c.cfg.Limits.MaxSessions:
		c.reject(in.Req, OutOfResource, 0, "%d job sessions, no more are kept", len(c.sessions))
	case in.Verb == Create:
		c.sessions[in.Name] = true
		c.answer(in.Req, Answer{Sessions: []string{in.Name}})
	case !exists:
		c.reject(in.Req, InvalidArgument, 0, "no job session %q", in.Name)
	case in.Verb == Destroy: // its jobs go on, as section 8.4 of GFD.194 has it
		delete(c.sessions, in.Name)
		c.answer(in.Req, Answer{})
	default:
		c.answer(in.Req, Answer{Sessions: []string{in.Name}})
	}
}
