package main

import (
	"debug/buildinfo"
	"debug/elf"
	"os"
	"os/exec"
	"path/filepath"
	"runtime/debug"
	"slices"
	"strings"
	"testing"

	"github.com/pelletier/go-toml/v2"
)

const repoRoot = "../.."

// deployFile is what the platform reads of deploy/balancer.toml.
type deployFile struct {
	Build, Run, Sim string
	Policy, Node    []string
}

func readDeploy(t *testing.T) deployFile {
	t.Helper()
	b, err := os.ReadFile(filepath.Join(repoRoot, "deploy", "balancer.toml"))
	if err != nil {
		t.Fatal(err)
	}
	var d deployFile
	if err := toml.Unmarshal(b, &d); err != nil {
		t.Fatal(err)
	}
	return d
}

// The platform's shell becomes the scheduler: one process, which signals reach.
func TestRunIsOneProcess(t *testing.T) {
	d := readDeploy(t)
	for name, line := range map[string]string{"run": d.Run, "sim": d.Sim} {
		if !strings.HasPrefix(line, "exec bin/") {
			t.Errorf("%s = %q does not end in the program by exec", name, line)
		}
		if strings.ContainsAny(line, "|&;`$(") {
			t.Errorf("%s = %q starts more than one program", name, line)
		}
	}
}

// What the deploy file names is there: a renamed package would otherwise leave the platform's list of files behind.
func TestNamedFilesAreThere(t *testing.T) {
	d := readDeploy(t)
	for _, name := range append(slices.Clone(d.Policy), d.Node...) {
		if _, err := os.Stat(filepath.Join(repoRoot, name)); err != nil {
			t.Errorf("deploy/balancer.toml names %s: %v", name, err)
		}
	}
}

// The bench's clock is a library that the dynamic linker loads into the process: what `build` leaves has to ask for that
// linker and for the C library.
func TestBuiltFileIsDynamicallyLinked(t *testing.T) {
	d := readDeploy(t)
	dir := t.TempDir() + "/"
	line := strings.Replace(d.Build, "-o bin/", "-o "+dir, 1)
	if line == d.Build {
		t.Fatalf("build = %q does not write to bin/", d.Build)
	}
	if line = strings.Replace(line, "mkdir -p bin && ", "", 1); strings.Contains(line, "bin/ ") {
		t.Fatalf("build = %q writes elsewhere too", d.Build)
	}
	cmd := exec.Command("/bin/sh", "-c", line)
	cmd.Dir = repoRoot
	if out, err := cmd.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	program := dir + strings.TrimPrefix(strings.Fields(d.Run)[1], "bin/")
	info, err := buildinfo.ReadFile(program)
	if err != nil {
		t.Fatal(err)
	}
	// Go's own linker makes a dynamic file too, but one that starts without the C library's start.
	for _, want := range []debug.BuildSetting{{Key: "-ldflags", Value: "-linkmode=external"}, {Key: "CGO_ENABLED", Value: "1"}} {
		if !slices.Contains(info.Settings, want) {
			t.Errorf("the program was not built with %s %s", want.Key, want.Value)
		}
	}
	f, err := elf.Open(program)
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		if err := f.Close(); err != nil {
			t.Error(err)
		}
	}()
	libs, err := f.ImportedLibraries()
	if err != nil {
		t.Fatal(err)
	}
	if !slices.ContainsFunc(libs, func(l string) bool { return strings.HasPrefix(l, "libc.so.") }) {
		t.Errorf("the program needs %v, no C library among them", libs)
	}
	if !slices.ContainsFunc(f.Progs, func(p *elf.Prog) bool { return p.Type == elf.PT_INTERP }) {
		t.Error("the program names no dynamic linker")
	}
}
