package rules

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"flaxshelf.example/flaxshelf/drmaa2"
	"flaxshelf.example/flaxshelf/internal/codec/httpcodec"
	"flaxshelf.example/flaxshelf/internal/testbed/countformat"
)

// job is a job that a scheduler admitted, as reported to its clients.
type job struct {
	id, scheduler     string
	incarnation       int // of its scheduler when the job was last reported
	submittedAt       time.Duration
	placementTimeout  time.Duration
	outcomeExpected   bool                      // an outcome must be reported by the placement timeout
	placementRequests map[int]*placementRequest // by number
	state             string                    // last reported
	finalState        string                    // empty until the job has ended
	revision          uint64                    // of the last reported state
}

// placementRequest is one request to place a job; a job that is held and released has several.
type placementRequest struct {
	requestedAt time.Duration
	outcome     string // its name on the wire, or empty if none was reported
}

// firstPlacementRequest is the number of the placement request that the submission of a job makes.
const firstPlacementRequest = 1

// responseReceived processes a complete response of a scheduler.
func (c *checker) responseReceived(scheduler string, request *clientRequest, response *httpcodec.Response) {
	isSubmission := request.isSubmission()
	if isSubmission {
		c.verdict.Submitted++
	}
	if response.Status >= http.StatusMultipleChoices {
		if isSubmission {
			c.verdict.Rejected[rejectionCode(response)]++
		}
		return
	}
	var submitted drmaa2.Submitted
	if json.Unmarshal(response.Body, &submitted) != nil {
		return
	}
	for i := range submitted.Jobs {
		if isSubmission {
			c.addSubmittedJob(scheduler, request, &submitted, submitted.Jobs[i].JobID)
		}
		c.jobReported(scheduler, &submitted.Jobs[i])
	}
}

func (r *clientRequest) isSubmission() bool {
	return r.method == http.MethodPost && (strings.HasSuffix(r.path, "/jobs") || strings.HasSuffix(r.path, "/arrays"))
}

// rejectionCode returns the error code in the body of a response, or the HTTP status if there is none.
func rejectionCode(response *httpcodec.Response) string {
	var rejection drmaa2.Error
	if json.Unmarshal(response.Body, &rejection) != nil || rejection.Code == "" {
		return "status " + strconv.Itoa(response.Status)
	}
	return string(rejection.Code)
}

// addSubmittedJob adds a job that is reported in the response to its submission.
func (c *checker) addSubmittedJob(scheduler string, request *clientRequest, submitted *drmaa2.Submitted, id string) {
	if c.jobs[id] != nil {
		return
	}
	j := c.addJob(id, scheduler, request.deliveredAt)
	var submission drmaa2.Submission
	if json.Unmarshal(request.body, &submission) != nil {
		return
	}
	template := &submission.Template
	j.placementTimeout = c.placementTimeout(template)
	// No outcome is expected of a job that may stay queued by design, or that was submitted by an earlier request.
	mayStayQueued := template.SubmitAsHold || template.StartTime != nil ||
		submission.Bulk != nil && submission.Bulk.MaxParallel != 0
	j.outcomeExpected = !submitted.Existing && !mayStayQueued
}

func (c *checker) addJob(id, scheduler string, submittedAt time.Duration) *job {
	j := &job{id: id, scheduler: scheduler, incarnation: c.incarnations[scheduler], submittedAt: submittedAt,
		placementRequests: map[int]*placementRequest{}}
	c.jobs[id] = j
	c.verdict.Admitted++
	return j
}

// placementTimeout returns the placement timeout of the template, or that of its class if it has none. Zero means no timeout.
func (c *checker) placementTimeout(template *drmaa2.JobTemplate) time.Duration {
	if timeout, err := time.ParseDuration(template.ImplementationSpecific[drmaa2.AttrPlacementTimeout]); err == nil {
		return timeout
	}
	for _, class := range c.limits.Classes {
		onlyClass := template.JobCategory == "" && len(c.limits.Classes) == 1
		if class.Name == template.JobCategory || onlyClass {
			return class.PlacementTimeout
		}
	}
	return 0
}

// jobReported processes the state of a job that a scheduler sends to a client.
func (c *checker) jobReported(scheduler string, info *drmaa2.JobInfo) {
	j := c.jobs[info.JobID]
	if j == nil { // the response to its submission was lost with the connection
		j = c.addJob(info.JobID, scheduler, c.now)
	}
	if j.incarnation != c.incarnations[scheduler] { // adopted by a later incarnation, which starts its timeouts anew
		j.incarnation, j.outcomeExpected, j.finalState = c.incarnations[scheduler], false, ""
		j.placementRequests, j.revision = map[int]*placementRequest{}, 0
	}
	c.outcomeReported(scheduler, j, info)
	c.stateReported(j, info)
}

// outcomeReported checks that a placement request has only one outcome and that it is reported in time.
func (c *checker) outcomeReported(scheduler string, j *job, info *drmaa2.JobInfo) {
	number := placementRequestNumber(info)
	request := j.placementRequests[number]
	if request == nil {
		request = &placementRequest{requestedAt: c.now}
		if number <= firstPlacementRequest {
			request.requestedAt = j.submittedAt
		}
		j.placementRequests[number] = request
	}
	outcome := info.ImplementationSpecific[drmaa2.AttrOutcome]
	if outcome == "" || outcome == request.outcome {
		return
	}
	if request.outcome != "" {
		c.addViolation(OneOutcome, "job %s, placement request %d: outcome %s, then %s", j.id, number,
			countformat.OutcomeTerm(request.outcome), countformat.OutcomeTerm(outcome))
	} else {
		c.verdict.Rules[OneOutcome].Checked++
		c.verdict.Outcomes[countformat.OutcomeTerm(outcome)]++
		hasDeadline := j.outcomeExpected && number <= firstPlacementRequest && j.placementTimeout > 0
		timeout := request.requestedAt + j.placementTimeout
		if hasDeadline && c.earliest > c.outcomeDeadline(scheduler, timeout) {
			c.addViolation(OneOutcome, "job %s: outcome %s was reported %v after the placement timeout", j.id,
				countformat.OutcomeTerm(outcome), (c.earliest - timeout).Round(time.Millisecond))
		}
	}
	request.outcome = outcome
}

// placementRequestNumber returns the number of the job's latest placement request, or zero if the report has none.
func placementRequestNumber(info *drmaa2.JobInfo) int {
	number, err := strconv.Atoi(info.ImplementationSpecific[drmaa2.AttrPlacementRequests])
	if err != nil {
		return 0
	}
	return number
}

// stateReported checks that a final state of a job does not change.
func (c *checker) stateReported(j *job, info *drmaa2.JobInfo) {
	revision, err := strconv.ParseUint(info.ImplementationSpecific[drmaa2.AttrRevision], 10, 64)
	if err != nil {
		revision = 0
	}
	// Responses and event streams use different connections, so an older revision may arrive after a newer one.
	if revision < j.revision {
		return
	}
	j.revision, j.state = revision, string(info.JobState)
	if info.JobState == drmaa2.QueuedHeld || info.JobState == drmaa2.RequeuedHeld {
		j.outcomeExpected = false
	}
	switch {
	case !info.JobState.Terminated():
		if j.finalState != "" {
			c.addViolation(OneOutcome, "job %s ended as %s, then is %s", j.id, j.finalState, j.state)
		}
	case j.finalState != "" && j.finalState != j.state:
		c.addViolation(OneOutcome, "job %s ended as %s, then as %s", j.id, j.finalState, j.state)
		j.finalState = j.state
	default:
		j.finalState = j.state
	}
}

// maxConsumedEventBytes is the number of processed bytes after which they are removed from a streamed body.
const maxConsumedEventBytes = 1 << 16

// eventsReceived processes the new events of a streamed body.
func (c *checker) eventsReceived(link *connection, response *httpcodec.Response) {
	const separator = "\n\n"
	for {
		rest := response.Body[link.consumedEventBytes:]
		end := bytes.Index(rest, []byte(separator))
		if end < 0 {
			break
		}
		for line := range bytes.SplitSeq(rest[:end], []byte("\n")) {
			data, ok := bytes.CutPrefix(line, []byte("data: "))
			var info drmaa2.JobInfo
			if ok && json.Unmarshal(data, &info) == nil {
				c.jobReported(link.listener, &info)
			}
		}
		link.consumedEventBytes += end + len(separator)
	}
	if link.consumedEventBytes > maxConsumedEventBytes {
		response.Body = append(response.Body[:0], response.Body[link.consumedEventBytes:]...)
		link.consumedEventBytes = 0
	}
}

// checkMissingOutcomes checks the jobs that have no outcome at the end of the recording.
func (c *checker) checkMissingOutcomes() {
	for _, j := range c.jobs {
		c.verdict.States[j.state]++
		if j.incarnation != c.incarnations[j.scheduler] {
			c.verdict.Orphaned++
			continue
		}
		if j.hasOutcome() || !j.outcomeExpected || j.placementTimeout <= 0 {
			continue
		}
		timeout := j.submittedAt + j.placementTimeout
		if c.now > c.outcomeDeadline(j.scheduler, timeout) {
			c.verdict.Rules[OneOutcome].Checked++
			c.addViolation(OneOutcome, "job %s: no outcome was reported, %v after the placement timeout", j.id,
				(c.now - timeout).Round(time.Millisecond))
		}
	}
}

func (j *job) hasOutcome() bool {
	for _, request := range j.placementRequests {
		if request.outcome != "" {
			return true
		}
	}
	return false
}
