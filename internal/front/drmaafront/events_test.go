package drmaafront

import (
	"strings"
	"testing"

	"flaxshelf.example/flaxshelf/internal/codec/httpcodec"
	"flaxshelf.example/flaxshelf/internal/scheduler"
)

// A stream resumes after an event of the same incarnation, and begins with all jobs for any other Last-Event-ID.
func TestStreamResumesAfterLastEvent(t *testing.T) {
	frontend := newTestFrontend(t)
	for _, test := range []struct {
		name, id string
		want     uint64
	}{
		{"no event", "", 0},
		{"event of this incarnation", frontend.incarnationID + ".42", 42},
		{"event of another incarnation", "zz.42", 0},
		{"invalid position", frontend.incarnationID + ".x", 0},
		{"no incarnation", "42", 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			watchRequest := newRequest("GET", "/drmaa2/v1/sessions/s/events", "")
			watchRequest.Fields = []httpcodec.Field{{Name: "last-event-id", Value: test.id}}
			if got := frontend.Decode(watchRequest).BuildInput(1, 2).(scheduler.Watch); got.SinceRevision != test.want || got.Stream != 2 {
				t.Errorf("got %+v, want stream 2 since %d", got, test.want)
			}
		})
	}
}

func TestEventHasPositionAndJob(t *testing.T) {
	frontend := newTestFrontend(t)
	event := string(frontend.EncodeEvent(&scheduler.JobInfo{ID: "j", Spec: &scheduler.JobSpec{}, State: scheduler.Running, Revision: 7}, "7"))
	if want := "id: " + frontend.incarnationID + ".7\nevent: job\ndata: {\"jobId\":\"j\""; !strings.Contains(event, want) {
		t.Errorf("got %q, want it to contain %q", event, want)
	}
}
