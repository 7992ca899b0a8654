package transport

import (
	"context"
	"testing"
	"time"
)

// Messages of an outbox that have expired when they are written are dropped and reported, the others are written in order;
// without a connection all expiring ones expire.
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
		{"all are written", true, true, "abcd", 0},
		{"the flush is late", false, true, "ad", 2},
		{"b is not wanted", true, false, "acd", 1},
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
				if line := <-lines; line != string(want) {
					t.Errorf("%q was received, want %q", line, want)
				}
			}
			if len(expired) != round.expired || !o.Empty() {
				t.Errorf("%d expired, want %d", len(expired), round.expired)
			}
			putExpiring("e")
			if o.Flush(nil, func() bool { return true }); len(expired) != round.expired+1 {
				t.Error("a message did not expire without a connection")
			}
		})
	}
}
