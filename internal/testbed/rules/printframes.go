package rules

import (
	"fmt"
	"io"
	"strings"

	"google.golang.org/protobuf/encoding/protojson"

	"flaxshelf.example/flaxshelf/internal/codec/nodeframe"
	"flaxshelf.example/flaxshelf/internal/codec/nodeframe/nodepb"
	"flaxshelf.example/flaxshelf/internal/testbed/recordproxy"
	"flaxshelf.example/flaxshelf/internal/testbed/recordproxy/recordingpb"
)

// PrintFrames writes the history of a job, an attempt or a node: the frames and closed connections of a recording whose text
// contains all the substrings, such as the identifier of a job, and all marks. Each is on a line with its time in seconds since
// the start. The error is a *RecordingError or wraps that of w.
func PrintFrames(r io.Reader, w io.Writer, substrings ...string) error {
	reader, err := newReader(r)
	if err != nil {
		return err
	}
	f := &framePrinter{out: w, substrings: substrings, connections: map[uint64]*connection{}}
	return forEachRecord(reader, func(record *recordingpb.Record) error {
		f.handleRecord(record)
		return f.err
	})
}

// framePrinter is the state of PrintFrames.
type framePrinter struct {
	recordTimes
	out         io.Writer
	substrings  []string
	connections map[uint64]*connection
	err         error // the first error of a write to out
}

func (f *framePrinter) handleRecord(record *recordingpb.Record) {
	f.advance(record)
	switch body := record.Body.(type) {
	case *recordingpb.Record_Open:
		open := body.Open
		f.connections[open.Conn] = &connection{protocol: open.Wire, listener: open.To, dialer: open.Via}
	case *recordingpb.Record_Mark:
		f.print("-- " + body.Mark.Party + ": " + string(recordproxy.EventOf(body.Mark)))
	case *recordingpb.Record_Close:
		if link := f.connections[body.Close.Conn]; link != nil {
			f.printMatch(fmt.Sprintf("%s to %s closed: %s", link.dialer, link.listener, recordproxy.ReasonOf(body.Close)))
		}
	case *recordingpb.Record_Sent:
		f.printSentFrames(body.Sent)
	}
}

func (f *framePrinter) printSentFrames(sent *recordingpb.Sent) {
	link := f.connections[sent.Conn]
	if link == nil || link.protocol == ClientProtocol || link.undecoded {
		return
	}
	s := &link.directions[direction(sent.Back)]
	s.sentRemainder = append(s.sentRemainder, sent.Data...)
	for {
		frame, size, err := nodeframe.Next(s.sentRemainder)
		if err != nil {
			link.undecoded = true
			return
		}
		if frame == nil {
			return
		}
		s.sentRemainder = s.sentRemainder[size:]
		f.printFrame(link, sent.Back, frame)
	}
}

func (f *framePrinter) printFrame(link *connection, fromListener bool, frame *nodepb.Frame) {
	if hello := frame.GetHello(); hello != nil {
		link.dialer = hello.Party
	}
	sender, receiver := link.dialer, link.listener
	if fromListener {
		sender, receiver = receiver, sender
	}
	f.printMatch(sender + " > " + receiver + " " + protojson.MarshalOptions{}.Format(frame))
}

// printMatch prints text if it contains all the substrings.
func (f *framePrinter) printMatch(text string) {
	for _, substring := range f.substrings {
		if !strings.Contains(text, substring) {
			return
		}
	}
	f.print(text)
}

func (f *framePrinter) print(text string) {
	if f.err != nil {
		return
	}
	if _, err := fmt.Fprintf(f.out, "%9.3f %s\n", f.sinceStart().Seconds(), text); err != nil {
		f.err = fmt.Errorf("rules: write the frames of the recording: %w", err)
	}
}
