package rules

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"

	"flaxshelf.example/flaxshelf/drmaa2"
	"flaxshelf.example/flaxshelf/internal/codec/httpcodec"
	"flaxshelf.example/flaxshelf/internal/codec/nodeframe"
	"flaxshelf.example/flaxshelf/internal/codec/nodeframe/nodepb"
	"flaxshelf.example/flaxshelf/internal/lab/recordproxy"
	"flaxshelf.example/flaxshelf/internal/lab/recordproxy/tappb"
)

var figures = Figures{DrainGrace: time.Second, AnswerSlack: 100 * time.Millisecond, Settle: 2 * time.Second,
	Skew: 10 * time.Millisecond,
	Cold: Cold{For: 5 * time.Second, Window: time.Second, From: 0.5, Multiple: 2, Always: 3, StartsPerSecond: 1},
	Classes: []Class{
		{Name: "safe", Effect: "safe", GiveUp: time.Second, Spread: "zone", Most: 2},
		{Name: "keyed", Effect: "keyed", Group: "zone", Window: 2 * time.Second, GiveUp: 5 * time.Second},
		{Name: "unsafe", Effect: "unsafe", GiveUp: 2 * time.Second},
	}}

// tape writes a recording with times of its own. Connections 1 and 2 lead from s to n1 and n2, of zones a and b, 3
// to the inventory and 4 from a client to s.
type tape struct {
	b  bytes.Buffer
	ms int64
}

const base = int64(1e18)

func newTape() *tape {
	p := &tape{}
	f, _ := json.Marshal(figures)
	p.put(&tappb.Record{Body: &tappb.Record_Head{Head: &tappb.Head{Version: recordproxy.Version, Figures: f}}})
	for i, to := range []string{"n1", "n2", "inventory", "s"} {
		wire := []string{NodeWire, NodeWire, InventoryWire, ClientWire}[i]
		p.put(&tappb.Record{Body: &tappb.Record_Open{Open: &tappb.Open{Conn: uint64(i + 1), Wire: wire, To: to}}})
		if wire != ClientWire {
			p.frame(i+1, false, &nodepb.Frame{Body: &nodepb.Frame_Hello{Hello: &nodepb.Hello{Party: "s"}}})
		}
	}
	p.list(true, "n1", "n2")
	return p
}

func (p *tape) put(r *tappb.Record) {
	r.TimeNs = base + p.ms*1e6
	_, _ = protodelim.MarshalTo(&p.b, r)
}

func (p *tape) at(ms int64) *tape { p.ms = ms; return p }

func (p *tape) bytes(conn int, back bool, data []byte, delivered bool) {
	p.put(&tappb.Record{Body: &tappb.Record_Sent{Sent: &tappb.Sent{Conn: uint64(conn), Back: back, Data: data}}})
	d := &tappb.Delivered{Conn: uint64(conn), Back: back}
	if delivered {
		d.Bytes = uint64(len(data))
	} else {
		d.Dropped = uint64(len(data))
	}
	p.put(&tappb.Record{Body: &tappb.Record_Delivered{Delivered: d}})
}

func (p *tape) frame(conn int, back bool, f *nodepb.Frame) {
	b, err := nodeframe.Append(nil, f)
	if err != nil {
		panic(err)
	}
	p.bytes(conn, back, b, true)
}

// list tells s of nodes; a name may carry a standing or, behind @, its start in ms.
func (p *tape) list(whole bool, nodes ...string) *tape {
	l := &nodepb.Listing{Whole: whole}
	for _, n := range nodes {
		name, start, _ := strings.Cut(n, "@")
		name, standing, _ := strings.Cut(name, ":")
		e := &nodepb.Entry{Node: name, Zone: map[string]string{"n1": "a", "n2": "b"}[name]}
		switch standing {
		case "draining":
			e.Standing = nodepb.Standing_DRAINING
		case "out":
			e.Standing = nodepb.Standing_OUT
		}
		if start != "" {
			var ms int64
			fmt.Sscan(start, &ms)
			e.StartedUnixNs = base + ms*1e6
		}
		l.Entries = append(l.Entries, e)
	}
	p.frame(3, true, &nodepb.Frame{Body: &nodepb.Frame_Listing{Listing: l}})
	return p
}

func (p *tape) offer(node int, attempt, class string) *tape {
	p.frame(node, false, &nodepb.Frame{Body: &nodepb.Frame_Offer{Offer: &nodepb.Offer{Attempt: attempt,
		ValidForNs: int64(500 * time.Millisecond),
		Task:       &nodepb.Task{Job: strings.Split(attempt, "/")[0], Class: class, Service: "v", Ask: 1}}}})
	return p
}

func (p *tape) say(node int, f *nodepb.Frame) *tape { p.frame(node, true, f); return p }

func accepted(a string) *nodepb.Frame {
	return &nodepb.Frame{Body: &nodepb.Frame_Accepted{Accepted: &nodepb.Accepted{Attempt: a}}}
}

func refused(a string) *nodepb.Frame {
	return &nodepb.Frame{Body: &nodepb.Frame_Refused{Refused: &nodepb.Refused{Attempt: a}}}
}

func welcome(ms int64) *nodepb.Frame {
	return &nodepb.Frame{Body: &nodepb.Frame_Welcome{Welcome: &nodepb.Welcome{Node: "n1", StartedUnixNs: base + ms*1e6}}}
}

// fresh is the welcome of a node that may be cold.
func fresh(ms int64) *nodepb.Frame {
	f := welcome(ms)
	f.GetWelcome().Fresh = true
	return f
}

func ended2(a string) *nodepb.Frame {
	return &nodepb.Frame{Body: &nodepb.Frame_Ended{Ended: &nodepb.Ended{Attempt: a}}}
}

func (p *tape) close(conn int) *tape {
	p.put(&tappb.Record{Body: &tappb.Record_Close{Close: &tappb.Close{Conn: uint64(conn)}}})
	return p
}

func (p *tape) mark(what, party string) *tape {
	p.put(&tappb.Record{Body: &tappb.Record_Mark{Mark: &tappb.Mark{What: what, Party: party}}})
	return p
}

// submit is a client's request; told is an answer to one, or a later request of it.
func (p *tape) submit(class string) *tape {
	body, _ := json.Marshal(drmaa2.Submission{Template: drmaa2.JobTemplate{RemoteCommand: "x", JobCategory: class}})
	p.bytes(4, false, fmt.Appendf(nil, "POST /drmaa2/v1/sessions/t/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s",
		len(body), body), true)
	return p
}

func (p *tape) ask() *tape {
	p.bytes(4, false, []byte("GET /drmaa2/v1/jobs/j HTTP/1.1\r\nHost: x\r\n\r\n"), true)
	return p
}

func (p *tape) told(rev int, state drmaa2.JobState, outcome string) *tape {
	i := drmaa2.JobInfo{JobID: "j", JobState: state, ImplementationSpecific: map[string]string{drmaa2.AttrPlacementRequests: "1",
		drmaa2.AttrRevision: fmt.Sprint(rev)}}
	if outcome != "" {
		i.ImplementationSpecific[drmaa2.AttrOutcome] = outcome
	}
	body, _ := json.Marshal(drmaa2.Submitted{Jobs: []drmaa2.JobInfo{i}})
	p.bytes(4, true, httpcodec.AppendResponse(nil, 201, "application/json", body, false), true)
	return p
}

// Each rule, at its edges: what is still kept and what is broken.
func TestRules(t *testing.T) {
	for _, c := range []struct {
		name   string
		p      *tape
		broken []int
	}{
		{"one outcome in time", newTape().submit("safe").told(1, drmaa2.Queued, "").at(900).ask().
			told(2, drmaa2.Running, "placed").at(5000).ask().told(3, drmaa2.Done, "placed"), nil},
		{"two outcomes", newTape().submit("safe").told(1, drmaa2.Queued, "placed").ask().told(2, drmaa2.Failed, "failed"),
			[]int{OneAnswer}},
		{"too late", newTape().submit("safe").told(1, drmaa2.Queued, "").at(1200).ask().told(2, drmaa2.Queued, "placed"),
			[]int{OneAnswer}},
		{"late, but the process was stopped", newTape().submit("safe").told(1, drmaa2.Queued, "").at(500).
			mark(MarkStopped, "s").at(3000).mark(MarkGoesOn, "s").at(3050).ask().told(2, drmaa2.Failed, "refused"), nil},
		{"late after it went on", newTape().submit("safe").told(1, drmaa2.Queued, "").at(500).
			mark(MarkStopped, "s").at(3000).mark(MarkGoesOn, "s").at(3200).ask().told(2, drmaa2.Failed, "refused"),
			[]int{OneAnswer}},
		{"never", newTape().submit("safe").told(1, drmaa2.Queued, "").at(2000).mark("end", ""), []int{OneAnswer}},
		{"never, but killed", newTape().submit("safe").told(1, drmaa2.Queued, "").at(500).mark(MarkKilled, "s").at(2000).
			mark("end", ""), nil},
		{"back from the end", newTape().submit("safe").told(3, drmaa2.Done, "placed").ask().told(4, drmaa2.Running, "placed"),
			[]int{OneAnswer}},
		{"an older state on another connection", newTape().submit("safe").told(3, drmaa2.Done, "placed").ask().
			told(2, drmaa2.Running, "placed"), nil},

		{"another after a refusal", newTape().offer(1, "j/1/0", "unsafe").say(1, refused("j/1/0")).offer(2, "j/1/1", "unsafe"), nil},
		{"another in flight", newTape().offer(1, "j/1/0", "safe").at(100).offer(2, "j/1/1", "safe"), []int{NoSecondStart}},
		{"another after the time-out, safe", newTape().offer(1, "j/1/0", "safe").at(500).offer(2, "j/1/1", "safe"), nil},
		{"another after the time-out, unsafe", newTape().offer(1, "j/1/0", "unsafe").at(500).offer(2, "j/1/1", "unsafe"),
			[]int{NoSecondStart}},
		{"another while it runs", newTape().offer(1, "j/1/0", "safe").say(1, accepted("j/1/0")).at(600).offer(2, "j/1/1", "safe"),
			[]int{NoSecondStart}},
		{"another after its end", newTape().offer(1, "j/1/0", "unsafe").say(1, accepted("j/1/0")).at(600).
			say(1, ended2("j/1/0")).offer(2, "j/1/1", "unsafe"), nil},
		{"keyed, to the same room in its window", newTape().offer(1, "j/1/0", "keyed").at(1900).offer(1, "j/1/1", "keyed"), nil},
		{"keyed, after its window", newTape().offer(1, "j/1/0", "keyed").at(2100).offer(1, "j/1/1", "keyed"), []int{NoSecondStart}},
		{"keyed, to another room", newTape().offer(1, "j/1/0", "keyed").at(600).offer(2, "j/1/1", "keyed"), []int{NoSecondStart}},
		{"a cut connection is no proof", newTape().offer(1, "j/1/0", "unsafe").close(1).at(600).offer(2, "j/1/1", "unsafe"),
			[]int{NoSecondStart}},
		{"held twice in truth", newTape().offer(1, "j/1/0", "unsafe").say(1, refused("j/1/0")).offer(2, "j/1/1", "unsafe").
			say(2, accepted("j/1/1")).say(1, accepted("j/1/0")), []int{NoSecondStart}},

		{"within the grace", newTape().at(100).list(false, "n1:draining").at(1000).offer(1, "j/1/0", "safe"), nil},
		{"after the grace", newTape().at(100).list(false, "n1:draining").at(1200).offer(1, "j/1/0", "safe"), []int{DrainsKept}},
		{"told twice, counted from the first", newTape().at(100).list(false, "n1:draining").at(900).list(false, "n1:draining").
			at(1200).offer(1, "j/1/0", "safe"), []int{DrainsKept}},
		{"gone from a whole list", newTape().at(100).list(true, "n2").at(1200).offer(1, "j/1/0", "safe"), []int{DrainsKept}},
		{"back again", newTape().at(100).list(false, "n1:draining").at(1200).list(false, "n1").offer(1, "j/1/0", "safe"), nil},

		{"what a cold node bears", many(newTape().at(100).list(false, "n1@100"), 3), nil},
		{"more than a cold node bears", many(newTape().at(100).list(false, "n1@100"), 4), []int{ColdKept}},
		{"told by the node alone", many(newTape().at(100).say(1, fresh(100)), 4), []int{ColdKept}},
		{"a node that is up for long tells nothing", many(newTape().at(100).say(1, welcome(100)), 9), nil},
		{"a warm node", many(newTape().at(100).list(false, "n1@100").at(6000), 9), nil},
		{"nobody was told", many(newTape(), 9), nil},

		{"two in a room", newTape().offer(1, "a/1/0", "safe").offer(1, "b/1/0", "safe").offer(2, "c/1/0", "safe"), nil},
		{"three in a room", newTape().offer(1, "a/1/0", "safe").offer(1, "b/1/0", "safe").offer(1, "c/1/0", "safe"),
			[]int{SpreadKept}},
		{"one has ended", newTape().offer(1, "a/1/0", "safe").offer(1, "b/1/0", "safe").say(1, accepted("a/1/0")).
			say(1, ended2("a/1/0")).offer(1, "c/1/0", "safe"), nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			v, err := Check(&c.p.b)
			if err != nil {
				t.Fatal(err)
			}
			for i, r := range v.Rules {
				want := false
				for _, b := range c.broken {
					want = want || b == i
				}
				if (len(r.Broken) > 0) != want {
					t.Errorf("rule %d: broken is %v, want %v\n%s", i+1, !want, want, v)
				}
			}
			if v.OK() != (len(c.broken) == 0) {
				t.Error("OK does not agree")
			}
		})
	}
}

// many offers unsafe jobs, so that spread plays no part.
func many(p *tape, n int) *tape {
	for i := range n {
		p.offer(1, fmt.Sprintf("m%d/1/0", i), "unsafe")
	}
	return p
}

// A connection that can't be read makes the verdict untrusted, unless bytes were dropped on purpose.
func TestUnread(t *testing.T) {
	for drops, want := range map[bool]bool{false: false, true: true} {
		p := newTape()
		if drops {
			p.mark(MarkDrops, "")
		}
		p.bytes(1, true, []byte{0xff, 0xff, 0xff, 0xff}, true)
		v, err := Check(&p.b)
		if err != nil || v.OK() != want {
			t.Errorf("drops %v: %v, %v", drops, v, err)
		}
	}
	for _, bad := range []string{"", "nonsense"} {
		if _, err := Check(strings.NewReader(bad)); err == nil {
			t.Errorf("%q was taken for a recording", bad)
		}
	}
}

// Follow tells the story of a job with the marks.
func TestFollow(t *testing.T) {
	p := newTape().at(5).offer(1, "j/1/0", "safe").say(1, accepted("j/1/0")).mark(MarkKilled, "s").offer(2, "other/1/0", "safe")
	var out bytes.Buffer
	if err := Follow(&p.b, &out, "j/1/0"); err != nil {
		t.Fatal(err)
	}
	got := out.String()
	for _, want := range []string{"s > n1 ", "n1 > s ", "-- s: scheduler killed"} {
		if !strings.Contains(got, want) {
			t.Errorf("%q does not say %q", got, want)
		}
	}
	if strings.Contains(got, "other") {
		t.Error("it tells of another job")
	}
}

// Whatever the recording holds, Check neither panics nor runs on.
func FuzzCheck(f *testing.F) {
	f.Add(newTape().submit("safe").told(1, drmaa2.Running, "placed").offer(1, "j/1/0", "safe").b.Bytes())
	f.Add([]byte("x"))
	f.Fuzz(func(_ *testing.T, in []byte) { _, _ = Check(bytes.NewReader(in)) })
}
