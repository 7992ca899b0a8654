package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// The rule on notifications, with the slack of every time limit.
const (
	noticeOfRelease = time.Second + 50*time.Millisecond
	noticeOfEnd     = 8*time.Second + 50*time.Millisecond
)

// taskEnd is the end of a task at its node.
type taskEnd struct {
	at   time.Time
	node *node
}

// playLinks has 400 nodes and a scheduler with 256 descriptors. With the disruption, another program takes a part of 45 in 100
// nodes, so that these report once a second how their tasks are served.
func playLinks(p *play) ([]string, error) {
	const nodes, crowdedInHundred, perService = 400, 45, 10
	var mu sync.Mutex
	ends := map[string]taskEnd{}
	rng := rand.New(rand.NewPCG(1, 2))
	prepared := 0
	c, err := p.cluster(nodes, limits{0.25, 64, 256}, baseSettings(), func(n *node) {
		n.crowded = p.trouble && prepared%100 < crowdedInHundred
		prepared++
		n.life = func() time.Duration { // 13 to 34 s
			mu.Lock()
			defer mu.Unlock()
			return 13*time.Second + time.Duration(rng.Int64N(int64(21*time.Second)))
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
	var conns []*ownerConn
	for i := range 8 {
		conn, err := c.owners.dial(fmt.Sprint("o", i))
		if err != nil {
			return nil, err
		}
		conns = append(conns, conn)
	}
	var reqs []*request
	for start, i := time.Now(), 0; time.Since(start) < 60*time.Second; i++ {
		reqs = append(reqs, conns[i%len(conns)].submit(task{class: "spread", service: fmt.Sprint("s", i/perService),
			cores: 1, memory: 2, left: 6 * time.Second})...)
		time.Sleep(40 * time.Millisecond)
	}
	time.Sleep(10 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	return p.judgeNotices(c.owners, reqs, ends), nil
}

// judgeNotices checks that the owner of each task that has ended was told in time.
func (p *play) judgeNotices(o *owners, reqs []*request, ends map[string]taskEnd) (broken []string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	placed, ended, longest := 0, 0, time.Duration(0)
	for _, r := range reqs {
		if r.answer != placedAnswer {
			continue
		}
		placed++
		end, ok := ends[r.id]
		if !ok {
			continue
		}
		ended++
		told := r.overAt
		if told.IsZero() {
			told = time.Now()
		}
		longest = max(longest, told.Sub(end.at))
		if told.Sub(end.at) <= noticeOfEnd {
			continue
		}
		// The node could send the release within 8 s, and the owner was told within 1 s of it.
		sent, ok := end.node.firstSent(r.id)
		if ok && sent.Sub(end.at) <= 8*time.Second && !r.overAt.IsZero() && r.overAt.Sub(sent) <= noticeOfRelease {
			continue
		}
		broken = append(broken, fmt.Sprintf("task %s on %s ended, and its owner was not told within 8 s (told: %v, after %.1f s)",
			r.id, end.node.id, !r.overAt.IsZero(), told.Sub(end.at).Seconds()))
	}
	p.rec.say("%d requests, %d placed, %d ended, longest time until the owner was told: %.2f s", len(reqs), placed, ended,
		longest.Seconds())
	return broken
}
