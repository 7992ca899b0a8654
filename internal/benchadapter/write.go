package benchadapter

import (
	"bufio"
	"encoding/base64"
	"fmt"
	"io"
	"strings"

	"flaxshelf.example/flaxshelf"
)

// Writer writes replies.
type Writer struct{ out *bufio.Writer }

// NewWriter makes a Writer.
func NewWriter(out io.Writer) *Writer { return &Writer{bufio.NewWriterSize(out, 1<<16)} }

// Action writes one action of an instance.
func (w *Writer) Action(who int, a flaxshelf.Action) {
	switch a := a.(type) {
	case flaxshelf.Offer:
		fmt.Fprintf(w.out, "BIND who=%d tid=%s cap_ns=%d node=%s\n", who, a.Task, a.Timeout, a.Machine)
	case flaxshelf.Cancel:
		fmt.Fprintf(w.out, "RECALL who=%d tid=%s leg=%d\n", who, a.Task, a.Attempt)
	case flaxshelf.Reject:
		fmt.Fprintf(w.out, "REJECT who=%d tid=%s\n", who, a.Task)
	case flaxshelf.Fail:
		fmt.Fprintf(w.out, "END_FAILED who=%d tid=%s\n", who, a.Task)
	case flaxshelf.Migrate:
		fmt.Fprintf(w.out, "MOVE who=%d tid=%s\n", who, a.Task)
	case flaxshelf.HealthCheck:
		fmt.Fprintf(w.out, "PING who=%d node=%s\n", who, a.Machine)
	case flaxshelf.SendGossip:
		blob := base64.StdEncoding.EncodeToString(a.Data)
		if blob == "" {
			blob = "-"
		}
		fmt.Fprintf(w.out, "NOTIFY who=%d addressee=all blob=%s\n", who, blob)
	case flaxshelf.Subscribe:
		fmt.Fprintf(w.out, "OBSERVE who=%d want=1\n", who)
	case flaxshelf.SetTimer:
		fmt.Fprintf(w.out, "NOTIFY_ME who=%d span_ns=%d handle=w\n", who, a.After)
	}
}

// Bug reports that an instance's code broke.
func (w *Writer) Bug(who int, text string) {
	fmt.Fprintf(w.out, "BUG who=%d msg=%s\n", who, strings.NewReplacer("\n", " ", "\r", " ").Replace(text))
}

// End closes a reply and sends it.
func (w *Writer) End(serial int64) error {
	fmt.Fprintf(w.out, "READY serial=%d\n", serial)
	return w.out.Flush()
}
