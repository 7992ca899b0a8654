package emulator

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"

	"google.golang.org/protobuf/encoding/protodelim"

	"flaxshelf.example/flaxshelf/drmaa2"
	"flaxshelf.example/flaxshelf/internal/codec/httpcodec"
	"flaxshelf.example/flaxshelf/internal/codec/nodeframe"
	"flaxshelf.example/flaxshelf/internal/codec/nodeframe/nodepb"
	"flaxshelf.example/flaxshelf/internal/front/drmaafront"
	"flaxshelf.example/flaxshelf/internal/front/nodefront"
	"flaxshelf.example/flaxshelf/internal/scheduler"
	"flaxshelf.example/flaxshelf/internal/testbed/recordproxy"
	"flaxshelf.example/flaxshelf/internal/testbed/recordproxy/recordingpb"
	"flaxshelf.example/flaxshelf/internal/testbed/rules"
)

// recorder records an emulated day in the format of the recording proxy, so that rules.Check reads the recordings of
// emulations and trials. A frame to a scheduler is recorded when the scheduler handles it, a frame from a scheduler when it is
// sent. A nil *recorder records nothing. Not safe for concurrent use.
type recorder struct {
	records          []*recordingpb.Record
	lastConnectionID uint64
	connections      map[string]*schedulerConnections // of the present incarnations, by name of the scheduler
	err              error                            // the first error; write returns it
}

// schedulerConnections has the IDs of the recorded connections of one incarnation of a scheduler, other than those to nodes,
// and the encoder of its responses to clients.
type schedulerConnections struct {
	frontend      *drmaafront.Frontend
	inventoryID   uint64
	submissionsID uint64 // from clients, for submissions
	jobEventsID   uint64 // from clients, for the stream of job events
}

func (r *recorder) add(at Time, record *recordingpb.Record) {
	record.TimeNs = int64(at)
	r.records = append(r.records, record)
}

// addOpen records the opening of a connection and returns the connection's ID.
func (r *recorder) addOpen(wire, listener, dialer string, at Time) uint64 {
	r.lastConnectionID++
	r.add(at, &recordingpb.Record{Body: &recordingpb.Record_Open{Open: &recordingpb.Open{Conn: r.lastConnectionID, Wire: wire,
		To: listener, Via: dialer}}})
	return r.lastConnectionID
}

// addBytes records data as sent and, at the same time, delivered.
func (r *recorder) addBytes(connection uint64, fromListener bool, data []byte, at Time) {
	r.add(at, &recordingpb.Record{Body: &recordingpb.Record_Sent{Sent: &recordingpb.Sent{Conn: connection, Back: fromListener,
		Data: data}}})
	r.add(at, &recordingpb.Record{Body: &recordingpb.Record_Delivered{Delivered: &recordingpb.Delivered{Conn: connection,
		Back: fromListener, Bytes: uint64(len(data))}}})
}

// addFrame records a frame on a connection. ID 0 means that the connection is not recorded.
func (r *recorder) addFrame(connection uint64, fromListener bool, f frame, at Time) {
	if r == nil || connection == 0 {
		return
	}
	encoded, err := nodeframe.Append(nil, f.Frame)
	if err != nil {
		r.fail(err)
		return
	}
	r.addBytes(connection, fromListener, encoded, at)
}

func (r *recorder) fail(err error) {
	if r.err == nil {
		r.err = err
	}
}

// addSchedulerConnections records that an incarnation of a scheduler connects to the inventory and clients connect to it.
func (r *recorder) addSchedulerConnections(s *schedulerEntity) {
	if r == nil {
		return
	}
	if r.connections == nil {
		r.connections = map[string]*schedulerConnections{}
	}
	at, name := s.nextDeadline, s.settings.Name
	c := &schedulerConnections{frontend: drmaafront.New(s.settings, at)}
	c.inventoryID = r.addOpen(rules.InventoryProtocol, "inventory", name, at)
	c.submissionsID = r.addOpen(rules.ClientProtocol, name, "", at)
	c.jobEventsID = r.addOpen(rules.ClientProtocol, name, "", at)
	r.addBytes(c.jobEventsID, false, []byte("GET /drmaa2/v1/sessions/all/events HTTP/1.1\r\nHost: x\r\n\r\n"), at)
	r.addBytes(c.jobEventsID, true, httpcodec.AppendStreamHead(nil, http.StatusOK, "text/event-stream"), at)
	r.connections[name] = c
	r.addFrame(c.inventoryID, false, frame{nodefront.HelloFrame(s.settings, at)}, at)
}

// addNodeConnection records that a scheduler connects to a node. It returns the connection's ID, or 0 without a recording.
func (r *recorder) addNodeConnection(s *schedulerEntity, node string, at Time) uint64 {
	if r == nil {
		return 0
	}
	connection := r.addOpen(rules.NodeProtocol, node, "", at)
	r.addFrame(connection, false, frame{&nodepb.Frame{Body: &nodepb.Frame_Hello{Hello: &nodepb.Hello{
		Party: s.settings.Name, LifeUnixNs: s.incarnationID()}}}}, at)
	return connection
}

// addClose records the end of a connection.
func (r *recorder) addClose(connection uint64, at Time) {
	if r != nil && connection != 0 {
		r.add(at, &recordingpb.Record{Body: &recordingpb.Record_Close{Close: &recordingpb.Close{Conn: connection}}})
	}
}

// inventoryConnectionID returns the ID of a scheduler's connection to the inventory, or 0 without a recording.
func (r *recorder) inventoryConnectionID(s *schedulerEntity) uint64 {
	if r == nil {
		return 0
	}
	return r.connections[s.settings.Name].inventoryID
}

func (r *recorder) addMark(event recordproxy.Event, party string, at Time) {
	if r != nil {
		r.add(at, &recordingpb.Record{Body: &recordingpb.Record_Mark{Mark: recordproxy.NewMark(event, party)}})
	}
}

func (r *recorder) markNodeStopped(n *nodeEntity, at Time) {
	r.addMark(recordproxy.EventNodeStopped, n.spec.Name, at)
}

func (r *recorder) markNodeOverloaded(n *nodeEntity, at Time) {
	r.addMark(recordproxy.EventNodeOverloaded, n.spec.Name, at)
}

func (r *recorder) markSchedulerKilled(s *schedulerEntity, at Time) {
	r.addMark(recordproxy.EventSchedulerKilled, s.settings.Name, at)
}

func (r *recorder) markSchedulerPaused(s *schedulerEntity, at, until Time) {
	r.addMark(recordproxy.EventSchedulerPaused, s.settings.Name, at)
	r.addMark(recordproxy.EventSchedulerResumed, s.settings.Name, until)
}

// addSubmission records a submission and its answer as an HTTP request and response. The job template in
// the request has only a placeholder command and the class.
func (r *recorder) addSubmission(s *schedulerEntity, answer *scheduler.Answer, at Time) {
	if r == nil {
		return
	}
	c := r.connections[s.settings.Name]
	template := drmaa2.JobTemplate{RemoteCommand: "x"}
	if len(answer.Jobs) > 0 {
		template.JobCategory = s.settings.Classes[answer.Jobs[0].Spec.Class].Name
	}
	body, err := json.Marshal(drmaa2.Submission{Template: template})
	if err != nil {
		r.fail(err)
		return
	}
	r.addBytes(c.submissionsID, false, fmt.Appendf(nil,
		"POST /drmaa2/v1/sessions/all/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(body), body), at)
	r.addBytes(c.submissionsID, true, c.frontend.EncodeSubmitted(answer), at)
}

// addJobEvent records a job event on the event stream.
func (r *recorder) addJobEvent(s *schedulerEntity, info *scheduler.JobInfo, at Time) {
	if r != nil {
		c := r.connections[s.settings.Name]
		r.addBytes(c.jobEventsID, true, c.frontend.EncodeEvent(info, strconv.FormatUint(info.Revision, 10)), at)
	}
}

// write writes the recording: the head, the records by time, and a mark for the end. The head has the rules checker's limits,
// which figures holds as JSON.
func (r *recorder) write(w io.Writer, figures []byte, end Time) error {
	if r.err != nil {
		return fmt.Errorf("emulator: recording frames and requests: %w", r.err)
	}
	slices.SortStableFunc(r.records, func(a, b *recordingpb.Record) int { return cmp.Compare(a.TimeNs, b.TimeNs) })
	r.addMark(recordproxy.EventEnd, "", end)
	buffer := bufio.NewWriter(w)
	head := &recordingpb.Record{TimeNs: int64(Epoch), Body: &recordingpb.Record_Head{Head: &recordingpb.Head{
		Version: recordproxy.Version, Figures: figures}}}
	for _, record := range append([]*recordingpb.Record{head}, r.records...) {
		if _, err := protodelim.MarshalTo(buffer, record); err != nil {
			return fmt.Errorf("emulator: writing the recording: %w", err)
		}
	}
	if err := buffer.Flush(); err != nil {
		return fmt.Errorf("emulator: writing the recording: %w", err)
	}
	return nil
}
