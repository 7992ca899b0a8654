package drmaafront

import (
	"net/http"
	"net/url"
	"strings"

	"flaxshelf.example/flaxshelf/drmaa2"
	"flaxshelf.example/flaxshelf/internal/codec/httpcodec"
	"flaxshelf.example/flaxshelf/internal/scheduler"
)

// handler decodes a request to a route. args are the path segments that wildcards have matched.
type handler func(f *Front, request *httpcodec.Request, args []string) (*Call, *drmaa2.Error)

// wildcard matches any one segment of a path.
const wildcard = "*"

type route struct {
	method  string
	pattern []string // segments of a path under Prefix
	handle  handler
}

var routes = []route{
	{"GET", segments("/info"), getInfo},
	{"GET", segments("/sessions"), listSessions},
	{"POST", segments("/sessions"), createSession},
	{"GET", segments("/sessions/*"), sessionCommand(scheduler.OpenSession)},
	{"DELETE", segments("/sessions/*"), sessionCommand(scheduler.DestroySession)},
	{"POST", segments("/sessions/*/jobs"), submitJob},
	{"POST", segments("/sessions/*/arrays"), submitArray},
	{"GET", segments("/sessions/*/jobs"), listJobs},
	{"GET", segments("/sessions/*/events"), watchSession},
	{"GET", segments("/jobs"), listJobs},
	{"GET", segments("/jobs/*"), getJob},
	{"GET", segments("/jobs/*/template"), getTemplate},
	{"GET", segments("/jobs/*/events"), watchJob},
	{"POST", segments("/jobs/*/hold"), jobCommand(scheduler.Hold)},
	{"POST", segments("/jobs/*/release"), jobCommand(scheduler.Release)},
	{"POST", segments("/jobs/*/terminate"), jobCommand(scheduler.Terminate)},
	{"POST", segments("/jobs/*/suspend"), rejectSuspension},
	{"POST", segments("/jobs/*/resume"), rejectSuspension},
	{"DELETE", segments("/jobs/*"), jobCommand(scheduler.Reap)},
	{"GET", segments("/events"), watchAll},
	{"GET", segments("/machines"), listMachines},
	{"GET", segments("/queues"), listQueues},
}

func segments(path string) []string { return strings.Split(strings.TrimPrefix(path, "/"), "/") }

// match reports whether a path matches the route, and returns the segments that wildcards have matched.
func (r *route) match(path []string) (args []string, ok bool) {
	if len(path) != len(r.pattern) {
		return nil, false
	}
	for i, segment := range r.pattern {
		if segment == wildcard {
			args = append(args, path[i])
		} else if segment != path[i] {
			return nil, false
		}
	}
	return args, true
}

// Route decodes a request. It never returns nil: the response to an invalid request is an error.
func (f *Front) Route(request *httpcodec.Request) *Call {
	path, ok := strings.CutPrefix(request.Path, Prefix)
	if !ok {
		return notFound(request)
	}
	unescaped, ok := unescape(segments(path))
	if !ok {
		return errorCall(request, http.StatusBadRequest,
			&drmaa2.Error{Code: drmaa2.InvalidArgument, Message: "the path can't be read"})
	}
	found := false
	for i := range routes {
		args, ok := routes[i].match(unescaped)
		if !ok {
			continue
		}
		found = true
		if routes[i].method == request.Method {
			return f.call(&routes[i], request, args)
		}
	}
	if found {
		return errorCall(request, http.StatusMethodNotAllowed, &drmaa2.Error{Code: drmaa2.UnsupportedOperation,
			Message: clip(request.Method) + " is not done here"})
	}
	return notFound(request)
}

// call decodes a request by the handler of its route.
func (f *Front) call(r *route, request *httpcodec.Request, args []string) *Call {
	call, err := r.handle(f, request, args)
	if err != nil {
		return errorCall(request, statusOf(err.Code), err)
	}
	call.CloseConnection = request.Close
	return call
}

// unescape decodes percent-encoded characters in place. It returns false if a segment is malformed.
func unescape(segments []string) ([]string, bool) {
	for i, segment := range segments {
		unescaped, err := url.PathUnescape(segment)
		if err != nil {
			return nil, false
		}
		segments[i] = unescaped
	}
	return segments, true
}

func notFound(request *httpcodec.Request) *Call {
	return errorCall(request, http.StatusNotFound,
		&drmaa2.Error{Code: drmaa2.InvalidArgument, Message: "nothing is at " + clip(request.Path)})
}

func errorCall(request *httpcodec.Request, status int, err *drmaa2.Error) *Call {
	return &Call{Response: ErrorResponse(status, err, request.Close), CloseConnection: request.Close}
}
