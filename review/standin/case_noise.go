package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["noise"] = noise }

// noise: one in ten good answers of the nodes has noise in place of its description. Each request has to get its final
// answer, at most half a second after its time.
func noise(w *world) {
	const requests, answerSlack = 100, 550 * time.Millisecond
	var setUps atomic.Int64
	for i := range 4 {
		n := w.addNode(fmt.Sprintf("s-%d", i+1), []string{"sala-a", "sala-b", "sala-c"}[i%3])
		n.onSetUp = func(c *nodeConn, f *frame) bool {
			if setUps.Add(1)%10 != 0 || !w.trouble {
				return false
			}
			n.hold(c, f)
			w.log("%s: connection %d: answer to %016x with noise in its description", n.id, c.number, f.task)
			c.send(encodeFrame(typeAnswer, f.task, param{codeDescription, "\x9d\xff\x00\xfe\x81\xc0 noise \xf8"}))
			c.mu.Lock()
			c.useless = true // the page: the connection stays open, and is of no further use
			c.mu.Unlock()
			return true
		}
	}
	w.startFeed()
	s := w.newScheduler()
	s.run()
	o := w.newOwners(s)
	c := o.connectWhenReady("C1")
	var all sync.WaitGroup
	for i := range requests {
		r := &request{class: "leitura-sensores", key: fmt.Sprintf("task%d", i), service: fmt.Sprintf("svc%d", i%40),
			left: 6000, cores: 0.25, memory: 1}
		c.send(r)
		all.Go(func() {
			limit := time.Duration(r.left)*time.Millisecond + answerSlack
			first, ok := o.await(r.id, limit, func(*line) bool { return true })
			if !ok {
				w.violated("request %s got no answer within %v", r.id, limit)
				return
			}
			w.log("owner: request %s: %s after %v", r.id, first.Type, first.at.Sub(r.sent))
		})
		time.Sleep(50 * time.Millisecond)
	}
	all.Wait()
	if !c.open() {
		w.log("note: the owner's connection ended during the run")
	}
	if !s.alive() {
		w.violated("the scheduler crashed")
	}
}
