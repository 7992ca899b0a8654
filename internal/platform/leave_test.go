package platform

import (
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"flaxshelf.example/flaxshelf/internal/codec/nodeparam"
	"flaxshelf.example/flaxshelf/internal/lab/standin/scripted"
	"flaxshelf.example/flaxshelf/internal/requests"
)

// When a scheduler goes: a table of what still keeps it.
func TestDeparture(t *testing.T) {
	const asked = requests.Time(time.Hour)
	for _, c := range []struct {
		name  string
		since time.Duration
		heard time.Duration // since it was asked
		state openState
		want  step
	}{
		{"what comes is served", taking - 1, 0, openState{Idle: true, Listens: true}, step{again: 1}},
		{"the listener's queue is taken first", taking, 0, openState{Idle: true, Listens: true}, step{drain: true, again: hushed}},
		{"a request waits", time.Minute, 0, openState{Half: true}, step{again: hushed}},
		{"half a request has come", halfUntil - 1, 0, openState{Idle: true, Half: true}, step{again: hushed}},
		{"its rest does not come", halfUntil, 0, openState{Idle: true, Half: true}, step{gone: true}},
		{"an owner spoke just now", taking + 30, taking, openState{Idle: true}, step{again: hushed - 30}},
		{"all is answered", taking + hushed, taking, openState{Idle: true}, step{gone: true}},
	} {
		d := departure{asked: asked, heard: asked + c.heard}
		if got := d.next(asked+c.since, c.state); got != c.want {
			t.Errorf("%s: %+v, want %+v", c.name, got, c.want)
		}
	}
	d := departure{asked: asked}
	d.next(asked+taking, openState{Listens: true})
	if got := d.next(asked+taking+hushed, openState{Idle: true, Listens: true}); got.drain || got.gone {
		t.Errorf("the queue waits for a slot: %+v", got)
	}
	if got := d.next(asked+halfUntil, openState{Idle: true, Listens: true}); !got.gone {
		t.Errorf("the queue waits for ever: %+v", got)
	}
}

// deaf waits until nothing listens any more.
func (s *site) deaf() {
	s.t.Helper()
	for end := time.Now().Add(10 * time.Second); ; {
		c, err := net.Dial("tcp", s.addr)
		if err != nil {
			return
		}
		_ = c.Close()
		if time.Now().After(end) {
			s.t.Fatal("it listens still")
		}
	}
}

// A request whose last byte comes after the scheduler has ended listening is served: its connection was accepted.
func TestLeaveWaitsForHalfARequest(t *testing.T) {
	s, _, other := placed(t)
	c := s.client()
	c.place(3) // known to be an owner's
	line := `{"type":"setup","id":"0000000000000004","fields":{"class":"batch","left":"3000","key":"k","extras":"cores:1;memory:1;service:s"},"sdp":"x"}` + "\n"
	if _, err := c.c.Write([]byte(line[:20])); err != nil {
		t.Fatal(err)
	}
	close(s.stop)
	s.deaf()
	_ = other.c.SetReadDeadline(time.Now().Add(4 * hushed))
	if _, err := other.r.ReadByte(); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("it has gone: %v", err)
	}
	if _, err := c.c.Write([]byte(line[20:])); err != nil {
		t.Fatal(err)
	}
	c.want("answer", 4, 0)
	if err := <-s.ended; err != nil {
		t.Error(err)
	}
}

// The scheduler goes while an owner still sends: the last answer arrives whole, and what crosses the end of the connection is
// met by no reset, which would destroy an answer that the owner has not read yet.
func TestLeaveAnswersReachTheirOwners(t *testing.T) {
	late := make(chan func(), 1)
	n := newNode(t, func(c net.Conn, m nodeparam.Message) {
		if m.Type == nodeparam.SetUp {
			late <- func() { scripted.Answers(c, m) }
		}
	})
	patient := strings.Replace(testSettings, `"objective_ns":600000000`, `"objective_ns":6000000000`, 1)
	s := newSiteWith(t, patient, scripted.Entry("s-1", n.Addr(), "active"))
	c := s.client()
	c.setUp(2)
	answer := <-late // the attempt's time goes on beyond the end of listening
	close(s.stop)
	s.deaf()
	answer() // the last thing that kept it
	c.want("answer", 2, 0)
	if _, err := c.r.ReadByte(); err != io.EOF {
		t.Errorf("the connection ended by %v", err)
	}
	for range 2 { // a second write fails where the first met a closed socket
		c.send(`{"type":"progress","id":"%016x","fields":{}}`, 2)
	}
	_ = c.c.Close()
	if err := <-s.ended; err != nil {
		t.Error(err)
	}
}

// Signals in odd order: asked to leave before it serves, twice, and with a new configuration behind it.
func TestLeaveInAnyOrder(t *testing.T) {
	s, _, c := placed(t)
	close(s.stop)
	s.write(s.feed, testSettings)
	s.reload <- struct{}{}
	c.place(3)
	if err := <-s.ended; err != nil {
		t.Error(err)
	}
	early := &site{t: t, feed: s.feed, addr: s.addr, path: s.path, tap: s.tap, stop: make(chan struct{}), ended: make(chan error, 1)}
	close(early.stop)
	if err := Run(Options{Config: s.path}, early.stop, nil); err != nil {
		t.Error(err)
	}
}

// What the file knows of nodes holds though its other settings are not taken: a drain told nowhere else is a drain.
func TestReloadTellsADrain(t *testing.T) {
	s, old, c := placed(t)
	b, err := os.ReadFile(s.path)
	if err != nil {
		t.Fatal(err)
	}
	text := strings.Replace(string(b), `"batch"`, `"other"`, 1)
	text = strings.Replace(text, `"known":{"n":1,"events":[`, `"known":{"n":2,"events":[`+scripted.Event(2, false,
		scripted.Entry("s-1", old.Addr(), "leaving"), scripted.Entry("s-2", newNode(t, scripted.Answers).Addr(), "active"))+`,`, 1)
	if err := os.WriteFile(s.path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	s.reload <- struct{}{}
	if last := <-s.feed.Calls; last != "2" {
		t.Errorf("asked from %s", last)
	}
	for i := range 6 {
		c.place(3 + i)
	}
	unheard(t, old, nodeparam.SetUp)
}

// Two files within a moment: the second one's feed is followed, from the first one's last event on.
func TestTwoReloads(t *testing.T) {
	s, old, c := placed(t)
	first, second := feedServer(t), feedServer(t)
	entry := scripted.Entry("s-1", old.Addr(), "active")
	s.write(first, testSettings, entry)
	s.reload <- struct{}{}
	s.write(second, testSettings, entry)
	s.reload <- struct{}{}
	if last := <-second.Calls; last != "1" {
		t.Errorf("asked from %s", last)
	}
	n := newNode(t, scripted.Answers)
	second.Tell(false, scripted.Entry("s-1", old.Addr(), "leaving"), scripted.Entry("s-2", n.Addr(), "active"))
	if word := <-n.Conns; word != "came" { // the event has been taken
		t.Error(word)
	}
	for i := range 4 {
		c.place(3 + i)
	}
	unheard(t, old, nodeparam.SetUp)
}
