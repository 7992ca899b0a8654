// Package load generates, captures and replays workloads for a scheduler under test. A workload is a Trace of job submissions
// that is drawn from a plan, captured from a running scheduler, or imported from a log in the Standard Workload Format. Send
// submits it open-loop and measures latencies from the intended submission times. The package uses only the public DRMAA2
// interface of schedulers.
package load

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/zeebo/blake3"
)

// Job is one job submission of a trace.
type Job struct {
	At       time.Duration // intended submission time, since the start of the trace
	Class    string
	Service  string
	Tenant   string
	Cores    float64       // requested cores; zero means the default of the class
	Memory   float64       // requested memory in GiB; zero means the default of the class
	Runtime  time.Duration // runtime that was observed or drawn
	Censored bool          // Runtime is a lower bound: the end was not observed, or the job was ended early
	Outcome  string        // outcome that the scheduler reported; empty if none was captured
}

// Gap is an interval during which a capture received no events. Its bounds are offsets from the start of the capture.
type Gap struct{ From, To time.Duration }

// Values of Trace.Source.
const (
	SourceDaemon = "daemon" // captured from a scheduler
	SourceSWF    = "swf"    // imported from a log in the Standard Workload Format
	SourcePlan   = "plan"   // generated from a load plan
)

// Trace is a sequence of job submissions that was captured, imported, or generated from a plan. Its jobs are sorted by At.
type Trace struct {
	Source    string    // SourceDaemon, SourceSWF or SourcePlan
	Start     time.Time // wall-clock time to which the offsets of jobs and gaps are relative
	Anonymous bool      // names of services and tenants are replaced by keyed hashes
	Jobs      []Job
	Gaps      []Gap
}

// Duration returns the time from the start of the trace to its last submission.
func (t *Trace) Duration() time.Duration {
	if len(t.Jobs) == 0 {
		return 0
	}
	return t.Jobs[len(t.Jobs)-1].At
}

// Parameters of Anonymise.
const (
	anonymiseContext = "flaxshelf trace names v1" // BLAKE3 key-derivation context
	nameHashBytes    = 8                          // length to which the hash of a name is truncated
)

// Anonymise replaces the names of services and tenants by keyed hashes. Equal names get equal hashes, and without the key a
// name cannot be recovered by hashing candidates. Class names are kept, because the trace could not be replayed without them.
func (t *Trace) Anonymise(key string) error {
	var derived [32]byte
	blake3.DeriveKey(anonymiseContext, []byte(key), derived[:])
	hasher, err := blake3.NewKeyed(derived[:])
	if err != nil {
		return fmt.Errorf("load: anonymise: %w", err)
	}
	hashName := func(kind, name string) string {
		if name == "" {
			return ""
		}
		hasher.Reset()
		_, _ = hasher.WriteString(kind + "\x00" + name) // never returns an error
		return fmt.Sprintf("%s-%x", kind, hasher.Sum(nil)[:nameHashBytes])
	}
	for i := range t.Jobs {
		job := &t.Jobs[i]
		job.Service, job.Tenant = hashName("v", job.Service), hashName("t", job.Tenant)
	}
	t.Anonymous = true
	return nil
}

// sort sorts the jobs by submission time. Jobs with equal times keep their order.
func (t *Trace) sort() {
	slices.SortStableFunc(t.Jobs, func(a, b Job) int { return cmp.Compare(a.At, b.At) })
}
