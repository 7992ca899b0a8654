package platformfront

import (
	"fmt"
	"time"

	"github.com/goccy/go-json"

	"flaxshelf.example/flaxshelf"
	"flaxshelf.example/flaxshelf/internal/requests"
)

// WatchEvent is one event of the control feed.
type WatchEvent struct {
	Sequence        uint64
	Update          requests.NodesUpdated
	HasFreeCapacity bool // entries tell what is free on their nodes
}

var states = map[string]flaxshelf.MachineState{
	"active": flaxshelf.Active, "leaving": flaxshelf.Draining, "left": flaxshelf.Removed,
}

// DecodeWatchEvent reads the data of an event of the control feed.
func (c *Config) DecodeWatchEvent(data []byte) (WatchEvent, error) {
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
		return WatchEvent{}, fmt.Errorf("event of the control feed: %w", err)
	}
	e := WatchEvent{Sequence: w.N}
	if w.Members == nil {
		return e, nil // of a later version: it says nothing of nodes
	}
	e.Update.Complete = w.Members.Full
	for _, s := range w.Members.Servers {
		state, ok := states[s.State]
		if s.ID == "" || !ok {
			return WatchEvent{}, fmt.Errorf("event %d of the control feed: node %q with state %q", w.N, s.ID, s.State)
		}
		kind, ok := c.Names.Kind[s.Kind]
		if !ok {
			kind = -1
		}
		m := flaxshelf.Machine{ID: s.ID, Kind: kind, Zone: s.Zone, Cell: s.Cell, State: state,
			Started: time.Duration(s.StartedMS * float64(time.Millisecond))}
		if len(s.Unasked) >= 2 {
			m.FreeCores, m.FreeMemory, e.HasFreeCapacity = s.Unasked[0], s.Unasked[1], true
		}
		e.Update.Machines = append(e.Update.Machines, m)
		e.Update.Addrs = append(e.Update.Addrs, s.Addr)
	}
	return e, nil
}

// MergeUpdates makes one list of changes that follow each other: the last word on each node, in the order of their first. It is
// false for none that speaks of nodes.
func MergeUpdates(changes []WatchEvent) (list requests.NodesUpdated, any bool) {
	at := map[string]int{}
	for _, c := range changes {
		if c.Update.Complete {
			list, at = requests.NodesUpdated{Complete: true}, map[string]int{}
		}
		for i, m := range c.Update.Machines {
			n, again := at[m.ID]
			if !again {
				n = len(list.Machines)
				at[m.ID] = n
				list.Machines, list.Addrs = append(list.Machines, m), append(list.Addrs, "")
			}
			list.Machines[n], list.Addrs[n] = m, c.Update.Addrs[i]
		}
	}
	return list, list.Complete || len(list.Machines) > 0
}
