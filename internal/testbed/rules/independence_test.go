package rules

import (
	"os/exec"
	"slices"
	"strings"
	"testing"
)

// A checker that shares code with what it checks accepts the violations that a mistake in that code causes. See the package
// comment.
func TestCheckerDoesNotDependOnWhatItChecks(t *testing.T) {
	const module = "flaxshelf.example/flaxshelf"
	output, err := exec.Command("go", "list", "-deps", ".").Output()
	if err != nil {
		t.Fatal(err)
	}
	dependencies := strings.Fields(string(output))
	if own := module + "/internal/testbed/rules"; !slices.Contains(dependencies, own) {
		t.Fatalf("got dependencies %q, want %s among them", dependencies, own)
	}
	for _, checked := range []string{"", "/internal/scheduler", "/internal/requests", "/internal/machineindex"} {
		if slices.Contains(dependencies, module+checked) {
			t.Errorf("got %s among the dependencies, want the checker to be independent of it", module+checked)
		}
	}
}
