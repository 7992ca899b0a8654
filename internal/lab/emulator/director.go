package emulator

import (
	"fmt"
	"math"
	"sort"

	"flaxshelf.example/flaxshelf/internal/lab/scenario"
	"flaxshelf.example/flaxshelf/internal/lab/standin/inventorymodel"
	"flaxshelf.example/flaxshelf/internal/lab/standin/nodemodel"
)

// director puts the day's troubles on and off. It is an entity whose orders travel like messages.
type director struct {
	id    int32
	w     *world
	plans []planned
}

type planned struct {
	at Time
	n  int
	do func(now Time, out *outbox)
}

func (d *director) take(message) {}

func (d *director) next() Time {
	if len(d.plans) == 0 {
		return math.MaxInt64
	}
	return d.plans[0].at
}

func (d *director) run(end Time, out *outbox) {
	for len(d.plans) > 0 && d.plans[0].at < end {
		p := d.plans[0]
		d.plans = d.plans[1:]
		p.do(p.at, out)
	}
}

func (d *director) at(t Time, do func(now Time, out *outbox)) {
	d.plans = append(d.plans, planned{t, len(d.plans), do})
}

// plan lays out the whole day.
func (d *director) plan() {
	w := d.w
	for _, s := range w.servers {
		d.at(Epoch, func(now Time, out *outbox) { out.send(now, s.id, startServer{}) })
	}
	for i := range w.day.Troubles {
		t := &w.day.Troubles[i]
		nodes := w.day.Pick(t, w.day.Rand(i, w.seed))
		if err := d.trouble(t, nodes); err != nil {
			w.fail(fmt.Errorf("trouble %d, %s: %w", i, t.Do, err))
		}
	}
	sort.SliceStable(d.plans, func(i, j int) bool { return d.plans[i].at < d.plans[j].at })
}

func (d *director) trouble(t *scenario.Trouble, nodes []int) error {
	w := d.w
	on := Epoch + warmUp + scenario.Seconds(t.At)
	off := on + scenario.Seconds(t.For)
	each := func(at Time, do nodeOrder) {
		d.at(at, func(now Time, out *outbox) {
			for _, i := range nodes {
				out.send(now, w.nodes[i].id, do)
			}
		})
	}
	fault := func(set, clear func(f *nodemodel.Fault)) {
		put := func(change func(f *nodemodel.Fault)) nodeOrder {
			return func(n *node, now Time, out *outbox) {
				change(&n.fault)
				if n.model != nil {
					n.send(now, n.model.SetFault(now, n.fault), out)
				}
			}
		}
		each(on, put(set))
		each(off, put(clear))
	}
	die := func(n *node, now Time, out *outbox) { n.die(now, out) }
	boot := func(n *node, now Time, _ *outbox) { n.boot(now, true) }
	drain := func(n *node, now Time, out *outbox) {
		if n.model != nil {
			n.send(now, n.model.Drain(now), out)
			n.register(now, out)
		}
	}
	list := func(f inventorymodel.Fault) {
		d.at(on, func(now Time, out *outbox) { out.send(now, w.inventory.id, f) })
		d.at(off, func(now Time, out *outbox) { out.send(now, w.inventory.id, inventorymodel.Fault{}) })
	}
	load := func(s surge) {
		d.at(on, func(now Time, out *outbox) { out.send(now, w.owners.id, s) })
		d.at(off, func(now Time, out *outbox) { out.send(now, w.owners.id, surge{class: t.Class}) })
	}
	servers := func(at Time, body func() any) {
		d.at(at, func(now Time, out *outbox) {
			for _, i := range t.Schedulers {
				out.send(now, w.servers[i].id, body())
			}
		})
	}
	switch t.Do {
	case "fail-starts":
		fault(func(f *nodemodel.Fault) { f.FailShare, f.FailClass = t.Factor, t.Class },
			func(f *nodemodel.Fault) { f.FailShare, f.FailClass = 0, "" })
	case "silent":
		fault(func(f *nodemodel.Fault) { f.SilentClass = t.Class }, func(f *nodemodel.Fault) { f.SilentClass = "" })
	case "swell":
		fault(func(f *nodemodel.Fault) { f.SwellFactor, f.SwellClass = t.Factor, t.Class },
			func(f *nodemodel.Fault) { f.SwellFactor, f.SwellClass = 0, "" })
	case "crowd":
		fault(func(f *nodemodel.Fault) { f.Crowd = t.Factor }, func(f *nodemodel.Fault) { f.Crowd = 0 })
	case "drop-programs":
		each(on, func(n *node, _ Time, _ *outbox) {
			if n.model != nil {
				n.model.DropPrograms(t.Factor)
			}
		})
	case "lose":
		each(on, die)
		each(off, boot)
	case "restart":
		each(on, func(n *node, now Time, out *outbox) { n.die(now, out); n.boot(now, true) })
	case "drain", "shrink":
		each(on, drain)
		each(off, die)
		if t.Do == "drain" {
			each(off+window, boot)
		}
	case "deploy":
		d.deploy(t, nodes, on)
	case "stop-scheduler":
		servers(on, func() any { return stopServer{off} })
	case "kill-scheduler":
		servers(on, func() any { return killServer{} })
		servers(off, func() any { return startServer{} })
	case "term-scheduler":
		servers(on, func() any { return termServer{} })
		servers(off+w.day.Limits.ShutdownTimeout.Duration(), func() any { return startServer{} })
	case "burst":
		load(surge{class: t.Class, factor: t.Factor})
	case "hot-service":
		load(surge{class: t.Class, hot: t.Factor})
	case "inventory-fails":
		list(inventorymodel.Fault{Fails: true})
	case "inventory-stale":
		list(inventorymodel.Fault{Stale: true})
	default:
		return fmt.Errorf("is of connections or processes, which only sockets have; play it with a trial")
	}
	return nil
}

func (d *director) deploy(t *scenario.Trouble, nodes []int, on Time) {
	together := max(1, int(t.Factor))
	rounds := (len(nodes) + together - 1) / together
	step := scenario.Seconds(t.For) / Time(max(rounds, 1))
	for r := range rounds {
		some := nodes[r*together : min((r+1)*together, len(nodes))]
		at := on + Time(r)*step
		send := func(at Time, do nodeOrder) {
			d.at(at, func(now Time, out *outbox) {
				for _, i := range some {
					out.send(now, d.w.nodes[i].id, do)
				}
			})
		}
		send(at, func(n *node, now Time, out *outbox) {
			if n.model != nil {
				n.send(now, n.model.Drain(now), out)
				n.register(now, out)
			}
		})
		send(at+step, func(n *node, now Time, out *outbox) { n.die(now, out); n.boot(now, true) })
	}
}
