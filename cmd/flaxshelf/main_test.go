package main

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"
)

// testTimeout limits each command of a test.
const testTimeout = 30 * time.Second

// outputBuffer collects the output of a command. It is safe for concurrent use.
type outputBuffer struct {
	mu      sync.Mutex
	text    bytes.Buffer
	waiters []textWaiter
}

// textWaiter is a call of waitFor whose text has not been written yet.
type textWaiter struct {
	text    string
	written chan struct{} // closed when the text has been written
}

func (b *outputBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	n, err := b.text.Write(p)
	b.notifyWaiters()
	return n, err
}

func (b *outputBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// waitFor returns a channel that is closed when the buffer contains the text.
func (b *outputBuffer) waitFor(text string) <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	written := make(chan struct{})
	b.waiters = append(b.waiters, textWaiter{text, written})
	b.notifyWaiters()
	return written
}

// notifyWaiters closes the channels of the waiters whose text is in the buffer. The caller must hold mu.
func (b *outputBuffer) notifyWaiters() {
	var waiting []textWaiter
	for _, w := range b.waiters {
		if bytes.Contains(b.text.Bytes(), []byte(w.text)) {
			close(w.written)
		} else {
			waiting = append(waiting, w)
		}
	}
	b.waiters = waiting
}

// runFlaxshelf runs a command and returns its exit code, standard output and standard error.
func runFlaxshelf(args ...string) (code int, out, errOut string) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	var outBuffer, errBuffer outputBuffer
	code = run(ctx, args, &outBuffer, &errBuffer)
	return code, outBuffer.String(), errBuffer.String()
}

// expectCommand runs a command, and reports an error if it does not end with wantCode or its output does not contain wantText.
// It returns standard output.
func expectCommand(t *testing.T, wantCode int, wantText string, args ...string) string {
	t.Helper()
	code, out, errOut := runFlaxshelf(args...)
	if code != wantCode || !strings.Contains(out+errOut, wantText) {
		t.Errorf("flaxshelf %s: got exit code %d and this output, want %d and %q:\n%s%s", strings.Join(args, " "), code,
			wantCode, wantText, out, errOut)
	}
	return out
}

// writeTestFile writes a file that is removed when the test ends, and returns its path.
func writeTestFile(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestExitCodeAndMessage(t *testing.T) {
	bad := writeTestFile(t, "bad.cue", "inventory: \"127.0.0.1:1\"\nwings: 2\n")
	good := writeTestFile(t, "good.cue", string(upScheduler))
	fleet := writeTestFile(t, "f.cue", string(upFleet))
	for _, c := range []struct {
		name string
		code int
		want string
		args []string
	}{
		{"help", exitOK, "Exit codes", []string{"--help"}},
		{"help of a job command", exitOK, "--class", []string{"job", "run", "--help"}},
		{"help of a trial", exitOK, "--seed", []string{"trial", "--help"}},
		{"no command", exitUsage, "expected one of", nil},
		{"unknown command", exitUsage, "fly", []string{"fly"}},
		{"missing flag", exitUsage, "--config", []string{"serve"}},
		{"missing configuration", exitUsage, "no such file", []string{"serve", "--config", "/does/not/exist.cue"}},
		{"unknown setting", exitUsage, "bad.cue:2:1: wings", []string{"serve", "--config", bad}},
		{"missing setting", exitUsage, "classes", []string{"config", "check", bad}},
		{"valid configuration", exitOK, "valid scheduler configuration", []string{"config", "check", good}},
		{"scheduler checked as a fleet", exitUsage, "nodes", []string{"config", "check", "--as", "fleet", good}},
		{"scheduler checked as a trial", exitUsage, "about", []string{"config", "check", "--as", "trial", good}},
		{"unknown kind of configuration", exitUsage, "must be one of", []string{"config", "check", "--as", "wings", good}},
		{"schema", exitOK, "#Scheduler", []string{"config", "schema"}},
		{"unknown day", exitUsage, "there are bad-day", []string{"trial", "no-such-day"}},
		{"list of days", exitOK, "lost-room", []string{"trial", "list"}},
		{"verify another file", exitUsage, "not a recording", []string{"verify", good}},
		{"replay another file", exitFailed, "replay", []string{"replay", good}},
		{"job at no scheduler", exitUnreachable, "connection refused", []string{"job", "run", "--server", "127.0.0.1:1", "x"}},
		{"job without a command", exitUsage, "no command", []string{"job", "run"}},
		{"nodes of no scheduler", exitUnreachable, "connection refused", []string{"machines", "--server", "127.0.0.1:1"}},
		{"unknown node", exitUsage, `no node "n9"`, []string{"node", "--config", fleet, "--name", "n9"}},
		{"negative duration", exitUsage, "negative", []string{"inventory", "--discovery-delay=-5s"}},
		{"negative duration of a deprecated flag", exitUsage, "negative", []string{"inventory", "--late=-5s"}},
		{"wrong address", exitFailed, "nonsense", []string{"inventory", "--listen", "nonsense"}},
		{"platform without configuration", exitUsage, "GW_CONFIG", []string{"platform"}},
	} {
		t.Run(c.name, func(t *testing.T) { expectCommand(t, c.code, c.want, c.args...) })
	}
}

// startUp runs `flaxshelf up` until the test ends, and returns the URL of its scheduler.
func startUp(t *testing.T) string {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var out, errOut outputBuffer
	exited := make(chan int, 1)
	go func() { exited <- run(ctx, []string{"up", "--listen", "127.0.0.1:0"}, &out, &errOut) }()
	t.Cleanup(func() {
		cancel()
		select {
		case code := <-exited:
			if code != exitOK {
				t.Errorf("flaxshelf up: got exit code %d, want %d: %s", code, exitOK, errOut.String())
			}
		case <-time.After(testTimeout):
			t.Error("flaxshelf up: got no exit after its context was canceled")
		}
	})
	select {
	case <-out.waitFor("\ntry: "): // the line after that of the scheduler
	case <-time.After(testTimeout):
		t.Fatalf("flaxshelf up: got no scheduler: %s%s", out.String(), errOut.String())
	}
	_, after, _ := strings.Cut(out.String(), "\nscheduler ")
	url, _, _ := strings.Cut(after, "\n")
	return url
}

func TestJobCommandsAgainstAScheduler(t *testing.T) {
	t.Setenv("FLAXSHELF_SERVER", startUp(t))
	expectCommand(t, exitOK, "DONE", "job", "run", "--class", "service", "--expected-runtime", "50ms", "--wait", "hello")
	expectCommand(t, exitOK, "DONE", "job", "run", "--class", "service", "--life", "50ms", "--wait", "hello")
	expectCommand(t, exitUsage, "no class", "job", "run", "--class", "wings", "hello")
	id := strings.TrimSpace(expectCommand(t, exitOK, "", "job", "run", "--class", "once", "--hold", "--expected-runtime", "1m",
		"--name", "n", "hello", "--flag", "arg"))
	expectCommand(t, exitOK, "QUEUED_HELD held", "job", "state", id)
	expectCommand(t, exitTimeout, "Timeout", "job", "wait", "--timeout", "50ms", id)
	expectCommand(t, exitOK, "", "job", "release", id)
	expectCommand(t, exitOK, "RUNNING", "job", "wait", "--for", "started", id)
	expectCommand(t, exitOK, `"jobName": "n"`, "job", "info", id)
	expectCommand(t, exitOK, "RUNNING", "job", "list", "--session", "default")
	expectCommand(t, exitFailed, "InvalidState", "job", "hold", id)
	expectCommand(t, exitFailed, "InvalidState", "job", "reap", id)
	expectCommand(t, exitOK, "", "job", "terminate", id)
	expectCommand(t, exitFailed, "FAILED terminated", "job", "wait", id)
	expectCommand(t, exitOK, "", "job", "reap", id)
	expectCommand(t, exitUsage, "no job", "job", "state", id)
	expectCommand(t, exitOK, "DONE", "job", "bulk", "--class", "service", "--end", "4", "--max-parallel", "2",
		"--expected-runtime", "10ms", "--wait", "x")
	expectCommand(t, exitOK, "room-b", "machines")
	template := writeTestFile(t, "t.json",
		`{"remoteCommand":"x","jobCategory":"once","implementationSpecific":{"flaxshelf.life":"10ms"}}`)
	expectCommand(t, exitOK, "DONE", "job", "run", "--file", template, "--wait")
}
