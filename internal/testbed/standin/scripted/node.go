// Package scripted has stand-ins for the platform's parties, made from its protocol page: nodes and a control feed on
// loopback that answer each message as a test's script says. It must not model anything: what a message is answered with
// is the script's.
package scripted

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"

	"flaxshelf.example/flaxshelf/internal/codec/nodebinary"
)

// channelCapacity is how many messages and events a stand-in keeps for its test; it waits with more.
const channelCapacity = 1000

// ConnectionEvent is what happened to a connection of a Node.
type ConnectionEvent string

// The events of a connection.
const (
	ConnectionOpened ConnectionEvent = "opened"
	ConnectionClosed ConnectionEvent = "closed"
)

// Script is what a node does with a message of a connection. It is called by the goroutine that reads the connection.
type Script func(c net.Conn, m nodebinary.Message)

// Node is a node that answers by a script. Its methods may be called by several goroutines.
type Node struct {
	// Received has each message that was received.
	Received chan nodebinary.Message
	// ConnectionEvents receives ConnectionOpened and then ConnectionClosed for each connection.
	ConnectionEvents chan ConnectionEvent

	listener *net.TCPListener
	script   Script
	readers  sync.WaitGroup // the accepting goroutine and one for each connection

	mu          sync.Mutex
	connections []net.Conn
	dead        bool
}

// NewNode starts a node on a port of its own; Die ends it.
func NewNode(play Script) (*Node, error) {
	listener, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, fmt.Errorf("scripted: node: %w", err)
	}
	n := &Node{listener: listener, script: play, Received: make(chan nodebinary.Message, channelCapacity),
		ConnectionEvents: make(chan ConnectionEvent, channelCapacity)}
	n.readers.Go(n.accept)
	return n, nil
}

// Addr is where the node listens.
func (n *Node) Addr() string { return n.listener.Addr().String() }

func (n *Node) accept() {
	for {
		connection, err := n.listener.Accept()
		if err != nil {
			return
		}
		n.mu.Lock()
		if n.dead {
			_ = connection.Close()
		}
		n.connections = append(n.connections, connection)
		n.mu.Unlock()
		n.ConnectionEvents <- ConnectionOpened
		n.readers.Go(func() { n.read(connection) })
	}
}

// readSize is how many bytes a node reads at a time.
const readSize = 4096

func (n *Node) read(connection net.Conn) {
	var buffer []byte
	received := make([]byte, readSize)
	for {
		size, err := connection.Read(received)
		if err != nil {
			n.ConnectionEvents <- ConnectionClosed
			return
		}
		buffer = n.handle(connection, append(buffer, received[:size]...))
	}
}

// handle runs the script for each complete message and returns the rest. Malformed bytes are kept and never get further:
// a test sees that by the messages that don't come.
func (n *Node) handle(connection net.Conn, buffer []byte) []byte {
	for {
		message, used, err := nodebinary.Next(buffer)
		if err != nil || used == 0 {
			return buffer
		}
		buffer = buffer[used:]
		n.Received <- message
		n.script(connection, message)
	}
}

// Send writes a message on all open connections.
func (n *Node) Send(m nodebinary.Message) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, connection := range n.connections {
		Send(connection, m)
	}
}

// ResetConnections resets all connections.
func (n *Node) ResetConnections() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, connection := range n.connections {
		_ = connection.(*net.TCPConn).SetLinger(0) // it may be closed already
		_ = connection.Close()
	}
	n.connections = nil
}

// Kill ends the process that the node stands for, and waits for its goroutines. It may be called again.
func (n *Node) Kill() {
	_ = n.listener.Close()
	n.mu.Lock()
	n.dead = true
	n.mu.Unlock()
	n.ResetConnections()
	n.readers.Wait()
}

// StopListening ends listening and leaves the connections open, as a draining node does.
func (n *Node) StopListening() { _ = n.listener.Close() }

// Freezing a node fills the queue of its listener.
const (
	// maxQueuedConnections is far above the length of a queue that is as short as can be.
	maxQueuedConnections = 16
	// queueTimeout is how long a connection may take that fits into the queue.
	queueTimeout = 100 * time.Millisecond
)

var errQueueNotFull = errors.New("the listener's queue does not fill")

// Freeze has the node's machine vanish: what is open stays open and silent, and new connections never come up, since the
// listener's queue is full and nobody accepts from it. The connections that fill it are returned; the caller closes them.
func (n *Node) Freeze() (filling []net.Conn, err error) {
	_ = n.listener.SetDeadline(time.Unix(1, 0)) // ends accept; fails only on a closed listener, as SyscallConn does
	if err := n.shortenQueue(); err != nil {
		return nil, fmt.Errorf("scripted: freeze: %w", err)
	}
	for range maxQueuedConnections {
		connection := n.dialQueue()
		if connection == nil {
			return filling, nil
		}
		filling = append(filling, connection)
	}
	return filling, fmt.Errorf("scripted: freeze: %w", errQueueNotFull)
}

// shortenQueue makes the listener's queue as short as can be.
func (n *Node) shortenQueue() error {
	raw, err := n.listener.SyscallConn()
	if err != nil {
		return err
	}
	var listenErr error
	controlErr := raw.Control(func(descriptor uintptr) { listenErr = syscall.Listen(int(descriptor), 0) })
	return errors.Join(controlErr, listenErr)
}

// dialQueue adds a connection to the listener's queue; nil if it is full.
func (n *Node) dialQueue() net.Conn {
	connection, err := net.DialTimeout("tcp", n.Addr(), queueTimeout)
	if err != nil {
		return nil
	}
	return connection
}

// Send writes a message on a connection; a peer that has gone does not get it.
func Send(c net.Conn, m nodebinary.Message) {
	if encoded, err := nodebinary.Append(nil, &m); err == nil {
		_, _ = c.Write(encoded)
	}
}

// Description is the description in the answers of Answers.
const Description = "node's\r\n"

// The causes in the messages of Answers.
const (
	causeNone       = -1 // the message carries no cause
	causeTerminated = 31
)

// AcceptAll is a Script that accepts every task and ends what is released.
func AcceptAll(c net.Conn, m nodebinary.Message) {
	switch m.Type {
	case nodebinary.SetUp:
		Send(c, nodebinary.Message{Type: nodebinary.Answer, Task: m.Task, Cause: causeNone, Description: Description,
			Described: true})
	case nodebinary.Release:
		Send(c, nodebinary.Message{Type: nodebinary.Release, Task: m.Task, Cause: causeTerminated})
	}
}
