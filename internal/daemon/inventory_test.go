package daemon

import (
	"testing"
	"time"

	"flaxshelf.example/flaxshelf/drmaa2"
	"flaxshelf.example/flaxshelf/internal/codec/nodeframe/nodepb"
)

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
