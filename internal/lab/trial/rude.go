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

// rude opens n connections of clients that misbehave, each in its own way, and keeps at it for a while: one
// sends a byte at a time, one never reads its events, one sends a head without end, one sends rubbish, one sends
// JSON that makes no sense.
func rude(ctx context.Context, addr string, n int, while time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, while)
	defer cancel()
	var wg sync.WaitGroup
	for i := range n {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for ctx.Err() == nil {
				c, err := net.DialTimeout("tcp", addr, time.Second)
				if err == nil {
					stop := context.AfterFunc(ctx, func() { _ = c.Close() })
					manners[i%len(manners)](ctx, c)
					stop()
					_ = c.Close()
				}
				sleepUntil(ctx, time.Now().Add(50*time.Millisecond))
			}
		}()
	}
	wg.Wait()
}

var manners = []func(ctx context.Context, c net.Conn){
	func(ctx context.Context, c net.Conn) {
		for _, b := range []byte("POST /drmaa2/v1/sessions HTTP/1.1\r\nHost: x\r\nContent-Length: 1000\r\n\r\n{") {
			if _, err := c.Write([]byte{b}); err != nil {
				return
			}
			sleepUntil(ctx, time.Now().Add(20*time.Millisecond))
		}
		<-ctx.Done()
	},
	func(ctx context.Context, c net.Conn) {
		_, _ = io.WriteString(c, "GET /drmaa2/v1/sessions/"+session+"/events HTTP/1.1\r\nHost: x\r\n\r\n")
		<-ctx.Done()
	},
	func(_ context.Context, c net.Conn) {
		_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\n")
		line := "X-Long: " + strings.Repeat("x", 4000) + "\r\n"
		for range 16384 { // 64 MiB
			if _, err := io.WriteString(c, line); err != nil {
				return
			}
		}
	},
	func(_ context.Context, c net.Conn) {
		_, _ = io.WriteString(c, "\x16\x03\x01\x02\x00\x01\x00 not HTTP at all\r\n\r\n")
		_, _ = io.Copy(io.Discard, c)
	},
	func(_ context.Context, c net.Conn) {
		for _, body := range []string{`{"template":`, `{"template":{"remoteCommand":"x","wings":2}}`,
			`{"template":{"remoteCommand":"x","implementationSpecific":{"flaxshelf.cores":"NaN"}}}`,
			`{"template":{"remoteCommand":"x","minSlots":-4}}`, strings.Repeat("[", 100000)} {
			_, _ = fmt.Fprintf(c,
				"POST /drmaa2/v1/sessions/%s/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", session,
				len(body), body)
		}
		_ = c.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
		_, _ = io.Copy(io.Discard, c)
	},
}
