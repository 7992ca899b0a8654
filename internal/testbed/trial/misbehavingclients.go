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

// The pauses of misbehaving clients.
const (
	reconnectPause = 50 * time.Millisecond
	byteInterval   = 20 * time.Millisecond
	responseWait   = 200 * time.Millisecond
)

// misbehave runs clients that break the protocol, each in its own way, and reconnect until the duration is over.
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

// misbehaveOnce runs one connection; an error of the dial is ignored.
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

// misbehaviors are the ways to break the protocol. Clients ignore errors of the connection: the recording shows how the server
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

// readNothing subscribes to events and never reads them.
func subscribeWithoutReading(ctx context.Context, connection net.Conn) {
	_, _ = io.WriteString(connection, "GET /drmaa2/v1/sessions/"+sessionName+"/events HTTP/1.1\r\nHost: x\r\n\r\n")
	<-ctx.Done()
}

// sendEndlessHead sends headers until the connection is closed, or 64 MiB.
func sendOversizedHeader(_ context.Context, connection net.Conn) {
	_, _ = io.WriteString(connection, "GET / HTTP/1.1\r\nHost: x\r\n")
	line := "X-Long: " + strings.Repeat("x", 4000) + "\r\n"
	for range 16384 {
		if _, err := io.WriteString(connection, line); err != nil {
			return
		}
	}
}

// sendNoHTTP sends the start of another protocol.
func sendNonHTTP(_ context.Context, connection net.Conn) {
	_, _ = io.WriteString(connection, "\x16\x03\x01\x02\x00\x01\x00 not HTTP at all\r\n\r\n")
	_, _ = io.Copy(io.Discard, connection)
}

// sendMalformedJSON submits jobs that can't be parsed.
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
