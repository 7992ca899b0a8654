package platformfront

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"
	"time"

	"flaxshelf.example/flaxshelf"
	"flaxshelf.example/flaxshelf/internal/machinetest"
	"flaxshelf.example/flaxshelf/internal/requests"
)

func TestInvalidWatchEventsNameTheField(t *testing.T) {
	c := parseConfig(t)
	for name, test := range map[string]struct{ data, field, value string }{
		"not JSON":      {`{"n":`, "", ""},
		"no id":         {`{"n":3,"members":{"servers":[{"state":"active"}]}}`, "members.servers[0].id", ""},
		"unknown state": {`{"n":3,"members":{"servers":[{"id":"a","state":"left"},{"id":"b","state":"odd"}]}}`, "members.servers[1].state", "odd"},
	} {
		t.Run(name, func(t *testing.T) {
			event, err := c.DecodeWatchEvent([]byte(test.data))
			var invalid *WatchEventError
			if !errors.As(err, &invalid) || invalid.Field != test.field || invalid.Value != test.value {
				t.Errorf("got %+v and error %v, want a WatchEventError for field %s with value %q", event, err, test.field, test.value)
			}
		})
	}
}

func machine(id string, state flaxshelf.MachineState) flaxshelf.Machine {
	return flaxshelf.Machine{ID: id, State: state}
}

// watchEvent returns an event whose machines all have the same address.
func watchEvent(complete bool, addr string, machines ...flaxshelf.Machine) WatchEvent {
	event := WatchEvent{Update: requests.NodesUpdated{Complete: complete}}
	for _, machine := range machines {
		event.Update.Endpoints = append(event.Update.Endpoints, requests.Endpoint{Machine: machine, Addr: addr})
	}
	return event
}

// Consecutive updates are merged into one that has the last state of each node and nothing from before a complete list.
func TestMergeUpdates(t *testing.T) {
	t.Run("no nodes", func(t *testing.T) {
		if got, ok := MergeUpdates([]WatchEvent{{Sequence: 1}}); ok {
			t.Errorf("got %+v, want no update", got)
		}
	})
	t.Run("complete list", func(t *testing.T) {
		got, ok := MergeUpdates([]WatchEvent{
			watchEvent(false, "w", machine("z", flaxshelf.Active)),
			watchEvent(true, "x", machine("a", flaxshelf.Active), machine("b", flaxshelf.Active)),
			watchEvent(false, "y", machine("c", flaxshelf.Active), machine("a", flaxshelf.Draining)),
			watchEvent(false, "z", machine("a", flaxshelf.Removed)),
		})
		if !ok {
			t.Fatal("got no update, want one")
		}
		expectEqual(t, "update", got, requests.NodesUpdated{Complete: true, Endpoints: []requests.Endpoint{
			{Machine: machine("a", flaxshelf.Removed), Addr: "z"},
			{Machine: machine("b", flaxshelf.Active), Addr: "x"},
			{Machine: machine("c", flaxshelf.Active), Addr: "y"},
		}})
	})
	t.Run("partial update", func(t *testing.T) {
		if got, _ := MergeUpdates([]WatchEvent{watchEvent(false, "w", machine("z", flaxshelf.Active))}); got.Complete {
			t.Errorf("got %+v, want a partial update", got)
		}
	})
}

// encodeWatchEvent encodes an event with one node as the control feed does. kinds are the names of the kinds of machines by
// index. TestWatchEventKeepsEveryFieldOfMachine fails if this function omits a field of Machine.
func encodeWatchEvent(t *testing.T, endpoint requests.Endpoint, kinds ...string) []byte {
	t.Helper()
	machine := endpoint.Machine
	server := wireServer{
		ID:            machine.ID,
		Addr:          endpoint.Addr,
		Zone:          machine.Zone,
		Kind:          kinds[machine.Kind],
		Cell:          machine.Cell,
		StartedMillis: float64(machine.Started) / float64(time.Millisecond),
		FreeCapacity:  []float64{machine.FreeCores, machine.FreeMemory},
	}
	for name, state := range machineStates {
		if state == machine.State {
			server.State = name
		}
	}
	data, err := json.Marshal(wireEvent{Sequence: 1, Members: &wireMembers{Full: true, Servers: []wireServer{server}}})
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func TestWatchEventKeepsEveryFieldOfMachine(t *testing.T) {
	text := strings.Replace(configText, `"kinds":["std"]`, `"kinds":["std","large"]`, 1)
	config, err := ParseConfig([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	want := requests.Endpoint{Machine: machinetest.Filled(t), Addr: "10.0.0.1:1"}
	event, err := config.DecodeWatchEvent(encodeWatchEvent(t, want, "std", "large"))
	if err != nil {
		t.Fatal(err)
	}
	merged, ok := MergeUpdates([]WatchEvent{event, event})
	if !ok || len(merged.Endpoints) != 1 {
		t.Fatalf("merged update: got %+v and ok %v, want one endpoint", merged, ok)
	}
	machinetest.Expect(t, merged.Endpoints[0].Machine, want.Machine)
	expectEqual(t, "address", merged.Endpoints[0].Addr, want.Addr)
}
