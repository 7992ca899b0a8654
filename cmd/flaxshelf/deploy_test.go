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

// deployConfig has the keys of deploy/balancer.toml that the platform reads.
type deployConfig struct {
	Build, Run        string
	SimulationCommand string `toml:"sim"` // shell line that starts cmd/benchadapter
	Policy, Node      []string
}

func readDeployFile(t *testing.T) deployConfig {
	t.Helper()
	b, err := os.ReadFile(filepath.Join(repoRoot, "deploy", "balancer.toml"))
	if err != nil {
		t.Fatal(err)
	}
	var d deployConfig
	if err := toml.Unmarshal(b, &d); err != nil {
		t.Fatal(err)
	}
	return d
}

// The platform runs the lines of the deploy file in a shell. Each must replace the shell by the program with exec, or signals
// such as SIGTERM go to the shell and do not reach the scheduler.
func TestDeployFileRunsOneProcess(t *testing.T) {
	d := readDeployFile(t)
	for name, line := range map[string]string{"run": d.Run, "sim": d.SimulationCommand} {
		t.Run(name, func(t *testing.T) {
			if !strings.HasPrefix(line, "exec bin/") {
				t.Errorf("got %q, want a line that begins with exec bin/", line)
			}
			if strings.ContainsAny(line, "|&;`$(") {
				t.Errorf("got %q, want a line that starts one program", line)
			}
		})
	}
}

// Guards against a file or package that is renamed or removed, but still listed in the deploy file.
func TestDeployFileNamesExistingFiles(t *testing.T) {
	d := readDeployFile(t)
	for _, name := range append(slices.Clone(d.Policy), d.Node...) {
		if _, err := os.Stat(filepath.Join(repoRoot, name)); err != nil {
			t.Errorf("deploy/balancer.toml names %s: %v", name, err)
		}
	}
}

// The test bench replaces the clock by a library that the dynamic linker loads into the process. This only works if the
// program names a dynamic linker and is linked to the C library.
func TestDeployFileBuildsADynamicallyLinkedProgram(t *testing.T) {
	d := readDeployFile(t)
	dir := t.TempDir() + "/"
	line := strings.Replace(d.Build, "-o bin/", "-o "+dir, 1)
	if line == d.Build {
		t.Fatalf("build = %q: got no output in bin/, want -o bin/", d.Build)
	}
	if line = strings.Replace(line, "mkdir -p bin && ", "", 1); strings.Contains(line, "bin/ ") {
		t.Fatalf("build = %q: got another use of bin/, want bin/ only as the output of the build", d.Build)
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
	// Go's internal linker also produces a dynamically linked file, but one that does not run the start code of the C library.
	for _, want := range []debug.BuildSetting{{Key: "-ldflags", Value: "-linkmode=external"}, {Key: "CGO_ENABLED", Value: "1"}} {
		if !slices.Contains(info.Settings, want) {
			t.Errorf("got build settings %v, want %s=%s among them", info.Settings, want.Key, want.Value)
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
		t.Errorf("got libraries %v, want the C library among them", libs)
	}
	if !slices.ContainsFunc(f.Progs, func(p *elf.Prog) bool { return p.Type == elf.PT_INTERP }) {
		t.Error("got a program without a dynamic linker, want one that names it")
	}
}
