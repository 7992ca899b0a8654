package trial

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"flaxshelf.example/flaxshelf/internal/lab/recordproxy"
	"flaxshelf.example/flaxshelf/internal/lab/rules"
	"flaxshelf.example/flaxshelf/internal/lab/scenario"
	"flaxshelf.example/flaxshelf/internal/lab/standin/inventorymodel"
	"flaxshelf.example/flaxshelf/internal/lab/standin/nodemodel"
)

// troubles puts each trouble on at its time and off after its while. The function returned waits for all.
func (c *cluster) troubles(ctx context.Context, begin time.Time, o *owners) func() error {
	var wg sync.WaitGroup
	errs := make([]error, len(c.day.Troubles))
	for i, t := range c.day.Troubles {
		wg.Add(1)
		go func() {
			defer wg.Done()
			sleepUntil(ctx, begin.Add(scenario.Seconds(t.At)))
			if ctx.Err() != nil {
				return
			}
			c.opt.Note("%6.2f s: %s%s for %v s", t.At, t.Do, c.describe(&t), t.For)
			rng := c.day.Rand(i, c.opt.Seed)
			if err := c.trouble(ctx, &t, o, rng); err != nil {
				errs[i] = fmt.Errorf("%s at %v s: %w", t.Do, t.At, err)
			}
		}()
	}
	return func() error {
		wg.Wait()
		return errors.Join(errs...)
	}
}

func (c *cluster) describe(t *scenario.Trouble) string {
	s := ""
	if t.Zone != "" {
		s += " in " + t.Zone
	}
	if t.Class != "" {
		s += " of " + t.Class
	}
	return s
}

func sleepUntil(ctx context.Context, at time.Time) {
	select {
	case <-time.After(time.Until(at)):
	case <-ctx.Done():
	}
}

func (c *cluster) trouble(ctx context.Context, t *scenario.Trouble, o *owners, rng *rand.Rand) error {
	rest := func() { sleepUntil(ctx, time.Now().Add(scenario.Seconds(t.For))) }
	var nodes []*node
	for _, i := range c.day.Pick(t, rng) {
		nodes = append(nodes, c.nodes[i])
	}
	faults := func(on, off func(f *nodemodel.Fault)) {
		for _, n := range nodes {
			n.trouble(on)
		}
		rest()
		for _, n := range nodes {
			n.trouble(off)
		}
	}
	links := func(f recordproxy.Fault) {
		if f.DropBack || f.DropThere {
			c.rec.Mark(rules.MarkBytesDropped, "nodes")
		}
		for _, n := range nodes {
			n.proxy.Set(f)
		}
		rest()
		for _, n := range nodes {
			n.proxy.Set(recordproxy.Fault{})
			if f.DropBack || f.DropThere {
				n.proxy.Cut()
			}
		}
	}
	list := func(f inventorymodel.Fault) {
		set := func(f inventorymodel.Fault) {
			c.inv.Do(func(m *inventorymodel.Inventory, now inventorymodel.Time) []inventorymodel.Send {
				return m.SetFault(now, f)
			})
		}
		set(f)
		rest()
		set(inventorymodel.Fault{})
	}
	switch t.Do {
	case "fail-starts":
		faults(func(f *nodemodel.Fault) { f.FailShare, f.FailClass = t.Factor, t.Class },
			func(f *nodemodel.Fault) { f.FailShare, f.FailClass = 0, "" })
	case "silent":
		faults(func(f *nodemodel.Fault) { f.SilentClass = t.Class }, func(f *nodemodel.Fault) { f.SilentClass = "" })
	case "swell":
		faults(func(f *nodemodel.Fault) { f.SwellFactor, f.SwellClass = t.Factor, t.Class },
			func(f *nodemodel.Fault) { f.SwellFactor, f.SwellClass = 0, "" })
	case "crowd":
		faults(func(f *nodemodel.Fault) { f.Crowd = t.Factor }, func(f *nodemodel.Fault) { f.Crowd = 0 })
	case "drop-programs":
		for _, n := range nodes {
			n.do(func(m *nodemodel.Node, _ nodemodel.Time) []nodemodel.Send { m.DropPrograms(t.Factor); return nil })
		}
	case "lose":
		for _, n := range nodes {
			n.die()
		}
		rest()
		return bootAll(ctx, nodes)
	case "restart":
		for _, n := range nodes {
			n.die()
		}
		return bootAll(ctx, nodes)
	case "drain", "shrink":
		c.drain(nodes)
		rest()
		for _, n := range nodes {
			n.die()
		}
		if t.Do == "drain" {
			return bootAll(ctx, nodes)
		}
	case "deploy":
		return c.deploy(ctx, nodes, scenario.Seconds(t.For), max(1, int(t.Factor)))
	case "stop-scheduler":
		c.signal(t, syscall.SIGSTOP, rules.MarkSchedulerPaused)
		rest()
		c.signal(t, syscall.SIGCONT, rules.MarkSchedulerResumed)
	case "kill-scheduler":
		return c.killSchedulers(ctx, t, rest)
	case "term-scheduler":
		return c.termSchedulers(ctx, t, rest)
	case "burst":
		o.set(o.factors, t.Class, t.Factor)
		rest()
		o.set(o.factors, t.Class, 0)
	case "hot-service":
		o.set(o.hot, t.Class, t.Factor)
		rest()
		o.set(o.hot, t.Class, 0)
	case "cut":
		for _, n := range nodes {
			n.proxy.Cut()
		}
	case "cut-reply":
		for _, n := range nodes {
			n.proxy.Set(recordproxy.Fault{CutBack: 1 + rng.IntN(100)})
		}
	case "half-open":
		links(recordproxy.Fault{DropBack: true})
	case "delay":
		links(recordproxy.Fault{Delay: scenario.Seconds(t.Factor)})
	case "stall":
		links(recordproxy.Fault{Stall: true})
	case "inventory-fails":
		list(inventorymodel.Fault{Fails: true})
	case "inventory-stale":
		list(inventorymodel.Fault{Stale: true})
	case "inventory-cut":
		for _, s := range t.Schedulers {
			c.schedulers[s].list.Cut()
		}
	case "client-cut":
		for _, s := range t.Schedulers {
			c.schedulers[s].client.Cut()
		}
	case "rude-clients":
		for _, s := range t.Schedulers {
			rude(ctx, c.schedulers[s].target(), int(t.Factor), scenario.Seconds(t.For))
		}
	default:
		return fmt.Errorf("no such trouble")
	}
	return nil
}

func (o *owners) set(m map[string]float64, class string, v float64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	m[class] = v
}

func (c *cluster) drain(nodes []*node) {
	for _, n := range nodes {
		n.do(func(m *nodemodel.Node, now nodemodel.Time) []nodemodel.Send { return m.Drain(now) })
	}
}

func bootAll(ctx context.Context, nodes []*node) error {
	if ctx.Err() != nil {
		return nil
	}
	var errs []error
	for _, n := range nodes {
		errs = append(errs, n.boot(true))
	}
	return errors.Join(errs...)
}

// deploy replaces nodes, some at a time: each drains, ends and is followed by a cold successor.
func (c *cluster) deploy(ctx context.Context, nodes []*node, within time.Duration, together int) error {
	rounds := (len(nodes) + together - 1) / together
	for len(nodes) > 0 && ctx.Err() == nil {
		some := nodes[:min(together, len(nodes))]
		nodes = nodes[len(some):]
		c.drain(some)
		sleepUntil(ctx, time.Now().Add(within/time.Duration(rounds)))
		for _, n := range some {
			n.die()
		}
		if err := bootAll(ctx, some); err != nil {
			return err
		}
	}
	return nil
}

func (c *cluster) signal(t *scenario.Trouble, s syscall.Signal, mark string) {
	for _, i := range t.Schedulers {
		c.schedulers[i].signal(s)
		c.rec.Mark(mark, c.schedulers[i].name)
	}
}

func (c *cluster) killSchedulers(ctx context.Context, t *scenario.Trouble, rest func()) error {
	for _, i := range t.Schedulers {
		c.schedulers[i].kill()
	}
	rest()
	if ctx.Err() != nil {
		return nil
	}
	var errs []error
	for _, i := range t.Schedulers {
		errs = append(errs, c.schedulers[i].start())
	}
	return errors.Join(errs...)
}

// termSchedulers asks schedulers to stop in good order and starts them again.
func (c *cluster) termSchedulers(ctx context.Context, t *scenario.Trouble, rest func()) error {
	var errs []error
	for _, i := range t.Schedulers {
		p := c.schedulers[i]
		errs = append(errs, p.end())
		c.rec.Mark(rules.MarkSchedulerKilled, p.name) // what comes after is another life
	}
	rest()
	if ctx.Err() == nil {
		for _, i := range t.Schedulers {
			errs = append(errs, c.schedulers[i].start())
		}
	}
	return errors.Join(errs...)
}
