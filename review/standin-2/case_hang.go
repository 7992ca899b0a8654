package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// runNode is a process with one node. It prints its address, and then what the node does, with the time.
func runNode(id string) int {
	out := &recorder{out: bufio.NewWriterSize(os.Stdout, 1), start: time.Now()}
	out.stamp = func() string { return strconv.FormatInt(time.Now().UnixNano(), 10) }
	n, err := newNode(id, out)
	if err != nil {
		return exitNotRun
	}
	n.life = randomLife(3)
	n.start()
	out.add("addr %s", n.addr())
	_, _ = io.Copy(io.Discard, os.Stdin) // ends with the process that started this one
	return 0
}

// randomLife returns a function that draws how long tasks run: 13 to 34 s.
func randomLife(seed uint64) func() time.Duration {
	var mu sync.Mutex
	rng := rand.New(rand.NewPCG(seed, 2))
	return func() time.Duration {
		mu.Lock()
		defer mu.Unlock()
		return 13*time.Second + time.Duration(rng.Int64N(int64(21*time.Second)))
	}
}

// nodeProcess is a node in a process of its own.
type nodeProcess struct {
	cmd  *exec.Cmd
	id   string
	addr chan string

	mu   sync.Mutex
	ends map[string]time.Time // by task
	sent map[string]time.Time // when the release of a task was first sent
}

func (p *play) startNode(id string) (*nodeProcess, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	n := &nodeProcess{id: id, addr: make(chan string, 1), ends: map[string]time.Time{}, sent: map[string]time.Time{}}
	n.cmd = exec.Command(self, "-node", id)
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if _, err = n.cmd.StdinPipe(); err != nil {
		return nil, err
	}
	out, err := n.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := n.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		lines := bufio.NewScanner(out)
		for lines.Scan() {
			n.handleLine(p.rec, lines.Text())
		}
	}()
	return n, nil
}

// handleLine handles a line of the node's process.
func (n *nodeProcess) handleLine(rec *recorder, line string) {
	stamp, text, _ := strings.Cut(strings.TrimSpace(line), " ")
	nanos, _ := strconv.ParseInt(stamp, 10, 64)
	at := time.Unix(0, nanos)
	rec.add("%s (at %.3f)", text, at.Sub(rec.start).Seconds())
	fields := strings.Fields(text)
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case fields[0] == "addr":
		n.addr <- fields[1]
	case len(fields) > 5 && fields[2] == "end" && fields[6] == "16,":
		n.ends[fields[4]] = at
		if strings.HasSuffix(text, "true") {
			n.sent[fields[4]] = at
		}
	case len(fields) > 5 && fields[2] == "release" && fields[6] == "sent":
		if _, ok := n.sent[fields[3]]; !ok {
			n.sent[fields[3]] = at
		}
	}
}

// playHang has twenty nodes. With the disruption, one of them hangs for 10 s.
func playHang(p *play) ([]string, error) {
	hung, err := p.startNode("s-0019")
	if err != nil {
		return nil, err
	}
	defer func() {
		_ = hung.cmd.Process.Signal(syscall.SIGCONT)
		_ = hung.cmd.Process.Kill()
		_ = hung.cmd.Wait()
	}()
	p.more = []server{{ID: hung.id, Addr: <-hung.addr, Zone: "sala-b", Kind: "std", Cell: 4, State: "active", Weight: 1}}
	c, err := p.cluster(19, limits{0.25, 64, 256}, baseSettings(), func(n *node) { n.life = randomLife(4) })
	if err != nil {
		return nil, err
	}
	defer c.sched.kill()
	var conns []*ownerConn
	for i := range 8 {
		conn, err := c.owners.dial(fmt.Sprint("o", i))
		if err != nil {
			return nil, err
		}
		conns = append(conns, conn)
	}
	if p.trouble {
		go func() {
			time.Sleep(20 * time.Second)
			p.rec.say("node %s hangs", hung.id)
			_ = hung.cmd.Process.Signal(syscall.SIGSTOP)
			time.Sleep(10 * time.Second)
			p.rec.say("node %s goes on", hung.id)
			_ = hung.cmd.Process.Signal(syscall.SIGCONT)
		}()
	}
	for start, i := time.Now(), 0; time.Since(start) < 45*time.Second; i++ {
		t := task{class: "safe", service: fmt.Sprint("s", i/10), cores: 1, memory: 2, left: 6 * time.Second}
		conns[i%len(conns)].submit(t)
		time.Sleep(40 * time.Millisecond)
	}
	time.Sleep(10 * time.Second)
	return hung.judge(p, c.owners), nil
}

// judge checks that the owners of the node's tasks were told of their ends in time.
func (n *nodeProcess) judge(p *play, o *owners) (broken []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	o.mu.Lock()
	defer o.mu.Unlock()
	for id, at := range n.ends {
		r := o.reqs[id]
		if r == nil || r.answer != placedAnswer || time.Since(at) <= noticeOfEnd {
			continue
		}
		sent, wasSent := n.sent[id]
		inTime := !r.overAt.IsZero() && (r.overAt.Sub(at) <= noticeOfEnd || wasSent && r.overAt.Sub(sent) <= noticeOfRelease)
		if !inTime {
			broken = append(broken, fmt.Sprintf("task %s on %s ended %.1f s ago, and its owner was not told in time (told: %v, "+
				"release sent: %v)", id, n.id, time.Since(at).Seconds(), !r.overAt.IsZero(), wasSent))
		}
	}
	p.rec.say("%d tasks ended at %s", len(n.ends), n.id)
	return broken
}
