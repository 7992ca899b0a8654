// Package load has the loads that are sent to a scheduler under test: load plans, captured loads with their file format, and
// an open-loop sender that measures latency from the intended time. It uses the public interface of schedulers only.
package load

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/zeebo/blake3"
)

// Job is one submission of a load.
type Job struct {
	At       time.Duration // intended time since the start
	Class    string
	Service  string
	Tenant   string
	Cores    float64       // requested; zero means the default of the class
	Memory   float64       // requested, in GiB; zero means the default of the class
	Runtime  time.Duration // observed runtime
	Censored bool          // the job would have run longer than Runtime: its end was not observed, or was forced
	Outcome  string
}

// Gap is an interval in which a capture received nothing. Its times count from the start of the capture.
type Gap struct{ From, To time.Duration }

// The sources of a trace.
const (
	SourceDaemon = "daemon" // captured from a scheduler
	SourceSWF    = "swf"    // imported from a log of the Standard Workload Format
	SourcePlan   = "plan"   // drawn from a plan
)

// Trace is a load that was captured or imported, or was drawn from a plan. Its jobs are in the order of their times.
type Trace struct {
	Source    string // one of the Source constants
	Start     time.Time
	Anonymous bool // names of services and tenants are hashes
	Jobs      []Job
	Gaps      []Gap
}

// Length returns the time from the start to the last submission.
func (t *Trace) Duration() time.Duration {
	if len(t.Jobs) == 0 {
		return 0
	}
	return t.Jobs[len(t.Jobs)-1].At
}

// Parameters of Anonymise: the context of the key derivation, and the number of bytes of a hash that replace a name.
const (
	anonymiseContext = "flaxshelf trace names v1"
	nameHashBytes    = 8
)

// Anonymise replaces the names of services and tenants by keyed hashes. Equal names have equal hashes, and without the key
// the name of a hash cannot be found by hashing candidates. Classes are not replaced, since a load is useless without them.
func (t *Trace) Anonymise(key string) error {
	var derived [32]byte
	blake3.DeriveKey(anonymiseContext, []byte(key), derived[:])
	hasher, err := blake3.NewKeyed(derived[:])
	if err != nil {
		return fmt.Errorf("load: anonymise: %w", err)
	}
	hide := func(kind, name string) string {
		if name == "" {
			return ""
		}
		hasher.Reset()
		_, _ = hasher.WriteString(kind + "\x00" + name) // a hasher never fails to write
		return fmt.Sprintf("%s-%x", kind, hasher.Sum(nil)[:nameHashBytes])
	}
	for i := range t.Jobs {
		job := &t.Jobs[i]
		job.Service, job.Tenant = hide("v", job.Service), hide("t", job.Tenant)
	}
	t.Anonymous = true
	return nil
}

// sort sorts the jobs by their times. The sort is stable.
func (t *Trace) sort() {
	slices.SortStableFunc(t.Jobs, func(a, b Job) int { return cmp.Compare(a.At, b.At) })
}
