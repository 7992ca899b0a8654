package drmaafront

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"github.com/goccy/go-json"

	"flaxshelf.example/flaxshelf/drmaa2"
	"flaxshelf.example/flaxshelf/internal/codec/httpcodec"
	"flaxshelf.example/flaxshelf/internal/scheduler"
)

func watchSession(f *Front, request *httpcodec.Request, args []string) (*Call, *drmaa2.Error) {
	return f.watchCall(request, scheduler.Watch{Session: args[0]}), nil
}

func watchAll(f *Front, request *httpcodec.Request, _ []string) (*Call, *drmaa2.Error) {
	return f.watchCall(request, scheduler.Watch{}), nil
}

func watchJob(f *Front, request *httpcodec.Request, args []string) (*Call, *drmaa2.Error) {
	return f.watchCall(request, scheduler.Watch{Job: args[0]}), nil
}

// watchCall returns the call of a stream of server-sent events, which resumes after the client's last event. If that event is
// of an earlier incarnation of the scheduler, the stream begins with all jobs.
func (f *Front) watchCall(request *httpcodec.Request, watch scheduler.Watch) *Call {
	resumeAfter := ""
	incarnation, position, ok := strings.Cut(request.Get("last-event-id"), ".")
	if ok && incarnation == f.incarnation {
		resumeAfter = position
		watch.SinceRevision, _ = strconv.ParseUint(position, 10, 64) // an invalid position is 0: all jobs
	}
	return &Call{
		Stream:      true,
		ResumeAfter: resumeAfter,
		BuildInput: func(requestID, streamID uint64) scheduler.Input {
			numbered := watch // several cores may build the input at once
			numbered.RequestID, numbered.Stream = requestID, streamID
			return numbered
		},
		EncodeAnswer: orError(func(*scheduler.Answer) []byte {
			return httpcodec.AppendStreamHead(nil, http.StatusOK, "text/event-stream", "Cache-Control", "no-store")
		}),
	}
}

// Event returns the chunk with an event of a stream. position is its ID within the incarnation.
func (f *Front) Event(info *scheduler.JobInfo, position string) []byte {
	data, err := json.Marshal(f.jobInfo(info))
	if err != nil {
		return nil
	}
	return httpcodec.AppendChunk(nil,
		fmt.Appendf(nil, "id: %s.%s\nevent: job\ndata: %s\n\n", f.incarnation, position, data))
}

// Heartbeat returns a chunk with a comment, which shows the client that the connection is alive.
func Heartbeat() []byte { return httpcodec.AppendChunk(nil, []byte(":\n\n")) }
