package benchadapter

import (
	"bytes"
	"errors"
	"testing"
	"time"

	"flaxshelf.example/flaxshelf"
)

func TestReplyHasActionsInOrder(t *testing.T) {
	var out bytes.Buffer
	w := NewWriter(&out)
	for _, action := range []flaxshelf.Action{
		flaxshelf.Offer{Task: "t", Machine: "m", Timeout: time.Millisecond}, flaxshelf.Cancel{Task: "t", Attempt: 2},
		flaxshelf.Reject{Task: "t"}, flaxshelf.Fail{Task: "t"}, flaxshelf.Migrate{Task: "t"}, flaxshelf.HealthCheck{Machine: "m"},
		flaxshelf.SendGossip{Data: []byte("hi 7")}, flaxshelf.SendGossip{}, flaxshelf.Subscribe{}, flaxshelf.SetTimer{After: 7},
	} {
		w.WriteAction(3, action)
	}
	w.WritePanic(3, "a\nb")
	if err := w.EndReply(8); err != nil {
		t.Fatal(err)
	}
	want := "BIND who=3 tid=t cap_ns=1000000 node=m\nRECALL who=3 tid=t leg=2\nREJECT who=3 tid=t\n" +
		"END_FAILED who=3 tid=t\nMOVE who=3 tid=t\nPING who=3 node=m\nNOTIFY who=3 addressee=all blob=aGkgNw==\n" +
		"NOTIFY who=3 addressee=all blob=-\nOBSERVE who=3 want=1\nNOTIFY_ME who=3 span_ns=7 handle=w\n" +
		"BUG who=3 msg=a b\nREADY serial=8\n"
	if out.String() != want {
		t.Errorf("got\n%s\nwant\n%s", out.String(), want)
	}
}

var errWrite = errors.New("write failed")

type failingWriter struct{}

func (failingWriter) Write([]byte) (int, error) { return 0, errWrite }

// EndReply must return the error of an earlier write of the same reply, which WritePanic drops.
func TestEndReplyReturnsWriteError(t *testing.T) {
	w := NewWriter(failingWriter{})
	w.WritePanic(1, string(make([]byte, 2*writeBufferBytes)))
	if err := w.EndReply(1); !errors.Is(err, errWrite) {
		t.Errorf("got %v, want %v", err, errWrite)
	}
}
