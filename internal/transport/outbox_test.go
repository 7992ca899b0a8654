package transport

import (
	"context"
	"testing"
	"time"

	"flaxshelf.example/flaxshelf/internal/channeltest"
)

// Flush discards the messages that have expired and calls their onExpired, and writes the others in order. Without a connection
// all expiring messages expire.
func TestOutboxDropsExpiredMessages(t *testing.T) {
	closed := make(chan error, 1)
	s := listen(t, Options{}, func(*Conn) Handler { return &echoHandler{closed: closed} })
	d, stop := newDialer(t)
	defer stop()
	lines := make(chan string, 10)
	c, err := d.Dial(context.Background(), s.Addr(), time.Second, &lineHandler{lines})
	if err != nil {
		t.Fatal(err)
	}
	for _, round := range []struct {
		name           string
		inTime, wanted bool
		want           string
		expired        int
	}{
		{"in time", true, true, "abcd", 0},
		{"too late", false, true, "ad", 2},
		{"one message not wanted", true, false, "acd", 1},
	} {
		t.Run(round.name, func(t *testing.T) {
			var o Outbox
			expired := make(chan string, 10)
			encode := func(text string) func([]byte) ([]byte, error) {
				return func(b []byte) ([]byte, error) { return append(b, text+"\n"...), nil }
			}
			put := func(text string) {
				if err := o.Put(encode(text)); err != nil {
					t.Fatal(err)
				}
			}
			putExpiring := func(text string) {
				wanted := func() bool { return round.wanted || text != "b" }
				if err := o.PutExpiring(encode(text), wanted, func() { expired <- text }); err != nil {
					t.Fatal(err)
				}
			}
			put("a")
			putExpiring("b")
			putExpiring("c")
			put("d")
			o.Flush(c, func() bool { return round.inTime })
			for _, want := range round.want {
				if line := channeltest.Await(t, lines, "a line"); line != string(want) {
					t.Errorf("received line: got %q, want %q", line, want)
				}
			}
			if len(expired) != round.expired || !o.IsEmpty() {
				t.Errorf("got %d expired messages and an empty outbox %v, want %d and true", len(expired), o.IsEmpty(), round.expired)
			}
			putExpiring("e")
			if o.Flush(nil, func() bool { return true }); len(expired) != round.expired+1 {
				t.Errorf("without a connection: got %d expired messages, want %d", len(expired), round.expired+1)
			}
		})
	}
}
