package rules

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"os"
	"reflect"
	"testing"
	"time"

	"flaxshelf.example/flaxshelf/internal/testbed/recordproxy"
)

// Files that the build of commit ad3e0ee wrote. storedRecording is an emulated day with nodes in slow start, a drain, a lost
// node and a killed scheduler; storedLimits is the JSON of limitsWithAllFields.
const (
	storedRecording = "testdata/traffic.gz"
	storedLimits    = "testdata/figures.json"
)

func limitsWithAllFields() Limits {
	return Limits{
		Classes: []Class{{Name: "keyed", Idempotency: "keyed", KeyDomain: "zone", KeyTTL: 2 * time.Second, PlacementTimeout: 3 * time.Second,
			SpreadDomain: "cell", MaxPerDomain: 4}},
		DrainGrace: time.Second, AnswerSlack: 150 * time.Millisecond, SettleTime: 2500 * time.Millisecond,
		SlowStart: SlowStart{Duration: 5 * time.Second, Window: 1500 * time.Millisecond, InitialRateFraction: 0.25, RateMultiple: 2.5, MinOffers: 12,
			StartsPerSecond: 3.5},
		TimeTolerance: 10 * time.Millisecond}
}

func readStoredRecording(t *testing.T) []byte {
	t.Helper()
	f, err := os.Open(storedRecording)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = f.Close() }() // opened for reading only
	z, err := gzip.NewReader(f)
	if err != nil {
		t.Fatal(err)
	}
	recording, err := io.ReadAll(z)
	if err != nil {
		t.Fatal(err)
	}
	return recording
}

func TestStoredRecordingGetsTheSameVerdict(t *testing.T) {
	v, err := Check(bytes.NewReader(readStoredRecording(t)))
	if err != nil {
		t.Fatal(err)
	}
	want := &Verdict{Length: 9498 * time.Millisecond, Submitted: 169, Admitted: 169, Rejected: map[string]int{},
		Outcomes: map[string]int{"placed": 123, "rejected": 16},
		States:   map[string]int{"DONE": 123, "FAILED": 16, "QUEUED": 30}, Orphaned: 30, Offers: 128,
		Replies: map[string]int{"accepted": 123, "rejected: insufficient cores": 5}}
	for i, checked := range []int{OneOutcome: 139, NoDuplicateStart: 155, DrainRespected: 128, SlowStartRespected: 128, SpreadRespected: 101} {
		want.Rules[i].Checked = checked
	}
	if !reflect.DeepEqual(v, want) {
		t.Errorf("got %+v,\nwant %+v", v, want)
	}
}

func TestLimitsOfAStoredRecordingAreWrittenTheSame(t *testing.T) {
	r, err := recordproxy.NewReader(bytes.NewReader(readStoredRecording(t)))
	if err != nil {
		t.Fatal(err)
	}
	checkStoredLimits(t, r.CheckLimits)
}

func TestStoredLimitsKeepTheirNames(t *testing.T) {
	stored, err := os.ReadFile(storedLimits)
	if err != nil {
		t.Fatal(err)
	}
	if read, want := checkStoredLimits(t, bytes.TrimSuffix(stored, []byte("\n"))), limitsWithAllFields(); !reflect.DeepEqual(read,
		want) {
		t.Errorf("got %+v, want %+v", read, want)
	}
}

// checkStoredLimits checks that stored limits have no unknown fields and are encoded as the same bytes again.
func checkStoredLimits(t *testing.T, stored []byte) Limits {
	t.Helper()
	var f Limits
	dec := json.NewDecoder(bytes.NewReader(stored))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&f); err != nil {
		t.Fatal(err)
	}
	text, err := json.Marshal(f)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(text, stored) {
		t.Errorf("got %s,\nwant %s", text, stored)
	}
	return f
}
