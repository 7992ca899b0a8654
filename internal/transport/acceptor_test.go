package transport

import (
	"net"
	"syscall"
	"testing"
	"time"
)

// exhaustDescriptors lowers the process's limit of open files and opens files until no descriptor is free. freeDescriptors
// closes these files; restoreLimit restores the limit.
func exhaustDescriptors(t *testing.T) (freeDescriptors, restoreLimit func()) {
	t.Helper()
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		t.Fatal(err)
	}
	low := limit
	low.Cur = 256
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &low); err != nil {
		t.Fatal(err)
	}
	var taken []int
	for {
		descriptor, err := syscall.Open("/dev/null", syscall.O_RDONLY|syscall.O_CLOEXEC, 0)
		if err != nil {
			break
		}
		taken = append(taken, descriptor)
	}
	freeDescriptors = func() {
		for _, descriptor := range taken {
			_ = syscall.Close(descriptor)
		}
	}
	restoreLimit = func() {
		if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
			t.Error(err)
		}
	}
	return freeDescriptors, restoreLimit
}

// When no descriptor is free, a connection waits in the listen backlog and is served once a descriptor is free again.
func TestAcceptorSurvivesDescriptorExhaustion(t *testing.T) {
	admitted, closed := make(chan struct{}), make(chan error, 1)
	a, stop := accept(t, func() { <-admitted }, func(*Conn) Handler { return &echoHandler{closed: closed} })
	defer stop()
	defer a.Stop()
	c := dial(t, a.Addr()) // it waits in the listen backlog
	writeText(t, c, "hello\n")
	freeDescriptors, restoreLimit := exhaustDescriptors(t)
	defer restoreLimit()
	close(admitted)
	_ = c.SetReadDeadline(time.Now().Add(5 * acceptRetryDelay))
	if _, err := c.Read(make([]byte, 1)); err == nil {
		t.Error("the connection was served without a descriptor, want it to wait")
	}
	freeDescriptors()
	expectText(t, c, "hello\n")
	_ = c.Close()
	expectReason(t, closed, ErrPeerClosed)
}

// Drain accepts the connections in the listen backlog, and the requests that were already sent on them are served.
func TestDrainServesPendingConnections(t *testing.T) {
	slots, closed := make(chan struct{}), make(chan error, 2)
	a, stop := accept(t, func() { slots <- struct{}{} }, func(*Conn) Handler { return &echoHandler{closed: closed} })
	var peers []net.Conn
	for range 2 {
		c := dial(t, a.Addr())
		writeText(t, c, "request\n")
		peers = append(peers, c)
	}
	a.Drain()
	go func() {
		for range slots {
			continue
		}
	}()
	<-slots
	for _, c := range peers {
		expectText(t, c, "request\n")
	}
	<-a.Done()
	stop()
	close(slots)
}
