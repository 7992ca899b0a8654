package trial

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

const (
	// reconnectPause is how long a misbehaving client waits before it connects again.
	reconnectPause = 50 * time.Millisecond
	// byteInterval is the time between two bytes of sendSlowly.
	byteInterval = 20 * time.Millisecond
	// responseWait is how long sendInvalidJobs reads responses before it closes the connection.
	responseWait = 200 * time.Millisecond
)

// runMisbehavingClients runs count clients until the duration is over. Each breaks the protocol in one of the ways of
// misbehaviors, again and again on new connections.
func runMisbehavingClients(ctx context.Context, address string, count int, duration time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, duration)
	defer cancel()
	var running sync.WaitGroup
	for i := range count {
		running.Go(func() {
			for !canceled(ctx) {
				runMisbehavior(ctx, address, misbehaviors[i%len(misbehaviors)])
				sleep(ctx, reconnectPause)
			}
		})
	}
	running.Wait()
}

// runMisbehavior runs a misbehavior on one connection. It does nothing if the connection can't be opened.
func runMisbehavior(ctx context.Context, address string, misbehavior func(ctx context.Context, connection net.Conn)) {
	connection, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return
	}
	stop := context.AfterFunc(ctx, func() { _ = connection.Close() })
	defer stop()
	defer connection.Close()
	misbehavior(ctx, connection)
}

// misbehaviors are the ways to break the protocol. They ignore errors of the connection, since the recording shows how the server
// reacts.
var misbehaviors = []func(ctx context.Context, connection net.Conn){
	sendSlowly,
	subscribeWithoutReading,
	sendOversizedHeader,
	sendNonHTTP,
	sendInvalidJobs,
}

// sendSlowly sends a request byte by byte and never completes it.
func sendSlowly(ctx context.Context, connection net.Conn) {
	for _, b := range []byte("POST /drmaa2/v1/sessions HTTP/1.1\r\nHost: x\r\nContent-Length: 1000\r\n\r\n{") {
		if _, err := connection.Write([]byte{b}); err != nil {
			return
		}
		sleep(ctx, byteInterval)
	}
	<-ctx.Done()
}

// subscribeWithoutReading subscribes to job events and never reads them.
func subscribeWithoutReading(ctx context.Context, connection net.Conn) {
	_, _ = io.WriteString(connection, "GET /drmaa2/v1/sessions/"+sessionName+"/events HTTP/1.1\r\nHost: x\r\n\r\n")
	<-ctx.Done()
}

// sendOversizedHeader sends request headers until the connection is closed, up to about 64 MiB.
func sendOversizedHeader(_ context.Context, connection net.Conn) {
	_, _ = io.WriteString(connection, "GET / HTTP/1.1\r\nHost: x\r\n")
	line := "X-Long: " + strings.Repeat("x", 4000) + "\r\n"
	for range 16384 {
		if _, err := io.WriteString(connection, line); err != nil {
			return
		}
	}
}

// sendNonHTTP sends bytes that begin like a TLS handshake, and no HTTP request.
func sendNonHTTP(_ context.Context, connection net.Conn) {
	_, _ = io.WriteString(connection, "\x16\x03\x01\x02\x00\x01\x00 not HTTP at all\r\n\r\n")
	_, _ = io.Copy(io.Discard, connection)
}

// sendInvalidJobs submits jobs that can't be parsed: truncated JSON, an unknown field, invalid values and deeply nested arrays.
func sendInvalidJobs(_ context.Context, connection net.Conn) {
	for _, body := range []string{`{"template":`, `{"template":{"remoteCommand":"x","wings":2}}`,
		`{"template":{"remoteCommand":"x","implementationSpecific":{"flaxshelf.cores":"NaN"}}}`,
		`{"template":{"remoteCommand":"x","minSlots":-4}}`, strings.Repeat("[", 100000)} {
		_, _ = fmt.Fprintf(connection,
			"POST /drmaa2/v1/sessions/%s/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", sessionName,
			len(body), body)
	}
	_ = connection.SetReadDeadline(time.Now().Add(responseWait))
	_, _ = io.Copy(io.Discard, connection)
}
