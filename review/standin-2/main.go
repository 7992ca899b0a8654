// Command standin2 plays one case of the review against a scheduler: it is the platform, the nodes and the owners.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

var errNotReady = errors.New("the scheduler was not ready within 30 s")

// play is what a case gets.
type play struct {
	rec     *recorder
	root    string
	dir     string
	trouble bool
	more    []server // nodes that cluster lists beside its own
}

var cases = map[string]func(p *play) (broken []string, err error){
	"memory":  playMemory,
	"links":   playLinks,
	"little":  playLittle,
	"hang":    playHang,
	"foreign": playForeign,
}

func main() {
	name := flag.String("case", "", "the case")
	root := flag.String("root", "", "the root of the repository")
	record := flag.String("record", "record.txt", "the record")
	nodeID := flag.String("node", "", "run a node of this name instead of a case")
	flag.Parse()
	if *nodeID != "" {
		os.Exit(runNode(*nodeID))
	}
	os.Exit(run(*name, *root, *record))
}

func run(name, root, record string) int {
	playCase := cases[name]
	if playCase == nil {
		fmt.Println("unknown case", name)
		return exitNotRun
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	defer func() { _ = os.RemoveAll(dir) }()
	rec, err := newRecorder(record)
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	defer rec.close()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.say("case %s, trouble: %v", name, trouble)
	broken, err := playCase(&play{rec: rec, root: root, dir: dir, trouble: trouble})
	if err != nil {
		rec.say("the case could not run: %v", err)
		return exitNotRun
	}
	for i, text := range broken {
		if i == 10 {
			rec.say("... %d more", len(broken)-i)
			break
		}
		rec.say("broken: %s", text)
	}
	if len(broken) > 0 {
		return exitBroken
	}
	rec.say("held")
	return exitHeld
}

// cluster is a feed with nodes and a scheduler that has passed its first test.
type cluster struct {
	feed   *feed
	nodes  []*node
	sched  *scheduler
	owners *owners
}

func (p *play) cluster(nodes int, l limits, set map[string]any, prepare func(n *node)) (*cluster, error) {
	f, err := newFeed()
	if err != nil {
		return nil, err
	}
	c := &cluster{feed: f}
	var servers []server
	zones := []string{"sala-a", "sala-b", "sala-c"}
	for i := range nodes {
		n, err := newNode(fmt.Sprintf("s-%04d", i), p.rec)
		if err != nil {
			return nil, err
		}
		prepare(n)
		n.start()
		c.nodes = append(c.nodes, n)
		entry := server{ID: n.id, Addr: n.addr(), Zone: zones[i%3], Kind: "std", Cell: i / 4, State: "active", Weight: 1}
		servers = append(servers, entry)
	}
	f.add(true, append(servers, p.more...)...)
	if c.sched, err = newScheduler(p.rec, p.dir, p.root, l, f, set); err != nil {
		return nil, err
	}
	if err := c.sched.run(); err != nil {
		return nil, err
	}
	c.owners = newOwners(c.sched.addr, p.rec)
	if !c.owners.ready(30 * time.Second) {
		c.sched.kill()
		return nil, errNotReady
	}
	return c, nil
}
