package drmaafront

import (
	"fmt"
	"testing"
)

// A request becomes an input of the core, or is answered without the core with the expected status.
func TestRoutes(t *testing.T) {
	frontend := newTestFrontend(t)
	for _, test := range []struct {
		method, path, body string
		status             int    // 0 if the core answers
		input              string // the expected input of the core, as fmt prints it
	}{
		{"GET", "/drmaa2/v1/info", "", 200, ""},
		{"GET", "/drmaa2/v1/queues", "", 200, ""},
		{"GET", "/drmaa2/v1/sessions", "", 0, "{1 list }"},
		{"POST", "/drmaa2/v1/sessions", `{"name":"a b"}`, 0, "{1 create a b}"},
		{"POST", "/drmaa2/v1/sessions", `{"name":""}`, 400, ""},
		{"POST", "/drmaa2/v1/sessions", `{"name":"a\nb"}`, 400, ""},
		{"GET", "/drmaa2/v1/sessions/a%20b", "", 0, "{1 open a b}"},
		{"GET", "/drmaa2/v1/sessions/a%zz", "", 400, ""},
		{"DELETE", "/drmaa2/v1/sessions/x", "", 0, "{1 destroy x}"},
		{"GET", "/drmaa2/v1/sessions/x/jobs?limit=3&after=j", "", 0, "{1  x j 3}"},
		{"GET", "/drmaa2/v1/sessions/x/jobs?limit=0", "", 400, ""},
		{"GET", "/drmaa2/v1/jobs", "", 0, "{1    1000}"},
		{"GET", "/drmaa2/v1/jobs/j", "", 0, "{1 j   0}"},
		{"POST", "/drmaa2/v1/jobs/j/hold", "", 0, "{1 hold j}"},
		{"POST", "/drmaa2/v1/jobs/j/release", "", 0, "{1 release j}"},
		{"POST", "/drmaa2/v1/jobs/j/terminate", "", 0, "{1 terminate j}"},
		{"POST", "/drmaa2/v1/jobs/j/suspend", "", 501, ""},
		{"DELETE", "/drmaa2/v1/jobs/j", "", 0, "{1 reap j}"},
		{"GET", "/drmaa2/v1/machines", "", 0, "{1}"},
		{"GET", "/drmaa2/v1/jobs/j/events", "", 0, "{1 1 0 j }"},
		{"PUT", "/drmaa2/v1/jobs/j", "", 405, ""},
		{"GET", "/drmaa2/v1/wings", "", 404, ""},
		{"GET", "/", "", 404, ""},
	} {
		t.Run(test.method+" "+test.path+" "+test.body, func(t *testing.T) {
			call := frontend.Decode(newRequest(test.method, test.path, test.body))
			status, err := decodeResponse(t, call)
			if status != test.status {
				t.Fatalf("got status %d (%v), want %d", status, err, test.status)
			}
			if status >= 300 && (err.Code == "" || err.Message == "") {
				t.Errorf("got %+v, want an error with code and message", err)
			}
			if call.BuildInput == nil {
				return
			}
			if got := fmt.Sprint(call.BuildInput(1, 1)); got != test.input {
				t.Errorf("got %s, want %s", got, test.input)
			}
		})
	}
}
