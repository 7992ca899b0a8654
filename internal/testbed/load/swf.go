package load

import (
	"bufio"
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"
	"time"
)

// Zero-based field indexes of a job line in the Standard Workload Format, version 2.2, of the Parallel Workloads Archive. The
// format writes -1 for an unknown value.
const (
	swfSubmitTime          = 1 // seconds since the start of the log
	swfRunTime             = 3 // seconds
	swfProcessors          = 4
	swfRequestedProcessors = 7
	swfRequestedMemory     = 9 // KiB per processor
	swfStatus              = 10
	swfUser                = 11
	swfApplication         = 13
	swfFieldCount          = 18
)

const (
	swfStatusCanceled = 5
	swfStartTimeLabel = "UnixStartTime:" // header comment with the start time
	kibPerGiB         = 1 << 20
	maxSWFLineBytes   = 1 << 16
	maxSWFValue       = 1e12
)

// SWFError is returned by ReadSWF for a line that is not in the Standard Workload Format.
type SWFError struct {
	Line   int // counted from 1
	Field  int // counted from 1; zero means the whole line
	Reason string
}

func (e *SWFError) Error() string {
	if e.Field == 0 {
		return fmt.Sprintf("load: SWF log, line %d: %s", e.Line, e.Reason)
	}
	return fmt.Sprintf("load: SWF log, line %d, field %d: %s", e.Line, e.Field, e.Reason)
}

// swfRecord has the fields of one job line, at the indexes above.
type swfRecord [swfFieldCount]float64

// ReadSWF imports a log in the Standard Workload Format. All jobs get the given class, their application becomes the service
// and their user the tenant. Jobs without a submission time or a number of processors are counted in skipped. ReadSWF returns
// an *SWFError for a malformed line.
func ReadSWF(r io.Reader, class string) (t *Trace, skipped int, err error) {
	t = &Trace{Source: SourceSWF}
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxSWFLineBytes)
	for number := 1; lines.Scan(); number++ {
		text := strings.TrimSpace(lines.Text())
		if text == "" {
			continue
		}
		if strings.HasPrefix(text, ";") {
			t.readSWFComment(text)
			continue
		}
		line, err := parseSWFRecord(number, text)
		if err != nil {
			return nil, 0, err
		}
		if job, ok := line.job(class); ok {
			t.Jobs = append(t.Jobs, job)
		} else {
			skipped++
		}
	}
	if err := lines.Err(); err != nil {
		return nil, 0, fmt.Errorf("load: read SWF log: %w", err)
	}
	t.sort()
	return t, skipped, nil
}

// readSWFComment sets the start of the trace if the comment contains it.
func (t *Trace) readSWFComment(text string) {
	_, value, found := strings.Cut(text, swfStartTimeLabel)
	if !found {
		return
	}
	if seconds, err := strconv.ParseInt(strings.TrimSpace(value), 10, 64); err == nil {
		t.Start = time.Unix(seconds, 0)
	}
}

// parseSWFRecord parses a job line; number is its line number for errors.
func parseSWFRecord(number int, text string) (line swfRecord, err error) {
	fields := strings.Fields(text)
	if len(fields) != swfFieldCount {
		return line, &SWFError{Line: number, Reason: fmt.Sprintf("got %d fields, expected %d", len(fields), swfFieldCount)}
	}
	for i, field := range fields {
		value, err := strconv.ParseFloat(field, 64)
		if err != nil || math.IsNaN(value) || math.Abs(value) > maxSWFValue {
			return line, &SWFError{Line: number, Field: i + 1,
				Reason: fmt.Sprintf("got %q, expected a number of magnitude at most %g", field, maxSWFValue)}
		}
		line[i] = value
	}
	return line, nil
}

// job converts the record to a Job. It returns false if the submission time or the number of processors is unknown.
func (l *swfRecord) job(class string) (Job, bool) {
	cores := l[swfProcessors]
	if cores <= 0 {
		cores = l[swfRequestedProcessors]
	}
	if l[swfSubmitTime] < 0 || cores <= 0 {
		return Job{}, false
	}
	job := Job{At: secondsToDuration(l[swfSubmitTime]), Class: class, Cores: cores}
	if l[swfApplication] >= 0 {
		job.Service = fmt.Sprintf("app-%.0f", l[swfApplication])
	}
	if l[swfUser] >= 0 {
		job.Tenant = fmt.Sprintf("user-%.0f", l[swfUser])
	}
	if l[swfRunTime] >= 0 {
		job.Runtime = secondsToDuration(l[swfRunTime])
	}
	job.Censored = l[swfRunTime] < 0 || l[swfStatus] == swfStatusCanceled
	if l[swfRequestedMemory] > 0 {
		job.Memory = l[swfRequestedMemory] * cores / kibPerGiB
	}
	return job, true
}

func secondsToDuration(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
