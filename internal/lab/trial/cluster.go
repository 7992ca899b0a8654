package trial

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"flaxshelf.example/flaxshelf/internal/lab/recordproxy"
	"flaxshelf.example/flaxshelf/internal/lab/rules"
	"flaxshelf.example/flaxshelf/internal/lab/scenario"
	"flaxshelf.example/flaxshelf/internal/lab/standin/fleet"
	"flaxshelf.example/flaxshelf/internal/lab/standin/host"
	"flaxshelf.example/flaxshelf/internal/lab/standin/inventorymodel"
	"flaxshelf.example/flaxshelf/internal/lab/standin/nodemodel"
	"flaxshelf.example/flaxshelf/internal/settings"
)

// startWithin is how long a scheduler's process may take until it answers.
const startWithin = 15 * time.Second

// cluster is the deployment of one trial: the inventory and the nodes in this process, each scheduler in one of
// its own, and a recording proxy before each party.
type cluster struct {
	day        *scenario.Day
	opt        Options
	dir        string
	rec        *recordproxy.Recorder
	log        zerolog.Logger
	inv        *host.Inventory
	nodes      []*node
	schedulers []*process
	rooms      map[string]nodemodel.Keys
	ending     sync.WaitGroup // nodes that have died
}

// node is a place in the fleet, in which one life of a node follows another.
type node struct {
	c     *cluster
	index int
	group scenario.Group
	name  string
	proxy *recordproxy.Proxy

	mu    sync.Mutex
	life  *host.Node
	lives int
	fault nodemodel.Fault
}

// process is a scheduler, in which one process follows another.
type process struct {
	c      *cluster
	index  int
	name   string
	client *recordproxy.Proxy
	list   *recordproxy.Proxy
	config string
	taps   []string

	mu     sync.Mutex
	addr   string
	cmd    *exec.Cmd
	exited chan struct{}
	err    error
	lives  int
}

func newCluster(ctx context.Context, d *scenario.Day, opt Options, dir string,
	rec *recordproxy.Recorder) (*cluster, error) {
	c := &cluster{day: d, opt: opt, dir: dir, rec: rec, log: zerolog.Nop(), rooms: map[string]nodemodel.Keys{}}
	var err error
	c.inv, err = host.StartInventory("127.0.0.1:0", inventorymodel.Config{DiscoveryDelay: d.DiscoveryDelay.Duration(),
		RemovalDelay: d.RemovalDelay.Duration()}, c.log)
	if err != nil {
		return nil, err
	}
	for _, p := range d.Places() {
		g := *p.Group
		if c.rooms[g.Zone] == nil {
			c.rooms[g.Zone] = host.NewRoom()
		}
		n := &node{c: c, index: len(c.nodes), group: g, name: p.Name}
		if n.proxy, err = recordproxy.NewProxy(rec, rules.NodeWire, n.name, "", n.addr); err != nil {
			return c, err
		}
		c.nodes = append(c.nodes, n)
		if err := n.boot(!g.Warm); err != nil {
			return c, err
		}
	}
	if err := c.inv.WaitFor(ctx, len(c.nodes)); err != nil {
		return c, err
	}
	for i := range d.Schedulers {
		p := &process{c: c, index: i, name: scenario.SchedulerName(i), config: filepath.Join(dir,
			scenario.SchedulerName(i)+".cue")}
		if p.client, err = recordproxy.NewProxy(rec, rules.ClientWire, p.name, "", p.target); err != nil {
			return c, err
		}
		if p.list, err = recordproxy.NewProxy(rec, rules.InventoryWire, "inventory", p.name, c.inv.Addr); err != nil {
			return c, err
		}
		c.schedulers = append(c.schedulers, p)
		if err := p.start(); err != nil {
			return c, err
		}
	}
	return c, nil
}

// close ends everything. Schedulers are asked to stop first, and killed if they don't.
func (c *cluster) close() error {
	var errs []error
	var wg sync.WaitGroup
	errs = make([]error, len(c.schedulers))
	for i, p := range c.schedulers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			errs[i] = p.end()
		}()
	}
	wg.Wait()
	for _, p := range c.schedulers {
		p.client.Close()
		p.list.Close()
	}
	for _, n := range c.nodes {
		n.die()
		n.proxy.Close()
	}
	c.ending.Wait()
	c.inv.Stop()
	return errors.Join(errs...)
}

func (n *node) addr() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.life == nil {
		return "127.0.0.1:1" // nobody listens there
	}
	return n.life.Addr()
}

// boot begins a life of the node.
func (n *node) boot(cold bool) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.life != nil {
		return nil
	}
	n.lives++
	set := settings.Node{Name: n.name, Kind: n.group.Kind, Zone: n.group.Zone, Cell: n.group.Cell, Warm: !cold}
	d := n.c.day
	life, err := host.StartNode(host.NodeOptions{Kind: n.group.Kind, Cell: n.group.Cell, Listen: "127.0.0.1:0",
		Model:     fleet.NodeModel(set, d.Kinds, d.Rules, d.Behaviour, n.c.opt.Seed+uint64(n.index*1000+n.lives)),
		Advertise: n.proxy.Addr(), Inventory: n.c.inv.Addr(), Room: n.c.rooms[n.group.Zone], Log: n.c.log})
	if err != nil {
		return fmt.Errorf("trial: %w", err)
	}
	n.life = life
	go func() {
		<-life.Done()
		if life.FellOver() {
			n.c.rec.Mark(rules.MarkFellOver, n.name)
			n.die()
		}
	}()
	return nil
}

// die ends the life of the node at once.
func (n *node) die() {
	n.mu.Lock()
	life := n.life
	n.life = nil
	n.fault = nodemodel.Fault{}
	n.mu.Unlock()
	if life != nil {
		n.c.rec.Mark(rules.MarkNodeDead, n.name)
		n.c.ending.Add(1)
		go func() { // its sockets may take a while to close; the crash is at once
			defer n.c.ending.Done()
			life.Stop()
		}()
	}
}

// do runs f with the model of the present life, if there is one.
func (n *node) do(f func(m *nodemodel.Node, now nodemodel.Time) []nodemodel.Send) {
	n.mu.Lock()
	life := n.life
	n.mu.Unlock()
	if life != nil {
		life.Do(f)
	}
}

// trouble changes the faults of the node.
func (n *node) trouble(change func(f *nodemodel.Fault)) {
	n.mu.Lock()
	change(&n.fault)
	f := n.fault
	n.mu.Unlock()
	n.do(func(m *nodemodel.Node, now nodemodel.Time) []nodemodel.Send { return m.SetFault(now, f) })
}

func (p *process) target() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.addr == "" {
		return "127.0.0.1:1"
	}
	return p.addr
}

// start begins a life of the scheduler.
func (p *process) start() error {
	p.mu.Lock()
	p.lives++
	tap := ""
	if p.c.opt.Replay {
		tap = filepath.Join(p.c.dir, fmt.Sprintf("%s-%d.tap", p.name, p.lives))
		p.taps = append(p.taps, tap)
		for i := 1; i < p.c.day.Cores; i++ {
			p.taps = append(p.taps, fmt.Sprintf("%s.%d", tap, i))
		}
	}
	seed := p.c.opt.Seed*1000 + uint64(p.index*100+p.lives) + 1
	p.mu.Unlock()
	text, err := p.c.day.SchedulerFile(p.index, p.list.Addr(), tap, seed)
	if err != nil {
		return err
	}
	if err := os.WriteFile(p.config, text, 0o600); err != nil {
		return fmt.Errorf("trial: %w", err)
	}
	cmd := p.c.opt.Command("serve", "--config", p.config)
	out, err := cmd.StdoutPipe()
	if err != nil {
		return fmt.Errorf("trial: %w", err)
	}
	log, err := os.OpenFile(filepath.Join(p.c.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("trial: %w", err)
	}
	defer log.Close()
	cmd.Stderr = log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // none outlives a trial that is killed
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("trial: start %s: %w", p.name, err)
	}
	lines := make(chan string, 1)
	exited := make(chan struct{})
	go func() {
		s := bufio.NewScanner(out)
		if s.Scan() {
			lines <- s.Text()
		}
		_, _ = io.Copy(io.Discard, out)
		err := cmd.Wait()
		p.mu.Lock()
		p.err = err
		p.mu.Unlock()
		close(exited)
	}()
	select {
	case line := <-lines:
		_, addr, ok := strings.Cut(line, "http://")
		if !ok {
			_ = cmd.Process.Kill()
			return fmt.Errorf("trial: %s says %q", p.name, line)
		}
		p.mu.Lock()
		p.addr, p.cmd, p.exited = addr, cmd, exited
		p.mu.Unlock()
		return nil
	case <-exited:
	case <-time.After(startWithin):
		_ = cmd.Process.Kill()
		<-exited
	}
	text, _ = os.ReadFile(filepath.Join(p.c.dir, p.name+".log"))
	return fmt.Errorf("trial: %s did not start: %.2000s", p.name, text)
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

// kill ends the process by force.
func (p *process) kill() {
	p.mu.Lock()
	cmd, exited := p.cmd, p.exited
	p.cmd, p.addr = nil, ""
	p.mu.Unlock()
	if cmd != nil {
		_ = cmd.Process.Kill()
		<-exited
		p.c.rec.Mark(rules.MarkKilled, p.name)
		p.client.Cut()
		p.list.Cut()
	}
}

// end asks the process to stop. It must leave with status 0 within the time that the day gives it.
func (p *process) end() error {
	p.mu.Lock()
	cmd, exited := p.cmd, p.exited
	p.cmd = nil
	p.mu.Unlock()
	if cmd == nil {
		return nil
	}
	_ = cmd.Process.Signal(syscall.SIGCONT)
	_ = cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-exited:
	case <-time.After(p.c.day.Limits.ShutdownTimeout.Duration() + 5*time.Second):
		_ = cmd.Process.Kill()
		<-exited
		return fmt.Errorf("trial: %s did not stop on SIGTERM", p.name)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.addr = ""
	if p.err != nil {
		return fmt.Errorf("trial: %s on SIGTERM: %w", p.name, p.err)
	}
	return nil
}
