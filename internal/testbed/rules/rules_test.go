package rules

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"flaxshelf.example/flaxshelf/drmaa2"
	"flaxshelf.example/flaxshelf/internal/testbed/recordproxy"
	"flaxshelf.example/flaxshelf/internal/testbed/recordproxy/recordingpb"
)

// TestRules checks each rule at its edges: what just keeps it and what just violates it.
func TestRules(t *testing.T) {
	t.Run("outcome", func(t *testing.T) { checkRules(t, outcomeCases()) })
	t.Run("second start", func(t *testing.T) { checkRules(t, secondStartCases()) })
	t.Run("drain", func(t *testing.T) { checkRules(t, drainCases()) })
	t.Run("slow start", func(t *testing.T) { checkRules(t, slowStartCases()) })
	t.Run("spread", func(t *testing.T) { checkRules(t, spreadCases()) })
}

func outcomeCases() []ruleCase {
	return []ruleCase{
		{"one in time", newRecording().submit().respond(1, drmaa2.Queued, "").at(900).poll().
			respond(2, drmaa2.Running, "placed").at(5000).poll().respond(3, drmaa2.Done, "placed"), nil},
		{"two", newRecording().submit().respond(1, drmaa2.Queued, "placed").poll().respond(2, drmaa2.Failed, "failed"),
			[]int{OneAnswer}},
		{"late", newRecording().submit().respond(1, drmaa2.Queued, "").at(1200).poll().
			respond(2, drmaa2.Queued, "placed"), []int{OneAnswer}},
		{"late, but the process was paused", newRecording().submit().respond(1, drmaa2.Queued, "").at(500).
			mark(recordproxy.EventSchedulerPaused, "s").at(3000).mark(recordproxy.EventSchedulerResumed, "s").at(3050).poll().
			respond(2, drmaa2.Failed, "refused"), nil},
		{"late after the process was resumed", newRecording().submit().respond(1, drmaa2.Queued, "").at(500).
			mark(recordproxy.EventSchedulerPaused, "s").at(3000).mark(recordproxy.EventSchedulerResumed, "s").at(3200).poll().
			respond(2, drmaa2.Failed, "refused"), []int{OneAnswer}},
		{"none", newRecording().submit().respond(1, drmaa2.Queued, "").at(2000).mark(recordproxy.EventEnd, ""), []int{OneAnswer}},
		{"none, but killed", newRecording().submit().respond(1, drmaa2.Queued, "").at(500).
			mark(recordproxy.EventSchedulerKilled, "s").at(2000).mark(recordproxy.EventEnd, ""), nil},
		{"running after a final state", newRecording().submit().respond(3, drmaa2.Done, "placed").poll().
			respond(4, drmaa2.Running, "placed"), []int{OneAnswer}},
		{"an older state on another connection", newRecording().submit().respond(3, drmaa2.Done, "placed").poll().
			respond(2, drmaa2.Running, "placed"), nil},
	}
}

func secondStartCases() []ruleCase {
	first := func(class string) *recording { return newRecording().offer(node1Connection, "j/1/0", class) }
	return []ruleCase{
		{"after a rejection", first("unsafe").reject(node1Connection, "j/1/0").
			offer(node2Connection, "j/1/1", "unsafe"), nil},
		{"in flight", first("safe").at(100).offer(node2Connection, "j/1/1", "safe"), []int{NoSecondStart}},
		{"after the timeout, idempotent", first("safe").at(500).offer(node2Connection, "j/1/1", "safe"), nil},
		{"after the timeout, non-idempotent", first("unsafe").at(500).offer(node2Connection, "j/1/1", "unsafe"),
			[]int{NoSecondStart}},
		{"while it runs", first("safe").accept(node1Connection, "j/1/0").at(600).
			offer(node2Connection, "j/1/1", "safe"), []int{NoSecondStart}},
		{"after its end", first("unsafe").accept(node1Connection, "j/1/0").at(600).end(node1Connection, "j/1/0").
			offer(node2Connection, "j/1/1", "unsafe"), nil},
		{"by key, to the same zone in its window", first("keyed").at(1900).offer(node1Connection, "j/1/1", "keyed"), nil},
		{"by key, after its window", first("keyed").at(2100).offer(node1Connection, "j/1/1", "keyed"),
			[]int{NoSecondStart}},
		{"by key, to another zone", first("keyed").at(600).offer(node2Connection, "j/1/1", "keyed"),
			[]int{NoSecondStart}},
		{"a lost connection is no proof", first("unsafe").close(node1Connection).at(600).
			offer(node2Connection, "j/1/1", "unsafe"), []int{NoSecondStart}},
		{"accepted by two nodes", first("unsafe").reject(node1Connection, "j/1/0").
			offer(node2Connection, "j/1/1", "unsafe").accept(node2Connection, "j/1/1").accept(node1Connection, "j/1/0"),
			[]int{NoSecondStart}},
	}
}

func drainCases() []ruleCase {
	draining := func() *recording { return newRecording().at(100).listing(false, "n1:draining") }
	return []ruleCase{
		{"within the grace period", draining().at(1000).offer(node1Connection, "j/1/0", "safe"), nil},
		{"after the grace period", draining().at(1200).offer(node1Connection, "j/1/0", "safe"), []int{DrainsKept}},
		{"listed twice, counted from the first", draining().at(900).listing(false, "n1:draining").at(1200).
			offer(node1Connection, "j/1/0", "safe"), []int{DrainsKept}},
		{"missing in a complete list", newRecording().at(100).listing(true, "n2").at(1200).
			offer(node1Connection, "j/1/0", "safe"), []int{DrainsKept}},
		{"active again", draining().at(1200).listing(false, "n1").offer(node1Connection, "j/1/0", "safe"), nil},
	}
}

func slowStartCases() []ruleCase {
	listed := func() *recording { return newRecording().at(100).listing(false, "n1@100") }
	return []ruleCase{
		{"at the limit", listed().offerMany(3), nil},
		{"over the limit", listed().offerMany(4), []int{ColdKept}},
		{"start reported by the node alone", newRecording().at(100).welcome(100, true).offerMany(4), []int{ColdKept}},
		{"a node that is not fresh reports no start", newRecording().at(100).welcome(100, false).offerMany(9), nil},
		{"after the slow start", listed().at(6000).offerMany(9), nil},
		{"no scheduler was notified", newRecording().offerMany(9), nil},
	}
}

func spreadCases() []ruleCase {
	two := func() *recording {
		return newRecording().offer(node1Connection, "a/1/0", "safe").offer(node1Connection, "b/1/0", "safe")
	}
	return []ruleCase{
		{"two in a zone", two().offer(node2Connection, "c/1/0", "safe"), nil},
		{"three in a zone", two().offer(node1Connection, "c/1/0", "safe"), []int{SpreadKept}},
		{"one of three has ended", two().accept(node1Connection, "a/1/0").end(node1Connection, "a/1/0").
			offer(node1Connection, "c/1/0", "safe"), nil},
	}
}

// TestUndecoded checks that a connection that can't be decoded makes the verdict untrusted, unless bytes were dropped on
// purpose.
func TestUndecoded(t *testing.T) {
	for bytesDropped, want := range map[bool]bool{false: false, true: true} {
		r := newRecording()
		if bytesDropped {
			r.mark(recordproxy.EventBytesDropped, "")
		}
		r.bytes(node1Connection, true, []byte{0xff, 0xff, 0xff, 0xff})
		verdict, err := Check(&r.encoded)
		if err != nil || verdict.OK() != want {
			t.Errorf("bytes dropped is %v: %v, %v", bytesDropped, verdict, err)
		}
	}
	for _, malformed := range []string{"", "nonsense"} {
		_, err := Check(strings.NewReader(malformed))
		var recordingError *RecordingError
		if !errors.As(err, &recordingError) || recordingError.Section != "head" {
			t.Errorf("%q: error %v, want one of the head", malformed, err)
		}
	}
}

// TestMalformedFigures checks that a recording whose figures are no JSON is rejected with an error that says so.
func TestMalformedFigures(t *testing.T) {
	r := &recording{}
	r.add(&recordingpb.Record{Body: &recordingpb.Record_Head{Head: &recordingpb.Head{Version: recordproxy.Version, Figures: []byte("{")}}})
	_, err := Check(&r.encoded)
	var recordingError *RecordingError
	if !errors.As(err, &recordingError) || recordingError.Section != "figures" {
		t.Errorf("error %v, want one of the figures", err)
	}
}

// TestFollow checks that Follow prints the frames of one job with the marks.
func TestFollow(t *testing.T) {
	r := newRecording().at(5).offer(node1Connection, "j/1/0", "safe").accept(node1Connection, "j/1/0").
		mark(recordproxy.EventSchedulerKilled, "s").offer(node2Connection, "other/1/0", "safe")
	var out bytes.Buffer
	if err := Follow(&r.encoded, &out, "j/1/0"); err != nil {
		t.Fatal(err)
	}
	got := out.String()
	for _, want := range []string{"s > n1 ", "n1 > s ", "-- s: scheduler killed"} {
		if !strings.Contains(got, want) {
			t.Errorf("%q does not contain %q", got, want)
		}
	}
	if strings.Contains(got, "other") {
		t.Error("it contains another job")
	}
}

// FuzzCheck checks that Check returns on any recording, without a panic.
func FuzzCheck(f *testing.F) {
	f.Add(newRecording().submit().respond(1, drmaa2.Running, "placed").offer(node1Connection, "j/1/0", "safe").
		encoded.Bytes())
	f.Add([]byte("x"))
	f.Fuzz(func(_ *testing.T, in []byte) { _, _ = Check(bytes.NewReader(in)) })
}
