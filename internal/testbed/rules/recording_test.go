package rules

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"

	"flaxshelf.example/flaxshelf/drmaa2"
	"flaxshelf.example/flaxshelf/internal/codec/httpcodec"
	"flaxshelf.example/flaxshelf/internal/codec/nodeframe"
	"flaxshelf.example/flaxshelf/internal/codec/nodeframe/nodepb"
	"flaxshelf.example/flaxshelf/internal/testbed/recordproxy"
	"flaxshelf.example/flaxshelf/internal/testbed/recordproxy/recordingpb"
)

var testLimits = Limits{
	DrainGrace:    time.Second,
	AnswerSlack:   100 * time.Millisecond,
	SettleTime:    2 * time.Second,
	TimeTolerance: 10 * time.Millisecond,
	SlowStart:     SlowStart{Duration: 5 * time.Second, Window: time.Second, InitialRateFraction: 0.5, RateMultiple: 2, MinOffers: 3, StartsPerSecond: 1},
	Classes: []Class{
		{Name: "safe", Idempotency: Idempotent, PlacementTimeout: time.Second, SpreadDomain: domainZone, MaxPerDomain: 2},
		{Name: "keyed", Idempotency: IdempotentByKey, KeyDomain: domainZone, KeyTTL: 2 * time.Second, PlacementTimeout: 5 * time.Second},
		{Name: "unsafe", Idempotency: NonIdempotent, PlacementTimeout: 2 * time.Second},
	},
}

// The connections of a recording: from scheduler s to node n1 in zone a, to node n2 in zone b and to the inventory, and from a
// client to s.
const (
	node1Connection = iota + 1
	node2Connection
	inventoryConnection
	clientConnection
	secondNode1Connection
)

// baseTime is the start of a recording in nanoseconds since the Unix epoch.
const baseTime = int64(1e18)

// recordingBuilder builds an encoded recording. Each record has the time that was last set with at.
type recordingBuilder struct {
	encoded             bytes.Buffer
	nowMS               int64
	readDelay, spreadMS int64 // of bytes that are sent, in milliseconds
}

func newRecording() *recordingBuilder {
	r := &recordingBuilder{}
	limits, err := json.Marshal(testLimits)
	if err != nil {
		panic(err)
	}
	r.add(&recordingpb.Record{Body: &recordingpb.Record_Head{Head: &recordingpb.Head{Version: recordproxy.Version, Figures: limits}}})
	r.open(node1Connection, NodeProtocol, "n1")
	r.open(node2Connection, NodeProtocol, "n2")
	r.open(inventoryConnection, InventoryProtocol, "inventory")
	r.open(clientConnection, ClientProtocol, "s")
	return r.listing(true, "n1", "n2")
}

func (r *recordingBuilder) open(connection int, protocol, listener string) {
	r.add(&recordingpb.Record{Body: &recordingpb.Record_Open{Open: &recordingpb.Open{Conn: uint64(connection), Wire: protocol, To: listener}}})
	if protocol != ClientProtocol {
		r.frame(connection, false, &nodepb.Frame{Body: &nodepb.Frame_Hello{Hello: &nodepb.Hello{Party: "s"}}})
	}
}

func (r *recordingBuilder) add(record *recordingpb.Record) {
	record.TimeNs = r.time(r.nowMS)
	if _, err := protodelim.MarshalTo(&r.encoded, record); err != nil {
		panic(err)
	}
}

// time converts milliseconds since the start to nanoseconds since the Unix epoch.
func (r *recordingBuilder) time(ms int64) int64 { return baseTime + ms*int64(time.Millisecond) }

// at sets the time of the following records, in milliseconds since the start.
func (r *recordingBuilder) at(ms int64) *recordingBuilder { r.nowMS = ms; return r }

// readLate sets how late the recorder reads the following bytes, and over how long a time they were sent, in milliseconds.
func (r *recordingBuilder) readLate(delayMS, spreadMS int64) *recordingBuilder {
	r.readDelay, r.spreadMS = delayMS, spreadMS
	return r
}

// bytes adds bytes that are sent and delivered at once.
func (r *recordingBuilder) bytes(connection int, fromListener bool, data []byte) {
	r.add(&recordingpb.Record{Body: &recordingpb.Record_Sent{Sent: &recordingpb.Sent{Conn: uint64(connection), Back: fromListener,
		Data: data, ReadDelayNs: r.readDelay * int64(time.Millisecond), SpreadNs: r.spreadMS * int64(time.Millisecond)}}})
	r.add(&recordingpb.Record{Body: &recordingpb.Record_Delivered{Delivered: &recordingpb.Delivered{Conn: uint64(connection),
		Back: fromListener, Bytes: uint64(len(data))}}})
}

func (r *recordingBuilder) frame(connection int, fromListener bool, frame *nodepb.Frame) {
	encoded, err := nodeframe.Append(nil, frame)
	if err != nil {
		panic(err)
	}
	r.bytes(connection, fromListener, encoded)
}

// listing adds a listing of nodes, which is delivered to s. The name of a node may have a membership, as in n1:draining, and a
// start in milliseconds, as in n1@100.
func (r *recordingBuilder) listing(whole bool, nodes ...string) *recordingBuilder {
	listing := &nodepb.Listing{Whole: whole}
	for _, node := range nodes {
		listing.Entries = append(listing.Entries, r.entry(node))
	}
	r.frame(inventoryConnection, true, &nodepb.Frame{Body: &nodepb.Frame_Listing{Listing: listing}})
	return r
}

func (r *recordingBuilder) entry(node string) *nodepb.Entry {
	name, start, _ := strings.Cut(node, "@")
	name, membership, _ := strings.Cut(name, ":")
	entry := &nodepb.Entry{Node: name, Zone: map[string]string{"n1": "a", "n2": "b"}[name]}
	switch membership {
	case "draining":
		entry.Standing = nodepb.Standing_DRAINING
	case "out":
		entry.Standing = nodepb.Standing_OUT
	}
	if start != "" {
		var ms int64
		if _, err := fmt.Sscan(start, &ms); err != nil {
			panic(err)
		}
		entry.StartedUnixNs = r.time(ms)
	}
	return entry
}

// offer adds an offer. The identifier of the job is the part of the attempt's identifier before the first slash.
func (r *recordingBuilder) offer(connection int, attempt, class string) *recordingBuilder {
	return r.offerFor(500*time.Millisecond, connection, attempt, class)
}

// shortOffer adds an offer to n2 that is valid for less than the tolerance.
func (r *recordingBuilder) shortOffer(attempt string) *recordingBuilder {
	return r.offerFor(testLimits.TimeTolerance/2, node2Connection, attempt, "safe")
}

// offerFor adds an offer that is valid for the given time.
func (r *recordingBuilder) offerFor(validity time.Duration, connection int, attempt, class string) *recordingBuilder {
	task := &nodepb.Task{Job: strings.Split(attempt, "/")[0], Class: class, Service: "v", Ask: 1}
	r.frame(connection, false, &nodepb.Frame{Body: &nodepb.Frame_Offer{Offer: &nodepb.Offer{Attempt: attempt,
		ValidForNs: int64(validity), Task: task}}})
	return r
}

// offerMany adds offers of class unsafe, which has no limit of spread, to n1.
func (r *recordingBuilder) offerMany(count int) *recordingBuilder {
	for i := range count {
		r.offer(node1Connection, fmt.Sprintf("m%d/1/0", i), "unsafe")
	}
	return r
}

func (r *recordingBuilder) reply(connection int, frame *nodepb.Frame) *recordingBuilder {
	r.frame(connection, true, frame)
	return r
}

func (r *recordingBuilder) accept(connection int, attempt string) *recordingBuilder {
	return r.reply(connection, &nodepb.Frame{Body: &nodepb.Frame_Accepted{Accepted: &nodepb.Accepted{Attempt: attempt}}})
}

func (r *recordingBuilder) reject(connection int, attempt string) *recordingBuilder {
	return r.reply(connection, &nodepb.Frame{Body: &nodepb.Frame_Refused{Refused: &nodepb.Refused{Attempt: attempt}}})
}

func (r *recordingBuilder) end(connection int, attempt string) *recordingBuilder {
	return r.reply(connection, &nodepb.Frame{Body: &nodepb.Frame_Ended{Ended: &nodepb.Ended{Attempt: attempt}}})
}

// stop lets the scheduler request that a node stop an attempt.
func (r *recordingBuilder) stop(connection int, attempt string) *recordingBuilder {
	r.frame(connection, false, &nodepb.Frame{Body: &nodepb.Frame_Stop{Stop: &nodepb.Stop{Attempt: attempt}}})
	return r
}

// welcome adds the welcome of n1 with its start. Only the start of a fresh node begins a slow start.
func (r *recordingBuilder) welcome(startMS int64, fresh bool) *recordingBuilder {
	return r.reply(node1Connection, &nodepb.Frame{Body: &nodepb.Frame_Welcome{Welcome: &nodepb.Welcome{Node: "n1",
		StartedUnixNs: r.time(startMS), Fresh: fresh}}})
}

// reconnect closes the connection to n1 and opens another one, on which n1 reports the end of attempts.
func (r *recordingBuilder) reconnect(ended ...string) *recordingBuilder {
	r.disconnect().open(secondNode1Connection, NodeProtocol, "n1")
	return r.reportEnds(ended...)
}

// reportEnds adds a welcome of n1 on its second connection that reports the end of attempts.
func (r *recordingBuilder) reportEnds(attempts ...string) *recordingBuilder {
	welcome := &nodepb.Welcome{Node: "n1"}
	for _, attempt := range attempts {
		welcome.Ended = append(welcome.Ended, &nodepb.Ended{Attempt: attempt})
	}
	return r.reply(secondNode1Connection, &nodepb.Frame{Body: &nodepb.Frame_Welcome{Welcome: welcome}})
}

// disconnect closes the connection to n1.
func (r *recordingBuilder) disconnect() *recordingBuilder {
	r.add(&recordingpb.Record{Body: &recordingpb.Record_Close{Close: &recordingpb.Close{Conn: node1Connection}}})
	return r
}

func (r *recordingBuilder) mark(event recordproxy.Event, party string) *recordingBuilder {
	r.add(&recordingpb.Record{Body: &recordingpb.Record_Mark{Mark: recordproxy.NewMark(event, party)}})
	return r
}

// stall adds a stall of the recorder's process that ends now.
func (r *recordingBuilder) stall(ms int64) *recordingBuilder {
	mark := recordproxy.NewMark(recordproxy.EventRecorderStalled, "recorder")
	mark.DurationNs = ms * int64(time.Millisecond)
	r.add(&recordingpb.Record{Body: &recordingpb.Record_Mark{Mark: mark}})
	return r
}

// submit adds a request that submits a job of class safe.
func (r *recordingBuilder) submit() *recordingBuilder {
	body, err := json.Marshal(drmaa2.Submission{Template: drmaa2.JobTemplate{RemoteCommand: "x", JobCategory: "safe"}})
	if err != nil {
		panic(err)
	}
	r.bytes(clientConnection, false, fmt.Appendf(nil,
		"POST /drmaa2/v1/sessions/t/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
	return r
}

// poll adds a request for the state of the job.
func (r *recordingBuilder) poll() *recordingBuilder {
	r.bytes(clientConnection, false, []byte("GET /drmaa2/v1/jobs/j HTTP/1.1\r\nHost: x\r\n\r\n"))
	return r
}

// respond adds the response to the oldest open request, with the state of the job.
func (r *recordingBuilder) respond(revision int, state drmaa2.JobState, outcome string) *recordingBuilder {
	info := drmaa2.JobInfo{JobID: "j", JobState: state, ImplementationSpecific: map[string]string{drmaa2.AttrPlacementRequests: "1",
		drmaa2.AttrRevision: fmt.Sprint(revision)}}
	if outcome != "" {
		info.ImplementationSpecific[drmaa2.AttrOutcome] = outcome
	}
	body, err := json.Marshal(drmaa2.Submitted{Jobs: []drmaa2.JobInfo{info}})
	if err != nil {
		panic(err)
	}
	r.bytes(clientConnection, true, httpcodec.AppendResponse(nil, 201, "application/json", body, false))
	return r
}

// ruleCase is a recording and the rules that it violates.
type ruleCase struct {
	name          string
	recording     *recordingBuilder
	violatedRules []int // indices in Verdict.Rules
}

func checkRules(t *testing.T, cases []ruleCase) {
	t.Helper()
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { c.check(t) })
	}
}

func (c *ruleCase) check(t *testing.T) {
	t.Helper()
	verdict, err := Check(&c.recording.encoded)
	if err != nil {
		t.Fatal(err)
	}
	for i, rule := range verdict.Rules {
		if got, want := len(rule.Violations) > 0, slices.Contains(c.violatedRules, i); got != want {
			t.Errorf("rule %d: got violated %v, want %v\n%s", i+1, got, want, verdict)
		}
	}
	if got, want := verdict.OK(), len(c.violatedRules) == 0; got != want {
		t.Errorf("got OK %v, want %v", got, want)
	}
}
