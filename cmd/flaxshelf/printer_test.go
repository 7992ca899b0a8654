package main

import (
	"context"
	"errors"
	"io"
	"strings"
	"testing"
)

// fullDisk fails each write after the first so many bytes.
type fullDisk struct {
	room  int
	taken strings.Builder
}

var errDiskFull = errors.New("disk full")

func (d *fullDisk) Write(text []byte) (int, error) {
	if len(text) > d.room {
		return 0, errDiskFull
	}
	d.room -= len(text)
	return d.taken.Write(text)
}

// A command whose results can't be written fails, and says so; what was written before stays.
func TestFailedWriteFailsTheCommand(t *testing.T) {
	good := writeTestFile(t, "good.cue", string(upScheduler))
	for _, c := range []struct {
		name string
		room int
		args []string
	}{
		{"first line", 0, []string{"config", "check", good}},
		{"long text", 100, []string{"config", "schema"}},
		{"a later line", 100, []string{"trial", "list"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			out := &fullDisk{room: c.room}
			var errOut buffer
			if code := run(context.Background(), c.args, out, &errOut); code != exitFailed {
				t.Errorf("exit %d, want %d", code, exitFailed)
			}
			if want := "flaxshelf: write to standard output: disk full\n"; errOut.String() != want {
				t.Errorf("%q, want %q", errOut.String(), want)
			}
		})
	}
}

// A command that fails by itself keeps its exit code where the output fails too.
func TestFailedWriteKeepsTheExitCode(t *testing.T) {
	if code := run(context.Background(), []string{"verify", "/does/not/exist"}, &fullDisk{}, io.Discard); code != exitUsage {
		t.Errorf("exit %d, want %d", code, exitUsage)
	}
}

// The first error stays, and nothing is written after it.
func TestPrinterStopsAtTheFirstError(t *testing.T) {
	out := &fullDisk{room: 10}
	p := newPrinter(out)
	p.printf("%s\n", "short")
	p.println("this line is too long")
	p.print("then")
	p.table([][]string{{"a", "b"}})
	if !errors.Is(p.Err(), errDiskFull) {
		t.Errorf("error %v, want %v", p.Err(), errDiskFull)
	}
	if got := out.taken.String(); got != "short\n" {
		t.Errorf("%q was written", got)
	}
}

// Columns of a table are aligned.
func TestPrinterTable(t *testing.T) {
	var out strings.Builder
	newPrinter(&out).table([][]string{{"NODE", "ZONE"}, {"a-long-name", "z"}, {"b", ""}})
	if want := "NODE         ZONE\na-long-name  z\nb            \n"; out.String() != want {
		t.Errorf("%q, want %q", out.String(), want)
	}
}

// failOnce fails its first write.
type failOnce struct {
	failed bool
	taken  strings.Builder
}

func (w *failOnce) Write(text []byte) (int, error) {
	if !w.failed {
		w.failed = true
		return 0, errDiskFull
	}
	return w.taken.Write(text)
}

// A log goes on after a write that failed: a daemon must not fall silent for the rest of its run.
func TestLogGoesOnAfterAFailedWrite(t *testing.T) {
	out := &failOnce{}
	std := &streams{out: newPrinter(io.Discard), err: newPrinter(out), log: out}
	log := std.newLogger("info")
	log.Info().Msg("first")
	log.Info().Msg("second")
	if got := out.taken.String(); strings.Contains(got, "first") || !strings.Contains(got, "second") {
		t.Errorf("logged %q, want the second line alone", got)
	}
}
