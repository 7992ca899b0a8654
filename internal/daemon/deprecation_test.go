package daemon

import (
	"bytes"
	"strings"
	"testing"

	"github.com/rs/zerolog"

	"flaxshelf.example/flaxshelf/internal/settings"
)

// Start logs each deprecated setting once, with the setting that replaces it.
func TestStartLogsDeprecatedSettings(t *testing.T) {
	cfg, err := settings.ParseScheduler("f.cue", []byte(`
listen: "127.0.0.1:0"
inventory: "127.0.0.1:1"
kinds: [{name: "k", cores: 1, memory: 1}]
classes: [{name: "old", effect: "safe"}, {name: "current", effect: "idempotent"}]`))
	if err != nil {
		t.Fatal(err)
	}
	var log bytes.Buffer
	d, err := Start(cfg, zerolog.New(zerolog.SyncWriter(&log)))
	if err != nil {
		t.Fatal(err)
	}
	if err := d.Stop(); err != nil {
		t.Fatal(err)
	}
	var lines []string
	for line := range strings.Lines(log.String()) {
		if strings.Contains(line, "deprecated setting") {
			lines = append(lines, line)
		}
	}
	if len(lines) != 1 {
		t.Fatalf("got %d log lines about a deprecated setting, want 1: %s", len(lines), log.String())
	}
	for _, want := range []string{`"level":"warn"`, `"field":"classes[0].effect"`, `"value":"\"safe\""`, `"line":5`,
		`"replacement":"effect: \"idempotent\""`, `"removed_in":"0.2.0"`} {
		if !strings.Contains(lines[0], want) {
			t.Errorf("got %s, want it to contain %s", lines[0], want)
		}
	}
}
