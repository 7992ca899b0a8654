// Package scripted owns stand-ins for the platform's parties, made from its protocol page: nodes and a control feed on
// loopback that do what a test says with each message. It must not model anything: what a message is answered with is the
// script's.
package scripted

import (
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"

	"flaxshelf.example/flaxshelf/internal/codec/nodeparam"
)

// Kept is how many words a stand-in keeps for its test, at most; more wait.
const Kept = 1000

// Script is what a node does with a message that came on a connection. It is called by the connection's reader.
type Script func(c net.Conn, m nodeparam.Message)

// Node is a node that plays a script.
type Node struct {
	// Heard has each message that came, Conns "came" and "went" for each connection.
	Heard chan nodeparam.Message
	Conns chan string

	ln    *net.TCPListener
	play  Script
	mu    sync.Mutex
	conns []net.Conn
	dead  bool
	wg    sync.WaitGroup
}

// NewNode starts a node on a port of its own.
func NewNode(play Script) (*Node, error) {
	ln, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, fmt.Errorf("scripted: node: %w", err)
	}
	n := &Node{ln: ln, play: play, Heard: make(chan nodeparam.Message, Kept), Conns: make(chan string, Kept)}
	n.wg.Go(n.accept)
	return n, nil
}

// Addr is where it listens.
func (n *Node) Addr() string { return n.ln.Addr().String() }

func (n *Node) accept() {
	for {
		c, err := n.ln.Accept()
		if err != nil {
			return
		}
		n.mu.Lock()
		if n.dead {
			_ = c.Close()
		}
		n.conns = append(n.conns, c)
		n.mu.Unlock()
		n.Conns <- "came"
		n.wg.Go(func() { n.read(c) })
	}
}

func (n *Node) read(c net.Conn) {
	var buf []byte
	piece := make([]byte, 4096)
	for {
		k, err := c.Read(piece)
		if err != nil {
			n.Conns <- "went"
			return
		}
		buf = append(buf, piece[:k]...)
		for {
			m, used, err := nodeparam.Next(buf)
			if err != nil || used == 0 {
				break
			}
			buf = buf[used:]
			n.Heard <- m
			n.play(c, m)
		}
	}
}

// Say writes a message on all connections that stand.
func (n *Node) Say(m nodeparam.Message) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.conns {
		Say(c, m)
	}
}

// Cut resets all connections.
func (n *Node) Cut() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
	n.conns = nil
}

// Die ends the process that it stands for, and waits for its readers. It may be called again.
func (n *Node) Die() {
	_ = n.ln.Close()
	n.mu.Lock()
	n.dead = true
	n.mu.Unlock()
	n.Cut()
	n.wg.Wait()
}

// Deafen ends listening and leaves the connections, as a node does that drains.
func (n *Node) Deafen() { _ = n.ln.Close() }

// Freeze lets the machine that it stands for vanish: what is open stays open and silent, and new connections never come
// up, since the listener's queue is full and nobody takes from it. The connections that fill it are returned.
func (n *Node) Freeze() (filling []net.Conn, err error) {
	_ = n.ln.SetDeadline(time.Unix(1, 0)) // ends the loop that accepts
	raw, err := n.ln.SyscallConn()
	if err != nil {
		return nil, fmt.Errorf("scripted: freeze: %w", err)
	}
	var again error
	if err := raw.Control(func(fd uintptr) { again = syscall.Listen(int(fd), 0) }); err != nil || again != nil {
		return nil, fmt.Errorf("scripted: freeze: %w, %w", err, again)
	}
	for range 16 {
		c, err := net.DialTimeout("tcp", n.Addr(), 100*time.Millisecond)
		if err != nil {
			return filling, nil
		}
		filling = append(filling, c)
	}
	return filling, fmt.Errorf("scripted: freeze: the listener's queue has no end")
}

// Say writes a message on a connection; what a peer that has gone does not get is lost.
func Say(c net.Conn, m nodeparam.Message) {
	if b, err := nodeparam.Append(nil, &m); err == nil {
		_, _ = c.Write(b)
	}
}

// Description is what Answers gives with its answers.
const Description = "node's\r\n"

// Answers is a script that takes every set-up and ends what is released.
func Answers(c net.Conn, m nodeparam.Message) {
	switch m.Type {
	case nodeparam.SetUp:
		Say(c, nodeparam.Message{Type: nodeparam.Answer, Task: m.Task, Cause: -1, Description: Description, Described: true})
	case nodeparam.Release:
		Say(c, nodeparam.Message{Type: nodeparam.Release, Task: m.Task, Cause: 31})
	}
}
