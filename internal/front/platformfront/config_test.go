package platformfront

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/goccy/go-json"

	"flaxshelf.example/flaxshelf"
	"flaxshelf.example/flaxshelf/internal/fleetsettings"
)

const configText = `{"name":"n3","listen":"127.0.0.1:0","seed":"8c1f30d27a5be964","limits":{"cores":0.25,"memory_mb":64,"sockets":256},
"feed":"127.0.0.1:1","known":{"n":2,"events":[
{"n":1,"members":{"version":1,"full":true,"servers":[{"id":"s-1","addr":"127.0.0.1:5","zone":"east","kind":"std","cell":2,"state":"active","weight":4,"started_ms":0}]}},
{"n":2,"members":{"version":2,"full":false,"servers":[{"id":"s-1","addr":"127.0.0.1:5","zone":"east","kind":"std","cell":2,"state":"leaving","weight":4,"started_ms":1500}]}}]},
"settings":{"index":1,"balancers":3,"zone":"east","kinds":["std"],"discovery":"pushed","round_ns":2000000,"customers":[],
"caps":{"cancel":true,"most_tries":3,"connect_timeout_ns":250000000,"conn_idle_ns":30000000000},"obligations":{"stop_sending_within_ns":2000000000},
"categories":[{"name":"batch one","effect":"read_like","objective_ns":600000000,"worth":3.0},
{"name":"keyed","effect":"idempotency_key","key_scope":"zone","key_ttl_ns":5000000000,"worth":9.0}],
"specifics":{"kind_cores":[32],"mem_of_kind":[64.5],"admit_cores":1.5,"memory_multiple":1.5,"kind_by_class":[-1,-1],
"spread_over":["zone","off"],"together_max":[4,2],"tells_use":true}}}`

func parseConfig(t testing.TB) *Config {
	t.Helper()
	c, err := ParseConfig([]byte(configText))
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// expectEqual fails the test if got differs from want.
func expectEqual(t *testing.T, what string, got, want any) {
	t.Helper()
	if !reflect.DeepEqual(got, want) {
		t.Errorf("%s: got %+v, want %+v", what, got, want)
	}
}

func TestConfig(t *testing.T) {
	c := parseConfig(t)
	t.Run("scheduler", func(t *testing.T) {
		expectEqual(t, "seed", c.Seed, uint64(0x8c1f30d27a5be964))
		expectEqual(t, "idle timeout", c.NodeIdleTimeout, 30*time.Second)
		expectEqual(t, "last sequence", c.LastSequence, uint64(2))
		expectEqual(t, "limits", c.Limits, Limits{Cores: 0.25, MemoryMB: 64, Sockets: 256})
	})
	t.Run("placer", func(t *testing.T) {
		expectEqual(t, "index", c.Placer.Index, 1)
		expectEqual(t, "schedulers", c.Placer.Schedulers, 3)
		expectEqual(t, "discovery on request", c.Placer.DiscoveryOnRequest, false)
		expectEqual(t, "can cancel", c.Placer.CanCancel, true)
		expectEqual(t, "attempts", c.Placer.MaxAttempts, 3)
		expectEqual(t, "tick", c.Placer.Tick, 2*time.Millisecond)
		expectEqual(t, "memory of a kind", c.Placer.Kinds[0].Memory, 64.5)
	})
	t.Run("classes", func(t *testing.T) {
		if len(c.Placer.Classes) != 2 {
			t.Fatalf("%+v", c.Placer.Classes)
		}
		expectEqual(t, "name", c.Placer.Classes[0].Name, "batch_one")
		expectEqual(t, "spread domain", c.Placer.Classes[0].SpreadDomain, flaxshelf.ZoneDomain)
		expectEqual(t, "idempotency", c.Placer.Classes[1].Idempotency, flaxshelf.IdempotentByKey)
		expectEqual(t, "kind", c.Placer.Classes[1].Kind, -1)
	})
	// The events in the configuration have the same form as those of the control feed.
	t.Run("events", func(t *testing.T) {
		if len(c.InitialEvents) != 2 {
			t.Fatalf("%+v", c.InitialEvents)
		}
		expectEqual(t, "complete", c.InitialEvents[0].Update.Complete, true)
		expectEqual(t, "machine", c.InitialEvents[1].Update.Endpoints[0].Machine,
			flaxshelf.Machine{ID: "s-1", Zone: "east", Cell: 2, State: flaxshelf.Draining, Started: 1500 * time.Millisecond})
	})
}

// The error for an invalid configuration is a single line that names the field.
func TestConfigErrors(t *testing.T) {
	for _, c := range []struct{ name, old, replacement, field, value, text string }{
		{"not JSON", `{"name"`, `{{"name"`, "", "", "platform configuration"},
		{"no listen address", `"listen":"127.0.0.1:0"`, `"listen":""`, "listen", `""`, "field listen"},
		{"no control feed", `"feed":"127.0.0.1:1"`, `"feed":""`, "feed", `""`, "field feed"},
		{"zero cores", `"cores":0.25`, `"cores":0`, "limits.cores", "0", "field limits.cores"},
		{"cores of the wrong type", `"cores":0.25`, `"cores":"many"`, "limits.cores", "", "field limits.cores"},
		{"negative memory", `"memory_mb":64`, `"memory_mb":-1`, "limits.memory_mb", "-1", "field limits.memory_mb"},
		{"too few sockets", `"sockets":256`, `"sockets":3`, "limits.sockets", "3", "field limits.sockets"},
		{"seed not hex", `"seed":"8c1f30d27a5be964"`, `"seed":"soon"`, "seed", `"soon"`, "field seed"},
		{"index not a number", `"index":1`, `"index":"x"`, "settings.index", `"x"`, "field settings"},
		{"idle timeout of the wrong type", `"conn_idle_ns":30000000000`, `"conn_idle_ns":"x"`, "settings.caps.conn_idle_ns", "", "conn_idle_ns"},
		{"negative idle timeout", `"conn_idle_ns":30000000000`, `"conn_idle_ns":-1`, "settings.caps.conn_idle_ns", "-1", "conn_idle_ns"},
		{"repeated kind", `"kinds":["std"]`, `"kinds":["std","std"]`, "settings.kinds[1]", `"std"`, "field settings"},
		{"repeated class", `"name":"keyed"`, `"name":"batch one"`, "settings.categories[1].name", `"batch one"`, "field settings"},
		{"invalid event", `"state":"leaving"`, `"state":"odd"`, "known.events[1]", "", "known.events[1]"},
		{"settings not an object", `"settings":{`, `"settings":[],"x":{`, "settings", "", "field settings"},
	} {
		t.Run(c.name, func(t *testing.T) {
			if !strings.Contains(configText, c.old) {
				t.Fatalf("configText does not contain %s, which this case replaces", c.old)
			}
			_, err := ParseConfig([]byte(strings.Replace(configText, c.old, c.replacement, 1)))
			if err == nil || !strings.Contains(err.Error(), c.text) || strings.Contains(err.Error(), "\n") {
				t.Errorf("got error %v, want a single line that contains %s", err, c.text)
			}
			var invalid *ConfigError
			if !errors.Is(err, ErrConfig) || !errors.As(err, &invalid) || invalid.Field != c.field || invalid.Value != c.value {
				t.Errorf("got error %#v, want a ConfigError of field %q with value %q", err, c.field, c.value)
			}
		})
	}
}

func TestReadConfig(t *testing.T) {
	path := filepath.Join(t.TempDir(), "scheduler.json")
	_, err := ReadConfig(path)
	if !errors.Is(err, ErrConfig) || !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("missing file: got %v, want %v and %v", err, ErrConfig, fs.ErrNotExist)
	}
	if err := os.WriteFile(path, []byte(strings.Replace(configText, `"sockets":256`, `"sockets":3`, 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	var invalid *ConfigError
	if _, err := ReadConfig(path); !errors.As(err, &invalid) || invalid.Path != path || !strings.Contains(err.Error(), path) {
		t.Errorf("invalid file: got %v, want a ConfigError with path %s", err, path)
	}
	if err := os.WriteFile(path, []byte(configText), 0o600); err != nil {
		t.Fatal(err)
	}
	c, err := ReadConfig(path)
	if err != nil {
		t.Fatal(err)
	}
	expectEqual(t, "configuration", c, parseConfig(t))
}

// rewriteKeys returns the JSON text with each of keys, which are separated by spaces, replaced by the result of rewrite.
func rewriteKeys(text, keys string, rewrite func(string) string) string {
	for key := range strings.FieldsSeq(keys) {
		text = strings.ReplaceAll(text, `"`+key+`":`, `"`+rewrite(key)+`":`)
	}
	return text
}

// Keys in the configuration file and in events of the control feed match in any case, as they have since their first version.
func TestKeysMatchInAnyCase(t *testing.T) {
	const eventText = `{"members":{"servers":[{"id":"a","state":"active","unasked":[1,2]}]}}`
	want := parseConfig(t)
	settingsAt := strings.Index(configText, `"settings":`)
	outside, settings := configText[:settingsAt], configText[settingsAt:]
	for name, rewrite := range map[string]func(string) string{
		"upper case": strings.ToUpper,
		"capital":    func(key string) string { return strings.ToUpper(key[:1]) + key[1:] },
		"last upper": func(key string) string { return key[:len(key)-1] + strings.ToUpper(key[len(key)-1:]) },
	} {
		t.Run(name, func(t *testing.T) {
			c, err := ParseConfig([]byte(rewriteKeys(outside, "name listen seed feed limits cores memory_mb sockets known n events "+
				"members full servers id addr zone kind cell state started_ms", rewrite) + rewriteKeys(settings, "settings", rewrite)))
			if err != nil {
				t.Fatal(err)
			}
			c.InitialEventsJSON = want.InitialEventsJSON // contains the keys in their original case
			expectEqual(t, "configuration", c, want)
			c, err = ParseConfig([]byte(rewriteKeys(configText, "caps conn_idle_ns", rewrite)))
			if err != nil || c.NodeIdleTimeout != 30*time.Second {
				t.Errorf("idle timeout: got %+v and error %v, want 30 s", c, err)
			}
			event, err := want.DecodeWatchEvent([]byte(rewriteKeys(eventText, "members servers id state unasked", rewrite)))
			if err != nil || !event.HasFreeCapacity || event.Update.Endpoints[0].Machine.FreeMemory != 2 {
				t.Errorf("event: got %+v and error %v, want one with 2 GiB of free memory", event, err)
			}
			object := strings.TrimSuffix(strings.TrimPrefix(settings, `"settings":`), "}")
			_, names, err := fleetsettings.DecodeJSON(json.RawMessage(rewriteKeys(object, "kinds categories customers name", rewrite)))
			if err != nil {
				t.Fatal(err)
			}
			expectEqual(t, "names", names, want.Names)
		})
	}
}
