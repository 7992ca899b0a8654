// Package scripted provides stand-ins of the platform's nodes and control feed on the loopback interface, which use the
// platform's protocol. The script or the calls of a test determine everything that they send; unlike the other stand-ins, they
// must not model the behaviour of a node.
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

// channelCapacity is the capacity of the channels on which a stand-in reports to its test. If such a channel is full, the
// stand-in blocks until the test receives from it.
const channelCapacity = 1000

// ConnectionEvent is the opening or the end of a connection to a Node.
type ConnectionEvent string

// Values of ConnectionEvent.
const (
	ConnectionOpened ConnectionEvent = "opened"
	ConnectionClosed ConnectionEvent = "closed"
)

// Script handles a message that a Node has received, and sends the replies. It runs on the goroutine that reads the connection.
type Script func(c net.Conn, m nodebinary.Message)

// Node is a node whose replies a script determines. Its methods are safe for concurrent use.
type Node struct {
	// Received receives each message that arrives on any connection, before the script handles it.
	Received chan nodebinary.Message
	// ConnectionEvents receives ConnectionOpened and then ConnectionClosed for each connection.
	ConnectionEvents chan ConnectionEvent

	listener   *net.TCPListener
	script     Script
	goroutines sync.WaitGroup // the one that accepts connections, and one for each connection

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

// accept accepts connections until the listener is closed or its deadline passes.
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

// readBufferSize is the size of the buffer for one read, in bytes.
const readBufferSize = 4096

// read reads a connection until it is closed.
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

// handle runs the script for each complete message and returns the remaining bytes. It does not skip a malformed message, so
// that the test gets neither this one nor any later message of the connection.
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

// Send writes a message to all open connections.
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
		_ = connection.(*net.TCPConn).SetLinger(0) // fails only if the connection is closed
		_ = connection.Close()
	}
	n.connections = nil
}

// Kill simulates the crash of the node's process: it stops listening, resets all connections and waits for the node's
// goroutines. It may be called more than once.
func (n *Node) Kill() {
	_ = n.listener.Close()
	n.mu.Lock()
	n.dead = true
	n.mu.Unlock()
	n.ResetConnections()
	n.goroutines.Wait()
}

// StopListening stops listening but leaves the connections open, as a draining node does.
func (n *Node) StopListening() { _ = n.listener.Close() }

// Limits for filling the listener's queue of connections in Freeze.
const (
	// maxQueueFillers limits the connections of Freeze. It is far above the minimum length of a listener's queue.
	maxQueueFillers = 16
	// queueDialTimeout is the timeout of a dial, after which the queue is considered full.
	queueDialTimeout = 100 * time.Millisecond
)

var errQueueNotFull = fmt.Errorf("the listener's queue still accepts connections after %d", maxQueueFillers)

// Freeze simulates the loss of the node's machine for new connections, which are never established: the node stops accepting,
// and connections fill the listener's queue. Open connections stay open. Freeze returns the connections that fill the queue,
// also if the queue does not fill; the caller must close them.
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

// shortenQueue reduces the length of the listener's queue to the minimum.
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

// Send writes a message to a connection. Errors are ignored, since the other end may have disconnected.
func Send(c net.Conn, m nodebinary.Message) {
	if encoded, err := nodebinary.Append(nil, &m); err == nil {
		_, _ = c.Write(encoded)
	}
}

// Description is the description in each Answer of AcceptAll.
const Description = "node's\r\n"

// Causes in the messages of AcceptAll, as numbered by the platform's protocol.
const (
	causeNone       = -1 // the message carries no cause
	causeTerminated = 31
)

// AcceptAll is a Script that answers each SetUp by accepting the task, and each Release by terminating the task.
func AcceptAll(c net.Conn, m nodebinary.Message) {
	switch m.Type {
	case nodebinary.SetUp:
		Send(c, nodebinary.Message{Type: nodebinary.Answer, Task: m.Task, Cause: causeNone, Description: Description,
			HasDescription: true})
	case nodebinary.Release:
		Send(c, nodebinary.Message{Type: nodebinary.Release, Task: m.Task, Cause: causeTerminated})
	}
}
