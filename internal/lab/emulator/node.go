package emulator

import (
	"math"

	"flaxshelf.example/flaxshelf/internal/codec/nodeframe"
	"flaxshelf.example/flaxshelf/internal/codec/nodeframe/nodepb"
	"flaxshelf.example/flaxshelf/internal/lab/scenario"
	"flaxshelf.example/flaxshelf/internal/lab/standin/fleet"
	"flaxshelf.example/flaxshelf/internal/lab/standin/nodemodel"
	"flaxshelf.example/flaxshelf/internal/settings"
)

// registerEvery is how often a node tells the inventory how it is, as on sockets.
const registerEvery = 500 * Time(1e6)

// node is a place in the fleet, in which one life of a node model follows another.
type node struct {
	w       *world
	id      int32
	place   scenario.Place
	set     settings.Node
	in      inbox
	lines   *lines
	model   *nodemodel.Node
	lives   int
	parties map[string]int32
	names   map[int32]string
	order   []string // of parties, as they came
	tellAt  Time
	fault   nodemodel.Fault
	fell    int
	done    int // tasks that former lives have finished
}

func (n *node) take(m message) { n.in.put(m) }

func (n *node) next() Time {
	t := n.in.next()
	if n.model != nil {
		t = min(t, n.model.Next(), n.tellAt)
	}
	return t
}

func (n *node) boot(now Time, cold bool) {
	if n.model != nil {
		return
	}
	n.lives++
	s := n.set
	s.Warm = !cold
	d := n.w.day
	n.model = nodemodel.New(fleet.NodeModel(s, d.Kinds, d.Rules, d.Behaviour,
		n.w.seed+uint64(int(n.id)*1000+n.lives)), now, n.w.rooms[n.place.Group.Zone])
	n.parties, n.names, n.order = map[string]int32{}, map[int32]string{}, nil
	n.tellAt = now
}

func (n *node) die(now Time, out *outbox) {
	if n.model == nil {
		return
	}
	n.w.rec.dead(n, now)
	n.done += n.model.Finished()
	n.model.Die()
	n.model, n.fault = nil, nodemodel.Fault{}
	for _, name := range n.order {
		if id, ok := n.parties[name]; ok {
			out.send(n.lines.arrival(now, id), id, closed{})
		}
	}
	out.send(n.lines.arrival(now, n.w.inventory.id), n.w.inventory.id, closed{})
}

func (n *node) run(end Time, out *outbox) {
	for {
		msgAt, dueAt := n.in.next(), Time(math.MaxInt64)
		if n.model != nil {
			dueAt = min(n.model.Next(), n.tellAt)
		}
		at := min(msgAt, dueAt)
		if at >= end {
			return
		}
		if dueAt <= msgAt {
			n.due(at, out)
			continue
		}
		m := n.in.pop()
		n.handle(m, out)
		if n.model != nil && n.model.Dead() {
			n.fall(at, out)
		}
	}
}

func (n *node) due(now Time, out *outbox) {
	if n.tellAt <= now {
		n.register(now, out)
		n.tellAt = now + registerEvery
	}
	n.send(now, n.model.Advance(now), out)
}

func (n *node) fall(now Time, out *outbox) {
	if n.model.FellOver() {
		n.fell++
		n.w.rec.fell(n, now)
	}
	n.die(now, out)
}

func (n *node) handle(m message, out *outbox) {
	switch b := m.body.(type) {
	case nodeOrder:
		b(n, m.at, out)
	case dial:
		if n.model == nil {
			out.send(n.lines.arrival(m.at, m.from), m.from, closed{})
			return
		}
		frames, ok := n.model.Connect(m.at, b.name, b.life, nodeframe.HeldPerWelcome)
		if !ok {
			out.send(n.lines.arrival(m.at, m.from), m.from, closed{})
			return
		}
		if _, known := n.parties[b.name]; !known {
			n.order = append(n.order, b.name)
		}
		n.parties[b.name], n.names[m.from] = m.from, b.name
		n.send(m.at, frames, out)
	case closed:
		if name, ok := n.names[m.from]; ok && n.model != nil {
			n.model.Disconnect(m.at, name)
			delete(n.parties, name)
			delete(n.names, m.from)
		}
	case frame:
		if name, ok := n.names[m.from]; ok && n.model != nil {
			n.send(m.at, n.model.Receive(m.at, name, b.Frame), out)
		}
	}
}

// nodeOrder is what the director has a node do.
type nodeOrder func(n *node, now Time, out *outbox)

func (n *node) send(now Time, frames []nodemodel.Send, out *outbox) {
	for _, s := range frames {
		if to, ok := n.parties[s.To]; ok {
			out.send(n.lines.arrival(now, to), to, frame{s.Frame})
		}
	}
}

func (n *node) register(now Time, out *outbox) {
	e := &nodepb.Entry{Node: n.place.Name, Address: n.place.Name, Kind: n.set.Kind, Zone: n.set.Zone,
		Cell: int32(n.set.Cell)}
	if n.lives > 1 || !n.place.Group.Warm {
		e.StartedUnixNs = int64(n.model.Started())
	}
	if n.model.Draining() {
		e.Standing = nodepb.Standing_DRAINING
	}
	if n.w.day.ListsFree {
		e.FreeCores, e.FreeMemory = n.model.Free()
	}
	to := n.w.inventory.id
	out.send(n.lines.arrival(now, to), to, frame{&nodepb.Frame{Body: &nodepb.Frame_Register{
		Register: &nodepb.Register{Entry: e}}}})
}
