package drmaa2

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
)

func TestDeprecatedAttributesEqualTheirReplacements(t *testing.T) {
	for _, c := range []struct{ name, deprecated, replacement string }{
		{"AttrLife", AttrLife, AttrExpectedRuntime},
		{"AttrGiveUp", AttrGiveUp, AttrPlacementTimeout},
		{"AttrAsk", AttrAsk, AttrPlacementRequests},
		{"AttrAskedAt", AttrAskedAt, AttrRequestedAt},
		{"AttrDue", AttrDue, AttrPlacementDeadline},
		{"AttrStanding", AttrStanding, AttrMachineState},
	} {
		t.Run(c.name, func(t *testing.T) {
			if c.deprecated != c.replacement {
				t.Errorf("got %q, want %q", c.deprecated, c.replacement)
			}
		})
	}
}

func TestResubmissionIsMarkedAsRetry(t *testing.T) {
	var received []Submission
	ctx, client := newTestClient(t, func(w http.ResponseWriter, r *http.Request) {
		var submission Submission
		if err := json.NewDecoder(r.Body).Decode(&submission); err != nil {
			t.Error(err)
		}
		received = append(received, submission)
		_, _ = fmt.Fprint(w, `{"jobs":[{"jobId":"j1","jobState":"QUEUED"}]}`)
	})
	session := &JobSession{client, "billing"}
	template := JobTemplate{RemoteCommand: "x", ImplementationSpecific: map[string]string{AttrKey: "k"}}
	if _, err := session.ResubmitJob(ctx, template); err != nil {
		t.Fatal(err)
	}
	if _, err := session.RunJobAgain(ctx, template); err != nil { // deprecated name of ResubmitJob
		t.Fatal(err)
	}
	if len(received) != 2 {
		t.Fatalf("got %d submissions, want 2", len(received))
	}
	for i, submission := range received {
		if key := submission.Template.ImplementationSpecific[AttrKey]; !submission.Again || key != "k" {
			t.Errorf("submission %d: got key %q, marked as a retry: %v, want k, true", i, key, submission.Again)
		}
	}
}
