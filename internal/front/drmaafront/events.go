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

func watchSession(f *Frontend, request *httpcodec.Request, args []string) (*Call, *drmaa2.Error) {
	return f.newWatchCall(request, scheduler.Watch{Session: args[0]}), nil
}

func watchAll(f *Frontend, request *httpcodec.Request, _ []string) (*Call, *drmaa2.Error) {
	return f.newWatchCall(request, scheduler.Watch{}), nil
}

func watchJob(f *Frontend, request *httpcodec.Request, args []string) (*Call, *drmaa2.Error) {
	return f.newWatchCall(request, scheduler.Watch{Job: args[0]}), nil
}

// newWatchCall returns the Call of a stream of server-sent events. The stream resumes after the event in the client's
// Last-Event-ID header. It begins with all jobs if there is no such header, or if the event is of another incarnation of the
// scheduler.
func (f *Frontend) newWatchCall(request *httpcodec.Request, watch scheduler.Watch) *Call {
	resumeAfter := ""
	incarnation, position, ok := strings.Cut(request.Get("last-event-id"), ".")
	if ok && incarnation == f.incarnationID {
		resumeAfter = position
		watch.SinceRevision, _ = strconv.ParseUint(position, 10, 64) // an invalid position becomes 0, which requests all jobs
	}
	return &Call{
		Stream:      true,
		ResumeAfter: resumeAfter,
		BuildInput: func(requestID, streamID uint64) scheduler.Input {
			input := watch // a copy: several cores may build their inputs concurrently
			input.RequestID, input.Stream = requestID, streamID
			return input
		},
		EncodeAnswer: withErrorResponse(func(*scheduler.Answer) []byte {
			return httpcodec.AppendStreamHead(nil, http.StatusOK, "text/event-stream", "Cache-Control", "no-store")
		}),
	}
}

// EncodeEvent returns the HTTP chunk with the event of a changed job. position becomes the part of the event ID after the
// incarnation's prefix.
func (f *Frontend) EncodeEvent(info *scheduler.JobInfo, position string) []byte {
	data, err := json.Marshal(f.jobInfo(info))
	if err != nil {
		return nil
	}
	return httpcodec.AppendChunk(nil,
		fmt.Appendf(nil, "id: %s.%s\nevent: job\ndata: %s\n\n", f.incarnationID, position, data))
}

// Heartbeat returns an HTTP chunk with an empty comment, which shows the client that the connection is alive.
func Heartbeat() []byte { return httpcodec.AppendChunk(nil, []byte(":\n\n")) }
