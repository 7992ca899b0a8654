package platformfront

import (
	"errors"
	"testing"

	"flaxshelf.example/flaxshelf"
	"flaxshelf.example/flaxshelf/internal/requests"
)

func TestDecodeWatchEventErrors(t *testing.T) {
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
				t.Errorf("%+v, %v, want field %s with value %q", event, err, test.field, test.value)
			}
		})
	}
}

func machine(id string, state flaxshelf.MachineState) flaxshelf.Machine {
	return flaxshelf.Machine{ID: id, State: state}
}

// watchEvent is an event whose machines have the same address.
func watchEvent(complete bool, addr string, machines ...flaxshelf.Machine) WatchEvent {
	event := WatchEvent{Update: requests.NodesUpdated{Complete: complete, Machines: machines}}
	for range machines {
		event.Update.Addrs = append(event.Update.Addrs, addr)
	}
	return event
}

// Consecutive updates become one: the last state of each node, nothing from before a complete list.
func TestMergeUpdates(t *testing.T) {
	t.Run("no nodes", func(t *testing.T) {
		if got, ok := MergeUpdates([]WatchEvent{{Sequence: 1}}); ok {
			t.Errorf("an event without nodes became %+v", got)
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
			t.Fatal("no update")
		}
		expectEqual(t, "update", got, requests.NodesUpdated{Complete: true, Addrs: []string{"z", "x", "y"},
			Machines: []flaxshelf.Machine{machine("a", flaxshelf.Removed), machine("b", flaxshelf.Active), machine("c", flaxshelf.Active)}})
	})
	t.Run("partial update", func(t *testing.T) {
		if got, _ := MergeUpdates([]WatchEvent{watchEvent(false, "w", machine("z", flaxshelf.Active))}); got.Complete {
			t.Error("a partial update became a complete list")
		}
	})
}
