package asks

import (
	"testing"
	"time"

	"flaxshelf.example/flaxshelf"
)

// The feed is called where changes come unasked, and called again within a second after it broke off; where changes
// must be asked for, the module's word is the only call.
func TestFeedIsFollowed(t *testing.T) {
	w := newWorld(t)
	w.step()
	one[Subscribe](w)
	w.step(FeedDown{})
	none[Subscribe](w)
	w.pass(time.Second)
	one[Subscribe](w)

	w = newWorld(t, func(c *Config) { c.Module.DiscoveryAsks = true })
	w.step(Listed{Machines: []flaxshelf.Machine{machine("n", flaxshelf.In, 0)}, Addrs: []string{"n"}, Whole: true, Known: true})
	one[Subscribe](w)
	w.step(FeedUp{})
	w.pass(time.Minute)
	none[Subscribe](w)
	w.step(FeedDown{})
	w.pass(time.Second)
	one[Subscribe](w)
}

// A set-up is answered with the node's description, and its end is told once.
func TestPlacedAndOver(t *testing.T) {
	w := newWorld(t)
	w.step(Opened{Conn: 1, Host: "h"})
	w.nodes("n")
	w.step(w.ask(1, 7, 0))
	o := one[Offer](w)
	if o.Node != "n" || o.Task != id(7) || o.Detail != "owner's" || o.Left <= 0 {
		t.Errorf("%+v", o)
	}
	w.step(Heard{Link: o.Link, Say: SaysAnswer, Task: id(7), Description: "node's"})
	if a := one[Answer](w); a != (Answer{1, id(7), "node's"}) {
		t.Errorf("%+v", a)
	}
	w.step(Heard{Link: o.Link, Say: SaysAnswer, Task: id(7), Description: "second"})
	none[Answer](w)
	none[Cut](w)
	w.step(Heard{Link: o.Link, Say: SaysRelease, Task: id(7), Cause: CauseGivenUp})
	if e := one[Over](w); e != (Over{1, id(7), CauseGivenUp}) {
		t.Errorf("%+v", e)
	}
	w.step(Heard{Link: o.Link, Say: SaysRelease, Task: id(7), Cause: CauseGivenUp})
	none[Over](w)
	if f := w.c.Figures(); f.Standing != 0 || f.Open != 0 || len(w.c.tasks) != 0 {
		t.Errorf("%+v", f)
	}
}
