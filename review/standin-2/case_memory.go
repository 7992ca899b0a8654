package main

import (
	"fmt"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// watchMemory is the platform: it kills the scheduler when that is over its memory limit. Only memory that no file backs counts
// here, which is less than the platform counts. peak is the highest figure in KiB.
func (p *play) watchMemory(s *scheduler, over *atomic.Bool, peak *atomic.Int64) {
	for !s.ended() {
		mb := s.memoryMB()
		peak.Store(max(peak.Load(), int64(mb*1024)))
		if mb > float64(s.limits.MemoryMB) {
			over.Store(true)
			p.rec.say("the scheduler holds %.1f MB, its limit is %d MB", mb, s.limits.MemoryMB)
			s.signal(syscall.SIGKILL)
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// playMemory has eight clients that send 250 requests at once, each within 16 KiB.
func playMemory(p *play) ([]string, error) {
	const badClients, badRequests, badBytes = 8, 250, 15800
	c, err := p.cluster(9, limits{0.25, 64, 256}, baseSettings(), func(n *node) {
		n.admit = 20 * time.Millisecond
		n.maxTasks = 60
	})
	if err != nil {
		return nil, err
	}
	defer c.sched.kill()
	var over atomic.Bool
	var peak atomic.Int64
	go p.watchMemory(c.sched, &over, &peak)
	conn, err := c.owners.dial("o0")
	if err != nil {
		return nil, err
	}
	bad := newOwners(c.sched.addr, p.rec)
	burst := func(name string) {
		b, err := bad.dial(name)
		if err != nil {
			return
		}
		tasks := make([]task, badRequests)
		for i := range tasks {
			tasks[i] = task{class: "safe", service: "b", cores: 0.5, memory: 1, left: 6 * time.Second,
				sdp: "bad " + strings.Repeat("x", badBytes)}
		}
		b.submit(tasks...)
		time.Sleep(3 * time.Second)
		_ = b.conn.Close()
	}
	var reqs []*request
	start := time.Now()
	for i := 0; time.Since(start) < 15*time.Second && !over.Load(); i++ {
		t := task{class: "safe", service: fmt.Sprint("s", i/10), cores: 0.5, memory: 1, left: 6 * time.Second}
		reqs = append(reqs, conn.submit(t)...)
		if p.trouble && i%100 == 50 {
			for k := range badClients {
				go burst(fmt.Sprint("bad", i, "-", k))
			}
		}
		time.Sleep(40 * time.Millisecond)
	}
	time.Sleep(7 * time.Second)
	p.rec.say("%d requests of the usual client, highest memory %.1f MB", len(reqs), float64(peak.Load())/1024)
	broken := c.owners.unanswered(reqs)
	if over.Load() {
		broken = append([]string{"the scheduler went over its memory limit and was killed"}, broken...)
	}
	return broken, nil
}
