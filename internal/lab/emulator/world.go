package emulator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"

	"flaxshelf.example/flaxshelf"
	"flaxshelf.example/flaxshelf/internal/lab/load"
	"flaxshelf.example/flaxshelf/internal/lab/rules"
	"flaxshelf.example/flaxshelf/internal/lab/scenario"
	"flaxshelf.example/flaxshelf/internal/lab/standin/inventorymodel"
	"flaxshelf.example/flaxshelf/internal/lab/standin/nodemodel"
	"flaxshelf.example/flaxshelf/internal/scheduler"
	"flaxshelf.example/flaxshelf/internal/settings"
)

// Options are how a day is emulated.
type Options struct {
	Seed    uint64
	Workers int       // 0: one
	Record  io.Writer // a recording for the rules' checker; with one worker only
	// Make makes the module of each scheduler; nil: flaxshelf.New.
	Make func(cfg flaxshelf.Config, seed uint64) (scheduler.Module, error)
	// Core, when set, may change the configuration of each scheduler's core, as for tests without a guard.
	Core func(cfg *scheduler.Config)
	// Load, when set, is played in place of the day's own load, as long as it is.
	Load *load.Trace
	// MeasureFrom leaves submissions before so many seconds out of the classes' figures, while the fleet fills.
	MeasureFrom float64
	// Progress, when set, is told of simulated seconds now and then.
	Progress func(seconds float64)
}

// world is one simulated cluster.
type world struct {
	day       *scenario.Day
	seed      uint64
	e         *engine
	inventory *inventory
	nodes     []*node
	nodeNames []string
	nodeIDs   map[string]int32
	servers   []*server
	owners    *owners
	director  *director
	rooms     map[string]nodemodel.Keys
	make      func(cfg flaxshelf.Config, seed uint64) (scheduler.Module, error)
	core      func(cfg *scheduler.Config)
	played    *played
	roomNo    map[string]int32
	errMu     sync.Mutex // workers may fail at one time
	rec       *recorder
	err       error
}

func (w *world) fail(err error) {
	if err == nil {
		return
	}
	w.errMu.Lock()
	defer w.errMu.Unlock()
	if w.err == nil {
		w.err = err
	}
}

func (w *world) nameOf(id int32) string {
	switch x := w.e.entities[id].(type) {
	case *node:
		return x.place.Name
	case *server:
		return x.set.Name
	}
	return fmt.Sprint(id)
}

func newWorld(d *scenario.Day, opt Options) (*world, error) {
	if opt.Load != nil {
		longer := *d
		longer.Seconds = max(d.Seconds, opt.Load.Length().Seconds())
		d = &longer
	}
	w := &world{day: d, seed: opt.Seed, e: newEngine(opt.Workers), nodeIDs: map[string]int32{},
		rooms: map[string]nodemodel.Keys{}, roomNo: map[string]int32{}}
	if opt.Record != nil {
		if opt.Workers > 1 {
			return nil, fmt.Errorf("emulator: a recording needs one worker, not %d", opt.Workers)
		}
		w.rec = &recorder{}
	}
	if d.Cores > 1 {
		return nil, fmt.Errorf("emulator: %s: schedulers of %d cores are played on sockets only", d.Name, d.Cores)
	}
	w.make, w.core = opt.Make, opt.Core
	if opt.Load != nil {
		var err error
		if w.played, err = newPlayed(opt.Load, d); err != nil {
			return nil, err
		}
	}
	w.owners = newOwners(w)
	w.owners.id = w.e.add(w.owners)
	w.owners.from = scenario.Seconds(opt.MeasureFrom)
	w.director = &director{w: w}
	w.director.id = w.e.add(w.director)
	w.inventory = &inventory{w: w, model: inventorymodel.New(inventorymodel.Config{DiscoveryDelay: d.DiscoveryDelay.Duration(),
		RemovalDelay: d.RemovalDelay.Duration()}), names: map[int32]string{}, ids: map[string]int32{}}
	w.inventory.id = w.e.add(w.inventory)
	w.inventory.lines = newLines(opt.Seed, w.inventory.id)
	for _, p := range d.Places() {
		n := &node{w: w, place: p, set: settings.Node{Name: p.Name, Kind: p.Group.Kind, Zone: p.Group.Zone,
			Cell: p.Group.Cell}}
		if w.rooms[p.Group.Zone] == nil {
			w.rooms[p.Group.Zone] = nodemodel.NewRoom()
			w.roomNo[p.Group.Zone] = int32(len(w.roomNo) + 1)
		}
		n.id = w.e.add(n)
		w.e.groups[n.id] = w.roomNo[p.Group.Zone] // nodes of a room share their keys
		n.lines = newLines(opt.Seed, n.id)
		w.nodes, w.nodeNames = append(w.nodes, n), append(w.nodeNames, p.Name)
		w.nodeIDs[p.Name] = n.id
		n.boot(Epoch, !p.Group.Warm)
	}
	text, err := d.SchedulerFile(0, "emulated:1", "", 1)
	if err != nil {
		return nil, err
	}
	first, err := settings.ParseScheduler(scenario.SchedulerName(0), text)
	if err != nil {
		return nil, err
	}
	for i := range d.Schedulers {
		set := new(settings.Scheduler) // they differ in this alone, and reading the file takes milliseconds
		*set = *first
		set.Name, set.Index, set.Zone = scenario.SchedulerName(i), i, d.Zone(i)
		s := &server{w: w, set: set, rec: w.rec}
		s.id = w.e.add(s)
		s.lines = newLines(opt.Seed, s.id)
		s.rng = rand.New(rand.NewPCG(opt.Seed, uint64(s.id)<<32))
		w.servers = append(w.servers, s)
	}
	return w, nil
}

// Run emulates a day.
func Run(ctx context.Context, d *scenario.Day, opt Options) (*Report, error) {
	w, err := newWorld(d, opt)
	if err != nil {
		return nil, err
	}
	w.director.plan()
	end := Epoch + warmUp + scenario.Seconds(w.day.Seconds+d.After)
	windows := 0
	w.e.run(end, func() bool {
		if windows++; windows%1000 == 0 && opt.Progress != nil {
			opt.Progress((Time(w.e.wheel.now) * window).Seconds())
		}
		return w.err != nil || windows%256 == 0 && ctx.Err() != nil
	})
	if w.err != nil {
		return nil, fmt.Errorf("emulator: %w", w.err)
	}
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	if opt.Record != nil {
		figures, err := json.Marshal(d.Figures())
		if err != nil {
			return nil, fmt.Errorf("emulator: figures: %w", err)
		}
		if err := w.rec.write(opt.Record, figures, end); err != nil {
			return nil, err
		}
	}
	return w.report(end), nil
}

// Judge emulates a day and has the rules' checker read its trace.
func Judge(ctx context.Context, d *scenario.Day, opt Options) (*Report, *rules.Verdict, error) {
	r, out := io.Pipe()
	type judged struct {
		v   *rules.Verdict
		err error
	}
	done := make(chan judged, 1)
	go func() {
		v, err := rules.Check(r)
		_ = r.CloseWithError(err)
		done <- judged{v, err}
	}()
	opt.Record = out
	rep, err := Run(ctx, d, opt)
	_ = out.CloseWithError(err)
	j := <-done
	if err != nil {
		return nil, nil, err
	}
	return rep, j.v, j.err
}
