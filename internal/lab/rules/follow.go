package rules

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	"flaxshelf.example/flaxshelf/internal/codec/nodeframe"
	"flaxshelf.example/flaxshelf/internal/codec/nodeframe/nodepb"
	"flaxshelf.example/flaxshelf/internal/lab/recordproxy"
	"flaxshelf.example/flaxshelf/internal/lab/recordproxy/tappb"
)

// Follow writes the frames of a recording in which every one of the words occurs, with the marks, a line each:
// the story of a job, an attempt or a node.
func Follow(r io.Reader, w io.Writer, words ...string) error {
	rd, err := recordproxy.NewReader(r)
	if err != nil {
		return err
	}
	type side struct{ buf []byte }
	conns := map[uint64]*conn{}
	bufs := map[uint64]*[2]side{}
	var start time.Duration
	for {
		rec, err := rd.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("rules: %w", err)
		}
		now := time.Duration(rec.TimeNs)
		if start == 0 {
			start = now
		}
		line := func(text string) {
			for _, word := range words {
				if !strings.Contains(text, word) {
					return
				}
			}
			fmt.Fprintf(w, "%9.3f %s\n", (now - start).Seconds(), text)
		}
		switch b := rec.Body.(type) {
		case *tappb.Record_Open:
			conns[b.Open.Conn] = &conn{wire: b.Open.Wire, to: b.Open.To, from: b.Open.Via}
			bufs[b.Open.Conn] = &[2]side{}
		case *tappb.Record_Mark:
			fmt.Fprintf(w, "%9.3f -- %s: %s\n", (now - start).Seconds(), b.Mark.Party, b.Mark.What)
		case *tappb.Record_Close:
			if k := conns[b.Close.Conn]; k != nil {
				line(fmt.Sprintf("%s to %s closed: %s", k.from, k.to, b.Close.Why))
			}
		case *tappb.Record_Sent:
			k := conns[b.Sent.Conn]
			if k == nil || k.wire == ClientWire || k.unread {
				continue
			}
			s := &bufs[b.Sent.Conn][way(b.Sent.Back)]
			s.buf = append(s.buf, b.Sent.Data...)
			for {
				f, n, err := nodeframe.Next(s.buf)
				if err != nil {
					k.unread = true
				}
				if f == nil || err != nil {
					break
				}
				s.buf = s.buf[n:]
				if h, ok := f.Body.(*nodepb.Frame_Hello); ok {
					k.from = h.Hello.Party
				}
				arrow := k.from + " > " + k.to
				if b.Sent.Back {
					arrow = k.to + " > " + k.from
				}
				line(arrow + " " + protojson.MarshalOptions{}.Format(f))
			}
		}
	}
}
