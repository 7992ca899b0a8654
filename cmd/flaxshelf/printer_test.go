package main

import (
	"context"
	"errors"
	"io"
	"strings"
	"testing"
)

// fullDisk is a writer that fails each write of more than freeBytes, the bytes that are left.
type fullDisk struct {
	freeBytes int
	written   strings.Builder
}

var errDiskFull = errors.New("disk full")

func (d *fullDisk) Write(text []byte) (int, error) {
	if len(text) > d.freeBytes {
		return 0, errDiskFull
	}
	d.freeBytes -= len(text)
	return d.written.Write(text)
}

func TestFailedWriteFailsTheCommand(t *testing.T) {
	good := writeTestFile(t, "good.cue", string(upScheduler))
	for _, c := range []struct {
		name      string
		freeBytes int
		args      []string
	}{
		{"first line", 0, []string{"config", "check", good}},
		{"long text", 100, []string{"config", "schema"}},
		{"a later line", 100, []string{"trial", "list"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			out := &fullDisk{freeBytes: c.freeBytes}
			var errOut outputBuffer
			if code := run(context.Background(), c.args, out, &errOut); code != exitFailed {
				t.Errorf("got exit code %d, want %d", code, exitFailed)
			}
			if want := "flaxshelf: write to standard output: disk full\n"; errOut.String() != want {
				t.Errorf("got error output %q, want %q", errOut.String(), want)
			}
		})
	}
}

func TestFailedWriteKeepsTheExitCodeOfAFailedCommand(t *testing.T) {
	if code := run(context.Background(), []string{"verify", "/does/not/exist"}, &fullDisk{}, io.Discard); code != exitUsage {
		t.Errorf("got exit code %d, want %d", code, exitUsage)
	}
}

func TestPrinterKeepsTheFirstErrorAndStops(t *testing.T) {
	out := &fullDisk{freeBytes: 10}
	p := newPrinter(out)
	p.printf("%s\n", "short")
	p.println("this line is too long")
	p.print("then")
	p.table([][]string{{"a", "b"}})
	if !errors.Is(p.Err(), errDiskFull) {
		t.Errorf("got error %v, want %v", p.Err(), errDiskFull)
	}
	if got := out.written.String(); got != "short\n" {
		t.Errorf("got %q written, want the first line alone", got)
	}
}

func TestPrinterAlignsTheColumnsOfATable(t *testing.T) {
	var out strings.Builder
	newPrinter(&out).table([][]string{{"NODE", "ZONE"}, {"a-long-name", "z"}, {"b", ""}})
	if want := "NODE         ZONE\na-long-name  z\nb            \n"; out.String() != want {
		t.Errorf("got %q, want %q", out.String(), want)
	}
}

// failingFirstWrite is a writer that fails only its first write.
type failingFirstWrite struct {
	failed  bool
	written strings.Builder
}

func (w *failingFirstWrite) Write(text []byte) (int, error) {
	if !w.failed {
		w.failed = true
		return 0, errDiskFull
	}
	return w.written.Write(text)
}

// A daemon must continue to log after a temporary write error.
func TestLogContinuesAfterAFailedWrite(t *testing.T) {
	out := &failingFirstWrite{}
	std := &streams{out: newPrinter(io.Discard), err: newPrinter(out), log: out}
	log := std.newLogger("info")
	log.Info().Msg("first")
	log.Info().Msg("second")
	if got := out.written.String(); strings.Contains(got, "first") || !strings.Contains(got, "second") {
		t.Errorf("got log %q, want the second line alone", got)
	}
}
