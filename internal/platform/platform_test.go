package platform

import (
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"flaxshelf.example/flaxshelf/internal/codec/nodeparam"
	"flaxshelf.example/flaxshelf/internal/lab/standin/scripted"
	"flaxshelf.example/flaxshelf/internal/transport"
)

// The whole path: a test is passed, a set-up reaches its node unchanged and is answered with the node's description, and
// the end comes back.
func TestPath(t *testing.T) {
	n := newNode(t, scripted.Answers)
	s := newSite(t, scripted.Entry("s-1", n.Addr(), "active"))
	c := s.client()
	if !c.test() {
		t.Error("the test was not passed")
	}
	c.place(2)
	m := hear(t, n, nodeparam.SetUp)
	if m.Task != 2 || m.Class != "batch" || m.Key != "k2" || m.Description != "owner's" || m.TimeLeft == "" {
		t.Errorf("%+v", m)
	}
	n.Say(nodeparam.Message{Type: nodeparam.Release, Task: 2, Cause: 16})
	c.want("release", 2, 16)
}

// What owners may say of a task that stands, on another connection than its set-up's, and of an id that is open already.
func TestOwnersWords(t *testing.T) {
	s, n, c := placed(t)
	other := s.client()
	for task, word := range map[int]string{2: "release", 3: "move"} {
		if task != 2 {
			c.place(task)
		}
		other.send(`{"type":%q,"id":"%016x","fields":{},"cause":31}`, word, task)
		if m := hear(t, n, nodeparam.Release); m.Task != uint64(task) {
			t.Errorf("%s: the node heard of %d", word, m.Task)
		}
	}
	c.place(4)
	other.setUp(4)
	other.want("release", 4, 41)
	c.place(5) // nothing came between: nobody is owed a release of what it ended
}

// A set-up is given up while its node looks at it: the node hears so, the owner nothing more, and the answer that crosses
// is released.
func TestGiveUpCrosses(t *testing.T) {
	late := make(chan func(), 1)
	n := newNode(t, func(c net.Conn, m nodeparam.Message) {
		if m.Type == nodeparam.SetUp && m.Task == 2 {
			late <- func() { scripted.Answers(c, m) }
		} else if m.Type == nodeparam.SetUp {
			scripted.Answers(c, m)
		}
	})
	s := newSite(t, scripted.Entry("s-1", n.Addr(), "active"))
	c := s.client()
	c.setUp(2)
	answer := <-late
	c.send(`{"type":"release","id":"%016x","fields":{},"cause":16}`, 2)
	if m := hear(t, n, nodeparam.Release); m.Task != 2 || m.Cause != 16 {
		t.Errorf("%+v", m)
	}
	answer()
	if m := hear(t, n, nodeparam.Release); m.Task != 2 {
		t.Errorf("the answer that crossed: %+v", m)
	}
	c.place(3)
}

// What stood before a start comes back by set-ups that carry at, which are not answered; the node is not asked again, its
// word of the end reaches the owner, and a set-up for what is held already changes nothing.
func TestHandedOver(t *testing.T) {
	n := newNode(t, scripted.Answers)
	s := newSite(t, scripted.Entry("s-1", n.Addr(), "active"))
	c := s.client()
	c.setUp(7, "at:s-1")
	c.setUp(7, "at:s-1")
	c.place(8)
	if m := hear(t, n, nodeparam.SetUp); m.Task != 8 {
		t.Errorf("%+v", m)
	}
	n.Say(nodeparam.Message{Type: nodeparam.Release, Task: 7, Cause: 41, Token: "oom"})
	c.want("release", 7, 41)
}

// Spoilt bytes end a connection to a node; the set-up goes elsewhere, and is answered.
func TestSpoiltAnswers(t *testing.T) {
	n := newNode(t, func(c net.Conn, m nodeparam.Message) {
		if m.Type == nodeparam.SetUp {
			_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\n"))
		}
	})
	s := newSite(t, scripted.Entry("s-1", n.Addr(), "active"))
	c := s.client()
	c.setUp(2)
	hear(t, n, nodeparam.SetUp)
	s.feed.Tell(false, scripted.Entry("s-2", newNode(t, scripted.Answers).Addr(), "active"))
	c.want("answer", 2, 0)
}

// A connection on which half a message stays is ended for that, though no set-up waits on it: else what follows would be
// swallowed. Another one takes its place. Which of the two the node sees first is not said: they meet on their way.
func TestHalfAMessage(t *testing.T) {
	n := newNode(t, func(c net.Conn, m nodeparam.Message) {
		scripted.Answers(c, m)
		if m.Type == nodeparam.SetUp {
			_, _ = c.Write([]byte("\x00\x40\x0c\x00"))
		}
	})
	s := newSite(t, scripted.Entry("s-1", n.Addr(), "active"))
	s.client().place(2)
	if line := <-s.lost; !strings.Contains(line, transport.ErrPartialMessage.Error()) {
		t.Errorf("the link ended otherwise: %s", line)
	}
	seen := map[string]int{}
	for range 3 {
		seen[<-n.Conns]++
	}
	if seen["came"] != 2 || seen["went"] != 1 {
		t.Errorf("connections: %v", seen)
	}
}

// A node that dies has cut what stood there: owners hear at once.
func TestNodeDies(t *testing.T) {
	_, n, c := placed(t)
	n.Die()
	c.want("release", 2, 41)
}

// A machine that falls silent while a task stands there, its connections open and new ones never answered: the owner
// hears within the 8 s that the platform gives.
func TestSilentMachine(t *testing.T) {
	_, n, c := placed(t)
	filling, err := n.Freeze()
	for _, f := range filling {
		defer f.Close()
	}
	if err != nil {
		t.Fatal(err)
	}
	began := time.Now()
	c.want("release", 2, 41)
	if took := time.Since(began); took > 8*time.Second {
		t.Errorf("the owner heard after %v", took)
	}
}

// Another node at the address of one that is gone gets none of its work and ends none of it.
func TestAddressUsedAgain(t *testing.T) {
	s, n, c := placed(t)
	s.feed.Tell(false, scripted.Entry("s-2", n.Addr(), "active"))
	c.want("release", 2, 41)
	c.place(3)
	n.Say(nodeparam.Message{Type: nodeparam.Release, Task: 2, Cause: 16}) // of the one before: nothing follows
	n.Say(nodeparam.Message{Type: nodeparam.Release, Task: 3, Cause: 16})
	c.want("release", 3, 16)
}

// The feed's word is taken once and half an event is dropped; after a break, and after a silence that stays open, the
// feed is asked from where it ended.
func TestFeedEnds(t *testing.T) {
	s, old, c := placed(t)
	s.feed.Tell(false, scripted.Entry("s-1", old.Addr(), "active"))
	for i, end := range []func(){s.feed.Break, s.feed.Hush} {
		s.feed.Tell(false, scripted.Entry("s-3", old.Addr(), "left"))
		end()
		select {
		case last := <-s.feed.Calls:
			if want := string(rune('3' + i)); last != want {
				t.Errorf("asked from %s, want %s", last, want)
			}
		case <-time.After(4 * time.Second): // what it would have told counts as told by then
			t.Fatal("not asked again")
		}
	}
	s.feed.Tell(false, scripted.Entry("s-1", old.Addr(), "left"))
	c.want("release", 2, 41)
	s.feed.Again(2) // the node is active, by an event that is old
	s.feed.Tell(false, scripted.Entry("s-2", newNode(t, scripted.Answers).Addr(), "active"))
	for i := range 8 {
		c.place(3 + i)
	}
	unheard(t, old, nodeparam.SetUp)
}

// A new configuration names another feed, whose numbers go on. What it knows that is older than the feed's last word
// changes nothing, nor does a broken file, nor other settings: the core has those of its start.
func TestReload(t *testing.T) {
	s, old, c := placed(t)
	entry := scripted.Entry("s-1", old.Addr(), "active")
	s.feed.Tell(true, scripted.Entry("s-2", newNode(t, scripted.Answers).Addr(), "active"))
	c.want("release", 2, 41)
	if err := os.WriteFile(s.path, []byte("{"), 0o600); err != nil {
		t.Fatal(err)
	}
	s.reload <- struct{}{}
	if !c.test() {
		t.Error("a broken file ended it")
	}
	task := 3
	for _, settings := range []string{testSettings, strings.Replace(testSettings, `"batch"`, `"other"`, 1)} {
		next := feedServer(t)
		s.write(next, settings, entry)
		s.reload <- struct{}{}
		if last := <-next.Calls; last != "2" {
			t.Errorf("asked from %s", last)
		}
		for range 4 {
			c.place(task)
			task++
		}
	}
	unheard(t, old, nodeparam.SetUp)
}

// Asked to leave it fails its tests, serves what still comes, on new connections too, answers all and goes; what stands
// at its node stands on.
func TestLeave(t *testing.T) {
	s, n, c := placed(t)
	close(s.stop)
	late := s.client()
	for c.test() {
	}
	late.place(3)
	if err := <-s.ended; err != nil {
		t.Error(err)
	}
	unheard(t, n, nodeparam.Release)
}

// Bad clients hear a refusal or a close, none is ever answered as placed, and an owner beside them is served.
func TestBadClients(t *testing.T) {
	s, n, usual := placed(t)
	for _, bytes := range []string{"\x16\x03\x01\n", "{\n", strings.Repeat("x", 1<<20), `{"type":"setup","id":"7"}` + "\n"} {
		c := s.client()
		_, _ = c.c.Write([]byte(bytes)) // the scheduler may close before all is written
		c.closed()
	}
	c := s.client()
	for range 4 {
		c.send(`{"type":"setup","id":"%016x","fields":{"class":"odd","left":"1000"},"sdp":"x"}`, 9)
	}
	c.want("release", 9, 47)
	c.closed()
	half := s.client()
	half.place(10)
	_, _ = half.c.Write([]byte(`{"type":"setup"`))
	silent := []*client{s.client(), half}
	for range 100 {
		silent = append(silent, s.client())
	}
	usual.place(3)
	for _, c := range silent {
		c.closed()
	}
	if len(n.Heard) > 2 {
		t.Errorf("%d messages came to the node", len(n.Heard))
	}
}

// Idle clients come without end while the feed is down: the feed, a new node and a test of readiness find their descriptors
// all the same.
func TestIdleClientsTakeNobodysDescriptors(t *testing.T) {
	s, _, c := placed(t)
	s.feed.Break()
	for range 300 {
		s.client()
	}
	if last := <-s.feed.Calls; last != "1" {
		t.Errorf("asked from %s", last)
	}
	if !s.client().test() {
		t.Error("the test was not passed")
	}
	n := newNode(t, scripted.Answers)
	s.feed.Tell(false, scripted.Entry("s-1", "", "leaving"), scripted.Entry("s-2", n.Addr(), "active"))
	if word := <-n.Conns; word != "came" {
		t.Error(word)
	}
	c.place(3)
	if m := hear(t, n, nodeparam.SetUp); m.Task != 3 {
		t.Errorf("%+v", m)
	}
}

// The parts of the descriptors are the whole, and owners have the third that the protocol gives them.
func TestDescriptorsAreDivided(t *testing.T) {
	for n := 96; n <= 1<<14; n++ {
		if d := divide(n); d.owners+d.links+ownUse != n || 3*d.kept < n-ownUse || d.kept >= d.owners {
			t.Fatalf("%d: %+v", n, d)
		}
	}
	if d := divide(32); d.kept < 1 || d.links < 1 || d.owners+d.links > 16 {
		t.Errorf("%+v", d)
	}
}

func TestBadConfiguration(t *testing.T) {
	path := filepath.Join(t.TempDir(), "c.json")
	if err := os.WriteFile(path, []byte(`{"listen":"127.0.0.1:0"}`), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := Run(Options{Config: path}, nil, nil); err == nil || !strings.Contains(err.Error(), "field feed") {
		t.Errorf("%v", err)
	}
}
