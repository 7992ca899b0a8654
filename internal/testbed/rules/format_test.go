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

// Written by the build of commit ad3e0ee: the recording of a day of the emulator, with nodes in slow start, a drain, a lost node
// and a killed scheduler, and figuresOfEveryField.
const (
	storedTraffic = "testdata/traffic.gz"
	storedFigures = "testdata/figures.json"
)

func figuresOfEveryField() Figures {
	return Figures{
		Classes: []Class{{Name: "keyed", Idempotency: "keyed", KeyDomain: "zone", KeyTTL: 2 * time.Second, PlacementTimeout: 3 * time.Second,
			SpreadDomain: "cell", MaxPerDomain: 4}},
		DrainGrace: time.Second, AnswerSlack: 150 * time.Millisecond, SettleTime: 2500 * time.Millisecond,
		SlowStart: SlowStart{Duration: 5 * time.Second, Window: 1500 * time.Millisecond, InitialFraction: 0.25, Multiple: 2.5, MinOffers: 12,
			StartsPerSecond: 3.5},
		Skew: 10 * time.Millisecond}
}

func readTraffic(t *testing.T) []byte {
	t.Helper()
	f, err := os.Open(storedTraffic)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = f.Close() }() // it was only read
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
	v, err := Check(bytes.NewReader(readTraffic(t)))
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

func TestFiguresOfAStoredRecordingAreWrittenTheSame(t *testing.T) {
	r, err := recordproxy.NewReader(bytes.NewReader(readTraffic(t)))
	if err != nil {
		t.Fatal(err)
	}
	checkFigures(t, r.CheckLimits)
}

func TestStoredFiguresKeepTheirNames(t *testing.T) {
	stored, err := os.ReadFile(storedFigures)
	if err != nil {
		t.Fatal(err)
	}
	if read, want := checkFigures(t, bytes.TrimSuffix(stored, []byte("\n"))), figuresOfEveryField(); !reflect.DeepEqual(read,
		want) {
		t.Errorf("got %+v, want %+v", read, want)
	}
}

// checkFigures reads figures that have no other fields, and writes them the same.
func checkFigures(t *testing.T, stored []byte) Figures {
	t.Helper()
	var f Figures
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
