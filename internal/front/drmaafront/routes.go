package drmaafront

import (
	"net/http"
	"net/url"
	"strings"

	"flaxshelf.example/flaxshelf/drmaa2"
	"flaxshelf.example/flaxshelf/internal/codec/httpcodec"
	"flaxshelf.example/flaxshelf/internal/scheduler"
)

// handler decodes a request that matches a route. args are the path segments that the wildcards have matched.
type handler func(f *Frontend, request *httpcodec.Request, args []string) (*Call, *drmaa2.Error)

// wildcard matches any one segment of a path.
const wildcard = "*"

type route struct {
	method  string
	pattern []string // segments of the path after PathPrefix; see wildcard
	handle  handler
}

var routes = []route{
	{"GET", splitPath("/info"), getInfo},
	{"GET", splitPath("/sessions"), listSessions},
	{"POST", splitPath("/sessions"), createSession},
	{"GET", splitPath("/sessions/*"), sessionCommand(scheduler.OpenSession)},
	{"DELETE", splitPath("/sessions/*"), sessionCommand(scheduler.DestroySession)},
	{"POST", splitPath("/sessions/*/jobs"), submitJob},
	{"POST", splitPath("/sessions/*/arrays"), submitArray},
	{"GET", splitPath("/sessions/*/jobs"), listJobs},
	{"GET", splitPath("/sessions/*/events"), watchSession},
	{"GET", splitPath("/jobs"), listJobs},
	{"GET", splitPath("/jobs/*"), getJob},
	{"GET", splitPath("/jobs/*/template"), getTemplate},
	{"GET", splitPath("/jobs/*/events"), watchJob},
	{"POST", splitPath("/jobs/*/hold"), jobCommand(scheduler.Hold)},
	{"POST", splitPath("/jobs/*/release"), jobCommand(scheduler.Release)},
	{"POST", splitPath("/jobs/*/terminate"), jobCommand(scheduler.Terminate)},
	{"POST", splitPath("/jobs/*/suspend"), rejectSuspension},
	{"POST", splitPath("/jobs/*/resume"), rejectSuspension},
	{"DELETE", splitPath("/jobs/*"), jobCommand(scheduler.Reap)},
	{"GET", splitPath("/events"), watchAll},
	{"GET", splitPath("/machines"), listMachines},
	{"GET", splitPath("/queues"), listQueues},
}

func splitPath(path string) []string { return strings.Split(strings.TrimPrefix(path, "/"), "/") }

// match reports whether a path matches the route, and returns the segments that the wildcards have matched.
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

// Decode decodes a request. It never returns nil: the Call of an invalid request has an error response.
func (f *Frontend) Decode(request *httpcodec.Request) *Call {
	path, ok := strings.CutPrefix(request.Path, PathPrefix)
	if !ok {
		return newNotFoundCall(request)
	}
	unescaped, ok := unescape(splitPath(path))
	if !ok {
		return newErrorCall(request, http.StatusBadRequest,
			&drmaa2.Error{Code: drmaa2.InvalidArgument, Message: "the path can't be read"})
	}
	pathFound := false
	for i := range routes {
		args, ok := routes[i].match(unescaped)
		if !ok {
			continue
		}
		pathFound = true
		if routes[i].method == request.Method {
			return f.callHandler(&routes[i], request, args)
		}
	}
	if pathFound {
		return newErrorCall(request, http.StatusMethodNotAllowed, &drmaa2.Error{Code: drmaa2.UnsupportedOperation,
			Message: truncate(request.Method) + " is not done here"})
	}
	return newNotFoundCall(request)
}

// callHandler decodes a request with the handler of its route, and encodes the handler's error as a response.
func (f *Frontend) callHandler(r *route, request *httpcodec.Request, args []string) *Call {
	call, err := r.handle(f, request, args)
	if err != nil {
		return newErrorCall(request, httpStatus(err.Code), err)
	}
	call.CloseConnection = request.Close
	return call
}

// unescape decodes the percent-encoded characters of path segments in place. It returns false if a segment is malformed.
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

func newNotFoundCall(request *httpcodec.Request) *Call {
	return newErrorCall(request, http.StatusNotFound,
		&drmaa2.Error{Code: drmaa2.InvalidArgument, Message: "nothing is at " + truncate(request.Path)})
}

func newErrorCall(request *httpcodec.Request, status int, err *drmaa2.Error) *Call {
	return &Call{Response: ErrorResponse(status, err, request.Close), CloseConnection: request.Close}
}
