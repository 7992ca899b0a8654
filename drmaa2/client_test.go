package drmaa2

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// testTimeout limits the calls of one test.
const testTimeout = 20 * time.Second

// newTestClient starts an HTTP server with the handler, and returns a client of the server and a context with testTimeout for the
// calls.
func newTestClient(t *testing.T, handler http.HandlerFunc) (context.Context, *Client) {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	client := NewClient(server.URL)
	t.Cleanup(client.Close)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	return ctx, client
}

func TestSubmissionWithoutResponseIsRetriedUnderOneKey(t *testing.T) {
	var received []Submission
	ctx, client := newTestClient(t, func(w http.ResponseWriter, r *http.Request) {
		var submission Submission
		if err := json.NewDecoder(r.Body).Decode(&submission); err != nil {
			t.Error(err)
		}
		received = append(received, submission)
		if len(received) == 1 {
			panic(http.ErrAbortHandler) // closes the connection without a response
		}
		_, _ = fmt.Fprint(w, `{"jobs":[{"jobId":"j1","jobState":"QUEUED"}]}`)
	})
	template := JobTemplate{RemoteCommand: "x", ImplementationSpecific: map[string]string{AttrService: "s"}}
	job, err := (&JobSession{client, "billing"}).RunJob(ctx, template)
	if err != nil {
		t.Fatal(err)
	}
	if job.ID != "j1" || job.SessionName != "billing" {
		t.Errorf("got job %q of session %q, want j1 of billing", job.ID, job.SessionName)
	}
	if len(received) != 2 {
		t.Fatalf("got %d submissions, want 2", len(received))
	}
	first, second := received[0], received[1]
	key := first.Template.ImplementationSpecific[AttrKey]
	if key == "" || second.Template.ImplementationSpecific[AttrKey] != key {
		t.Errorf("got keys %q and %q, want the same one", key, second.Template.ImplementationSpecific[AttrKey])
	}
	if first.Again || !second.Again {
		t.Errorf("got submissions marked as retries: %v and %v, want false and true", first.Again, second.Again)
	}
	if _, changed := template.ImplementationSpecific[AttrKey]; changed {
		t.Error("got a key in the caller's template, want it unchanged")
	}
}

func TestResponseBecomesError(t *testing.T) {
	for _, c := range []struct {
		name   string
		status int
		header map[string]string
		body   string
		match  error
		want   Error
	}{
		{"try later, in milliseconds", 503, map[string]string{"Retry-After": "1", "Flaxshelf-Retry-After-Ms": "250"},
			`{"code":"TryLater","message":"full"}`, ErrTryLater,
			Error{Code: TryLater, Message: "full", RetryAfter: 250 * time.Millisecond}},
		{"try later, in seconds", 503, map[string]string{"Retry-After": "3"}, `{"code":"TryLater","message":"full"}`,
			ErrTryLater, Error{Code: TryLater, Message: "full", RetryAfter: 3 * time.Second}},
		{"attribute", 422, nil, `{"code":"UnsupportedAttribute","message":"no mail","attribute":"email"}`,
			ErrUnsupportedAttribute, Error{Code: UnsupportedAttribute, Message: "no mail", Attribute: "email"}},
		{"response of a proxy", 502, nil, `<html>`, ErrDrmCommunication,
			Error{Code: DrmCommunication, Message: "status 502 Bad Gateway: <html>"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			ctx, client := newTestClient(t, func(w http.ResponseWriter, _ *http.Request) {
				for name, value := range c.header {
					w.Header().Set(name, value)
				}
				w.WriteHeader(c.status)
				_, _ = fmt.Fprint(w, c.body)
			})
			_, err := client.JobSessionNames(ctx)
			var got *Error
			if !errors.As(err, &got) || !errors.Is(err, c.match) {
				t.Fatalf("got error %v, want one that matches %v", err, c.match)
			}
			if *got != c.want {
				t.Errorf("got %+v, want %+v", *got, c.want)
			}
		})
	}
}

func TestWaitResumesAfterTheLastEvent(t *testing.T) {
	var lastIDs []string
	ctx, client := newTestClient(t, func(w http.ResponseWriter, r *http.Request) {
		lastIDs = append(lastIDs, r.Header.Get("Last-Event-Id"))
		states := []JobState{Queued, Running}
		if len(lastIDs) > 1 {
			states = []JobState{Done}
		}
		for i, state := range states {
			_, _ = fmt.Fprintf(w, "id: %d-%d\nevent: job\ndata: {\"jobId\":\"j1\",\"jobState\":%q}\n\n", len(lastIDs), i, state)
		}
	})
	info, err := (&Job{client: client, ID: "j1"}).WaitTerminated(ctx, InfiniteTime)
	if err != nil {
		t.Fatal(err)
	}
	if info.JobState != Done {
		t.Errorf("got state %v, want %v", info.JobState, Done)
	}
	if len(lastIDs) != 2 || lastIDs[0] != "" || lastIDs[1] != "1-1" {
		t.Errorf("got Last-Event-Id %q, want none and 1-1", lastIDs)
	}
}

func TestListIsReadInPagesAndFiltered(t *testing.T) {
	requests := 0
	ctx, client := newTestClient(t, func(w http.ResponseWriter, r *http.Request) {
		requests++
		page := Submitted{Jobs: []JobInfo{{JobID: "last", JobState: Running}}}
		if r.URL.Query().Get("after") == "" {
			page.Jobs = nil
			for i := range pageSize {
				page.Jobs = append(page.Jobs, JobInfo{JobID: fmt.Sprintf("j%04d", i), JobState: Queued})
			}
			page.Jobs[7].JobState = Running
		}
		if err := json.NewEncoder(w).Encode(page); err != nil {
			t.Error(err)
		}
	})
	infos, err := client.SessionJobs(ctx, "billing", &JobInfo{JobState: Running})
	if err != nil {
		t.Fatal(err)
	}
	if requests != 2 || len(infos) != 2 || infos[0].JobID != "j0007" || infos[1].JobID != "last" {
		t.Errorf("got %d requests and jobs %v, want 2 and j0007, last", requests, infos)
	}
}

func TestAllMachinesReturnsTheNamedOnes(t *testing.T) {
	ctx, client := newTestClient(t, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprint(w, `{"machines":[{"name":"a"},{"name":"b"},{"name":"c"}]}`)
	})
	monitoring := &MonitoringSession{client}
	for _, c := range []struct {
		name  string
		names []string
		want  string
	}{
		{"no names", nil, "[a b c]"},
		{"unknown name among others", []string{"c", "a", "z"}, "[a c]"},
		{"unknown name", []string{"z"}, "[]"},
		{"repeated name", []string{"a", "a"}, "[a a]"},
	} {
		t.Run(c.name, func(t *testing.T) {
			machines, err := monitoring.AllMachines(ctx, c.names...)
			if err != nil {
				t.Fatal(err)
			}
			found := []string{}
			for _, machine := range machines {
				found = append(found, machine.Name)
			}
			if got := fmt.Sprint(found); got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}
