package drmaafront

import (
	"net/http"

	"github.com/goccy/go-json"

	"flaxshelf.example/flaxshelf/drmaa2"
	"flaxshelf.example/flaxshelf/internal/codec/httpcodec"
	"flaxshelf.example/flaxshelf/internal/scheduler"
)

// Bodies of responses for which package drmaa2 has no type.
type (
	sessionResponse struct {
		Name string `json:"name"`
	}
	sessionNamesResponse struct {
		Names []string `json:"names"`
	}
	machinesResponse struct {
		Machines []drmaa2.MachineInfo `json:"machines"`
	}
	queuesResponse struct {
		Queues []drmaa2.QueueInfo `json:"queues"`
	}
)

func jsonResponse(status int, body any) []byte {
	encoded, err := json.Marshal(body)
	if err != nil {
		return ErrorResponse(http.StatusInternalServerError, &drmaa2.Error{Code: drmaa2.Internal, Message: err.Error()}, false)
	}
	return httpcodec.AppendResponse(nil, status, jsonContentType, append(encoded, '\n'), false)
}

// withErrorResponse returns an encoder of answers. It encodes an error of the core as an error response, and passes any other
// answer to encode.
func withErrorResponse(encode func(*scheduler.Answer) []byte) func(*scheduler.Answer) []byte {
	return func(answer *scheduler.Answer) []byte {
		if answer.Err == nil {
			return encode(answer)
		}
		err := &drmaa2.Error{Code: drmaa2.ErrorCode(answer.Err.Code), Message: answer.Err.Message,
			RetryAfter: answer.Err.RetryAfter}
		return ErrorResponse(httpStatus(err.Code), err, false)
	}
}

// getInfo handles a request for the description of the scheduler and its capabilities.
func getInfo(f *Frontend, _ *httpcodec.Request, _ []string) (*Call, *drmaa2.Error) {
	info := drmaa2.Drms{
		DrmsName:     "flaxshelf",
		DrmsVersion:  drmaa2.Version{Major: "0", Minor: "1"},
		DrmaaName:    "flaxshelf",
		DrmaaVersion: drmaa2.Version{Major: "2", Minor: "0"},
		Machine:      f.settings.Name,
		Capabilities: []string{"RT_ACCOUNTINGID", "RT_STARTTIME", "RT_DEADLINE", "BULK_JOBS_MAXPARALLEL"},
		JobTemplate: []string{drmaa2.AttrService, drmaa2.AttrKey, drmaa2.AttrCores, drmaa2.AttrMemory, drmaa2.AttrExpectedRuntime,
			drmaa2.AttrPlacementTimeout},
		JobInfo: []string{drmaa2.AttrOutcome, drmaa2.AttrPlacementRequests, drmaa2.AttrAttempts, drmaa2.AttrNode,
			drmaa2.AttrArray,
			drmaa2.AttrIndex, drmaa2.AttrRequestedAt, drmaa2.AttrPlacementDeadline, drmaa2.AttrRevision,
			drmaa2.AttrClass, drmaa2.AttrTenant},
	}
	for _, class := range f.settings.Classes {
		info.Categories = append(info.Categories, class.Name)
	}
	return &Call{Response: jsonResponse(http.StatusOK, info)}, nil
}

func listQueues(*Frontend, *httpcodec.Request, []string) (*Call, *drmaa2.Error) {
	queues := queuesResponse{Queues: []drmaa2.QueueInfo{{Name: defaultQueue}}}
	return &Call{Response: jsonResponse(http.StatusOK, queues)}, nil
}

func encodeSessionNames(answer *scheduler.Answer) []byte {
	return jsonResponse(http.StatusOK, sessionNamesResponse{answer.Sessions})
}

// EncodeSubmitted returns the response to a submission. Its status is 201 for new jobs, and 200 if the idempotency key was in
// use and the response has the earlier jobs.
func (f *Frontend) EncodeSubmitted(answer *scheduler.Answer) []byte {
	return withErrorResponse(f.encodeSubmittedJobs)(answer)
}

func (f *Frontend) encodeSubmittedJobs(answer *scheduler.Answer) []byte {
	status := http.StatusCreated
	if answer.Existing {
		status = http.StatusOK
	}
	return jsonResponse(status, f.jobList(answer))
}

func (f *Frontend) encodeJobs(answer *scheduler.Answer) []byte {
	return jsonResponse(http.StatusOK, f.jobList(answer))
}

func (f *Frontend) jobList(answer *scheduler.Answer) drmaa2.Submitted {
	jobs := drmaa2.Submitted{ArrayID: answer.ArrayID, Existing: answer.Existing, Jobs: make([]drmaa2.JobInfo, len(answer.Jobs))}
	for i := range answer.Jobs {
		jobs.Jobs[i] = f.jobInfo(&answer.Jobs[i])
	}
	return jobs
}

func encodeTemplate(answer *scheduler.Answer) []byte {
	if len(answer.Jobs) == 0 || len(answer.Jobs[0].Spec.Template) == 0 {
		return ErrorResponse(http.StatusConflict, &drmaa2.Error{Code: drmaa2.InvalidState,
			Message: "the job's template is not known"}, false)
	}
	return httpcodec.AppendResponse(nil, http.StatusOK, jsonContentType, answer.Jobs[0].Spec.Template, false)
}

func (f *Frontend) encodeMachines(answer *scheduler.Answer) []byte {
	machines := make([]drmaa2.MachineInfo, 0, len(answer.Machines))
	for i := range answer.Machines {
		machines = append(machines, f.machineInfo(&answer.Machines[i]))
	}
	return jsonResponse(http.StatusOK, machinesResponse{machines})
}
