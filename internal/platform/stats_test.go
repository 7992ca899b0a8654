package platform

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"testing"
)

// The log line of the statistics has exactly the fields that docs/platform.md documents, because programs parse it.
func TestStatsLogFields(t *testing.T) {
	lines := make(chan string, 100)
	s := startSchedulerWith(t, schedulerOptions{logHook: func(line string) {
		if strings.Contains(line, `"message":"stats"`) {
			select {
			case lines <- line:
			default: // the test needs only one line
			}
		}
	}})
	s.shutDown() // logs the statistics before the exit
	var line map[string]json.RawMessage
	if err := json.Unmarshal([]byte(<-lines), &line); err != nil {
		t.Fatal(err)
	}
	var counters map[string]uint64
	if err := json.Unmarshal(line["stats"], &counters); err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct {
		name      string
		got, want []string
	}{
		{"line", slices.Sorted(maps.Keys(line)), []string{"cpu_ms", "heap_kb", "last_event", "level", "max_rss_kb", "message",
			"owner_connections", "received_kb", "rejected_on_receipt", "stats", "sys_kb"}},
		{"stats", slices.Sorted(maps.Keys(counters)), []string{"Adopted", "BrokenLinks", "Canceled", "Completed",
			"DroppedNotifications", "Ended", "Evicted", "EvictedAdoptions", "Failed", "FailedOffers", "Links", "LostByNodeReport", "LostOffers", "LostToNodeDeath", "LostToRemoval",
			"LostToUnreachable", "Nodes", "Offers", "Owners", "OwnersClosed", "Pending", "PendingBytes", "Placed", "Preempted", "Rejected",
			"RejectedAdoptions", "RejectedAtLimit", "RejectedOffers", "RepeatedReleases", "Running", "RunningUnlisted",
			"StaleMessages", "SuspectedLinks", "TimedOutOffers", "UnreachableOffers"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			if !slices.Equal(test.got, test.want) {
				t.Errorf("got fields %q, want %q", test.got, test.want)
			}
		})
	}
}
