package main

import (
	"context"
	"io"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/alecthomas/kong"
)

// parseCommandLine parses a command line and applies its deprecated flags, as run does. It returns the parsed commands, and the
// log output and the error of applyDeprecatedFlags.
func parseCommandLine(t *testing.T, args []string) (commands *commandLine, logOutput string, err error) {
	t.Helper()
	var out, errOut outputBuffer
	std := &streams{out: newPrinter(&out), err: newPrinter(&errOut), log: &errOut}
	commands = &commandLine{}
	parser, err := newParser(context.Background(), std, commands, func(int) {})
	if err != nil {
		t.Fatal(err)
	}
	parsed, err := parser.Parse(args)
	if err != nil {
		t.Fatal(err)
	}
	err = applyDeprecatedFlags(parsed, std.newLogger("warn"))
	return commands, errOut.String(), err
}

// deprecatedFlagTests has each deprecated flag of each command, with its replacement.
var deprecatedFlagTests = []struct {
	name        string // command, and deprecated flag without --
	command     []string
	deprecated  string
	replacement string
	value       string // empty for a boolean flag
	want        any
	get         func(*commandLine) any
}{
	{"platform tap", []string{"platform"}, "--tap", "--module-recording", "/steps", "/steps",
		func(c *commandLine) any { return c.Platform.ModuleRecording }},
	{"inventory late", []string{"inventory"}, "--late", "--discovery-delay", "5s", 5 * time.Second,
		func(c *commandLine) any { return c.Inventory.DiscoveryDelay }},
	{"inventory gone-after", []string{"inventory"}, "--gone-after", "--removal-delay", "5s", 5 * time.Second,
		func(c *commandLine) any { return c.Inventory.RemovalDelay }},
	{"job run life", []string{"job", "run"}, "--life", "--expected-runtime", "5s", 5 * time.Second,
		func(c *commandLine) any { return c.Job.Run.ExpectedRuntime }},
	{"job run give-up", []string{"job", "run"}, "--give-up", "--placement-timeout", "5s", 5 * time.Second,
		func(c *commandLine) any { return c.Job.Run.PlacementTimeout }},
	{"job bulk life", []string{"job", "bulk", "--end=2"}, "--life", "--expected-runtime", "5s", 5 * time.Second,
		func(c *commandLine) any { return c.Job.Bulk.ExpectedRuntime }},
	{"job bulk give-up", []string{"job", "bulk", "--end=2"}, "--give-up", "--placement-timeout", "5s", 5 * time.Second,
		func(c *commandLine) any { return c.Job.Bulk.PlacementTimeout }},
	{"emulate judge", []string{"emulate", "calm"}, "--judge", "--verify", "", true,
		func(c *commandLine) any { return c.Emulate.Verify }},
	{"emulate every", []string{"emulate", "calm"}, "--every", "--progress-interval", "1h", time.Hour,
		func(c *commandLine) any { return c.Emulate.ProgressInterval }},
	{"plan warm", []string{"plan", "calm"}, "--warm", "--warmup", "5", 5.0,
		func(c *commandLine) any { return c.Plan.Warmup }},
}

func TestDeprecatedFlagActsAsItsReplacement(t *testing.T) {
	for _, c := range deprecatedFlagTests {
		t.Run(c.name, func(t *testing.T) {
			for _, flag := range []string{c.deprecated, c.replacement} {
				commands, log, err := parseCommandLine(t, append(c.command, flagArgument(flag, c.value)))
				if err != nil {
					t.Fatal(err)
				}
				if got := c.get(commands); got != c.want {
					t.Errorf("%s: got %v, want %v", flag, got, c.want)
				}
				wantLines := 0
				if flag == c.deprecated {
					wantLines = 1
				}
				if got := strings.Count(log, "\n"); got != wantLines {
					t.Errorf("%s: got %d lines of log, want %d: %s", flag, got, wantLines, log)
				}
				if wantLines == 1 && !strings.Contains(log, `"replacement":"`+c.replacement+`"`) {
					t.Errorf("%s: got log %q, want it to name %s", flag, log, c.replacement)
				}
			}
		})
	}
}

func TestDeprecatedFlagWithItsReplacementIsRejected(t *testing.T) {
	for _, c := range deprecatedFlagTests {
		t.Run(c.name, func(t *testing.T) {
			_, _, err := parseCommandLine(t, append(c.command, flagArgument(c.deprecated, c.value),
				flagArgument(c.replacement, c.value)))
			if got := exitCode(err); got != exitUsage {
				t.Errorf("got exit code %d (%v), want %d", got, err, exitUsage)
			}
		})
	}
}

// flagArgument returns the command-line argument that sets a flag to a value. The value is empty for a boolean flag.
func flagArgument(flag, value string) string {
	if value == "" {
		return flag
	}
	return flag + "=" + value
}

// Every deprecated flag must have a replacement of its type, a help text that names it, and a case in deprecatedFlagTests.
func TestDeprecatedFlagsNameTheirReplacement(t *testing.T) {
	tested := map[string]bool{}
	for _, c := range deprecatedFlagTests {
		tested[c.name] = true
	}
	std := &streams{out: newPrinter(io.Discard), err: newPrinter(io.Discard)}
	parser, err := newParser(context.Background(), std, &commandLine{}, func(int) {})
	if err != nil {
		t.Fatal(err)
	}
	for _, leaf := range parser.Model.Leaves(false) {
		for _, flag := range leaf.Flags {
			replacement := flag.Tag.Get(replacementTagKey)
			if replacement == "" {
				continue
			}
			name := strings.TrimPrefix(leaf.FullPath(), "flaxshelf ") + " " + flag.Name
			if !tested[name] {
				t.Errorf("%s: got no entry in deprecatedFlagTests, want one", name)
			}
			want := "Deprecated: use --" + replacement + "; removed in " + deprecatedFlagsRemovalVersion + "."
			if flag.Help != want {
				t.Errorf("%s: got help %q, want %q", name, flag.Help, want)
			}
			if got, want := flagType(leaf, replacement), flag.Target.Type(); got != want {
				t.Errorf("%s: got a replacement of type %v, want %v", name, got, want)
			}
		}
	}
}

// flagType returns the type of the flag of a command that has the name, or nil if there is none.
func flagType(command *kong.Node, name string) reflect.Type {
	for _, flag := range command.Flags {
		if flag.Name == name {
			return flag.Target.Type()
		}
	}
	return nil
}
