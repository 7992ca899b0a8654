package daemon

import (
	"testing"
	"time"

	"flaxshelf.example/flaxshelf/drmaa2"
	"flaxshelf.example/flaxshelf/internal/channeltest"
	"flaxshelf.example/flaxshelf/internal/codec/nodeframe/nodepb"
	"flaxshelf.example/flaxshelf/internal/scheduler"
)

// discoveryFailures is a hook that reports each DiscoveryFailed that the core receives.
type discoveryFailures chan struct{}

func (f discoveryFailures) InterceptInput(in scheduler.Input) scheduler.Input {
	if _, ok := in.(scheduler.DiscoveryFailed); ok {
		f <- struct{}{}
	}
	return in
}

func (f discoveryFailures) InterceptEffects(_ scheduler.Time, effects []scheduler.Effect) []scheduler.Effect {
	return effects
}

// The core hears that the inventory has failed a request on an open connection. With the former code it requested the list again
// only after the deadline of polls.
func TestFailedInventoryCallReachesTheCore(t *testing.T) {
	failures := make(discoveryFailures, 100)
	_, cluster, _ := newTestSession(t, 20*time.Second, clusterOptions{nodes: 1, hook: failures})
	for len(failures) > 0 { // those of the start, before the inventory was connected
		<-failures
	}
	failure := &nodepb.Frame{Body: &nodepb.Frame_ListError{ListError: &nodepb.ListError{Message: "unavailable"}}}
	if err := newInventoryHandler(cluster.daemon).receiveFrame(nil, failure); err != nil {
		t.Fatal(err)
	}
	channeltest.Await(t, failures, "the core's notice of the failed request")
}

// Jobs are still placed after the inventory has reported a failed request on an open connection.
func TestFailedInventoryCallDoesNotStopPlacement(t *testing.T) {
	ctx, cluster, session := newTestSession(t, 20*time.Second, clusterOptions{nodes: 1})
	handler := newInventoryHandler(cluster.daemon)
	failure := &nodepb.Frame{Body: &nodepb.Frame_ListError{ListError: &nodepb.ListError{Message: "unavailable"}}}
	if err := handler.receiveFrame(nil, failure); err != nil {
		t.Fatal(err)
	}
	job, err := session.RunJob(ctx, drmaa2.JobTemplate{RemoteCommand: "a", JobCategory: "service"})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := job.WaitStarted(ctx, 10*time.Second); err != nil {
		t.Error(err)
	}
}
