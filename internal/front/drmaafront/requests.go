package drmaafront

import (
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/go-json-experiment/json/jsontext"

	"flaxshelf.example/flaxshelf/drmaa2"
	"flaxshelf.example/flaxshelf/internal/codec/httpcodec"
	"flaxshelf.example/flaxshelf/internal/scheduler"
)

const (
	maxNameBytes = 255    // length of a session's or a job's name
	maxArrayJobs = 100000 // jobs in an array
	maxPageSize  = 1000   // jobs in one page of a list
)

// createSessionRequest is the body of a request that creates a session.
type createSessionRequest struct {
	Name string `json:"name"`
}

// submitRequest is the body of a submission. The template remains encoded because it is stored as the client sent it: it is
// returned to clients that request it, and sent to the node with the offer.
type submitRequest struct {
	Template jsontext.Value `json:"template"`
	Retry    bool           `json:"again"`
	Bulk     *drmaa2.Bulk   `json:"bulk"`
}

func listSessions(*Frontend, *httpcodec.Request, []string) (*Call, *drmaa2.Error) {
	return &Call{
		BuildInput: func(requestID, _ uint64) scheduler.Input {
			return scheduler.SessionCommand{RequestID: requestID, Verb: scheduler.ListSessions}
		},
		EncodeAnswer: withErrorResponse(encodeSessionNames),
	}, nil
}

func createSession(_ *Frontend, request *httpcodec.Request, _ []string) (*Call, *drmaa2.Error) {
	var body createSessionRequest
	if err := decodeJSON(request.Body, &body); err != nil {
		return nil, err
	}
	if err := checkSessionName(body.Name); err != nil {
		return nil, err
	}
	return newSessionCall(scheduler.CreateSession, body.Name, http.StatusCreated), nil
}

func checkSessionName(name string) *drmaa2.Error {
	if name == "" || len(name) > maxNameBytes || strings.ContainsFunc(name, isControl) {
		return invalidArgument("",
			fmt.Sprintf("a session's name has 1 to %d characters and no control characters", maxNameBytes))
	}
	return nil
}

func isControl(r rune) bool { return r < ' ' || r == 0x7f }

// sessionCommand returns the handler of a command on the session in the path.
func sessionCommand(verb scheduler.Verb) handler {
	return func(_ *Frontend, _ *httpcodec.Request, args []string) (*Call, *drmaa2.Error) {
		return newSessionCall(verb, args[0], http.StatusOK), nil
	}
}

func newSessionCall(verb scheduler.Verb, name string, status int) *Call {
	return &Call{
		BuildInput: func(requestID, _ uint64) scheduler.Input {
			return scheduler.SessionCommand{RequestID: requestID, Verb: verb, Name: name}
		},
		EncodeAnswer: withErrorResponse(func(*scheduler.Answer) []byte { return jsonResponse(status, sessionResponse{name}) }),
	}
}

func submitJob(f *Frontend, request *httpcodec.Request, args []string) (*Call, *drmaa2.Error) {
	submit, bulk, err := f.decodeSubmission(request, args[0])
	switch {
	case err != nil:
		return nil, err
	case bulk != nil:
		return nil, invalidArgument("bulk", "a range is for an array")
	}
	return f.newSubmitCall(submit), nil
}

func submitArray(f *Frontend, request *httpcodec.Request, args []string) (*Call, *drmaa2.Error) {
	submit, bulk, err := f.decodeSubmission(request, args[0])
	switch {
	case err != nil:
		return nil, err
	case bulk == nil:
		return nil, invalidArgument("bulk", "an array needs its range")
	}
	if submit.Indexes, err = arrayIndexes(bulk); err != nil {
		return nil, err
	}
	submit.MaxParallel = bulk.MaxParallel
	return f.newSubmitCall(submit), nil
}

// decodeSubmission decodes and validates the body of a submission to a session. bulk is nil if the body has no range of indexes.
func (f *Frontend) decodeSubmission(request *httpcodec.Request,
	session string) (submit scheduler.Submit, bulk *drmaa2.Bulk, err *drmaa2.Error) {
	var body submitRequest
	if err := decodeJSON(request.Body, &body); err != nil {
		return submit, nil, err
	}
	var template drmaa2.JobTemplate
	if err := decodeJSON(body.Template, &template); err != nil {
		return submit, nil, err
	}
	spec, err := f.jobSpec(&template)
	if err != nil {
		return submit, nil, err
	}
	spec.Template, spec.Session, spec.Retry = body.Template, session, body.Retry
	return scheduler.Submit{Spec: *spec}, body.Bulk, nil
}

func (f *Frontend) newSubmitCall(submit scheduler.Submit) *Call {
	return &Call{
		BuildInput: func(requestID, _ uint64) scheduler.Input {
			input := submit // a copy: several cores may build their inputs concurrently
			input.RequestID = requestID
			return input
		},
		EncodeAnswer: f.EncodeSubmitted,
	}
}

// arrayIndexes validates the range of an array and returns the indexes of its jobs.
func arrayIndexes(bulk *drmaa2.Bulk) ([]int, *drmaa2.Error) {
	if bulk.BeginIndex < 1 || bulk.EndIndex < bulk.BeginIndex || bulk.Step < 1 || bulk.MaxParallel < 0 {
		return nil, invalidArgument("bulk", "expected 1 <= beginIndex <= endIndex, step >= 1 and maxParallel >= 0")
	}
	if steps := (bulk.EndIndex - bulk.BeginIndex) / bulk.Step; steps >= maxArrayJobs {
		return nil, invalidArgument("bulk", fmt.Sprintf("%d jobs, %d at most", steps+1, maxArrayJobs))
	}
	var indexes []int
	for index := bulk.BeginIndex; index <= bulk.EndIndex; index += bulk.Step {
		indexes = append(indexes, index)
	}
	return indexes, nil
}

// listJobs handles a request for the jobs of the session in the path, or of all sessions if the path has none.
func listJobs(f *Frontend, request *httpcodec.Request, args []string) (*Call, *drmaa2.Error) {
	parameters, err := url.ParseQuery(request.Query)
	if err != nil {
		return nil, invalidArgument("", "the query can't be read")
	}
	query := scheduler.Query{AfterID: parameters.Get("after"), Limit: maxPageSize}
	if text := parameters.Get("limit"); text != "" {
		limit, err := strconv.Atoi(text)
		if err != nil || limit < 1 || limit > maxPageSize {
			return nil, invalidArgument("limit", fmt.Sprintf("expected 1 to %d", maxPageSize))
		}
		query.Limit = limit
	}
	if len(args) > 0 {
		query.Session = args[0]
	}
	return &Call{
		BuildInput: func(requestID, _ uint64) scheduler.Input {
			input := query // a copy: several cores may build their inputs concurrently
			input.RequestID = requestID
			return input
		},
		EncodeAnswer: withErrorResponse(f.encodeJobs),
	}, nil
}

func getJob(f *Frontend, _ *httpcodec.Request, args []string) (*Call, *drmaa2.Error) {
	return &Call{BuildInput: queryJob(args[0]), EncodeAnswer: withErrorResponse(f.encodeJobs)}, nil
}

func getTemplate(_ *Frontend, _ *httpcodec.Request, args []string) (*Call, *drmaa2.Error) {
	return &Call{BuildInput: queryJob(args[0]), EncodeAnswer: withErrorResponse(encodeTemplate)}, nil
}

func queryJob(id string) func(requestID, streamID uint64) scheduler.Input {
	return func(requestID, _ uint64) scheduler.Input { return scheduler.Query{RequestID: requestID, Job: id} }
}

// jobCommand returns the handler of a command on the job or array in the path.
func jobCommand(verb scheduler.Verb) handler {
	return func(f *Frontend, _ *httpcodec.Request, args []string) (*Call, *drmaa2.Error) {
		return &Call{
			BuildInput: func(requestID, _ uint64) scheduler.Input {
				return scheduler.Command{RequestID: requestID, Verb: verb, Job: args[0]}
			},
			EncodeAnswer: withErrorResponse(f.encodeJobs),
		}, nil
	}
}

// rejectSuspension rejects the commands suspend and resume, which nodes don't support.
func rejectSuspension(*Frontend, *httpcodec.Request, []string) (*Call, *drmaa2.Error) {
	return nil, &drmaa2.Error{Code: drmaa2.UnsupportedOperation,
		Message: "nodes run a job or stop it; they don't suspend"}
}

func listMachines(f *Frontend, _ *httpcodec.Request, _ []string) (*Call, *drmaa2.Error) {
	return &Call{
		BuildInput:   func(requestID, _ uint64) scheduler.Input { return scheduler.Machines{RequestID: requestID} },
		EncodeAnswer: withErrorResponse(f.encodeMachines),
	}, nil
}
