package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

// quietClient asked once and keeps a connection for good. It connects anew whenever the scheduler closes its connection.
type quietClient struct {
	*owners
	request *request
}

// keepConnected connects, hands the client's task over if it is told to, and connects again when the connection has ended.
func (q *quietClient) keepConnected(handOver string) {
	for i := 0; ; i++ {
		conn, err := q.dial(fmt.Sprint("quiet ", q.host, " ", i))
		if err != nil {
			return
		}
		if handOver != "" && i == 0 {
			t := task{class: "safe", service: "s" + q.host, cores: 1, memory: 2, left: 6 * time.Second, at: handOver}
			conn.handOver(q.request.id, t)
		}
		<-conn.ended
	}
}

// playForeign has twelve clients with one task each, which keep a connection and say no more, and a client that goes on asking.
// With the disruption, the scheduler is killed and started again.
func playForeign(p *play) ([]string, error) {
	const quietCount = 12
	var mu sync.Mutex
	ends := map[string]taskEnd{}
	life := 18 * time.Second
	c, err := p.cluster(6, limits{0.25, 64, 256}, baseSettings(), func(n *node) {
		n.life = func() time.Duration {
			mu.Lock()
			defer mu.Unlock()
			return life
		}
		n.onEnd = func(task string) {
			mu.Lock()
			defer mu.Unlock()
			ends[task] = taskEnd{time.Now(), n}
		}
	})
	if err != nil {
		return nil, err
	}
	defer c.sched.kill()
	host := c.sched.addr[:strings.LastIndex(c.sched.addr, ".")]
	var quiet []*quietClient
	for i := range quietCount {
		q := &quietClient{owners: newOwners(c.sched.addr, p.rec)}
		q.next += uint64(i+1) << 32
		q.host = fmt.Sprintf("%s.%d", host, 10+i)
		conn, err := q.dial("quiet " + q.host)
		if err != nil {
			return nil, err
		}
		q.request = conn.submit(task{class: "safe", service: "s" + q.host, cores: 1, memory: 2, left: 6 * time.Second})[0]
		quiet = append(quiet, q)
	}
	time.Sleep(2 * time.Second)
	if p.trouble {
		c.sched.signal(syscall.SIGKILL)
		<-c.sched.done
		time.Sleep(time.Second)
		if err := c.sched.run(); err != nil {
			return nil, err
		}
		if !c.owners.ready(30 * time.Second) {
			return nil, errNotReady
		}
		for _, q := range quiet {
			for _, n := range c.nodes {
				if n.held()[q.request.id] {
					go q.keepConnected(n.id)
				}
			}
		}
	}
	mu.Lock()
	life = 8 * time.Second
	mu.Unlock()
	busy, err := c.owners.dial("busy")
	if err != nil {
		return nil, err
	}
	for i := range 90 {
		busy.submit(task{class: "safe", service: fmt.Sprint("t", i/10), cores: 1, memory: 2, left: 6 * time.Second})
		time.Sleep(200 * time.Millisecond)
	}
	time.Sleep(2 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	var broken []string
	for _, q := range quiet {
		if end, ok := ends[q.request.id]; ok && !q.toldInTime(end) {
			broken = append(broken, fmt.Sprintf("task %s of the client at %s ended %.1f s ago, and its client was not told; "+
				"told to another client: %v", q.request.id, q.host, time.Since(end.at).Seconds(), c.owners.strange(q.request.id)))
		}
	}
	p.rec.say("%d quiet clients, %d tasks have ended in all", len(quiet), len(ends))
	return broken, nil
}

// toldInTime reports whether the client was told of the end of its task within 1 s of the node's release. It is true if the
// node could not send the release or that time is not over.
func (q *quietClient) toldInTime(end taskEnd) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	sent, ok := end.node.firstSent(q.request.id)
	if q.request.answer != placedAnswer || !ok || time.Since(sent) <= noticeOfRelease {
		return true
	}
	return !q.request.overAt.IsZero() && q.request.overAt.Sub(sent) <= noticeOfRelease
}
