package benchadapter

import (
	"bufio"
	"encoding/base64"
	"fmt"
	"io"
	"strings"

	"flaxshelf.example/flaxshelf"
)

// writeBufferBytes is the size of a Writer's buffer. A longer reply is written in several parts.
const writeBufferBytes = 1 << 16

// Writer writes replies to batches. A reply has the actions and panics of all instances, one line each, and a READY line.
type Writer struct{ out *bufio.Writer }

// NewWriter returns a Writer that writes to out.
func NewWriter(out io.Writer) *Writer { return &Writer{bufio.NewWriterSize(out, writeBufferBytes)} }

// WriteAction writes one action of an instance.
func (w *Writer) WriteAction(instance int, action flaxshelf.Action) {
	switch a := action.(type) {
	case flaxshelf.Offer:
		w.printf("BIND who=%d tid=%s cap_ns=%d node=%s\n", instance, a.Task, a.Timeout, a.Machine)
	case flaxshelf.Cancel:
		w.printf("RECALL who=%d tid=%s leg=%d\n", instance, a.Task, a.Attempt)
	case flaxshelf.Reject:
		w.printf("REJECT who=%d tid=%s\n", instance, a.Task)
	case flaxshelf.Fail:
		w.printf("END_FAILED who=%d tid=%s\n", instance, a.Task)
	case flaxshelf.Migrate:
		w.printf("MOVE who=%d tid=%s\n", instance, a.Task)
	case flaxshelf.HealthCheck:
		w.printf("PING who=%d node=%s\n", instance, a.Machine)
	case flaxshelf.SendGossip:
		w.printf("NOTIFY who=%d addressee=all blob=%s\n", instance, encodeBlob(a.Data))
	case flaxshelf.Subscribe:
		w.printf("OBSERVE who=%d want=1\n", instance)
	case flaxshelf.SetTimer:
		w.printf("NOTIFY_ME who=%d span_ns=%d handle=w\n", instance, a.After)
	}
}

// encodeBlob returns gossip data in base64.
func encodeBlob(data []byte) string {
	if len(data) == 0 {
		return emptyValue
	}
	return base64.StdEncoding.EncodeToString(data)
}

// lineBreakReplacer replaces line breaks, which would end the line of a message early.
var lineBreakReplacer = strings.NewReplacer("\n", " ", "\r", " ")

// WritePanic writes a BUG message: the module panicked with the given text in a step of an instance.
func (w *Writer) WritePanic(instance int, text string) {
	w.printf("BUG who=%d msg=%s\n", instance, lineBreakReplacer.Replace(text))
}

// EndReply ends the reply to the batch with the given serial number and flushes it. The error is the first one of all writes so
// far.
func (w *Writer) EndReply(serial int64) error {
	w.printf("READY serial=%d\n", serial)
	return w.out.Flush()
}

// printf writes formatted text. It drops the error, which bufio.Writer keeps and returns to EndReply.
func (w *Writer) printf(format string, args ...any) { _, _ = fmt.Fprintf(w.out, format, args...) }
