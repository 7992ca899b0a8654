package drmaafront

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"flaxshelf.example/flaxshelf"
	"flaxshelf.example/flaxshelf/drmaa2"
	"flaxshelf.example/flaxshelf/internal/codec/httpcodec"
	"flaxshelf.example/flaxshelf/internal/scheduler"
)

const responsesFile = "testdata/responses.golden"

// testIncarnationID is the prefix of event IDs of newTestFrontend: its start time, 5,000 ms, in base 36.
const testIncarnationID = "3uw"

var update = flag.Bool("update", false, "overwrite "+responsesFile+"; each difference is a change of the wire format")

// The bytes of responses, errors and events are those of the golden file, so that the wire format does not change by accident.
func TestResponseBytes(t *testing.T) {
	got := allResponses(t)
	if *update {
		if err := os.WriteFile(responsesFile, got, 0o600); err != nil {
			t.Fatal(err)
		}
		return
	}
	want, err := os.ReadFile(responsesFile)
	if err != nil {
		t.Fatal(err)
	}
	gotLines, wantLines := strings.Split(string(got), "\n"), strings.Split(string(want), "\n")
	for i := range max(len(gotLines), len(wantLines)) {
		if i >= len(gotLines) || i >= len(wantLines) {
			t.Fatalf("got %d lines, want %d", len(gotLines), len(wantLines))
		}
		if gotLines[i] != wantLines[i] {
			t.Fatalf("line %d:\ngot  %s\nwant %s", i+1, gotLines[i], wantLines[i])
		}
	}
}

// allResponses returns the responses to requests of each kind. They are quoted so that every byte is visible.
func allResponses(t *testing.T) []byte {
	t.Helper()
	frontend := newTestFrontend(t)
	var out bytes.Buffer
	write := func(name string, response []byte) { fmt.Fprintf(&out, "%s\n%q\n", name, response) }
	for _, r := range requestsWithoutCore() {
		write(r.name, frontend.Decode(r.request).Response)
	}
	for _, r := range requestsToCore() {
		call := frontend.Decode(r.request)
		if call.BuildInput == nil {
			t.Fatalf("%s: got response %s, want an input of the core", r.name, call.Response)
		}
		write(fmt.Sprintf("%s stream=%v closes=%v since=%q input=%T", r.name, call.Stream, call.CloseConnection, call.ResumeAfter,
			call.BuildInput(1, 2)), call.EncodeAnswer(&r.answer))
		for _, code := range []scheduler.ErrorCode{scheduler.InvalidArgument, scheduler.TryLater} {
			failure := &scheduler.Error{Code: code, Message: "m", RetryAfter: 1500 * time.Millisecond}
			write(r.name+" failed", call.EncodeAnswer(&scheduler.Answer{Err: failure}))
		}
	}
	for _, info := range sampleJobs() {
		write("event", frontend.EncodeEvent(&info, "7-8"))
	}
	write("heartbeat", Heartbeat())
	write("busy", BusyResponse(false))
	write("busy, closes", BusyResponse(true))
	for _, code := range []drmaa2.ErrorCode{drmaa2.InvalidArgument, drmaa2.UnsupportedAttribute, drmaa2.InvalidState,
		drmaa2.InvalidSession, drmaa2.DeniedByDrms, drmaa2.TryLater, drmaa2.OutOfResource, drmaa2.UnsupportedOperation,
		drmaa2.Internal} {
		write("status of an error", fmt.Appendf(nil, "%d", httpStatus(code)))
	}
	return out.Bytes()
}

type namedRequest struct {
	name    string
	request *httpcodec.Request
	answer  scheduler.Answer // the core's answer, if the request reaches the core
}

// requestsWithoutCore returns requests that are answered without the core: constant resources and all kinds of errors.
func requestsWithoutCore() []namedRequest {
	var all []namedRequest
	add := func(method, path, body string) {
		all = append(all, namedRequest{name: method + " " + path + " " + body, request: newRequest(method, path, body)})
	}
	for _, path := range []string{"/info", "/queues", "/wings", "/sessions/a%zz", "/sessions/s/jobs?limit=0",
		"/sessions/s/jobs?limit=x", "/jobs?a=%zz", "/" + strings.Repeat("p", 200)} {
		add("GET", PathPrefix+path, "")
	}
	add("GET", "/", "")
	add("PUT", PathPrefix+"/jobs/j", "")
	add("POST", PathPrefix+"/jobs/j/suspend", "")
	add("POST", PathPrefix+"/jobs/j/resume", "")
	for _, body := range []string{"", "{", `{"name":""}`, `{"name":"a\nb"}`, `{"name":1}`, `{"wings":1}`, `{"name":"a","name":"b"}`} {
		add("POST", PathPrefix+"/sessions", body)
	}
	for _, template := range []string{``, `"wings":2`, `"startTime":"tomorrow"`, `"args":["\u0000"]`, `"jobName":"\u0000"`,
		`"minSlots":"many"`, `"accountingId":"z"`, `"queueName":"z"`, `"minSlots":-4`, `"minSlots":1,"maxSlots":4`,
		`"jobEnvironment":{"A":"b"}`, `"workingDirectory":"/"`, `"email":["a"]`, `"emailOnStarted":true`,
		`"emailOnTerminated":true`, `"inputPath":"/"`, `"outputPath":"/"`, `"errorPath":"/"`, `"joinFiles":true`,
		`"reservationId":"r"`, `"priority":3`, `"candidateMachines":["a"]`, `"machineOS":"LINUX"`, `"machineArch":"X64"`,
		`"stageInFiles":{"a":"b"}`, `"stageOutFiles":{"a":"b"}`, `"resourceLimits":{"a":"b"}`, `"args":1`, `"args":[1]`,
		`"jobName":1`, `"minSlots":1.5`, `"implementationSpecific":[]`,
		`"jobName":"` + strings.Repeat("n", 256) + `"`, `"args":[` + strings.Repeat(`"a",`, 1000) + `"a"]`,
		`"implementationSpecific":{"flaxshelf.cores":"NaN"}`, `"implementationSpecific":{"flaxshelf.memory":"0"}`,
		`"implementationSpecific":{"flaxshelf.life":"1"}`, `"implementationSpecific":{"flaxshelf.giveup":"-1s"}`,
		`"implementationSpecific":{"flaxshelf.key":"a b"}`, `"implementationSpecific":{"flaxshelf.service":""}`,
		`"implementationSpecific":{"flaxshelf.wings":"2"}`, `"minSlots":1,"implementationSpecific":{"flaxshelf.cores":"2"}`,
		`"minPhysMemory":1,"implementationSpecific":{"flaxshelf.memory":"2"}`} {
		add("POST", PathPrefix+"/sessions/s/jobs", `{"template":{`+template+`}}`)
		add("POST", PathPrefix+"/sessions/s/jobs", `{"template":{"remoteCommand":"x","jobCategory":"z",`+template+`}}`)
		add("POST", PathPrefix+"/sessions/s/jobs", `{"template":{"remoteCommand":"x","jobCategory":"batch",`+template+`}}`)
	}
	command := strings.Repeat("c", 5000)
	add("POST", PathPrefix+"/sessions/s/jobs", `{"template":{"remoteCommand":"`+command+`","jobCategory":"batch"}}`)
	add("POST", PathPrefix+"/sessions/s/jobs", `{"template":{"remoteCommand":"\u0000","jobCategory":"batch"}}`)
	bodyStart := `{"template":{"remoteCommand":"x","jobCategory":"batch"}`
	add("POST", PathPrefix+"/sessions/s/arrays", bodyStart+`}`)
	for _, bulk := range []string{`{"beginIndex":0,"endIndex":1,"step":1}`, `{"beginIndex":1,"endIndex":9000000,"step":1}`,
		`{"beginIndex":1,"endIndex":1,"step":1,"maxParallel":-1}`} {
		add("POST", PathPrefix+"/sessions/s/jobs", bodyStart+`,"bulk":`+bulk+`}`)
		add("POST", PathPrefix+"/sessions/s/arrays", bodyStart+`,"bulk":`+bulk+`}`)
	}
	return all
}

// requestsToCore returns requests that the core answers, and answers with each kind of contents.
func requestsToCore() []namedRequest {
	jobs := scheduler.Answer{Jobs: sampleJobs()}
	array := scheduler.Answer{Jobs: sampleJobs(), ArrayID: "array", Existing: true}
	machines := scheduler.Answer{Machines: []scheduler.MachineInfo{
		{Machine: flaxshelf.Machine{ID: "n", Zone: "z", Cell: 3}, Connected: true, Jobs: 2},
		{Machine: flaxshelf.Machine{ID: "m", Kind: -1, State: flaxshelf.Draining}, Connected: true},
		{Machine: flaxshelf.Machine{ID: "o", Kind: 7, State: flaxshelf.Removed}}}}
	bodyStart := `{"template":{"remoteCommand":"x","jobCategory":"batch"}`
	var all []namedRequest
	add := func(method, path, body string, answer scheduler.Answer) {
		all = append(all, namedRequest{method + " " + path, newRequest(method, PathPrefix+path, body), answer})
	}
	add("GET", "/sessions", "", scheduler.Answer{})
	add("GET", "/sessions", "", scheduler.Answer{Sessions: []string{"a", "b"}})
	add("POST", "/sessions", `{"name":"a b"}`, scheduler.Answer{})
	add("GET", "/sessions/a%20b", "", scheduler.Answer{})
	add("DELETE", "/sessions/s", "", scheduler.Answer{})
	add("POST", "/sessions/s/jobs", bodyStart+`}`, jobs)
	add("POST", "/sessions/s/jobs", bodyStart+`,"again":true}`, array)
	add("POST", "/sessions/s/arrays", bodyStart+`,"bulk":{"beginIndex":1,"endIndex":9,"step":2}}`, array)
	add("GET", "/sessions/s/jobs?limit=3&after=j", "", jobs)
	add("GET", "/jobs", "", scheduler.Answer{})
	add("GET", "/jobs/j", "", jobs)
	add("GET", "/jobs/j/template", "", jobs)
	add("GET", "/jobs/j/template", "", scheduler.Answer{Jobs: sampleJobs()[1:]})
	add("GET", "/jobs/j/template", "", scheduler.Answer{})
	for _, verb := range []string{"hold", "release", "terminate"} {
		add("POST", "/jobs/j/"+verb, "", jobs)
	}
	add("DELETE", "/jobs/j", "", jobs)
	add("GET", "/machines", "", machines)
	add("GET", "/machines", "", scheduler.Answer{})
	for _, path := range []string{"/events", "/jobs/j/events", "/sessions/s/events"} {
		add("GET", path, "", scheduler.Answer{})
	}
	resumed := namedRequest{name: "resumed stream", request: newRequest("GET", PathPrefix+"/events", "")}
	resumed.request.Fields = []httpcodec.Field{{Name: "last-event-id", Value: testIncarnationID + ".42-7"}}
	resumed.request.Close = true
	return append(all, resumed)
}

// sampleJobs returns jobs that have all, none or some of their attributes.
func sampleJobs() []scheduler.JobInfo {
	spec := scheduler.JobSpec{Key: "key", Session: "session", Name: "name", Owner: "owner", Service: "service", Class: 1,
		Tenant: 0, Cores: 2.5, Memory: 4, Template: []byte(`{"remoteCommand":"x"}`)}
	ended := scheduler.JobInfo{ID: "ended", Spec: &spec, State: scheduler.Done, SubState: scheduler.SubStateExited, Reason: "reason",
		Outcome: scheduler.OutcomePlaced, Node: "n", ArrayID: "array", ArrayIndex: 3, PlacementRequest: 2, Attempts: 4, Revision: 9, ExitStatus: 5,
		SubmittedAt: time.Second, RequestedAt: 2 * time.Second, PlacementDeadline: 3 * time.Second,
		StartedAt: 4 * time.Second, FinishedAt: 5500 * time.Millisecond, Signal: "KILL"}
	running := ended
	running.ID, running.State, running.SubState, running.FinishedAt = "running", scheduler.Running, scheduler.SubStateRunning, 0
	rejected := ended
	rejected.ID, rejected.State, rejected.SubState, rejected.StartedAt = "rejected", scheduler.Failed, "refused", 0
	return []scheduler.JobInfo{ended, {ID: "empty", Spec: &scheduler.JobSpec{Tenant: -1}}, running, rejected}
}

// The response to an error of the core has the error's code and the time after which to retry.
func TestCoreErrorResponse(t *testing.T) {
	frontend := newTestFrontend(t)
	call := frontend.Decode(newRequest("GET", "/drmaa2/v1/jobs/j", ""))
	response := string(call.EncodeAnswer(&scheduler.Answer{Err: &scheduler.Error{Code: scheduler.TryLater, Message: "m",
		RetryAfter: 1500 * time.Millisecond}}))
	for _, want := range []string{"503", "Retry-After: 2", "Flaxshelf-Retry-After-Ms: 1500", `"code":"TryLater"`} {
		if !strings.Contains(response, want) {
			t.Errorf("got %q, want it to contain %q", response, want)
		}
	}
}
