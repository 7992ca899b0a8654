package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["claims"] = claims }

// claims: tasks stand at the nodes when the scheduler starts, and their owner hands them to it once it has passed a test. Beside
// the owner, four bad clients send some hundred set-ups each, with ids that no node knows. Then the tasks come to their end.
func claims(w *world) {
	const bound = 8050 * time.Millisecond
	for i := range 9 {
		w.addNode(fmt.Sprintf("s-%d", i+1), []string{"sala-a", "sala-b", "sala-c"}[i%3])
	}
	var standing []*request
	for i := range 18 {
		n, r := w.nodes[i%9], smallTask("task", i)
		r.id, r.at, r.left = newID(), n.id, 1
		n.tasks[parseID(r.id)] = &task{id: parseID(r.id), key: r.key, class: r.class, service: 1}
		standing = append(standing, r)
	}
	w.startFeed()
	s := w.newScheduler()
	o := w.newOwners(s)
	stop := make(chan struct{})
	var bad sync.WaitGroup
	if w.trouble {
		for i := range 4 {
			bad.Go(func() { badClient(w, s, i+1, stop) })
		}
	}
	s.run()
	c := o.connectWhenReady("C1")
	for _, r := range standing {
		c.send(r)
	}
	// The connection is used as usual.
	place(w, o, c, 20, "later")
	time.Sleep(2 * time.Second)

	ended := map[*request]time.Time{}
	for _, r := range standing {
		w.where(parseID(r.id)).finish(parseID(r.id))
		ended[r] = time.Now()
		time.Sleep(200 * time.Millisecond)
	}
	for _, r := range standing {
		if _, ok := o.await(r.id, time.Until(ended[r].Add(bound)), isEnd); !ok {
			w.violated("task %s ended at its node, and its owner got no release within %v; %s is open: %v",
				r.id, bound, c.name, c.open())
		}
	}
	place(w, o, c, 1, "last")
	time.Sleep(3 * time.Second)
	for _, r := range standing {
		if _, ok := o.await(r.id, 0, isEnd); !ok {
			w.log("owner: no release of %s until %v after its end", r.id, time.Since(ended[r]))
		}
	}
	w.log("owner: received messages for %d ids that it never sent", o.foreign())
	close(stop)
	bad.Wait()
	if !s.alive() {
		w.violated("the scheduler crashed")
	}
}

// foreign counts the ids of received messages that the owner did not use.
func (o *owners) foreign() (count int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for id := range o.received {
		if !o.sent[id] {
			count++
		}
	}
	return count
}

var claimed atomic.Int64

// badClient connects, sends some hundred set-ups of tasks that no node knows, reads what it is sent until it is closed, and does
// the same again.
func badClient(w *world, s *scheduler, number int, stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		socket, err := net.DialTimeout("tcp", s.addr, time.Second)
		if err != nil {
			continue
		}
		opened := time.Now()
		var text strings.Builder
		for range 300 {
			fmt.Fprintf(&text, `{"type":"setup","id":"%s","fields":{"class":"leitura-sensores","left":"1","key":"k%d",`+
				`"extras":"cores:1;memory:1;service:bad;at:no-such-node-%d"},"sdp":"x"}`+"\n", newID(), claimed.Add(1), number)
		}
		socket.SetDeadline(time.Now().Add(4 * time.Second))
		socket.Write([]byte(text.String()))
		in, lines := bufio.NewReader(socket), 0
		for {
			if _, err = in.ReadString('\n'); err != nil {
				break
			}
			lines++
		}
		socket.Close()
		w.log("bad client %d: sent 300 set-ups with at, received %d lines, closed after %v", number, lines, time.Since(opened))
	}
}
