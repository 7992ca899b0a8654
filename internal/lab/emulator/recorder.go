package emulator

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strconv"

	"google.golang.org/protobuf/encoding/protodelim"

	"flaxshelf.example/flaxshelf/drmaa2"
	"flaxshelf.example/flaxshelf/internal/codec/httpcodec"
	"flaxshelf.example/flaxshelf/internal/codec/nodeframe"
	"flaxshelf.example/flaxshelf/internal/codec/nodeframe/nodepb"
	"flaxshelf.example/flaxshelf/internal/front/drmaafront"
	"flaxshelf.example/flaxshelf/internal/front/nodefront"
	"flaxshelf.example/flaxshelf/internal/lab/recordproxy"
	"flaxshelf.example/flaxshelf/internal/lab/recordproxy/tappb"
	"flaxshelf.example/flaxshelf/internal/lab/rules"
	"flaxshelf.example/flaxshelf/internal/scheduler"
)

// recorder makes of a simulated day the recording that a proxy makes of a trial, so that the same checker reads it.
// Frames to a scheduler are recorded when it takes them, frames from it when it sends them. A nil recorder records
// nothing.
type recorder struct {
	records []*tappb.Record
	conns   uint64
	of      map[string]*parties
	err     error
}

// parties are the recorded connections of one scheduler's life.
type parties struct {
	front  *drmaafront.Front
	list   uint64
	client uint64
	events uint64
}

func (r *recorder) put(at Time, rec *tappb.Record) {
	rec.TimeNs = int64(at)
	r.records = append(r.records, rec)
}

func (r *recorder) connect(wire, to, via string, at Time) uint64 {
	r.conns++
	r.put(at, &tappb.Record{Body: &tappb.Record_Open{Open: &tappb.Open{Conn: r.conns, Wire: wire, To: to, Via: via}}})
	return r.conns
}

func (r *recorder) bytes(conn uint64, back bool, data []byte, at Time) {
	r.put(at, &tappb.Record{Body: &tappb.Record_Sent{Sent: &tappb.Sent{Conn: conn, Back: back, Data: data}}})
	r.put(at, &tappb.Record{Body: &tappb.Record_Delivered{Delivered: &tappb.Delivered{Conn: conn, Back: back,
		Bytes: uint64(len(data))}}})
}

func (r *recorder) frame(conn uint64, back bool, f frame, at Time) {
	if r == nil || conn == 0 {
		return
	}
	b, err := nodeframe.Append(nil, f.Frame)
	if err != nil {
		r.err = err
		return
	}
	r.bytes(conn, back, b, at)
}

// life begins the recorded connections of a scheduler's life.
func (r *recorder) life(s *server) {
	if r == nil {
		return
	}
	if r.of == nil {
		r.of = map[string]*parties{}
	}
	at := s.wake
	p := &parties{front: drmaafront.New(s.set, at)}
	p.list = r.connect(rules.InventoryWire, "inventory", s.set.Name, at)
	p.client = r.connect(rules.ClientWire, s.set.Name, "", at)
	p.events = r.connect(rules.ClientWire, s.set.Name, "", at)
	r.bytes(p.events, false, []byte("GET /drmaa2/v1/sessions/all/events HTTP/1.1\r\nHost: x\r\n\r\n"), at)
	r.bytes(p.events, true, httpcodec.AppendStreamHead(nil, 200, "text/event-stream"), at)
	r.of[s.set.Name] = p
	r.frame(p.list, false, frame{nodefront.Hello(s.set, at)}, at)
}

func (r *recorder) open(s *server, to string, at Time) uint64 {
	if r == nil {
		return 0
	}
	id := r.connect(rules.NodeWire, to, "", at)
	r.frame(id, false, frame{&nodepb.Frame{Body: &nodepb.Frame_Hello{Hello: &nodepb.Hello{Party: s.set.Name,
		LifeUnixNs: int64(Epoch) + int64(s.lives)}}}}, at)
	return id
}

func (r *recorder) close(conn uint64, at Time) {
	if r != nil && conn != 0 {
		r.put(at, &tappb.Record{Body: &tappb.Record_Close{Close: &tappb.Close{Conn: conn}}})
	}
}

func (r *recorder) listConn(s *server) uint64 {
	if r == nil {
		return 0
	}
	return r.of[s.set.Name].list
}

func (r *recorder) mark(what, party string, at Time) {
	r.put(at, &tappb.Record{Body: &tappb.Record_Mark{Mark: &tappb.Mark{What: what, Party: party}}})
}

func (r *recorder) dead(n *node, at Time) {
	if r != nil {
		r.mark(rules.MarkNodeDied, n.place.Name, at)
	}
}

func (r *recorder) fell(n *node, at Time) {
	if r != nil {
		r.mark(rules.MarkNodeOverloaded, n.place.Name, at)
	}
}

func (r *recorder) killed(s *server, at Time) {
	if r != nil {
		r.mark(rules.MarkSchedulerKilled, s.set.Name, at)
	}
}

func (r *recorder) stopped(s *server, at, until Time) {
	if r != nil {
		r.mark(rules.MarkSchedulerPaused, s.set.Name, at)
		r.mark(rules.MarkSchedulerResumed, s.set.Name, until)
	}
}

// answered records a submission and its answer, as a client and the front have them.
func (r *recorder) answered(s *server, a *scheduler.Answer, at Time) {
	if r == nil {
		return
	}
	p := r.of[s.set.Name]
	t := drmaa2.JobTemplate{RemoteCommand: "x"}
	if len(a.Jobs) > 0 {
		t.JobCategory = s.set.Classes[a.Jobs[0].Spec.Class].Name
	}
	body, err := json.Marshal(drmaa2.Submission{Template: t})
	if err != nil {
		r.err = err
		return
	}
	r.bytes(p.client, false, fmt.Appendf(nil,
		"POST /drmaa2/v1/sessions/all/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(body), body), at)
	r.bytes(p.client, true, p.front.Submitted(a), at)
}

func (r *recorder) outcome(s *server, i *scheduler.Info, at Time) {
	if r != nil {
		p := r.of[s.set.Name]
		r.bytes(p.events, true, p.front.Event(i, strconv.FormatUint(i.Revision, 10)), at)
	}
}

// write puts the records in the order of their times.
func (r *recorder) write(w io.Writer, figures []byte, end Time) error {
	if r.err != nil {
		return fmt.Errorf("emulator: record: %w", r.err)
	}
	slices.SortStableFunc(r.records, func(a, b *tappb.Record) int { return int(a.TimeNs - b.TimeNs) })
	r.mark("end", "", end)
	buf := bufio.NewWriter(w)
	head := &tappb.Record{TimeNs: int64(Epoch), Body: &tappb.Record_Head{Head: &tappb.Head{Version: recordproxy.Version,
		Figures: figures}}}
	for _, rec := range append([]*tappb.Record{head}, r.records...) {
		if _, err := protodelim.MarshalTo(buf, rec); err != nil {
			return fmt.Errorf("emulator: record: %w", err)
		}
	}
	return buf.Flush()
}
