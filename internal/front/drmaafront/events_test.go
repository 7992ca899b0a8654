package drmaafront

import (
	"strings"
	"testing"

	"flaxshelf.example/flaxshelf/internal/codec/httpcodec"
	"flaxshelf.example/flaxshelf/internal/scheduler"
)

// A stream goes on behind the last event since this start of the scheduler, and begins anew after one of an earlier start.
func TestLastEventID(t *testing.T) {
	front := newFront(t)
	for id, want := range map[string]uint64{"": 0, front.incarnation + ".42": 42, "zz.42": 0, front.incarnation + ".x": 0, "42": 0} {
		watch := request("GET", "/drmaa2/v1/sessions/s/events", "")
		watch.Fields = []httpcodec.Field{{Name: "last-event-id", Value: id}}
		if got := front.Route(watch).BuildInput(1, 2).(scheduler.Watch); got.Since != want || got.Stream != 2 {
			t.Errorf("%q: %+v", id, got)
		}
	}
	event := string(front.Event(&scheduler.Info{ID: "j", Spec: &scheduler.Spec{}, State: scheduler.Running, Revision: 7}, "7"))
	if !strings.Contains(event, "id: "+front.incarnation+".7\nevent: job\ndata: {\"jobId\":\"j\"") {
		t.Errorf("event %q", event)
	}
}
