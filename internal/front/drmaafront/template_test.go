package drmaafront

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"flaxshelf.example/flaxshelf/drmaa2"
	"flaxshelf.example/flaxshelf/internal/codec/httpcodec"
	"flaxshelf.example/flaxshelf/internal/scheduler"
)

// An invalid submission is rejected with an error that has the code and the attribute. Unsupported and unknown members are
// rejected too; none is ignored.
func TestInvalidSubmissionsAreRejected(t *testing.T) {
	frontend := newTestFrontend(t)
	withFields := func(fields string) string {
		return `{"template":{"remoteCommand":"x","jobCategory":"batch",` + fields + `}}`
	}
	withAttribute := func(name, value string) string {
		return withFields(fmt.Sprintf(`"implementationSpecific":{%q:%q}`, name, value))
	}
	for _, test := range []struct {
		name, body string
		code       drmaa2.ErrorCode
		attribute  string
	}{
		{"empty", ``, drmaa2.InvalidArgument, ""},
		{"not JSON", `{"template":`, drmaa2.InvalidArgument, ""},
		{"two values", `{"template":{"remoteCommand":"x","jobCategory":"batch"}} {}`, drmaa2.InvalidArgument, ""},
		{"unknown field", withFields(`"wings":2`), drmaa2.UnsupportedAttribute, "wings"},
		{"invalid time", withFields(`"startTime":"tomorrow"`), drmaa2.InvalidArgument, "startTime"},
		{"NUL in the command", `{"template":{"remoteCommand":"x\u0000y","jobCategory":"batch"}}`, drmaa2.InvalidArgument, "remoteCommand"},
		{"NUL in an argument", withFields(`"args":["a","\u0000"]`), drmaa2.InvalidArgument, "args"},
		{"duplicate member", withFields(`"jobName":"a","jobName":"b"`), drmaa2.InvalidArgument, "template.jobName"},
		{"duplicate implementation-specific attribute", withFields(`"implementationSpecific":{"flaxshelf.key":"a","flaxshelf.key":"b"}`),
			drmaa2.InvalidArgument, "template.implementationSpecific.flaxshelf.key"},
		{"not UTF-8", "{\"template\":{\"remoteCommand\":\"\xff\"}}", drmaa2.InvalidArgument, ""},
		{"wrong type", withFields(`"minSlots":"many"`), drmaa2.InvalidArgument, "minSlots"},
		{"no command", `{"template":{"jobCategory":"batch"}}`, drmaa2.InvalidArgument, "remoteCommand"},
		{"no class", `{"template":{"remoteCommand":"x"}}`, drmaa2.InvalidArgument, "jobCategory"},
		{"unknown class", `{"template":{"remoteCommand":"x","jobCategory":"z"}}`, drmaa2.InvalidArgument, "jobCategory"},
		{"unknown tenant", withFields(`"accountingId":"z"`), drmaa2.InvalidArgument, "accountingId"},
		{"unknown queue", withFields(`"queueName":"z"`), drmaa2.InvalidArgument, "queueName"},
		{"negative slots", withFields(`"minSlots":-4`), drmaa2.InvalidArgument, "minSlots"},
		{"a range of slots", withFields(`"minSlots":1,"maxSlots":4`), drmaa2.UnsupportedAttribute, "maxSlots"},
		{"cores by two attributes", withFields(`"minSlots":1,"implementationSpecific":{"flaxshelf.cores":"2"}`), drmaa2.InvalidArgument,
			"flaxshelf.cores"},
		{"NaN", withAttribute("flaxshelf.cores", "NaN"), drmaa2.InvalidArgument, "flaxshelf.cores"},
		{"infinite", withAttribute("flaxshelf.memory", "Inf"), drmaa2.InvalidArgument, "flaxshelf.memory"},
		{"zero", withAttribute("flaxshelf.cores", "0"), drmaa2.InvalidArgument, "flaxshelf.cores"},
		{"negative expected runtime", withAttribute("flaxshelf.life", "-1s"), drmaa2.InvalidArgument, "flaxshelf.life"},
		{"key with a space", withAttribute("flaxshelf.key", "a b"), drmaa2.InvalidArgument, "flaxshelf.key"},
		{"long key", withAttribute("flaxshelf.key", strings.Repeat("k", 257)), drmaa2.InvalidArgument, "flaxshelf.key"},
		{"unknown implementation-specific attribute", withAttribute("flaxshelf.wings", "2"), drmaa2.UnsupportedAttribute, "flaxshelf.wings"},
		{"environment", withFields(`"jobEnvironment":{"A":"b"}`), drmaa2.UnsupportedAttribute, "jobEnvironment"},
		{"mail", withFields(`"email":["a@b"]`), drmaa2.UnsupportedAttribute, "email"},
		{"priority", withFields(`"priority":3`), drmaa2.UnsupportedAttribute, "priority"},
		{"machines", withFields(`"candidateMachines":["a"]`), drmaa2.UnsupportedAttribute, "candidateMachines"},
		{"limits", withFields(`"resourceLimits":{"a":"b"}`), drmaa2.UnsupportedAttribute, "resourceLimits"},
		{"a range for one job", `{"template":{"remoteCommand":"x","jobCategory":"batch"},"bulk":{"beginIndex":1,"endIndex":2,"step":1}}`,
			drmaa2.InvalidArgument, "bulk"},
		{"deep nesting", strings.Repeat("[", 100000), drmaa2.InvalidArgument, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			status, err := decodeResponse(t, frontend.Decode(newRequest("POST", "/drmaa2/v1/sessions/s/jobs", test.body)))
			if status < 400 || err.Code != test.code || err.Attribute != test.attribute {
				t.Errorf("got status %d, code %q, attribute %q: %s, want code %q, attribute %q", status, err.Code, err.Attribute,
					err.Message, test.code, test.attribute)
			}
		})
	}
}

// The spec of a job has the attributes of its template, and the defaults of its class for those that the template omits.
func TestJobSpecFromTemplate(t *testing.T) {
	frontend := newTestFrontend(t)
	call := frontend.Decode(newRequest("POST", "/drmaa2/v1/sessions/s/jobs", `{"again":true,"template":{"remoteCommand":"x","args":["a"],
		"jobCategory":"batch","jobName":"n","accountingId":"north","minPhysMemory":3145728,"rerunnable":true,"submitAsHold":true,
		"startTime":"1970-01-01T00:00:09Z","deadlineTime":"1970-01-01T00:01:00Z",
		"implementationSpecific":{"flaxshelf.cores":"0.5","flaxshelf.life":"90s","flaxshelf.giveup":"7s","flaxshelf.key":"k","flaxshelf.service":"v"}}}`))
	if call.BuildInput == nil {
		t.Fatalf("%s", call.Response)
	}
	got := call.BuildInput(3, 0).(scheduler.Submit).Spec
	got.Template = nil
	want := scheduler.JobSpec{Key: "k", Session: "s", Name: "n", Service: "v", Class: 0, Tenant: 0, Cores: 0.5, Memory: 3,
		ExpectedRuntime: 90 * time.Second, Priority: 2, Rerunnable: true, Hold: true, Retry: true, PlacementTimeout: 7 * time.Second,
		NotBefore: 9 * time.Second, Deadline: time.Minute}
	if fmt.Sprintf("%+v", got) != fmt.Sprintf("%+v", want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

// An array has a job for each index of its range, and an invalid range is rejected.
func TestArrayIndexes(t *testing.T) {
	frontend := newTestFrontend(t)
	submission := func(bulk string) *httpcodec.Request {
		return newRequest("POST", "/drmaa2/v1/sessions/s/arrays",
			`{"template":{"remoteCommand":"x","jobCategory":"service"},"bulk":`+bulk+`}`)
	}
	call := frontend.Decode(submission(`{"beginIndex":2,"endIndex":9,"step":3,"maxParallel":2}`))
	if got := call.BuildInput(1, 0).(scheduler.Submit); fmt.Sprint(got.Indexes, got.MaxParallel) != "[2 5 8] 2" {
		t.Errorf("got indexes %v, %d in parallel, want [2 5 8], 2 in parallel", got.Indexes, got.MaxParallel)
	}
	for _, bulk := range []string{`{"beginIndex":0,"endIndex":1,"step":1}`, `{"beginIndex":3,"endIndex":1,"step":1}`,
		`{"beginIndex":1,"endIndex":1,"step":0}`, `{"beginIndex":1,"endIndex":9000000,"step":1}`} {
		t.Run(bulk, func(t *testing.T) {
			if status, _ := decodeResponse(t, frontend.Decode(submission(bulk))); status != 400 {
				t.Errorf("got status %d, want 400", status)
			}
		})
	}
}

// Any body of a submission is rejected, or becomes a spec within the limits.
func FuzzSubmission(f *testing.F) {
	frontend := newTestFrontend(f)
	f.Add([]byte(`{"template":{"remoteCommand":"x","jobCategory":"batch","implementationSpecific":{"flaxshelf.cores":"1e300"}}}`))
	f.Add([]byte(`{"template":{"remoteCommand":"x","jobCategory":"service","startTime":"0000-01-01T00:00:00Z"}}`))
	f.Add([]byte(`[]`))
	f.Fuzz(func(t *testing.T, body []byte) {
		call := frontend.Decode(&httpcodec.Request{Method: "POST", Path: "/drmaa2/v1/sessions/s/jobs", Body: body})
		if call.BuildInput == nil {
			if len(call.Response) == 0 {
				t.Error("got neither a response nor an input")
			}
			return
		}
		spec := call.BuildInput(1, 1).(scheduler.Submit).Spec
		if !(spec.Cores > 0 && spec.Cores <= 1e9 && spec.Memory > 0) || spec.Class < 0 || spec.ExpectedRuntime < 0 ||
			spec.PlacementTimeout < 0 {
			t.Errorf("%s: got %+v, want a spec within the limits", body, spec)
		}
	})
}
