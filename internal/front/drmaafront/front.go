// Package drmaafront owns the DRMAA wire on the scheduler's side: it turns HTTP requests into inputs of the
// core, and the core's answers into responses. It must not open sockets, keep jobs or decide about them.
package drmaafront

import (
	"fmt"
	"math"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/go-json-experiment/json/jsontext"
	"github.com/goccy/go-json"

	"flaxshelf.example/flaxshelf/drmaa2"
	"flaxshelf.example/flaxshelf/internal/clock"
	"flaxshelf.example/flaxshelf/internal/codec/httpcodec"
	"flaxshelf.example/flaxshelf/internal/scheduler"
	"flaxshelf.example/flaxshelf/internal/settings"
)

// Prefix is where the interface lives.
const Prefix = "/drmaa2/v1"

// queue is the one queue: classes, not queues, tell how work is treated.
const queue = "default"

// Front is the interface of one scheduler in one life. It is read-only after New and may be used by many loops.
type Front struct {
	set  *settings.Scheduler
	boot scheduler.Time
	life string // marks event IDs of this life
}

// New makes the front of a scheduler.
func New(set *settings.Scheduler, boot scheduler.Time) *Front {
	return &Front{set: set, boot: boot, life: strconv.FormatInt(int64(boot/time.Millisecond), 36)}
}

// Call is what a request asks for. Exactly one of Response and Input is set.
type Call struct {
	Response []byte                                   // an answer that needs nobody
	Input    func(req, stream uint64) scheduler.Input // with the numbers that the host gives it; for any goroutine
	Stream   bool                                     // after a good answer, events follow
	Encode   func(a *scheduler.Answer) []byte         // the response to Input
	Since    string                                   // of a stream: the position that the client had got to
	Closes   bool                                     // the connection is to be closed behind the response
}

type handler func(f *Front, r *httpcodec.Request, args []string) (*Call, *drmaa2.Error)

type route struct {
	method  string
	pattern []string // "*" matches one part
	do      handler
}

var routes = []route{
	{"GET", parts("/info"), info},
	{"GET", parts("/sessions"), sessions},
	{"POST", parts("/sessions"), createSession},
	{"GET", parts("/sessions/*"), session(scheduler.Open)},
	{"DELETE", parts("/sessions/*"), session(scheduler.Destroy)},
	{"POST", parts("/sessions/*/jobs"), submit},
	{"POST", parts("/sessions/*/arrays"), submit},
	{"GET", parts("/sessions/*/jobs"), list},
	{"GET", parts("/sessions/*/events"), sessionEvents},
	{"GET", parts("/jobs"), list},
	{"GET", parts("/jobs/*"), job},
	{"GET", parts("/jobs/*/template"), template},
	{"GET", parts("/jobs/*/events"), jobEvents},
	{"POST", parts("/jobs/*/hold"), command(scheduler.Hold)},
	{"POST", parts("/jobs/*/release"), command(scheduler.Release)},
	{"POST", parts("/jobs/*/terminate"), command(scheduler.Terminate)},
	{"POST", parts("/jobs/*/suspend"), unsupported},
	{"POST", parts("/jobs/*/resume"), unsupported},
	{"DELETE", parts("/jobs/*"), command(scheduler.Reap)},
	{"GET", parts("/events"), allEvents},
	{"GET", parts("/machines"), machines},
	{"GET", parts("/queues"), queues},
}

func parts(path string) []string { return strings.Split(strings.TrimPrefix(path, "/"), "/") }

func (r *route) match(path []string) (args []string, ok bool) {
	if len(path) != len(r.pattern) {
		return nil, false
	}
	for i, p := range r.pattern {
		if p == "*" {
			args = append(args, path[i])
		} else if p != path[i] {
			return nil, false
		}
	}
	return args, true
}

// Route tells what a request asks for. It never returns nil.
func (f *Front) Route(r *httpcodec.Request) *Call {
	path, ok := strings.CutPrefix(r.Path, Prefix)
	if !ok {
		return f.fail(r, 404, &drmaa2.Error{Code: drmaa2.InvalidArgument, Message: "nothing is at " + clip(r.Path)})
	}
	words := parts(path)
	for i, w := range words {
		u, err := url.PathUnescape(w)
		if err != nil {
			return f.fail(r, 400, &drmaa2.Error{Code: drmaa2.InvalidArgument, Message: "the path can't be read"})
		}
		words[i] = u
	}
	found := false
	for i := range routes {
		args, ok := routes[i].match(words)
		if !ok {
			continue
		}
		found = true
		if routes[i].method != r.Method {
			continue
		}
		call, err := routes[i].do(f, r, args)
		if err != nil {
			return f.fail(r, status(err.Code), err)
		}
		call.Closes = r.Close
		return call
	}
	if found {
		return f.fail(r, 405, &drmaa2.Error{Code: drmaa2.UnsupportedOperation,
			Message: clip(r.Method) + " is not done here"})
	}
	return f.fail(r, 404, &drmaa2.Error{Code: drmaa2.InvalidArgument, Message: "nothing is at " + clip(r.Path)})
}

func clip(s string) string {
	if len(s) > 100 {
		return s[:100] + "..."
	}
	return s
}

func (f *Front) fail(r *httpcodec.Request, status int, e *drmaa2.Error) *Call {
	return &Call{Response: ErrorResponse(status, e, r.Close), Closes: r.Close}
}

// ErrorResponse is the response for an error.
func ErrorResponse(status int, e *drmaa2.Error, closes bool) []byte {
	var fields []string
	if e.RetryAfter > 0 {
		fields = []string{"Retry-After", strconv.Itoa(int(math.Ceil(e.RetryAfter.Seconds()))),
			"Flaxshelf-Retry-After-Ms", strconv.FormatInt(max(e.RetryAfter.Milliseconds(), 1), 10)}
	}
	body, _ := json.Marshal(e) // two strings and a code can always be encoded
	return httpcodec.AppendResponse(nil, status, "application/json", append(body, '\n'), closes, fields...)
}

// Busy is the answer when the scheduler can't take any request now.
func Busy(closes bool) []byte {
	return ErrorResponse(503, &drmaa2.Error{Code: drmaa2.TryLater, Message: "too many requests wait",
		RetryAfter: time.Second}, closes)
}

func status(c drmaa2.ErrorCode) int {
	switch c {
	case drmaa2.InvalidArgument:
		return 400
	case drmaa2.UnsupportedAttribute:
		return 422
	case drmaa2.InvalidState:
		return 409
	case drmaa2.InvalidSession:
		return 404
	case drmaa2.DeniedByDrms:
		return 403
	case drmaa2.TryLater:
		return 503
	case drmaa2.OutOfResource:
		return 507
	case drmaa2.UnsupportedOperation:
		return 501
	}
	return 500
}

func respond(status int, body any) []byte {
	b, err := json.Marshal(body)
	if err != nil {
		return ErrorResponse(500, &drmaa2.Error{Code: drmaa2.Internal, Message: err.Error()}, false)
	}
	return httpcodec.AppendResponse(nil, status, "application/json", append(b, '\n'), false)
}

// encode makes an Encode that handles errors and passes on the rest.
func encode(good func(a *scheduler.Answer) []byte) func(a *scheduler.Answer) []byte {
	return func(a *scheduler.Answer) []byte {
		if a.Err != nil {
			e := &drmaa2.Error{Code: drmaa2.ErrorCode(a.Err.Code), Message: a.Err.Message,
				RetryAfter: a.Err.RetryAfter}
			return ErrorResponse(status(e.Code), e, false)
		}
		return good(a)
	}
}

func info(f *Front, _ *httpcodec.Request, _ []string) (*Call, *drmaa2.Error) {
	d := drmaa2.Drms{DrmsName: "flaxshelf", DrmsVersion: drmaa2.Version{Major: "0", Minor: "1"},
		DrmaaName: "flaxshelf", DrmaaVersion: drmaa2.Version{Major: "2", Minor: "0"}, Machine: f.set.Name,
		Capabilities: []string{"RT_ACCOUNTINGID", "RT_STARTTIME", "RT_DEADLINE", "BULK_JOBS_MAXPARALLEL"},
		JobTemplate: []string{drmaa2.AttrService, drmaa2.AttrKey, drmaa2.AttrCores, drmaa2.AttrMemory,
			drmaa2.AttrExpectedRuntime, drmaa2.AttrGiveUp},
		JobInfo: []string{drmaa2.AttrOutcome, drmaa2.AttrPlacementRequests, drmaa2.AttrAttempts, drmaa2.AttrNode,
			drmaa2.AttrArray, drmaa2.AttrIndex, drmaa2.AttrRequestedAt, drmaa2.AttrDue, drmaa2.AttrRevision,
			drmaa2.AttrClass, drmaa2.AttrTenant}}
	for _, c := range f.set.Classes {
		d.Categories = append(d.Categories, c.Name)
	}
	return &Call{Response: respond(200, d)}, nil
}

func queues(*Front, *httpcodec.Request, []string) (*Call, *drmaa2.Error) {
	return &Call{Response: respond(200, map[string]any{"queues": []drmaa2.QueueInfo{{Name: queue}}})}, nil
}

func unsupported(_ *Front, r *httpcodec.Request, _ []string) (*Call, *drmaa2.Error) {
	return nil, &drmaa2.Error{Code: drmaa2.UnsupportedOperation,
		Message: "nodes run a job or stop it; they don't suspend"}
}

func sessions(*Front, *httpcodec.Request, []string) (*Call, *drmaa2.Error) {
	return &Call{
		Input: func(req, _ uint64) scheduler.Input { return scheduler.SessionCommand{Req: req, Verb: scheduler.List} },
		Encode: encode(func(a *scheduler.Answer) []byte {
			return respond(200, map[string]any{"names": a.Sessions})
		}),
	}, nil
}

func createSession(_ *Front, r *httpcodec.Request, _ []string) (*Call, *drmaa2.Error) {
	var in struct {
		Name string `json:"name"`
	}
	if err := decode(r.Body, &in); err != nil {
		return nil, err
	}
	if err := sessionName(in.Name); err != nil {
		return nil, err
	}
	return sessionCall(scheduler.Create, in.Name, 201), nil
}

const longestName = 255

func sessionName(s string) *drmaa2.Error {
	if s == "" || len(s) > longestName || strings.ContainsFunc(s, func(r rune) bool { return r < ' ' || r == 0x7f }) {
		return &drmaa2.Error{Code: drmaa2.InvalidArgument,
			Message: fmt.Sprintf("a session's name has 1 to %d characters and no control characters", longestName)}
	}
	return nil
}

func session(do scheduler.Verb) handler {
	return func(_ *Front, _ *httpcodec.Request, args []string) (*Call, *drmaa2.Error) {
		return sessionCall(do, args[0], 200), nil
	}
}

func sessionCall(do scheduler.Verb, name string, status int) *Call {
	return &Call{
		Input: func(req, _ uint64) scheduler.Input { return scheduler.SessionCommand{Req: req, Verb: do, Name: name} },
		Encode: encode(func(a *scheduler.Answer) []byte {
			return respond(status, map[string]string{"name": name})
		}),
	}
}

func submit(f *Front, r *httpcodec.Request, args []string) (*Call, *drmaa2.Error) {
	// The template is kept as it came, for those who ask for it and for the node.
	var in struct {
		Template jsontext.Value `json:"template"`
		Again    bool           `json:"again"`
		Bulk     *drmaa2.Bulk   `json:"bulk"`
	}
	if err := decode(r.Body, &in); err != nil {
		return nil, err
	}
	var t drmaa2.JobTemplate
	if err := decode(in.Template, &t); err != nil {
		return nil, err
	}
	spec, err := f.spec(&t)
	if err != nil {
		return nil, err
	}
	spec.Template = in.Template
	spec.Session, spec.Retry = args[0], in.Again
	s := scheduler.Submit{Spec: *spec}
	isArray := strings.HasSuffix(r.Path, "/arrays")
	switch {
	case isArray && in.Bulk == nil:
		return nil, invalid("bulk", "an array needs its range")
	case !isArray && in.Bulk != nil:
		return nil, invalid("bulk", "a range is for an array")
	case isArray:
		if s.Indexes, err = indexes(in.Bulk); err != nil {
			return nil, err
		}
		s.MaxParallel = in.Bulk.MaxParallel
	}
	return &Call{
		Input: func(req, _ uint64) scheduler.Input {
			one := s
			one.Req = req
			return one
		},
		Encode: f.Submitted,
	}, nil
}

// Submitted is the response to a submission.
func (f *Front) Submitted(a *scheduler.Answer) []byte {
	return encode(func(a *scheduler.Answer) []byte {
		code := 201
		if a.Existing {
			code = 200
		}
		return respond(code, f.submitted(a))
	})(a)
}

// maxArray bounds the jobs of one array.
const maxArray = 100000

func indexes(b *drmaa2.Bulk) ([]int, *drmaa2.Error) {
	switch {
	case b.BeginIndex < 1 || b.EndIndex < b.BeginIndex || b.Step < 1 || b.MaxParallel < 0:
		return nil, invalid("bulk", "expected 1 <= beginIndex <= endIndex, step >= 1 and maxParallel >= 0")
	case (b.EndIndex-b.BeginIndex)/b.Step >= maxArray:
		return nil, invalid("bulk", fmt.Sprintf("%d jobs, %d at most", (b.EndIndex-b.BeginIndex)/b.Step+1, maxArray))
	}
	var all []int
	for i := b.BeginIndex; i <= b.EndIndex; i += b.Step {
		all = append(all, i)
	}
	return all, nil
}

func (f *Front) submitted(a *scheduler.Answer) drmaa2.Submitted {
	out := drmaa2.Submitted{ArrayID: a.Array, Existing: a.Existing, Jobs: make([]drmaa2.JobInfo, len(a.Jobs))}
	for i := range a.Jobs {
		out.Jobs[i] = f.jobInfo(&a.Jobs[i])
	}
	return out
}

func (f *Front) jobs() func(a *scheduler.Answer) []byte {
	return encode(func(a *scheduler.Answer) []byte { return respond(200, f.submitted(a)) })
}

const largestPage = 1000

func list(f *Front, r *httpcodec.Request, args []string) (*Call, *drmaa2.Error) {
	q, e := url.ParseQuery(r.Query)
	if e != nil {
		return nil, invalid("", "the query can't be read")
	}
	in := scheduler.Query{After: q.Get("after"), Limit: largestPage}
	if l := q.Get("limit"); l != "" {
		n, err := strconv.Atoi(l)
		if err != nil || n < 1 || n > largestPage {
			return nil, invalid("limit", fmt.Sprintf("expected 1 to %d", largestPage))
		}
		in.Limit = n
	}
	if len(args) > 0 {
		in.Session = args[0]
	}
	return &Call{
		Input: func(req, _ uint64) scheduler.Input {
			one := in // several cores may ask at once
			one.Req = req
			return one
		},
		Encode: f.jobs(),
	}, nil
}

func job(f *Front, _ *httpcodec.Request, args []string) (*Call, *drmaa2.Error) {
	return &Call{
		Input:  func(req, _ uint64) scheduler.Input { return scheduler.Query{Req: req, Job: args[0]} },
		Encode: f.jobs(),
	}, nil
}

func template(_ *Front, _ *httpcodec.Request, args []string) (*Call, *drmaa2.Error) {
	return &Call{
		Input: func(req, _ uint64) scheduler.Input { return scheduler.Query{Req: req, Job: args[0]} },
		Encode: encode(func(a *scheduler.Answer) []byte {
			if len(a.Jobs) == 0 || len(a.Jobs[0].Spec.Template) == 0 {
				return ErrorResponse(409, &drmaa2.Error{Code: drmaa2.InvalidState,
					Message: "the job's template is not known"}, false)
			}
			return httpcodec.AppendResponse(nil, 200, "application/json", a.Jobs[0].Spec.Template, false)
		}),
	}, nil
}

func command(do scheduler.Verb) handler {
	return func(f *Front, _ *httpcodec.Request, args []string) (*Call, *drmaa2.Error) {
		return &Call{
			Input:  func(req, _ uint64) scheduler.Input { return scheduler.Command{Req: req, Verb: do, Job: args[0]} },
			Encode: f.jobs(),
		}, nil
	}
}

func sessionEvents(f *Front, r *httpcodec.Request, args []string) (*Call, *drmaa2.Error) {
	return f.events(r, scheduler.Watch{Session: args[0]}), nil
}

func allEvents(f *Front, r *httpcodec.Request, _ []string) (*Call, *drmaa2.Error) {
	return f.events(r, scheduler.Watch{}), nil
}

func jobEvents(f *Front, r *httpcodec.Request, args []string) (*Call, *drmaa2.Error) {
	return f.events(r, scheduler.Watch{Job: args[0]}), nil
}

func (f *Front) events(r *httpcodec.Request, w scheduler.Watch) *Call {
	// An event ID of a former life of the scheduler tells nothing: all is sent anew.
	since := ""
	if life, at, ok := strings.Cut(r.Get("last-event-id"), "."); ok && life == f.life {
		since = at
		w.Since, _ = strconv.ParseUint(at, 10, 64)
	}
	return &Call{
		Stream: true,
		Since:  since,
		Input: func(req, stream uint64) scheduler.Input {
			one := w // several cores may ask at once
			one.Req, one.Stream = req, stream
			return one
		},
		Encode: encode(func(*scheduler.Answer) []byte {
			return httpcodec.AppendStreamHead(nil, 200, "text/event-stream", "Cache-Control", "no-store")
		}),
	}
}

// Event is a chunk with one event of a stream, whose reader has then got to the position at.
func (f *Front) Event(i *scheduler.Info, at string) []byte {
	data, err := json.Marshal(f.jobInfo(i))
	if err != nil {
		return nil
	}
	return httpcodec.AppendChunk(nil, fmt.Appendf(nil, "id: %s.%s\nevent: job\ndata: %s\n\n", f.life, at, data))
}

// Beat is a chunk that keeps a stream's connection known to be alive.
func Beat() []byte { return httpcodec.AppendChunk(nil, []byte(":\n\n")) }

func machines(f *Front, _ *httpcodec.Request, _ []string) (*Call, *drmaa2.Error) {
	return &Call{
		Input: func(req, _ uint64) scheduler.Input { return scheduler.Machines{Req: req} },
		Encode: encode(func(a *scheduler.Answer) []byte {
			all := make([]drmaa2.MachineInfo, 0, len(a.Machines))
			for _, m := range a.Machines {
				all = append(all, f.machine(&m))
			}
			return respond(200, map[string]any{"machines": all})
		}),
	}, nil
}

var standings = []string{"in", "draining", "out"}

func (f *Front) machine(m *scheduler.MachineInfo) drmaa2.MachineInfo {
	i := drmaa2.MachineInfo{Name: m.ID, Available: m.Connected && m.State == 0,
		ImplementationSpecific: map[string]string{drmaa2.AttrZone: m.Zone, drmaa2.AttrCell: strconv.Itoa(m.Cell),
			drmaa2.AttrMachineState: standings[m.State], drmaa2.AttrJobs: strconv.Itoa(m.Jobs)}}
	if m.Kind >= 0 && m.Kind < len(f.set.Kinds) {
		k := f.set.Kinds[m.Kind]
		i.ImplementationSpecific[drmaa2.AttrKind] = k.Name
		i.Sockets, i.CoresPerSocket, i.PhysMemory = 1, int64(k.Cores), int64(k.Memory*gibInKiB)
	}
	return i
}

func (f *Front) jobInfo(i *scheduler.Info) drmaa2.JobInfo {
	s := i.Spec
	j := drmaa2.JobInfo{JobID: i.ID, JobName: s.Name, Annotation: i.Reason, JobState: drmaa2.JobState(i.State),
		JobSubState: i.SubState, SubmissionMachine: f.set.Name, JobOwner: s.Owner, Slots: slots(s.Cores), QueueName: queue,
		SubmissionTime: clock.Wall(i.SubmittedAt).UTC(), TerminatingSignal: i.Signal,
		ImplementationSpecific: map[string]string{drmaa2.AttrPlacementRequests: strconv.Itoa(i.Request),
			drmaa2.AttrAttempts: strconv.Itoa(i.Attempts), drmaa2.AttrRevision: strconv.FormatUint(i.Revision, 10)}}
	own := j.ImplementationSpecific
	set := func(name, value string) {
		if value != "" {
			own[name] = value
		}
	}
	set(drmaa2.AttrOutcome, string(i.Outcome))
	set(drmaa2.AttrNode, i.Node)
	set(drmaa2.AttrArray, i.Array)
	set(drmaa2.AttrKey, s.Key)
	set(drmaa2.AttrService, s.Service)
	set(drmaa2.AttrClass, f.set.Classes[s.Class].Name)
	set(drmaa2.AttrCores, strconv.FormatFloat(s.Cores, 'g', -1, 64))
	set(drmaa2.AttrMemory, strconv.FormatFloat(s.Memory, 'g', -1, 64))
	if s.Tenant >= 0 {
		set(drmaa2.AttrTenant, f.set.Tenants[s.Tenant].Name)
	}
	if i.Array != "" {
		own[drmaa2.AttrIndex] = strconv.Itoa(i.Index)
	}
	if i.RequestedAt > 0 {
		own[drmaa2.AttrRequestedAt] = clock.Wall(i.RequestedAt).UTC().Format(time.RFC3339Nano)
	}
	if i.PlacementDeadline > 0 {
		own[drmaa2.AttrDue] = clock.Wall(i.PlacementDeadline).UTC().Format(time.RFC3339Nano)
	}
	if i.SubState == scheduler.SubExited {
		exit := i.Exit
		j.ExitStatus = &exit
	}
	if i.StartedAt > 0 {
		t := clock.Wall(i.StartedAt).UTC()
		j.DispatchTime = &t
		if i.Node != "" {
			j.AllocatedMachines = []drmaa2.SlotInfo{{MachineName: i.Node, Slots: slots(s.Cores)}}
		}
	}
	if i.FinishedAt > 0 {
		t := clock.Wall(i.FinishedAt).UTC()
		j.FinishTime = &t
		if i.StartedAt > 0 {
			j.WallclockTime = (i.FinishedAt - i.StartedAt).Seconds()
		}
	}
	return j
}

func slots(cores float64) int64 { return int64(math.Ceil(cores)) }
