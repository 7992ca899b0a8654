package platformfront

import (
	"fmt"
	"time"

	"github.com/goccy/go-json"

	"flaxshelf.example/flaxshelf"
	"flaxshelf.example/flaxshelf/internal/requests"
)

// WatchEvent is an event of the control feed, which may update the endpoint list.
type WatchEvent struct {
	Sequence        uint64                // sequence number; those of consecutive events are consecutive
	Update          requests.NodesUpdated // empty if the event has no nodes
	HasFreeCapacity bool                  // at least one endpoint has the free capacity of its machine
}

// wireEvent is the JSON form of an event of the control feed.
type wireEvent struct {
	Sequence uint64       `json:"n"`
	Members  *wireMembers `json:"members"`
}

// wireMembers is the JSON form of a list of all nodes, if Full is true, or of those that have changed.
type wireMembers struct {
	Full    bool         `json:"full"`
	Servers []wireServer `json:"servers"`
}

// wireServer is the JSON form of a node and its machine.
type wireServer struct {
	ID            string    `json:"id"`
	Addr          string    `json:"addr"`
	Zone          string    `json:"zone"`
	Kind          string    `json:"kind"`
	State         string    `json:"state"`
	Cell          int       `json:"cell"`
	StartedMillis float64   `json:"started_ms"`
	FreeCapacity  []float64 `json:"unasked"` // unreserved cores and memory; empty if not known
}

// machineStates maps the JSON values of a machine's state to states.
var machineStates = map[string]flaxshelf.MachineState{
	"active": flaxshelf.Active, "leaving": flaxshelf.Draining, "left": flaxshelf.Removed,
}

// DecodeWatchEvent decodes the data of an event of the control feed. An event without a list of nodes is of a type that this
// version does not know; its update is empty. The error is a *WatchEventError.
func (c *Config) DecodeWatchEvent(data []byte) (WatchEvent, error) {
	var wire wireEvent
	if err := json.Unmarshal(data, &wire); err != nil {
		return WatchEvent{}, &WatchEventError{Reason: "must be a valid JSON object", Err: err}
	}
	event := WatchEvent{Sequence: wire.Sequence}
	if wire.Members == nil {
		return event, nil
	}
	event.Update.Complete = wire.Members.Full
	for i := range wire.Members.Servers {
		server := &wire.Members.Servers[i]
		machine, err := c.decodeServer(server)
		if err != nil {
			err.Sequence, err.Field = wire.Sequence, fmt.Sprintf("members.servers[%d].%s", i, err.Field)
			return WatchEvent{}, err
		}
		event.HasFreeCapacity = event.HasFreeCapacity || server.hasFreeCapacity()
		event.Update.Endpoints = append(event.Update.Endpoints, requests.Endpoint{Machine: machine, Addr: server.Addr})
	}
	return event, nil
}

func (s *wireServer) hasFreeCapacity() bool { return len(s.FreeCapacity) >= 2 }

// decodeServer translates an entry of a list of nodes to a Machine; it is the only function that does so for this protocol. A
// kind that the settings do not have counts as unknown and is no error.
func (c *Config) decodeServer(server *wireServer) (flaxshelf.Machine, *WatchEventError) {
	if server.ID == "" {
		return flaxshelf.Machine{}, &WatchEventError{Field: "id", Reason: "must be the name of a node"}
	}
	state, ok := machineStates[server.State]
	if !ok {
		return flaxshelf.Machine{}, &WatchEventError{Field: "state", Value: server.State,
			Reason: "must be active, leaving or left"}
	}
	machine := flaxshelf.Machine{
		ID:      server.ID,
		Kind:    c.Names.Kind(server.Kind),
		Zone:    server.Zone,
		Cell:    server.Cell,
		State:   state,
		Started: time.Duration(server.StartedMillis * float64(time.Millisecond)),
	}
	if server.hasFreeCapacity() {
		machine.FreeCores, machine.FreeMemory = server.FreeCapacity[0], server.FreeCapacity[1]
	}
	return machine, nil
}

// MergeUpdates merges the updates of consecutive events into one that has the last endpoint of each node, in the order in which
// the nodes first appear. Updates before a complete list are dropped. ok is false if no event has nodes.
func MergeUpdates(events []WatchEvent) (merged requests.NodesUpdated, ok bool) {
	positions := map[string]int{}
	for _, event := range events {
		if event.Update.Complete {
			merged, positions = requests.NodesUpdated{Complete: true}, map[string]int{}
		}
		for _, endpoint := range event.Update.Endpoints {
			id := endpoint.Machine.ID
			position, known := positions[id]
			if known {
				merged.Endpoints[position] = endpoint
				continue
			}
			positions[id] = len(merged.Endpoints)
			merged.Endpoints = append(merged.Endpoints, endpoint)
		}
	}
	return merged, merged.Complete || len(merged.Endpoints) > 0
}
