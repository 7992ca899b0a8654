package daemon

import (
	"fmt"
	"strings"
	"testing"

	"flaxshelf.example/flaxshelf/internal/settings"
	"flaxshelf.example/flaxshelf/internal/testbed/standin/nodemodel"
)

// If there are no sessions, the list of their names is encoded as an empty list and not as null, as docs/drmaa.md specifies.
func TestNoSessionsAreEncodedAsEmptyList(t *testing.T) {
	for _, cores := range []int{1, 4} {
		t.Run(fmt.Sprintf("%d cores", cores), func(t *testing.T) {
			cluster := newTestCluster(t, clusterOptions{nodes: 0, configure: func(cfg *settings.Scheduler, _ *nodemodel.Config) {
				cfg.Shards = cores
			}})
			response := responseTo(t, cluster.daemon.Addr(),
				"GET /drmaa2/v1/sessions HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
			if !strings.HasSuffix(response, "\r\n\r\n{\"names\":[]}\n") {
				t.Errorf("got response %q, want an empty list", response)
			}
		})
	}
}
