// Package load defines what is sent to a scheduler under test: plans of load, captured loads with their file format, and an
// open-loop sender that measures latency from the intended time. It knows schedulers by their public interface only.
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
	Cores    float64       // requested; 0: as the class has it
	Memory   float64       // requested, in GiB; 0: as the class has it
	Runtime  time.Duration // runtime
	Censored bool          // the job ran longer than Life: its end was not seen, or was forced
	Outcome  string
}

// Gap is a time in which a capture received nothing, since the start.
type Gap struct{ From, To time.Duration }

// The sources of a trace.
const (
	SourceDaemon = "daemon" // captured from a scheduler
	SourceSWF    = "swf"    // imported from a log of the Standard Workload Format
	SourcePlan   = "plan"   // drawn from a plan
)

// Trace is a captured load, or one that a plan has drawn. Its jobs are in order of time.
type Trace struct {
	Source    string // one of the Source constants
	Start     time.Time
	Anonymous bool // names of services and tenants are hashes
	Jobs      []Job
	Gaps      []Gap
}

// Length returns the time from the start to the last submission.
func (t *Trace) Length() time.Duration {
	if len(t.Jobs) == 0 {
		return 0
	}
	return t.Jobs[len(t.Jobs)-1].At
}

// The context that the key of the hashes is derived under, and how many bytes of a hash replace a name.
const (
	anonymiseContext = "flaxshelf trace names v1"
	nameHashBytes    = 8
)

// Anonymise replaces the names of services and tenants by hashes under the key. Equal names stay equal, and without the
// key the name of a hash cannot be found by hashing candidates. Classes stay, because a load is of no use without them.
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
		j := &t.Jobs[i]
		j.Service, j.Tenant = hide("v", j.Service), hide("t", j.Tenant)
	}
	t.Anonymous = true
	return nil
}

// sort puts the jobs in order of time; those of one time keep their order.
func (t *Trace) sort() {
	slices.SortStableFunc(t.Jobs, func(a, b Job) int { return cmp.Compare(a.At, b.At) })
}
