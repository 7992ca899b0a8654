// Package scripted has scripted stand-ins of the platform's nodes and control feed, on loopback. They follow the page of
// the platform's protocol, and reply to each message as the script of a test does. The package must not model anything:
// replies are up to the script.
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

// channelCapacity is how many messages and events a stand-in buffers for its test. It blocks when they are exceeded.
const channelCapacity = 1000

// ConnectionEvent is what happened to a connection of a Node.
type ConnectionEvent string

// The events of a connection.
const (
	ConnectionOpened ConnectionEvent = "opened"
	ConnectionClosed ConnectionEvent = "closed"
)

// Script handles a message of a connection. It is called by the goroutine that reads the connection.
type Script func(c net.Conn, m nodebinary.Message)

// Node is a node that replies by a script. Its methods are safe for concurrent use.
type Node struct {
	// Received receives each message of any connection.
	Received chan nodebinary.Message
	// ConnectionEvents receives ConnectionOpened and then ConnectionClosed for each connection.
	ConnectionEvents chan ConnectionEvent

	listener   *net.TCPListener
	script     Script
	goroutines sync.WaitGroup // the accepting goroutine and one for each connection

	mu          sync.Mutex
	connections []net.Conn
	dead        bool
}

// NewNode starts a node on a free port. The caller must call Kill.
func NewNode(script Script) (*Node, error) {
	listener, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, fmt.Errorf("scripted: node: %w", err)
	}
	n := &Node{listener: listener, script: script, Received: make(chan nodebinary.Message, channelCapacity),
		ConnectionEvents: make(chan ConnectionEvent, channelCapacity)}
	n.goroutines.Go(n.accept)
	return n, nil
}

// Addr returns the address, host:port, on which the node listens.
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
		n.goroutines.Go(func() { n.read(connection) })
	}
}

// readSize is the size of a read in bytes.
const readBufferSize = 4096

func (n *Node) read(connection net.Conn) {
	var buffer []byte
	received := make([]byte, readBufferSize)
	for {
		size, err := connection.Read(received)
		if err != nil {
			n.ConnectionEvents <- ConnectionClosed
			return
		}
		buffer = n.handle(connection, append(buffer, received[:size]...))
	}
}

// handle runs the script for each complete message and returns the remaining bytes. It never gets past a malformed message,
// so that its test misses the messages after it.
func (n *Node) handle(connection net.Conn, buffer []byte) []byte {
	for {
		message, consumed, err := nodebinary.Next(buffer)
		if err != nil || consumed == 0 {
			return buffer
		}
		buffer = buffer[consumed:]
		n.Received <- message
		n.script(connection, message)
	}
}

// Send writes a message to all connections.
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
		_ = connection.(*net.TCPConn).SetLinger(0) // fails only on a closed connection
		_ = connection.Close()
	}
	n.connections = nil
}

// Kill stops listening, resets all connections, as the crash of a process does, and waits for the node's goroutines. It may
// be called more than once.
func (n *Node) Kill() {
	_ = n.listener.Close()
	n.mu.Lock()
	n.dead = true
	n.mu.Unlock()
	n.ResetConnections()
	n.goroutines.Wait()
}

// StopListening stops listening and leaves the connections open, as a draining node does.
func (n *Node) StopListening() { _ = n.listener.Close() }

// Limits of Freeze, which fills the queue of the listener.
const (
	// maxQueuedConnections is far above the minimum length of a listener's queue.
	maxQueueFillers = 16
	// queueTimeout is the timeout of a dial, after which the queue counts as full.
	queueDialTimeout = 100 * time.Millisecond
)

var errQueueNotFull = errors.New("the listener's queue does not fill")

// Freeze simulates the loss of the node's machine: open connections stay open without traffic, and new ones are never
// established, since the listener's queue is full and nothing accepts from it. Freeze returns the connections that fill the
// queue; the caller must close them.
func (n *Node) Freeze() (fillers []net.Conn, err error) {
	_ = n.listener.SetDeadline(time.Unix(1, 0)) // ends accept; fails only on a closed listener, as SyscallConn does
	if err := n.shortenQueue(); err != nil {
		return nil, fmt.Errorf("scripted: freeze: %w", err)
	}
	for range maxQueueFillers {
		connection := n.dialQueue()
		if connection == nil {
			return fillers, nil
		}
		fillers = append(fillers, connection)
	}
	return fillers, fmt.Errorf("scripted: freeze: %w", errQueueNotFull)
}

// shortenQueue sets the length of the listener's queue to its minimum.
func (n *Node) shortenQueue() error {
	rawConn, err := n.listener.SyscallConn()
	if err != nil {
		return err
	}
	var listenErr error
	controlErr := rawConn.Control(func(descriptor uintptr) { listenErr = syscall.Listen(int(descriptor), 0) })
	return errors.Join(controlErr, listenErr)
}

// dialQueue adds a connection to the listener's queue. It returns nil if the queue is full.
func (n *Node) dialQueue() net.Conn {
	connection, err := net.DialTimeout("tcp", n.Addr(), queueDialTimeout)
	if err != nil {
		return nil
	}
	return connection
}

// Send writes a message to a connection. Errors are ignored: the other end may have disconnected.
func Send(c net.Conn, m nodebinary.Message) {
	if encoded, err := nodebinary.Append(nil, &m); err == nil {
		_, _ = c.Write(encoded)
	}
}

// Description is the description in the answers of AcceptAll.
const Description = "node's\r\n"

// The causes in the messages of AcceptAll.
const (
	causeNone       = -1 // the message has no cause
	causeTerminated = 31
)

// AcceptAll is a Script that accepts every task and terminates each task that is released.
func AcceptAll(c net.Conn, m nodebinary.Message) {
	switch m.Type {
	case nodebinary.SetUp:
		Send(c, nodebinary.Message{Type: nodebinary.Answer, Task: m.Task, Cause: causeNone, Description: Description,
			HasDescription: true})
	case nodebinary.Release:
		Send(c, nodebinary.Message{Type: nodebinary.Release, Task: m.Task, Cause: causeTerminated})
	}
}
