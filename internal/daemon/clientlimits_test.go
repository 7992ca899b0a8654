package daemon

import (
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"flaxshelf.example/flaxshelf/internal/settings"
	"flaxshelf.example/flaxshelf/internal/testbed/standin/nodemodel"
)

const (
	incompleteRequest = "POST /drmaa2/v1/sessions HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n{"
	malformedRequest  = "\x16\x03\x01\x00\x00\r\n\r\n"
)

// maxHeapGrowth is the limit for the growth of the heap, in bytes, while clients misbehave.
const maxHeapGrowth = 64 << 20

// Clients that send an incomplete request, an endless request header or no HTTP, or that never read a response, receive an
// error or are disconnected. Meanwhile memory stays bounded and other clients are served.
func TestMisbehavingClientsAreDisconnected(t *testing.T) {
	ctx, cluster, session := newTestSession(t, 60*time.Second, clusterOptions{nodes: 1})
	addr := cluster.daemon.Addr()
	for _, test := range []struct{ name, request, wantStatus string }{
		{"incomplete request", incompleteRequest, "408"},
		{"not HTTP", malformedRequest, "400"},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := responseTo(t, addr, test.request); !strings.Contains(got, " "+test.wantStatus+" ") {
				t.Errorf("got response %q, want one with status %s", got, test.wantStatus)
			}
		})
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	if sent := sendEndlessHeader(t, addr); sent > 32<<20 {
		t.Errorf("the daemon read %d MiB of a request header, want at most 32", sent>>20)
	}
	neverReads := dial(t, addr)
	_ = neverReads.SetReadBuffer(4096) // a larger buffer only takes longer to fill
	write(neverReads, "GET /drmaa2/v1/sessions/test/events HTTP/1.1\r\nHost: x\r\n\r\n")
	// The client that never reads is sent 20,000 job changes, which are more than 10 MB of events.
	for range 20 {
		array, err := session.RunBulkJobs(ctx, jobTemplate("service", time.Millisecond), 1, 250, 1, 0)
		if err != nil {
			t.Fatal(err)
		}
		if err := array.WaitTerminated(ctx, 20*time.Second); err != nil {
			t.Fatal(err)
		}
	}
	if got := metricValue(t, cluster.daemon, "flaxshelf_clients_cut_total"); got < 1 {
		t.Errorf("%v clients were disconnected, want at least 1, the client that never reads", got)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	if grown := int64(after.HeapAlloc) - int64(before.HeapAlloc); grown > maxHeapGrowth {
		t.Errorf("the heap has grown by %d MiB, want at most %d", grown>>20, maxHeapGrowth>>20)
	}
}

// dial opens a connection that is closed at the end of the test.
func dial(t *testing.T, addr string) *net.TCPConn {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn.(*net.TCPConn)
}

// write writes text. It ignores errors, because the daemon may already have closed the connection.
func write(conn net.Conn, text string) { _, _ = io.WriteString(conn, text) }

// responseTo sends text on a new connection and returns what the daemon sends until it closes the connection, or within 5 s.
func responseTo(t *testing.T, addr, text string) string {
	t.Helper()
	conn := dial(t, addr)
	write(conn, text)
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	response, _ := io.ReadAll(conn) // after an error the response is what was read before it
	return string(response)
}

// sendEndlessHeader sends up to 64 MiB of a request header and returns how many bytes were sent.
func sendEndlessHeader(t *testing.T, addr string) (sent int) {
	t.Helper()
	conn := dial(t, addr)
	write(conn, "GET / HTTP/1.1\r\nHost: x\r\n")
	line := "X: " + strings.Repeat("y", 1<<16) + "\r\n"
	for range 1024 {
		n, err := io.WriteString(conn, line)
		if sent += n; err != nil {
			break
		}
	}
	return sent
}

// A client that exceeds the connection limit receives status 503 with Retry-After. Clients connected before are served.
func TestConnectionLimitRejectsFurtherClients(t *testing.T) {
	cluster := newTestCluster(t, clusterOptions{nodes: 1, configure: func(cfg *settings.Scheduler, _ *nodemodel.Config) {
		cfg.Limits.MaxConnections = 2
	}})
	ctx := contextWithin(t, 10*time.Second)
	cluster.createSession(ctx, "test") // on a connection that the client keeps open
	second := dial(t, cluster.daemon.Addr())
	write(second, "GET /drmaa2/v1/info HTTP/1.1\r\nHost: x\r\n\r\n")
	if _, err := second.Read(make([]byte, 10)); err != nil {
		t.Fatal(err)
	}
	res, err := http.Get("http://" + cluster.daemon.Addr() + "/drmaa2/v1/info")
	if err != nil {
		t.Fatal(err)
	}
	res.Body.Close()
	http.DefaultClient.CloseIdleConnections()
	if retryAfter := res.Header.Get("Retry-After"); res.StatusCode != http.StatusServiceUnavailable || retryAfter == "" {
		t.Errorf("got status %s, Retry-After %q, want status 503 with Retry-After", res.Status, retryAfter)
	}
	if _, err := cluster.client.JobSessionNames(ctx); err != nil {
		t.Errorf("request of a connected client: %v", err)
	}
}
