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

// buffer may be written by one goroutine and read by another.
type buffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *buffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// flaxshelf runs a command and returns its exit code and its outputs.
func flaxshelf(args ...string) (code int, out, errOut string) {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	var outBuffer, errBuffer buffer
	code = run(ctx, args, &outBuffer, &errBuffer)
	return code, outBuffer.String(), errBuffer.String()
}

// writeTestFile writes a file that lasts as long as the test, and returns its path.
func writeTestFile(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// Wrong usage ends with exit code 2 and a message that names what was expected.
func TestUsage(t *testing.T) {
	bad := writeTestFile(t, "bad.cue", "inventory: \"127.0.0.1:1\"\nwings: 2\n")
	good := writeTestFile(t, "good.cue", string(upScheduler))
	for _, c := range []struct {
		args []string
		code int
		want string
	}{
		{[]string{"--help"}, exitOK, "Exit codes"},
		{[]string{"job", "run", "--help"}, exitOK, "--class"},
		{[]string{"trial", "--help"}, exitOK, "--seed"},
		{[]string{}, exitUsage, "expected one of"},
		{[]string{"fly"}, exitUsage, "fly"},
		{[]string{"serve"}, exitUsage, "--config"},
		{[]string{"serve", "--config", "/does/not/exist.cue"}, exitUsage, "no such file"},
		{[]string{"serve", "--config", bad}, exitUsage, "bad.cue:2:1: wings"},
		{[]string{"config", "check", bad}, exitUsage, "classes"},
		{[]string{"config", "check", good}, exitOK, "good as a scheduler"},
		{[]string{"config", "check", "--as", "fleet", good}, exitUsage, "nodes"},
		{[]string{"config", "check", "--as", "trial", good}, exitUsage, "about"},
		{[]string{"config", "check", "--as", "wings", good}, exitUsage, "must be one of"},
		{[]string{"config", "schema"}, exitOK, "#Scheduler"},
		{[]string{"trial", "no-such-day"}, exitUsage, "there are bad-day"},
		{[]string{"trial", "list"}, exitOK, "lost-room"},
		{[]string{"verify", good}, exitUsage, "not a recording"},
		{[]string{"replay", good}, exitFailed, "replay"},
		{[]string{"job", "run", "--server", "127.0.0.1:1", "x"}, exitUnreachable, "connection refused"},
		{[]string{"job", "run"}, exitUsage, "no command"},
		{[]string{"machines", "--server", "127.0.0.1:1"}, exitUnreachable, "connection refused"},
		{[]string{"node", "--config", writeTestFile(t, "f.cue", string(upFleet)), "--name", "n9"}, exitUsage, `no node "n9"`},
		{[]string{"inventory", "--late=-5s"}, exitUsage, "negative"},
		{[]string{"inventory", "--listen", "nonsense"}, exitFailed, "nonsense"},
	} {
		t.Run(strings.Join(append([]string{"flaxshelf"}, c.args...), " "), func(t *testing.T) {
			code, out, errOut := flaxshelf(c.args...)
			if code != c.code || !strings.Contains(out+errOut, c.want) {
				t.Errorf("exit %d, want %d, and %q\n%s%s", code, c.code, c.want, out, errOut)
			}
		})
	}
}

// The commands of the README against `flaxshelf up`.
func TestUp(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var out, errOut buffer
	done := make(chan int, 1)
	go func() { done <- run(ctx, []string{"up", "--listen", "127.0.0.1:0"}, &out, &errOut) }()
	url := ""
	for until := time.Now().Add(20 * time.Second); url == "" && time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		if _, after, ok := strings.Cut(out.String(), "\nscheduler "); ok {
			url, _, _ = strings.Cut(after, "\n")
		}
	}
	if url == "" {
		t.Fatalf("it did not come up: %s%s", out.String(), errOut.String())
	}
	t.Setenv("FLAXSHELF_SERVER", url)
	step := func(code int, want string, args ...string) string {
		t.Helper()
		got, out, errOut := flaxshelf(args...)
		if got != code || !strings.Contains(out+errOut, want) {
			t.Errorf("%v: exit %d, want %d, and %q\n%s%s", args, got, code, want, out, errOut)
		}
		return strings.TrimSpace(strings.SplitN(out, "\n", 2)[0])
	}
	step(exitOK, "DONE", "job", "run", "--class", "service", "--life", "50ms", "--wait", "hello")
	step(exitUsage, "no class", "job", "run", "--class", "wings", "hello")
	id := step(exitOK, "", "job", "run", "--class", "once", "--hold", "--life", "1m", "--name", "n", "hello", "--flag", "arg")
	step(exitOK, "QUEUED_HELD held", "job", "state", id)
	step(exitTimeout, "Timeout", "job", "wait", "--timeout", "50ms", id)
	step(exitOK, "", "job", "release", id)
	step(exitOK, "RUNNING", "job", "wait", "--for", "started", id)
	step(exitOK, `"jobName": "n"`, "job", "info", id)
	step(exitOK, "RUNNING", "job", "list", "--session", "default")
	step(exitFailed, "InvalidState", "job", "hold", id)
	step(exitFailed, "InvalidState", "job", "reap", id)
	step(exitOK, "", "job", "terminate", id)
	step(exitFailed, "FAILED terminated", "job", "wait", id)
	step(exitOK, "", "job", "reap", id)
	step(exitUsage, "no job", "job", "state", id)
	step(exitOK, "DONE", "job", "bulk", "--class", "service", "--end", "4", "--max-parallel", "2", "--life", "10ms", "--wait", "x")
	step(exitOK, "room-b", "machines")
	tmpl := writeTestFile(t, "t.json", `{"remoteCommand":"x","jobCategory":"once","implementationSpecific":{"flaxshelf.life":"10ms"}}`)
	step(exitOK, "DONE", "job", "run", "--file", tmpl, "--wait")
	cancel()
	select {
	case code := <-done:
		if code != exitOK {
			t.Errorf("exit %d: %s", code, errOut.String())
		}
	case <-time.After(20 * time.Second):
		t.Error("it did not stop")
	}
}
