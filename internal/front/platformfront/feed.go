package platformfront

import (
	"fmt"
	"time"

	"github.com/goccy/go-json"

	"flaxshelf.example/flaxshelf"
	"flaxshelf.example/flaxshelf/internal/requests"
)

// Change is one event of the control feed.
type Change struct {
	N      uint64
	Listed requests.Listed
	Free   bool // entries tell what is free on their nodes
}

var states = map[string]flaxshelf.MachineState{
	"active": flaxshelf.Active, "leaving": flaxshelf.Draining, "left": flaxshelf.Removed,
}

// Change reads the data of an event of the control feed.
func (c *Config) Change(data []byte) (Change, error) {
	var w struct {
		N       uint64
		Members *struct {
			Full    bool
			Servers []struct {
				ID, Addr, Zone, Kind, State string
				Cell                        int
				StartedMS                   float64   `json:"started_ms"`
				Unasked                     []float64 // cores and memory that nobody has asked for, where the list tells them
			}
		}
	}
	if err := json.Unmarshal(data, &w); err != nil {
		return Change{}, fmt.Errorf("event of the control feed: %w", err)
	}
	e := Change{N: w.N}
	if w.Members == nil {
		return e, nil // of a later version: it says nothing of nodes
	}
	e.Listed.Whole = w.Members.Full
	for _, s := range w.Members.Servers {
		state, ok := states[s.State]
		if s.ID == "" || !ok {
			return Change{}, fmt.Errorf("event %d of the control feed: node %q with state %q", w.N, s.ID, s.State)
		}
		kind, ok := c.Names.Kind[s.Kind]
		if !ok {
			kind = -1
		}
		m := flaxshelf.Machine{ID: s.ID, Kind: kind, Zone: s.Zone, Cell: s.Cell, State: state,
			Started: time.Duration(s.StartedMS * float64(time.Millisecond))}
		if len(s.Unasked) >= 2 {
			m.FreeCores, m.FreeMemory, e.Free = s.Unasked[0], s.Unasked[1], true
		}
		e.Listed.Machines = append(e.Listed.Machines, m)
		e.Listed.Addrs = append(e.Listed.Addrs, s.Addr)
	}
	return e, nil
}

// Fold makes one list of changes that follow each other: the last word on each node, in the order of their first. It is
// false for none that speaks of nodes.
func Fold(changes []Change) (list requests.Listed, any bool) {
	at := map[string]int{}
	for _, c := range changes {
		if c.Listed.Whole {
			list, at = requests.Listed{Whole: true}, map[string]int{}
		}
		for i, m := range c.Listed.Machines {
			n, again := at[m.ID]
			if !again {
				n = len(list.Machines)
				at[m.ID] = n
				list.Machines, list.Addrs = append(list.Machines, m), append(list.Addrs, "")
			}
			list.Machines[n], list.Addrs[n] = m, c.Listed.Addrs[i]
		}
	}
	return list, list.Whole || len(list.Machines) > 0
}
