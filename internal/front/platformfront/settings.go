// Package platformfront owns the meanings of the platform's messages: configuration, owners' lines, nodes' messages and
// the control feed's events as inputs of requests.Core. It checks all that comes from outside. It must not decide anything or
// keep a connection.
package platformfront

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-json"

	"flaxshelf.example/flaxshelf"
	"flaxshelf.example/flaxshelf/internal/benchadapter"
)

// Limits are what the platform gives one scheduler.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// Config is a scheduler's configuration file.
type Config struct {
	Name, Listen, DiscoveryAddr string
	Seed                        uint64
	Limits                      Limits
	InitialEvents               []WatchEvent  // the control feed's events of the start
	InitialEventData            [][]byte      // the same, as they were written
	LastSequence                uint64        // the number of the last of them
	NodeIdleTimeout             time.Duration // after which nodes close a connection without traffic; 0: not told
	Module                      flaxshelf.Config
	Names                       *benchadapter.Names
}

// ErrConfig is wrapped by every error about a configuration file.
var ErrConfig = errors.New("platform configuration")

// ReadConfig reads a configuration file. Errors name the field and what was expected.
func ReadConfig(path string) (*Config, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrConfig, err)
	}
	return ParseConfig(b)
}

// ParseConfig is ReadConfig of bytes.
func ParseConfig(b []byte) (*Config, error) {
	var w struct {
		Name, Listen, Seed, Feed string
		Limits                   Limits
		Known                    struct {
			N      uint64
			Events []json.RawMessage
		}
		Settings json.RawMessage
	}
	if err := json.Unmarshal(b, &w); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrConfig, err)
	}
	bad := func(field, want string, got any) (*Config, error) {
		return nil, fmt.Errorf("%w: field %s: %v is not %s", ErrConfig, field, got, want)
	}
	c := &Config{Name: w.Name, Listen: w.Listen, DiscoveryAddr: w.Feed, Limits: w.Limits, LastSequence: w.Known.N}
	var err error
	switch {
	case c.Listen == "":
		return bad("listen", "an address", `""`)
	case c.DiscoveryAddr == "":
		return bad("feed", "an address", `""`)
	case !(c.Limits.Cores > 0):
		return bad("limits.cores", "above 0", c.Limits.Cores)
	case c.Limits.MemoryMB <= 0:
		return bad("limits.memory_mb", "above 0", c.Limits.MemoryMB)
	case c.Limits.Sockets < 32:
		return bad("limits.sockets", "32 or more", c.Limits.Sockets)
	}
	if c.Seed, err = strconv.ParseUint(w.Seed, 16, 64); err != nil {
		return bad("seed", "a number of up to 16 hex digits", strconv.Quote(w.Seed))
	}
	pairs, err := flatten(w.Settings)
	if err != nil {
		return nil, fmt.Errorf("%w: field settings: %w", ErrConfig, err)
	}
	if c.Module, _, err = benchadapter.Settings(pairs); err != nil {
		return nil, fmt.Errorf("%w: field settings: %w", ErrConfig, err)
	}
	var caps struct {
		Caps struct {
			Idle int64 `json:"conn_idle_ns"`
		}
	}
	if err := json.Unmarshal(w.Settings, &caps); err != nil || caps.Caps.Idle < 0 {
		return bad("settings.caps.conn_idle_ns", "a time in nanoseconds", caps.Caps.Idle)
	}
	c.NodeIdleTimeout = time.Duration(caps.Caps.Idle)
	if c.Names, err = rawNames(w.Settings); err != nil {
		return nil, fmt.Errorf("%w: field settings: %w", ErrConfig, err)
	}
	for i, raw := range w.Known.Events {
		e, err := c.DecodeWatchEvent(raw)
		if err != nil {
			return nil, fmt.Errorf("%w: field known.events[%d]: %w", ErrConfig, i, err)
		}
		c.InitialEvents, c.InitialEventData = append(c.InitialEvents, e), append(c.InitialEventData, raw)
	}
	// Risk covered: a list that was to tell what is free and does not would make every node look full.
	c.Module.ListsFreeCapacity = c.Module.ListsFreeCapacity &&
		slices.ContainsFunc(c.InitialEvents, func(e WatchEvent) bool { return e.HasFreeCapacity })
	return c, nil
}

// rawNames are the names as owners and the feed write them. Risk covered: names with a space or a comma, which the bench's
// pairs can't hold.
func rawNames(settings json.RawMessage) (*benchadapter.Names, error) {
	type named []struct{ Name string }
	var w struct {
		Kinds      []string
		Categories named
		Customers  named
	}
	if err := json.Unmarshal(settings, &w); err != nil {
		return nil, err
	}
	index := func(what string, all []string) (map[string]int, error) {
		out := make(map[string]int, len(all))
		for i, name := range all {
			if _, again := out[name]; again || name == "" {
				return nil, fmt.Errorf("%s[%d]: the name %q is empty or there twice", what, i, name)
			}
			out[name] = i
		}
		for i, name := range all { // the bench's pairs write it so; a name of its own goes before
			if _, own := out[word(name)]; !own {
				out[word(name)] = i
			}
		}
		return out, nil
	}
	of := func(all named) (out []string) {
		for _, x := range all {
			out = append(out, x.Name)
		}
		return out
	}
	n := &benchadapter.Names{}
	var err [3]error
	n.Kind, err[0] = index("kinds", w.Kinds)
	n.Class, err[1] = index("categories", of(w.Categories))
	n.Tenant, err[2] = index("customers", of(w.Customers))
	return n, errors.Join(err[:]...)
}

// flatten writes a nested object as the path=value pairs of the bench's first message.
func flatten(raw json.RawMessage) ([]string, error) {
	d := json.NewDecoder(strings.NewReader(string(raw)))
	d.UseNumber()
	var v any
	if err := d.Decode(&v); err != nil {
		return nil, err
	}
	if _, ok := v.(map[string]any); !ok {
		return nil, fmt.Errorf("an object was expected, not %T", v)
	}
	var out []string
	walk("", v, &out)
	return out, nil
}

func walk(path string, v any, out *[]string) {
	under := func(key string) string {
		if path == "" {
			return key
		}
		return path + "." + key
	}
	switch v := v.(type) {
	case map[string]any:
		keys := make([]string, 0, len(v))
		for k := range v {
			keys = append(keys, k)
		}
		slices.Sort(keys)
		for _, k := range keys {
			walk(under(k), v[k], out)
		}
	case []any:
		if len(v) > 0 {
			if _, objects := v[0].(map[string]any); objects {
				*out = append(*out, under("count")+"="+strconv.Itoa(len(v)))
				for i, x := range v {
					walk(under(strconv.Itoa(i)), x, out)
				}
				return
			}
		}
		words := make([]string, len(v))
		for i, x := range v {
			words[i] = word(x)
		}
		*out = append(*out, path+"="+strings.Join(words, ","))
	case nil:
	default:
		*out = append(*out, path+"="+word(v))
	}
}

// word is a value as the bench writes it: without spaces and commas, which part fields and lists there.
func word(v any) string {
	switch v := v.(type) {
	case bool:
		return strconv.FormatBool(v)
	case json.Number:
		return v.String()
	case string:
		return strings.NewReplacer(" ", "_", ",", "_").Replace(v)
	}
	return fmt.Sprint(v)
}
