package main

import (
	"fmt"
	"time"
)

// playLittle has an owner with requests that wait for their answers. With the disruption, a service whose time is nearly over
// asks once more for its eight tasks on the same connection.
func playLittle(p *play) ([]string, error) {
	c, err := p.cluster(3, limits{0.25, 64, 256}, baseSettings(), func(n *node) { n.admit = 40 * time.Millisecond })
	if err != nil {
		return nil, err
	}
	defer c.sched.kill()
	var reqs []*request
	for round := range 5 {
		conn, err := c.owners.dial(fmt.Sprint("o", round))
		if err != nil {
			return nil, err
		}
		var usual []task
		for i := range 24 {
			usual = append(usual, task{class: "safe", service: fmt.Sprint("s", i/8), cores: 1, memory: 2, left: 6 * time.Second})
		}
		reqs = append(reqs, conn.submit(usual...)...)
		// A set-up that crosses a close within 50 ms would be sent once more, so all of these are older by then.
		time.Sleep(100 * time.Millisecond)
		if p.trouble {
			var little []task
			for range 8 {
				little = append(little, task{class: "safe", service: "late", cores: 1, memory: 2, left: 600 * time.Microsecond,
					leftText: "0.6"})
			}
			conn.submit(little...)
		}
		time.Sleep(2 * time.Second)
	}
	time.Sleep(5 * time.Second)
	p.rec.say("%d requests with 6 s left", len(reqs))
	return c.owners.unanswered(reqs), nil
}
