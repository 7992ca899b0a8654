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

// The fields of the Standard Workload Format, version 2.2 of the Parallel Workloads Archive, counted from 0. The value -1
// means unknown.
const (
	swfSubmitTime          = 1 // seconds since the start of the log
	swfRunTime             = 3 // seconds
	swfProcessors          = 4
	swfRequestedProcessors = 7
	swfRequestedMemory     = 9 // KiB for each processor
	swfStatus              = 10
	swfUser                = 11
	swfApplication         = 13
	swfFieldCount          = 18
)

const (
	swfStatusCanceled = 5
	swfStartTimeLabel = "UnixStartTime:" // in a comment at the head
	kibPerGiB         = 1 << 20
	maxSWFLineBytes   = 1 << 16
	maxSWFValue       = 1e12
)

// SWFError is returned by ReadSWF for a line that is not of the Standard Workload Format.
type SWFError struct {
	Line   int // counted from 1
	Field  int // counted from 1; zero means the whole line
	Reason string
}

func (e *SWFError) Error() string {
	if e.Field == 0 {
		return fmt.Sprintf("load: line %d: %s", e.Line, e.Reason)
	}
	return fmt.Sprintf("load: line %d, field %d: %s", e.Line, e.Field, e.Reason)
}

// swfLine is the fields of one job.
type swfRecord [swfFieldCount]float64

// ReadSWF imports a log of the Standard Workload Format. Its jobs become jobs of the class; the application is the service,
// the user the tenant. Jobs without a submission time or processors are skipped and counted. For a line of another format it
// returns an *SWFError.
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
		return nil, 0, fmt.Errorf("load: read log: %w", err)
	}
	t.sort()
	return t, skipped, nil
}

// readSWFComment sets the start of the trace if the comment has it.
func (t *Trace) readSWFComment(text string) {
	_, value, found := strings.Cut(text, swfStartTimeLabel)
	if !found {
		return
	}
	if seconds, err := strconv.ParseInt(strings.TrimSpace(value), 10, 64); err == nil {
		t.Start = time.Unix(seconds, 0)
	}
}

func parseSWFRecord(number int, text string) (line swfRecord, err error) {
	fields := strings.Fields(text)
	if len(fields) != swfFieldCount {
		return line, &SWFError{Line: number, Reason: fmt.Sprintf("%d fields, expected %d", len(fields), swfFieldCount)}
	}
	for i, field := range fields {
		value, err := strconv.ParseFloat(field, 64)
		if err != nil || math.IsNaN(value) || math.Abs(value) > maxSWFValue {
			return line, &SWFError{Line: number, Field: i + 1, Reason: fmt.Sprintf("%q is not a number that can be used", field)}
		}
		line[i] = value
	}
	return line, nil
}

// job returns the job of a line, or false if it has no submission time or no processors.
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
