package transport

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"
)

// takeDescriptors lowers the process's limit and takes all descriptors that are left. The returned functions give them back,
// and restore the limit.
func takeDescriptors(t *testing.T) (giveBack, restoreLimit func()) {
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
	giveBack = func() {
		for _, descriptor := range taken {
			_ = syscall.Close(descriptor)
		}
	}
	restoreLimit = func() {
		if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
			t.Error(err)
		}
	}
	return giveBack, restoreLimit
}

// An acceptor survives that no descriptor is left: what connects meanwhile waits, and is served when some come free.
func TestAcceptDescriptorExhaustion(t *testing.T) {
	admitted, closed := make(chan struct{}), make(chan error, 1)
	a, stop := accept(t, func() { <-admitted }, func(*Conn) Handler { return &echoHandler{closed: closed} })
	defer stop()
	defer a.Stop()
	c, err := net.Dial("tcp", a.Addr()) // it waits in the listener's queue
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := c.Write([]byte("hello\n")); err != nil {
		t.Fatal(err)
	}
	giveBack, restoreLimit := takeDescriptors(t)
	defer restoreLimit()
	close(admitted)
	_ = c.SetReadDeadline(time.Now().Add(5 * acceptRetryDelay))
	if _, err := c.Read(make([]byte, 1)); err == nil {
		t.Error("served without a descriptor")
	}
	giveBack()
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
	b := make([]byte, 6)
	if _, err := io.ReadFull(c, b); err != nil || string(b) != "hello\n" {
		t.Fatalf("%q, %v", b, err)
	}
	_ = c.Close()
	if err := awaitReason(t, closed); !errors.Is(err, ErrPeerClosed) {
		t.Error(err)
	}
}

// A connection that waits in the listener's queue when listening ends is accepted, with what was written on it.
func TestDrainServesPendingConnections(t *testing.T) {
	slots, closed := make(chan struct{}), make(chan error, 2)
	a, stop := accept(t, func() { slots <- struct{}{} }, func(*Conn) Handler { return &echoHandler{closed: closed} })
	var peers []net.Conn
	for range 2 {
		c := dial(t, a.Addr())
		_, _ = io.WriteString(c, "ask\n")
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
		b := make([]byte, 4)
		if _, err := io.ReadFull(c, b); err != nil || string(b) != "ask\n" {
			t.Errorf("%q, %v", b, err)
		}
	}
	<-a.Done()
	stop()
	close(slots)
}
