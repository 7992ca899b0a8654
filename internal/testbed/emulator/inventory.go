package emulator

import "flaxshelf.example/flaxshelf/internal/testbed/standin/inventorymodel"

// inventory is the entity that runs the inventory model. The model identifies the other entities by name.
type inventory struct {
	id          int32
	simulation  *simulation
	inbox       inbox
	latency     *latencyModel
	model       *inventorymodel.Inventory
	entityNames map[int32]string // of entities that have sent a message
	entityIDs   map[string]int32 // the reverse of entityNames
}

func (v *inventory) receive(m message) { v.inbox.put(m) }

func (v *inventory) nextDue() Time { return min(v.inbox.nextDue(), v.modelNextDue()) }

func (v *inventory) modelNextDue() Time { return v.model.NextDue() }

func (v *inventory) entityName(id int32) string {
	name, ok := v.entityNames[id]
	if !ok {
		name = v.simulation.entityName(id)
		v.entityNames[id], v.entityIDs[name] = name, id
	}
	return name
}

func (v *inventory) run(end Time, out *outbox) { v.inbox.runModel(v, end, out) }

func (v *inventory) advance(now Time, out *outbox) { v.sendFrames(now, v.model.Advance(now), out) }

func (v *inventory) handle(m message, out *outbox) {
	switch body := m.body.(type) {
	case frame:
		v.sendFrames(m.deliverAt, v.model.Receive(m.deliverAt, v.entityName(m.from), body.Frame), out)
	case disconnected:
		v.sendFrames(m.deliverAt, v.model.Disconnect(m.deliverAt, v.entityName(m.from)), out)
	case inventorymodel.Fault:
		v.sendFrames(m.deliverAt, v.model.SetFault(m.deliverAt, body), out)
	}
}

func (v *inventory) sendFrames(now Time, frames []inventorymodel.Envelope, out *outbox) {
	for _, s := range frames {
		if to, ok := v.entityIDs[s.To]; ok {
			out.send(v.latency.deliveryTime(now, to), to, frame{s.Frame})
		}
	}
}
