package drmaafront

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"flaxshelf.example/flaxshelf/drmaa2"
	"flaxshelf.example/flaxshelf/internal/codec/httpcodec"
	"flaxshelf.example/flaxshelf/internal/scheduler"
	"flaxshelf.example/flaxshelf/internal/settings"
)

func newFront(t testing.TB) *Front {
	set, err := settings.ParseScheduler("f.cue", []byte(`
inventory: "127.0.0.1:1"
kinds: [{name: "k", cores: 8, memory: 32}]
classes: [{name: "batch", effect: "keyed", priority: 2, cores: 2, memory: 4}, {name: "service", effect: "safe"}]
tenants: [{name: "north"}]
`))
	if err != nil {
		t.Fatal(err)
	}
	return New(set, 5*time.Second)
}

func request(method, path, body string) *httpcodec.Request {
	path, query, _ := strings.Cut(path, "?")
	return &httpcodec.Request{Method: method, Path: path, Query: query, Body: []byte(body)}
}

// answerOf is the status and error of a call that needs nobody; 0 for one that goes to the core.
func answerOf(t *testing.T, c *Call) (int, drmaa2.Error) {
	if c.Response == nil {
		return 0, drmaa2.Error{}
	}
	var e drmaa2.Error
	status := 0
	var r httpcodec.ResponseReader
	if err := r.Feed(c.Response, func(x *httpcodec.Response) {
		status = x.Status
		if x.Status >= 300 {
			if err := json.Unmarshal(x.Body, &e); err != nil {
				t.Errorf("the error can't be read: %s", x.Body)
			}
		}
	}); err != nil {
		t.Fatal(err)
	}
	return status, e
}

func TestRoutes(t *testing.T) {
	f := newFront(t)
	for _, c := range []struct {
		method, path, body string
		status             int    // 0: to the core
		input              string // then
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
		call := f.Route(request(c.method, c.path, c.body))
		status, e := answerOf(t, call)
		if status != c.status {
			t.Errorf("%s %s: status %d (%v), want %d", c.method, c.path, status, e, c.status)
			continue
		}
		if status >= 300 && (e.Code == "" || e.Message == "") {
			t.Errorf("%s %s: an error without code or message", c.method, c.path)
		}
		if call.BuildInput != nil {
			if got := fmt.Sprint(call.BuildInput(1, 1)); got != c.input {
				t.Errorf("%s %s: %s, want %s", c.method, c.path, got, c.input)
			}
		}
	}
}

// What is wrong with a submission is told with its code and attribute; nothing is accepted and ignored.
func TestTemplates(t *testing.T) {
	f := newFront(t)
	with := func(fields string) string {
		return `{"template":{"remoteCommand":"x","jobCategory":"batch",` + fields + `}}`
	}
	own := func(name, value string) string {
		return with(fmt.Sprintf(`"implementationSpecific":{%q:%q}`, name, value))
	}
	for _, c := range []struct {
		name, body string
		code       drmaa2.ErrorCode
		attribute  string
	}{
		{"empty", ``, drmaa2.InvalidArgument, ""},
		{"not JSON", `{"template":`, drmaa2.InvalidArgument, ""},
		{"two values", `{"template":{"remoteCommand":"x","jobCategory":"batch"}} {}`, drmaa2.InvalidArgument, ""},
		{"unknown field", with(`"wings":2`), drmaa2.UnsupportedAttribute, "wings"},
		{"a time that is none", with(`"startTime":"tomorrow"`), drmaa2.InvalidArgument, "startTime"},
		{"NUL in the command", `{"template":{"remoteCommand":"x\u0000y","jobCategory":"batch"}}`, drmaa2.InvalidArgument, "remoteCommand"},
		{"NUL in an argument", with(`"args":["a","\u0000"]`), drmaa2.InvalidArgument, "args"},
		{"a field twice", with(`"jobName":"a","jobName":"b"`), drmaa2.InvalidArgument, "template.jobName"},
		{"an own attribute twice", with(`"implementationSpecific":{"flaxshelf.key":"a","flaxshelf.key":"b"}`),
			drmaa2.InvalidArgument, "template.implementationSpecific.flaxshelf.key"},
		{"not UTF-8", "{\"template\":{\"remoteCommand\":\"\xff\"}}", drmaa2.InvalidArgument, ""},
		{"wrong type", with(`"minSlots":"many"`), drmaa2.InvalidArgument, "minSlots"},
		{"no command", `{"template":{"jobCategory":"batch"}}`, drmaa2.InvalidArgument, "remoteCommand"},
		{"no class", `{"template":{"remoteCommand":"x"}}`, drmaa2.InvalidArgument, "jobCategory"},
		{"unknown class", `{"template":{"remoteCommand":"x","jobCategory":"z"}}`, drmaa2.InvalidArgument, "jobCategory"},
		{"unknown tenant", with(`"accountingId":"z"`), drmaa2.InvalidArgument, "accountingId"},
		{"unknown queue", with(`"queueName":"z"`), drmaa2.InvalidArgument, "queueName"},
		{"negative", with(`"minSlots":-4`), drmaa2.InvalidArgument, "minSlots"},
		{"a range of slots", with(`"minSlots":1,"maxSlots":4`), drmaa2.UnsupportedAttribute, "maxSlots"},
		{"cores twice", with(`"minSlots":1,"implementationSpecific":{"flaxshelf.cores":"2"}`), drmaa2.InvalidArgument,
			"flaxshelf.cores"},
		{"NaN", own("flaxshelf.cores", "NaN"), drmaa2.InvalidArgument, "flaxshelf.cores"},
		{"infinite", own("flaxshelf.memory", "Inf"), drmaa2.InvalidArgument, "flaxshelf.memory"},
		{"zero", own("flaxshelf.cores", "0"), drmaa2.InvalidArgument, "flaxshelf.cores"},
		{"negative life", own("flaxshelf.life", "-1s"), drmaa2.InvalidArgument, "flaxshelf.life"},
		{"key with a space", own("flaxshelf.key", "a b"), drmaa2.InvalidArgument, "flaxshelf.key"},
		{"long key", own("flaxshelf.key", strings.Repeat("k", 257)), drmaa2.InvalidArgument, "flaxshelf.key"},
		{"unknown of ours", own("flaxshelf.wings", "2"), drmaa2.UnsupportedAttribute, "flaxshelf.wings"},
		{"environment", with(`"jobEnvironment":{"A":"b"}`), drmaa2.UnsupportedAttribute, "jobEnvironment"},
		{"mail", with(`"email":["a@b"]`), drmaa2.UnsupportedAttribute, "email"},
		{"priority", with(`"priority":3`), drmaa2.UnsupportedAttribute, "priority"},
		{"machines", with(`"candidateMachines":["a"]`), drmaa2.UnsupportedAttribute, "candidateMachines"},
		{"limits", with(`"resourceLimits":{"a":"b"}`), drmaa2.UnsupportedAttribute, "resourceLimits"},
		{"a range for one job", `{"template":{"remoteCommand":"x","jobCategory":"batch"},"bulk":{"beginIndex":1,"endIndex":2,"step":1}}`,
			drmaa2.InvalidArgument, "bulk"},
		{"deep nesting", strings.Repeat("[", 100000), drmaa2.InvalidArgument, ""},
	} {
		status, e := answerOf(t, f.Route(request("POST", "/drmaa2/v1/sessions/s/jobs", c.body)))
		if status < 400 || e.Code != c.code || e.Attribute != c.attribute {
			t.Errorf("%s: %d %q %q: %s; want %q %q", c.name, status, e.Code, e.Attribute, e.Message, c.code, c.attribute)
		}
	}
}

// A good template arrives at the core with the class's defaults, its own figures, and itself for those who ask.
func TestSpec(t *testing.T) {
	f := newFront(t)
	call := f.Route(request("POST", "/drmaa2/v1/sessions/s/jobs", `{"again":true,"template":{"remoteCommand":"x","args":["a"],
		"jobCategory":"batch","jobName":"n","accountingId":"north","minPhysMemory":3145728,"rerunnable":true,"submitAsHold":true,
		"startTime":"1970-01-01T00:00:09Z","deadlineTime":"1970-01-01T00:01:00Z",
		"implementationSpecific":{"flaxshelf.cores":"0.5","flaxshelf.life":"90s","flaxshelf.giveup":"7s","flaxshelf.key":"k","flaxshelf.service":"v"}}}`))
	if call.BuildInput == nil {
		t.Fatalf("%s", call.Response)
	}
	s := call.BuildInput(3, 0).(scheduler.Submit).Spec
	s.Template = nil
	want := scheduler.Spec{Key: "k", Session: "s", Name: "n", Service: "v", Class: 0, Tenant: 0, Cores: 0.5, Memory: 3,
		ExpectedRuntime: 90 * time.Second, Priority: 2, Rerunnable: true, Hold: true, Retry: true, PlacementTimeout: 7 * time.Second,
		NotBefore: 9 * time.Second, Deadline: time.Minute}
	if fmt.Sprintf("%+v", s) != fmt.Sprintf("%+v", want) {
		t.Errorf("got  %+v\nwant %+v", s, want)
	}
	array := f.Route(request("POST", "/drmaa2/v1/sessions/s/arrays",
		`{"template":{"remoteCommand":"x","jobCategory":"service"},"bulk":{"beginIndex":2,"endIndex":9,"step":3,"maxParallel":2}}`))
	if got := array.BuildInput(1, 0).(scheduler.Submit); fmt.Sprint(got.Indexes, got.MaxParallel) != "[2 5 8] 2" {
		t.Errorf("an array of %v", got.Indexes)
	}
	for _, bulk := range []string{`{"beginIndex":0,"endIndex":1,"step":1}`, `{"beginIndex":3,"endIndex":1,"step":1}`,
		`{"beginIndex":1,"endIndex":1,"step":0}`, `{"beginIndex":1,"endIndex":9000000,"step":1}`} {
		body := `{"template":{"remoteCommand":"x","jobCategory":"service"},"bulk":` + bulk + `}`
		if status, _ := answerOf(t, f.Route(request("POST", "/drmaa2/v1/sessions/s/arrays", body))); status != 400 {
			t.Errorf("%s: status %d", bulk, status)
		}
	}
}

// The core's refusals come with their code, and with the time after which to try.
func TestErrorsOfTheCore(t *testing.T) {
	f := newFront(t)
	call := f.Route(request("GET", "/drmaa2/v1/jobs/j", ""))
	b := string(call.EncodeAnswer(&scheduler.Answer{Err: &scheduler.Error{Code: scheduler.TryLater, Message: "m",
		RetryAfter: 1500 * time.Millisecond}}))
	for _, want := range []string{"503", "Retry-After: 2", "Flaxshelf-Retry-After-Ms: 1500", `"code":"TryLater"`} {
		if !strings.Contains(b, want) {
			t.Errorf("%q does not say %q", b, want)
		}
	}
}

// A stream goes on behind the last event of this life, and begins anew after one of another.
func TestLastEventID(t *testing.T) {
	f := newFront(t)
	for id, want := range map[string]uint64{"": 0, f.incarnation + ".42": 42, "zz.42": 0, f.incarnation + ".x": 0, "42": 0} {
		r := request("GET", "/drmaa2/v1/sessions/s/events", "")
		r.Fields = []httpcodec.Field{{Name: "last-event-id", Value: id}}
		if got := f.Route(r).BuildInput(1, 2).(scheduler.Watch); got.Since != want || got.Stream != 2 {
			t.Errorf("%q: %+v", id, got)
		}
	}
	event := string(f.Event(&scheduler.Info{ID: "j", Spec: &scheduler.Spec{}, State: scheduler.Running, Revision: 7}, "7"))
	if !strings.Contains(event, "id: "+f.incarnation+".7\nevent: job\ndata: {\"jobId\":\"j\"") {
		t.Errorf("event %q", event)
	}
}

// Whatever a client sends as a submission, the front answers or passes on something within bounds.
func FuzzSubmission(f *testing.F) {
	front := newFront(f)
	f.Add([]byte(`{"template":{"remoteCommand":"x","jobCategory":"batch","implementationSpecific":{"flaxshelf.cores":"1e300"}}}`))
	f.Add([]byte(`{"template":{"remoteCommand":"x","jobCategory":"service","startTime":"0000-01-01T00:00:00Z"}}`))
	f.Add([]byte(`[]`))
	f.Fuzz(func(t *testing.T, body []byte) {
		call := front.Route(&httpcodec.Request{Method: "POST", Path: "/drmaa2/v1/sessions/s/jobs", Body: body})
		if call.BuildInput == nil {
			if len(call.Response) == 0 {
				t.Error("neither an answer nor an input")
			}
			return
		}
		s := call.BuildInput(1, 1).(scheduler.Submit).Spec
		if !(s.Cores > 0 && s.Cores <= 1e9 && s.Memory > 0) || s.Class < 0 || s.ExpectedRuntime < 0 || s.PlacementTimeout < 0 {
			t.Errorf("%s was taken as %+v", body, s)
		}
	})
}
