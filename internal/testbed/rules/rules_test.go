package rules

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"

	"flaxshelf.example/flaxshelf/drmaa2"
	"flaxshelf.example/flaxshelf/internal/testbed/recordproxy"
	"flaxshelf.example/flaxshelf/internal/testbed/recordproxy/recordingpb"
)

// Each rule is tested at its limits, with recordings that just respect it and others that just violate it.
func TestCheckFindsTheViolatedRules(t *testing.T) {
	t.Run("outcome", func(t *testing.T) { checkRules(t, outcomeCases()) })
	t.Run("duplicate start", func(t *testing.T) { checkRules(t, duplicateStartCases()) })
	t.Run("duplicate start in a late recording", func(t *testing.T) { checkRules(t, lateRecordingCases()) })
	t.Run("drain", func(t *testing.T) { checkRules(t, drainCases()) })
	t.Run("slow start", func(t *testing.T) { checkRules(t, slowStartCases()) })
	t.Run("spread", func(t *testing.T) { checkRules(t, spreadCases()) })
}

func outcomeCases() []ruleCase {
	return []ruleCase{
		{"one in time", newRecording().submit().respond(1, drmaa2.Queued, "").at(900).poll().
			respond(2, drmaa2.Running, "placed").at(5000).poll().respond(3, drmaa2.Done, "placed"), nil},
		{"two", newRecording().submit().respond(1, drmaa2.Queued, "placed").poll().respond(2, drmaa2.Failed, "failed"),
			[]int{OneOutcome}},
		{"late", newRecording().submit().respond(1, drmaa2.Queued, "").at(1200).poll().
			respond(2, drmaa2.Queued, "placed"), []int{OneOutcome}},
		{"late because the process was paused", newRecording().submit().respond(1, drmaa2.Queued, "").at(500).
			mark(recordproxy.EventSchedulerPaused, "s").at(3000).mark(recordproxy.EventSchedulerResumed, "s").at(3050).poll().
			respond(2, drmaa2.Failed, "refused"), nil},
		{"late after the process was resumed", newRecording().submit().respond(1, drmaa2.Queued, "").at(500).
			mark(recordproxy.EventSchedulerPaused, "s").at(3000).mark(recordproxy.EventSchedulerResumed, "s").at(3200).poll().
			respond(2, drmaa2.Failed, "refused"), []int{OneOutcome}},
		{"reported in time and read late", newRecording().submit().respond(1, drmaa2.Queued, "").poll().at(1200).readLate(150, 0).
			respond(2, drmaa2.Queued, "placed"), nil},
		{"reported late and read late", newRecording().submit().respond(1, drmaa2.Queued, "").poll().at(1300).readLate(150, 0).
			respond(2, drmaa2.Queued, "placed"), []int{OneOutcome}},
		{"read with later bytes", newRecording().submit().respond(1, drmaa2.Queued, "").poll().at(1200).readLate(0, 150).
			respond(2, drmaa2.Queued, "placed"), nil},
		{"late because the machine stalled", newRecording().submit().respond(1, drmaa2.Queued, "").poll().at(1500).
			respond(2, drmaa2.Queued, "placed").at(1510).stall(600), nil},
		{"late after the machine stalled", newRecording().submit().respond(1, drmaa2.Queued, "").poll().at(1500).stall(600).
			at(1620).respond(2, drmaa2.Queued, "placed"), []int{OneOutcome}},
		{"none", newRecording().submit().respond(1, drmaa2.Queued, "").at(2000).mark(recordproxy.EventEnd, ""), []int{OneOutcome}},
		{"none, but killed", newRecording().submit().respond(1, drmaa2.Queued, "").at(500).
			mark(recordproxy.EventSchedulerKilled, "s").at(2000).mark(recordproxy.EventEnd, ""), nil},
		{"running after a final state", newRecording().submit().respond(3, drmaa2.Done, "placed").poll().
			respond(4, drmaa2.Running, "placed"), []int{OneOutcome}},
		{"an older state on another connection", newRecording().submit().respond(3, drmaa2.Done, "placed").poll().
			respond(2, drmaa2.Running, "placed"), nil},
	}
}

func duplicateStartCases() []ruleCase {
	// overlapping records that a task is accepted again in its zone before its first attempt has ended.
	overlapping := func(stopped bool) *recordingBuilder {
		r := newRecording().offer(node1Connection, "j/1/0", "keyed").at(500).offer(node1Connection, "j/1/1", "keyed").
			accept(node1Connection, "j/1/0")
		if stopped {
			r.stop(node1Connection, "j/1/0")
		}
		return r.accept(node1Connection, "j/1/1")
	}
	first := func(class string) *recordingBuilder { return newRecording().offer(node1Connection, "j/1/0", class) }
	return []ruleCase{
		{"after a rejection", first("unsafe").reject(node1Connection, "j/1/0").
			offer(node2Connection, "j/1/1", "unsafe"), nil},
		{"in flight", first("safe").at(100).offer(node2Connection, "j/1/1", "safe"), []int{NoDuplicateStart}},
		{"after the timeout, idempotent", first("safe").at(500).offer(node2Connection, "j/1/1", "safe"), nil},
		{"after the timeout, non-idempotent", first("unsafe").at(500).offer(node2Connection, "j/1/1", "unsafe"),
			[]int{NoDuplicateStart}},
		{"while it runs", first("safe").accept(node1Connection, "j/1/0").at(600).
			offer(node2Connection, "j/1/1", "safe"), []int{NoDuplicateStart}},
		{"after its end", first("unsafe").accept(node1Connection, "j/1/0").at(600).end(node1Connection, "j/1/0").
			offer(node2Connection, "j/1/1", "unsafe"), nil},
		{"after its end on the other node", newRecording().offer(node2Connection, "j/1/0", "unsafe").
			accept(node2Connection, "j/1/0").at(600).end(node2Connection, "j/1/0").
			offer(node1Connection, "j/1/1", "unsafe").accept(node1Connection, "j/1/1"), nil},
		{"by key, to the same zone in its window", first("keyed").at(1900).offer(node1Connection, "j/1/1", "keyed"), nil},
		{"by key, after its window", first("keyed").at(2100).offer(node1Connection, "j/1/1", "keyed"),
			[]int{NoDuplicateStart}},
		{"by key, to another zone", first("keyed").at(600).offer(node2Connection, "j/1/1", "keyed"),
			[]int{NoDuplicateStart}},
		{"a lost connection is no proof", first("unsafe").disconnect().at(600).
			offer(node2Connection, "j/1/1", "unsafe"), []int{NoDuplicateStart}},
		{"accepted by two nodes", first("unsafe").reject(node1Connection, "j/1/0").
			offer(node2Connection, "j/1/1", "unsafe").accept(node2Connection, "j/1/1").accept(node1Connection, "j/1/0"),
			[]int{NoDuplicateStart}},
		{"by key, accepted after a stop whose end is recorded later, within the tolerance",
			overlapping(true).at(510).end(node1Connection, "j/1/0"), nil},
		{"by key, accepted after a stop whose end is recorded after the tolerance",
			overlapping(true).at(511).end(node1Connection, "j/1/0"), []int{NoDuplicateStart}},
		{"by key, accepted after a stop without an end", overlapping(true).at(511), []int{NoDuplicateStart}},
		{"by key, accepted without a stop", overlapping(false).at(505).
			end(node1Connection, "j/1/0"), []int{NoDuplicateStart}},
	}
}

// lateRecordingCases are recordings in which the order of the records is not the one in which the parties sent the bytes, or in
// which a node could not report in time.
func lateRecordingCases() []ruleCase {
	first := func(class string) *recordingBuilder { return newRecording().offer(node1Connection, "j/1/0", class) }
	return []ruleCase{
		{"in flight, read late", first("safe").at(600).readLate(500, 0).offer(node2Connection, "j/1/1", "safe"),
			[]int{NoDuplicateStart}},
		{"after the timeout, but read first", newRecording().at(510).offer(node2Connection, "j/1/1", "safe").at(520).
			readLate(520, 0).offer(node1Connection, "j/1/0", "safe"), nil},
		{"after the timeout, but sent some time before its last bytes", newRecording().at(510).
			offer(node2Connection, "j/1/1", "safe").at(520).readLate(10, 510).offer(node1Connection, "j/1/0", "safe"), nil},
		{"in flight, sent shortly before its last bytes", newRecording().at(510).offer(node2Connection, "j/1/1", "safe").at(520).
			readLate(10, 10).offer(node1Connection, "j/1/0", "safe"), []int{NoDuplicateStart}},
		{"after an end that the node reports when it is connected again", first("unsafe").accept(node1Connection, "j/1/0").
			at(600).reconnect("j/1/0").offer(node2Connection, "j/1/1", "unsafe").
			accept(node2Connection, "j/1/1"), nil},
		{"after a node stopped with its last acceptance", first("unsafe").mark(recordproxy.EventNodeStopped, "n1").
			accept(node1Connection, "j/1/0").disconnect().listing(true, "n2").at(2600).
			offer(node2Connection, "j/1/1", "unsafe").accept(node2Connection, "j/1/1"), nil},
		{"on a connection that is closed after its scheduler was killed", first("safe").mark(recordproxy.EventSchedulerKilled, "s").
			disconnect().at(100).offer(node2Connection, "j/2/0", "safe"), nil},
		{"after its node was removed while its scheduler did not run", first("safe").accept(node1Connection, "j/1/0").
			mark(recordproxy.EventSchedulerKilled, "s").at(600).listing(true, "n2").offer(node2Connection, "j/2/0", "safe"), nil},
		{"by key, accepted after a lost connection whose node reports the end later", first("keyed").
			accept(node1Connection, "j/1/0").at(600).reconnect().
			offer(secondNode1Connection, "j/1/1", "keyed").accept(secondNode1Connection, "j/1/1").at(610).
			reportEnds("j/1/0"), nil},
		{"by key, accepted after a lost connection whose node reports the end after the tolerance", first("keyed").
			accept(node1Connection, "j/1/0").at(600).reconnect().
			offer(secondNode1Connection, "j/1/1", "keyed").accept(secondNode1Connection, "j/1/1").at(611).
			reportEnds("j/1/0"), []int{NoDuplicateStart}},
		{"in flight, by an offer whose time is below the tolerance", first("safe").at(1).
			shortOffer("j/1/1"), []int{NoDuplicateStart}},
		{"by key, accepted after a lost connection without an end", first("keyed").
			accept(node1Connection, "j/1/0").at(600).reconnect().
			offer(secondNode1Connection, "j/1/1", "keyed").accept(secondNode1Connection, "j/1/1"), []int{NoDuplicateStart}},
	}
}

func drainCases() []ruleCase {
	draining := func() *recordingBuilder { return newRecording().at(100).listing(false, "n1:draining") }
	return []ruleCase{
		{"within the grace period", draining().at(1000).offer(node1Connection, "j/1/0", "safe"), nil},
		{"after the grace period", draining().at(1200).offer(node1Connection, "j/1/0", "safe"), []int{DrainRespected}},
		{"listed twice, counted from the first", draining().at(900).listing(false, "n1:draining").at(1200).
			offer(node1Connection, "j/1/0", "safe"), []int{DrainRespected}},
		{"missing in a complete list", newRecording().at(100).listing(true, "n2").at(1200).
			offer(node1Connection, "j/1/0", "safe"), []int{DrainRespected}},
		{"active again", draining().at(1200).listing(false, "n1").offer(node1Connection, "j/1/0", "safe"), nil},
	}
}

func slowStartCases() []ruleCase {
	listed := func() *recordingBuilder { return newRecording().at(100).listing(false, "n1@100") }
	return []ruleCase{
		{"at the limit", listed().offerMany(3), nil},
		{"over the limit", listed().offerMany(4), []int{SlowStartRespected}},
		{"start reported by the node alone", newRecording().at(100).welcome(100, true).offerMany(4), []int{SlowStartRespected}},
		{"a node that is not fresh reports no start", newRecording().at(100).welcome(100, false).offerMany(9), nil},
		{"after the slow start", listed().at(6000).offerMany(9), nil},
		{"offers that were read late and sent apart", listed().at(950).readLate(800, 0).offerMany(3).at(1200).readLate(0, 0).
			offer(node1Connection, "n/1/0", "unsafe"), nil},
		{"offers that were read late and sent together", listed().at(950).readLate(100, 0).offerMany(3).at(1200).readLate(0, 0).
			offer(node1Connection, "n/1/0", "unsafe"), []int{SlowStartRespected}},
		{"no scheduler was notified", newRecording().offerMany(9), nil},
	}
}

func spreadCases() []ruleCase {
	two := func() *recordingBuilder {
		return newRecording().offer(node1Connection, "a/1/0", "safe").offer(node1Connection, "b/1/0", "safe")
	}
	return []ruleCase{
		{"two in a zone", two().offer(node2Connection, "c/1/0", "safe"), nil},
		{"three in a zone", two().offer(node1Connection, "c/1/0", "safe"), []int{SpreadRespected}},
		{"one of three is accepted after its stop, and the offer crosses that", two().stop(node1Connection, "a/1/0").at(100).
			accept(node1Connection, "a/1/0").at(105).offer(node1Connection, "c/1/0", "safe"), nil},
		{"one of three is accepted after its stop, and known to be", two().stop(node1Connection, "a/1/0").at(100).
			accept(node1Connection, "a/1/0").at(111).offer(node1Connection, "c/1/0", "safe"), []int{SpreadRespected}},
		{"one of three has ended", two().accept(node1Connection, "a/1/0").end(node1Connection, "a/1/0").
			offer(node1Connection, "c/1/0", "safe"), nil},
	}
}

func TestVerdictListsUndecodedConnectionsUnlessBytesWereDropped(t *testing.T) {
	for _, c := range []struct {
		name         string
		bytesDropped bool
		want         int
	}{
		{"no dropped bytes", false, 1},
		{"dropped bytes as an injected fault", true, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRecording()
			if c.bytesDropped {
				r.mark(recordproxy.EventBytesDropped, "")
			}
			r.bytes(node1Connection, true, []byte{0xff, 0xff, 0xff, 0xff})
			verdict, err := Check(&r.encoded)
			if err != nil {
				t.Fatal(err)
			}
			if got := len(verdict.Undecoded); got != c.want || verdict.OK() != (c.want == 0) {
				t.Errorf("got %d undecoded connections, OK is %v, want %d: %v", got, verdict.OK(), c.want, verdict)
			}
		})
	}
}

func TestUnreadableRecordingsAreRejected(t *testing.T) {
	malformedLimits := &recordingBuilder{}
	malformedLimits.add(&recordingpb.Record{Body: &recordingpb.Record_Head{Head: &recordingpb.Head{
		Version: recordproxy.Version, Figures: []byte("{")}}})
	oversizedRecord := newRecording().encoded.String() + "\xff\xff\xff\xff\x7f"
	check := func(r io.Reader) error {
		_, err := Check(r)
		return err
	}
	printFrames := func(r io.Reader) error { return PrintFrames(r, io.Discard) }
	for _, c := range []struct {
		name, recording string
		read            func(r io.Reader) error
		wantSection     string
	}{
		{"empty file", "", check, "head"},
		{"another file", "nonsense", check, "head"},
		{"malformed figures", malformedLimits.encoded.String(), check, "figures"},
		{"oversized record", oversizedRecord, check, "records"},
		{"print frames of an empty file", "", printFrames, "head"},
		{"print frames up to an oversized record", oversizedRecord, printFrames, "records"},
	} {
		t.Run(c.name, func(t *testing.T) {
			err := c.read(strings.NewReader(c.recording))
			var recordingError *RecordingError
			if !errors.As(err, &recordingError) || recordingError.Section != c.wantSection {
				t.Errorf("got error %v, want a RecordingError of the %s", err, c.wantSection)
			}
		})
	}
}

func TestPrintFramesWritesTheFramesOfOneJobAndAllMarks(t *testing.T) {
	r := newRecording().at(5).offer(node1Connection, "j/1/0", "safe").accept(node1Connection, "j/1/0").
		mark(recordproxy.EventSchedulerKilled, "s").offer(node2Connection, "other/1/0", "safe")
	var out bytes.Buffer
	if err := PrintFrames(&r.encoded, &out, "j/1/0"); err != nil {
		t.Fatal(err)
	}
	got := out.String()
	for _, want := range []string{"s > n1 ", "n1 > s ", "-- s: scheduler killed"} {
		if !strings.Contains(got, want) {
			t.Errorf("got %q, want it to contain %q", got, want)
		}
	}
	if strings.Contains(got, "other") {
		t.Errorf("got %q, want no frame of another job", got)
	}
}

// FuzzCheck checks that Check does not panic on any input.
func FuzzCheck(f *testing.F) {
	f.Add(newRecording().submit().respond(1, drmaa2.Running, "placed").offer(node1Connection, "j/1/0", "safe").
		encoded.Bytes())
	f.Add([]byte("x"))
	f.Fuzz(func(_ *testing.T, in []byte) { _, _ = Check(bytes.NewReader(in)) })
}
