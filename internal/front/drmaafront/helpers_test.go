package drmaafront

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"flaxshelf.example/flaxshelf/drmaa2"
	"flaxshelf.example/flaxshelf/internal/codec/httpcodec"
	"flaxshelf.example/flaxshelf/internal/settings"
)

func newTestFrontend(t testing.TB) *Frontend {
	t.Helper()
	config, err := settings.ParseScheduler("f.cue", []byte(`
inventory: "127.0.0.1:1"
kinds: [{name: "k", cores: 8, memory: 32}]
classes: [{name: "batch", effect: "idempotent-by-key", priority: 2, cores: 2, memory: 4}, {name: "service", effect: "idempotent"}]
tenants: [{name: "north"}]
`))
	if err != nil {
		t.Fatal(err)
	}
	return New(config, 5*time.Second)
}

func newRequest(method, path, body string) *httpcodec.Request {
	path, query, _ := strings.Cut(path, "?")
	return &httpcodec.Request{Method: method, Path: path, Query: query, Body: []byte(body)}
}

// decodeResponse returns the status and the error of a call with a response. The status is 0 for a call that the core answers.
func decodeResponse(t *testing.T, call *Call) (status int, responseError drmaa2.Error) {
	t.Helper()
	if call.Response == nil {
		return 0, drmaa2.Error{}
	}
	var reader httpcodec.ResponseReader
	if err := reader.Feed(call.Response, func(response *httpcodec.Response) {
		status = response.Status
		if status < 300 {
			return
		}
		if err := json.Unmarshal(response.Body, &responseError); err != nil {
			t.Errorf("body of status %d: got %s, want an error: %v", status, response.Body, err)
		}
	}); err != nil {
		t.Fatal(err)
	}
	return status, responseError
}
