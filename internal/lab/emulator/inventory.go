package emulator

import (
	"flaxshelf.example/flaxshelf/internal/lab/standin/inventorymodel"
)

// inventory is the inventory model as an entity. Parties are known by their entity's number.
type inventory struct {
	id    int32
	w     *world
	in    inbox
	lines *lines
	model *inventorymodel.Inventory
	names map[int32]string
	ids   map[string]int32
}

func (v *inventory) take(m message) { v.in.put(m) }

func (v *inventory) next() Time { return min(v.in.next(), v.model.Next()) }

func (v *inventory) name(id int32) string {
	name, ok := v.names[id]
	if !ok {
		name = v.w.nameOf(id)
		v.names[id], v.ids[name] = name, id
	}
	return name
}

func (v *inventory) run(end Time, out *outbox) {
	for {
		msgAt, dueAt := v.in.next(), v.model.Next()
		at := min(msgAt, dueAt)
		if at >= end {
			return
		}
		if dueAt <= msgAt {
			v.send(at, v.model.Advance(at), out)
			continue
		}
		m := v.in.pop()
		switch b := m.body.(type) {
		case frame:
			v.send(at, v.model.Receive(at, v.name(m.from), b.Frame), out)
		case closed:
			v.send(at, v.model.Disconnect(at, v.name(m.from)), out)
		case inventorymodel.Fault:
			v.send(at, v.model.SetFault(at, b), out)
		}
	}
}

func (v *inventory) send(now Time, frames []inventorymodel.Send, out *outbox) {
	for _, s := range frames {
		if to, ok := v.ids[s.To]; ok {
			out.send(v.lines.arrival(now, to), to, frame{s.Frame})
		}
	}
}
