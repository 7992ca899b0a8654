package daemon

import (
	"context"
	"sync"
	"testing"

	"flaxshelf.example/flaxshelf/drmaa2"
)

// jobWatch records the events of a session's event stream. It is safe for concurrent use.
type jobWatch struct {
	mu          sync.Mutex
	outcomes    map[string]string          // latest outcomes by job ID
	finalStates map[string]drmaa2.JobState // states of the jobs that have ended, by job ID
	wantEnded   int
	done        chan struct{} // closed when wantEnded jobs have ended, or when the context has ended
}

// watchJobs watches a session until count of its jobs have ended. It reports an error for a job with two outcomes.
func watchJobs(ctx context.Context, t *testing.T, session *drmaa2.JobSession, count int) *jobWatch {
	t.Helper()
	watch := &jobWatch{outcomes: map[string]string{}, finalStates: map[string]drmaa2.JobState{}, wantEnded: count,
		done: make(chan struct{})}
	go func() {
		defer close(watch.done)
		_ = session.Watch(ctx, func(info drmaa2.JobInfo) bool { return watch.record(t, info) })
	}()
	return watch
}

// record records an event. It returns true until wantEnded jobs have ended.
func (w *jobWatch) record(t *testing.T, info drmaa2.JobInfo) bool {
	t.Helper()
	w.mu.Lock()
	defer w.mu.Unlock()
	outcome := info.ImplementationSpecific[drmaa2.AttrOutcome]
	if previous := w.outcomes[info.JobID]; previous != "" && previous != outcome {
		t.Errorf("%s: got outcome %s after outcome %s, want one outcome", info.JobID, outcome, previous)
	}
	w.outcomes[info.JobID] = outcome
	if info.JobState.Terminated() {
		w.finalStates[info.JobID] = info.JobState
	}
	return len(w.finalStates) < w.wantEnded
}

// wait waits until wantEnded jobs have ended. It fails the test if the context ends first.
func (w *jobWatch) wait(ctx context.Context, t *testing.T) {
	t.Helper()
	select {
	case <-w.done:
	case <-ctx.Done():
		w.mu.Lock()
		defer w.mu.Unlock()
		t.Fatalf("%d jobs have ended, want %d", len(w.finalStates), w.wantEnded)
	}
}

// placedAndDone returns the number of jobs that were placed and have ended in the state DONE.
func (w *jobWatch) placedAndDone() (count int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, state := range w.finalStates {
		if w.outcomes[id] == "placed" && state == drmaa2.Done {
			count++
		}
	}
	return count
}
