// Package planner owns the arithmetic of capacity: which limit a load meets first on a fleet, at what multiple of
// itself, what more nodes or fewer would change, and why. It must not do I/O or run anything; internal/lab/planrun tries
// its answers by emulation.
package planner

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
)

// Class is the load of one class, as means.
type Class struct {
	Name          string
	PerSecond     float64 // submissions, over all schedulers
	Life          float64 // seconds
	Cores, Memory float64 // asked by one job
	UseCores      float64 // of what it asked, in use
	UseMemory     float64
	Services      int
	Spread        string // "", machine, cell, zone: where Most bounds a service's jobs of one scheduler
	Most          int
	GiveUp        float64 // seconds that an owner waits
}

// running is how many of its jobs run at a time, by Little's law.
func (c *Class) running() float64 { return c.PerSecond * c.Life }

// Group is nodes of one kind in one place.
type Group struct {
	Name, Kind, Zone string
	Cell, Count      int
	Cores, Memory    float64 // of one node
}

// Fleet is nodes and what they do with asks.
type Fleet struct {
	Groups                    []Group
	Schedulers                int
	AcceptCores, AcceptMemory float64
	Look                      float64 // seconds to look at one ask
	StartSlots                int
	StartWork                 float64 // seconds of a start whose program is kept
	FreshFactor               float64
	ColdOffers                float64 // that a fresh node bears within FallWindow
	FallWindow                float64 // seconds
	ColdFor                   float64
	MaxAttempts               int
	PlacementsPerSecond       float64 // that one scheduler's core bears, measured
}

// The kinds of limit.
const (
	CoresAsked   = "cores asked"
	MemoryAsked  = "memory asked"
	CoresUsed    = "cores in use"
	MemoryUsed   = "memory in use"
	StartPace    = "start pace"
	AskLine      = "ask line"
	SpreadRoom   = "spread room"
	SchedulerCPU = "scheduler CPU"
	Whole        = "room for whole jobs"
	TooLarge     = "no node is large enough"

	sheddingShare = 0.01 // of jobs that find no room, at which a limit on room counts as met
)

// Limit is one limit and how far the load is from it.
type Limit struct {
	Name     string
	Class    string  // empty: of all classes together
	Multiple float64 // of the load at which it is met; 0: it is met by any load
	// Low and High bound Multiple where chance and sight matter: a scheduler that sees nothing of a node's room, and one
	// that sees all, shed 1 job in 100 there. Elsewhere they are Multiple.
	Low, High float64
	Share     float64 // of it that the load takes now
	// ByNodes tells whether more nodes move it.
	ByNodes bool
	Why     string
}

func (l Limit) String() string {
	of := "all classes"
	if l.Class != "" {
		of = l.Class
	}
	between := ""
	if l.Low < l.High {
		between = fmt.Sprintf(" (%.2f to %.2f)", l.Low, l.High)
	}
	return fmt.Sprintf("%-24s %-12s at %6.2f times the load%s: %s", l.Name, of, l.Multiple, between, l.Why)
}

func limit(name, class string, share float64, byNodes bool, why string, args ...any) Limit {
	m := math.Inf(1)
	if share > 0 {
		m = 1 / share
	}
	return Limit{Name: name, Class: class, Multiple: m, Low: m, High: m, Share: share, ByNodes: byNodes,
		Why: fmt.Sprintf(why, args...)}
}

// shed turns a limit on room into the multiple at which 1 job in 100 finds none. slots is how many jobs one node of a
// group holds; running is how many run at a time now.
//
// High: all nodes are one pool, Erlang's loss formula. Low: a job tries MaxAttempts nodes at random and is lost when
// all are full. A scheduler knows its own share of the load, so the truth lies between, nearer to the pool the fewer
// schedulers there are: the geometric mean, weighted by one over the root of their number.
func (f *Fleet) shed(l Limit, running float64, slots func(g *Group) float64) Limit {
	pool := 0.0
	for i := range f.Groups {
		pool += float64(f.Groups[i].Count) * math.Floor(slots(&f.Groups[i])+1e-9)
	}
	if running <= 0 || pool <= 0 {
		return l
	}
	l.High = poissonRate(pool, sheddingShare) / running
	each := math.Pow(sheddingShare, 1/float64(max(f.MaxAttempts, 1))) // so often a node may be full
	lo, hi := 0.0, 8.0
	carried := 0.0
	for range 50 { // load offered for each slot
		rho := (lo + hi) / 2
		full, sum := 0.0, 0.0
		for i := range f.Groups {
			n := math.Floor(slots(&f.Groups[i]) + 1e-9)
			b := erlangB(n, rho*n)
			share := float64(f.Groups[i].Count) * n
			full += b * share / pool
			sum += share * rho * (1 - b)
		}
		if full > each {
			hi = rho
		} else {
			lo, carried = rho, sum
		}
	}
	l.Low = min(carried/running, l.High)
	sight := 1 / math.Sqrt(float64(max(f.Schedulers, 1)))
	l.Multiple = math.Pow(l.High, sight) * math.Pow(l.Low, 1-sight)
	return l
}

// Nodes is the number of nodes.
func (f *Fleet) Nodes() int {
	n := 0
	for _, g := range f.Groups {
		n += g.Count
	}
	return n
}

func (f *Fleet) total() (cores, memory float64) {
	for _, g := range f.Groups {
		cores += float64(g.Count) * g.Cores
		memory += float64(g.Count) * g.Memory
	}
	return cores, memory
}

// places counts the places of an extent.
func (f *Fleet) places(extent string) int {
	seen := map[string]bool{}
	n := 0
	for _, g := range f.Groups {
		switch extent {
		case "machine":
			n += g.Count
		case "cell":
			seen[fmt.Sprint(g.Zone, "/", g.Cell)] = true
		case "zone":
			seen[g.Zone] = true
		}
	}
	return n + len(seen)
}

// Limits lists every limit of a load on a fleet, the first to be met first.
func Limits(f *Fleet, load []Class) []Limit {
	cores, memory := f.total()
	var asked, askedMemory, used, usedMemory, perSecond, starts, running float64
	for i := range load {
		c := &load[i]
		n := c.running()
		running += n
		asked += n * c.Cores
		askedMemory += n * c.Memory
		used += n * c.Cores * c.UseCores
		usedMemory += n * c.Memory * c.UseMemory
		perSecond += c.PerSecond
		starts += c.PerSecond * f.startSeconds(c)
	}
	// Where large and small jobs mix, room is counted in jobs of the mean size.
	size, sizeMemory := asked/max(running, 1e-9), askedMemory/max(running, 1e-9)
	all := []Limit{
		f.shed(limit(CoresAsked, "", asked/(cores*f.AcceptCores), true,
			"%.0f cores asked at a time of %.0f that nodes accept", asked,
			cores*f.AcceptCores), running, func(g *Group) float64 { return g.Cores * f.AcceptCores / size }),
		f.shed(limit(MemoryAsked, "", askedMemory/(memory*f.AcceptMemory), true,
			"%.0f GiB asked at a time of %.0f", askedMemory,
			memory*f.AcceptMemory), running, func(g *Group) float64 { return g.Memory * f.AcceptMemory / sizeMemory }),
		limit(CoresUsed, "", used/cores, true, "%.0f cores in use of %.0f; beyond, tasks are served worse",
			used, cores),
		limit(MemoryUsed, "", usedMemory/memory, true, "%.0f GiB in use of %.0f; beyond, nodes evict",
			usedMemory, memory),
		limit(StartPace, "", starts/float64(f.Nodes()*f.StartSlots), true,
			"%.1f starts are under way at a time of %d that nodes make", starts, f.Nodes()*f.StartSlots),
		limit(AskLine, "", perSecond*f.Look/float64(f.Nodes()), true, "nodes look at asks for %.0f%% of their time",
			100*perSecond*f.Look/float64(f.Nodes())),
	}
	if f.PlacementsPerSecond > 0 {
		share := perSecond / (f.PlacementsPerSecond * float64(f.Schedulers))
		all = append(all, limit(SchedulerCPU, "", share, false,
			"%.0f placements a second of %.0f that %d schedulers bear",
			perSecond, f.PlacementsPerSecond*float64(f.Schedulers), f.Schedulers))
	}
	for i := range load {
		all = append(all, f.ofClass(&load[i])...)
	}
	slices.SortStableFunc(all, func(a, b Limit) int { return cmp.Compare(a.Multiple, b.Multiple) })
	return all
}

// startSeconds is the mean work of a start: a program is kept on few of the nodes that a rare service meets.
func (f *Fleet) startSeconds(c *Class) float64 {
	perService := c.running() / float64(max(c.Services, 1))
	kept := 1 - math.Exp(-perService) // chance that one of the service runs where the next goes, when they keep homes
	return f.StartWork * (kept + (1-kept)*max(f.FreshFactor, 1))
}

func (f *Fleet) ofClass(c *Class) []Limit {
	var all []Limit
	slots := 0.0
	for _, g := range f.Groups {
		slots += float64(g.Count) * math.Floor(min(g.Cores*f.AcceptCores/c.Cores,
			g.Memory*f.AcceptMemory/c.Memory)+1e-9)
	}
	if slots == 0 {
		return []Limit{{Name: TooLarge, Class: c.Name,
			Why: fmt.Sprintf("%.4g cores and %.4g GiB fit no node, full or empty",
				c.Cores, c.Memory)}}
	}
	all = append(all, f.shed(limit(Whole, c.Name, c.running()/slots, true,
		"%.0f run at a time of %.0f that fit whole",
		c.running(), slots), c.running(), func(g *Group) float64 {
		return min(g.Cores*f.AcceptCores/c.Cores, g.Memory*f.AcceptMemory/c.Memory)
	}))
	if c.Spread != "" && c.Most > 0 {
		places := f.places(c.Spread)
		room := float64(places * c.Most * max(f.Schedulers, 1))
		perService := c.running() / float64(max(c.Services, 1))
		// Owners turn to any scheduler, so a service's jobs are spread over them by chance: the fullest share of one
		// scheduler meets its bound first.
		mean := perService / float64(max(f.Schedulers, 1))
		bound := float64(places * c.Most)
		l := limit(SpreadRoom, c.Name, mean/poissonRate(bound, sheddingShare), c.Spread == "machine",
			"%.1f of a service run at a time; %d schedulers may have %d in each of %d places, %.0f in all", perService,
			f.Schedulers, c.Most, places, room)
		all = append(all, l)
	}
	return all
}

// poissonRate is the mean number of jobs at a time at which the share that finds `bound` of them is p: Erlang's loss
// formula, solved for the load.
func poissonRate(bound, p float64) float64 {
	lo, hi := 0.0, 2*bound+1
	for range 60 {
		mid := (lo + hi) / 2
		if erlangB(bound, mid) > p {
			hi = mid
		} else {
			lo = mid
		}
	}
	return lo
}

// erlangB is the share of arrivals that find all servers busy, for a offered load in erlangs.
func erlangB(servers, a float64) float64 {
	if a <= 0 {
		return 0
	}
	b := 1.0
	for k := 1.0; k <= servers; k++ {
		b = a * b / (k + a*b)
	}
	return b
}

// First is the first limit of all, and of each class the first that is its own or everyone's.
func First(limits []Limit) (all Limit, byClass map[string]Limit) {
	byClass = map[string]Limit{}
	for _, l := range slices.Backward(limits) {
		all = l
		if l.Class != "" {
			byClass[l.Class] = l
			continue
		}
		for c := range byClass {
			byClass[c] = l
		}
	}
	return all, byClass
}

// Lose is the fleet without the nodes that match: of a zone, a zone/cell, or a kind.
func (f *Fleet) Lose(zone string, cell int, kind string) *Fleet {
	g := *f
	g.Groups = nil
	for _, x := range f.Groups {
		if (zone == "" || x.Zone == zone) && (cell < 0 || x.Cell == cell) && (kind == "" || x.Kind == kind) {
			continue
		}
		g.Groups = append(g.Groups, x)
	}
	return &g
}

// Need is how many nodes a goal takes.
type Need struct {
	Kind  string
	Nodes int // more than there are now; -1: no number of them meets the goal
	Why   string
}

// NodesFor tells, for each kind, how many more nodes of it, shared evenly among the zones, the load times multiple
// needs. Limits that nodes don't move make it impossible, with the clause.
func NodesFor(f *Fleet, load []Class, multiple float64) []Need {
	var kinds []Group
	var zones []string
	for _, g := range f.Groups {
		if !slices.ContainsFunc(kinds, func(k Group) bool { return k.Kind == g.Kind }) {
			kinds = append(kinds, g)
		}
		if !slices.Contains(zones, g.Zone) {
			zones = append(zones, g.Zone)
		}
	}
	var needs []Need
	for _, k := range kinds {
		needs = append(needs, nodesOf(f, load, multiple, k, zones))
	}
	return needs
}

const mostNodes = 1 << 17

func nodesOf(f *Fleet, load []Class, multiple float64, k Group, zones []string) Need {
	with := func(n int) *Fleet {
		g := *f
		g.Groups = slices.Clone(f.Groups)
		for i, z := range zones {
			share := n / len(zones)
			if i < n%len(zones) {
				share++
			}
			if share > 0 {
				x := k
				x.Zone, x.Count, x.Name = z, share, "more"
				g.Groups = append(g.Groups, x)
			}
		}
		return &g
	}
	met := func(n int) (Limit, bool) {
		l := Limits(with(n), load)[0]
		return l, l.Multiple >= multiple
	}
	last := Limit{}
	hi := 0
	for {
		l, ok := met(hi)
		if ok {
			break
		}
		if last = l; !l.ByNodes || hi >= mostNodes {
			return Need{k.Kind, -1, last.String()}
		}
		hi = max(2*hi, 1)
	}
	lo := hi / 2
	for lo < hi {
		mid := (lo + hi) / 2
		if _, ok := met(mid); ok {
			hi = mid
		} else {
			lo = mid + 1
		}
	}
	why := "the goal is met with what is there"
	if hi > 0 {
		l, _ := met(hi - 1)
		why = "with one fewer: " + l.String()
	}
	return Need{k.Kind, hi, why}
}

// Wave is what replacing nodes costs.
type Wave struct {
	OffersPerSecond float64 // that one fresh node gets while it is cold, over all schedulers
	Lost            float64 // share of the fleet's start pace that is missing while so many are cold
	Why             string
}

// Replace tells what it costs to replace so many nodes at once: while they are cold, schedulers send them no more than
// what they always bear.
func (f *Fleet) Replace(nodes int) Wave {
	per := 0.0
	if f.FallWindow > 0 {
		per = f.ColdOffers / (1.5 * f.FallWindow) // schedulers widen the window by half
	}
	share := float64(min(nodes, f.Nodes())) / float64(max(f.Nodes(), 1))
	return Wave{per, share, fmt.Sprintf("%d nodes are cold for %.3gs and get %.3g offers a second each", nodes,
		f.ColdFor, per)}
}

// Table is limits in words.
func Table(limits []Limit) string {
	var b strings.Builder
	for _, l := range limits {
		fmt.Fprintln(&b, l)
	}
	return b.String()
}
