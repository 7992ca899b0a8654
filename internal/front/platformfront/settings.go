package platformfront

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-json"

	"flaxshelf.example/flaxshelf/internal/benchadapter"
)

// fieldSettings is the path of the settings within the configuration file.
const fieldSettings = "settings"

// wireCapabilities are the capabilities of the settings that the module does not know.
type wireCapabilities struct {
	Caps struct {
		IdleTimeoutNanos int64 `json:"conn_idle_ns"`
	} `json:"caps"`
}

// wireNames are the names in the settings.
type wireNames struct {
	Kinds      []string    `json:"kinds"`
	Categories []wireNamed `json:"categories"`
	Customers  []wireNamed `json:"customers"`
}

type wireNamed struct {
	Name string `json:"name"`
}

// setSettings decodes all that the settings hold: the configuration of the module, names, and the idle timeout of nodes.
func (c *Config) setSettings(settings json.RawMessage) error {
	pairs, err := settingPairs(settings)
	if err != nil {
		return &ConfigError{Field: fieldSettings, Reason: "must be a JSON object", Err: err}
	}
	if c.Module, _, err = benchadapter.Settings(pairs); err != nil {
		return invalidSetting(err)
	}
	var capabilities wireCapabilities
	const idleField = fieldSettings + ".caps.conn_idle_ns"
	if err := json.Unmarshal(settings, &capabilities); err != nil {
		return &ConfigError{Field: idleField, Reason: "must be a time in nanoseconds", Err: err}
	}
	idle := capabilities.Caps.IdleTimeoutNanos
	if idle < 0 {
		return invalidConfig(idleField, strconv.FormatInt(idle, 10), "must be 0 or above")
	}
	c.NodeIdleTimeout = time.Duration(idle)
	c.Names, err = decodeNames(settings)
	return err
}

// invalidSetting names the setting that the reader of settings rejected.
func invalidSetting(err error) error {
	var invalid *benchadapter.ProtocolError
	if errors.As(err, &invalid) {
		return &ConfigError{Field: fieldSettings + "." + invalid.Field, Value: strconv.Quote(invalid.Value),
			Reason: "not a value of this setting"}
	}
	return &ConfigError{Field: fieldSettings, Err: err}
}

// decodeNames decodes the names as owners and the control feed write them. Those that benchadapter.Settings returns are
// without the spaces and commas, which its pairs can't hold.
func decodeNames(settings json.RawMessage) (*benchadapter.Names, error) {
	var wire wireNames
	if err := json.Unmarshal(settings, &wire); err != nil {
		return nil, &ConfigError{Field: fieldSettings, Reason: "names must be strings", Err: err}
	}
	names := &benchadapter.Names{}
	var err error
	if names.Kind, err = indexNames("kinds", "", wire.Kinds); err != nil {
		return nil, err
	}
	if names.Class, err = indexNames("categories", ".name", namesOf(wire.Categories)); err != nil {
		return nil, err
	}
	if names.Tenant, err = indexNames("customers", ".name", namesOf(wire.Customers)); err != nil {
		return nil, err
	}
	return names, nil
}

func namesOf(list []wireNamed) []string {
	names := make([]string, len(list))
	for i, entry := range list {
		names[i] = entry.Name
	}
	return names
}

// indexNames returns the position of each name, and of each name as pairs hold it where no other name is written so. list is
// the setting that the names are from, member the path of the name within an entry.
func indexNames(list, member string, names []string) (map[string]int, error) {
	index := make(map[string]int, len(names))
	for i, name := range names {
		if _, duplicate := index[name]; duplicate || name == "" {
			return nil, invalidConfig(fmt.Sprintf("%s.%s[%d]%s", fieldSettings, list, i, member), strconv.Quote(name),
				"must be a name, each once")
		}
		index[name] = i
	}
	for i, name := range names {
		inPairs := pairReplacer.Replace(name)
		if _, taken := index[inPairs]; !taken {
			index[inPairs] = i
		}
	}
	return index, nil
}

// settingPairs flattens the JSON object to the path=value pairs of the bench's text protocol, in the order of their paths.
func settingPairs(settings json.RawMessage) ([]string, error) {
	decoder := json.NewDecoder(strings.NewReader(string(settings)))
	decoder.UseNumber()
	var value any
	if err := decoder.Decode(&value); err != nil {
		return nil, err
	}
	object, ok := value.(map[string]any)
	if !ok {
		return nil, fmt.Errorf("an object was expected, not %T", value)
	}
	return appendObject(nil, "", object), nil
}

func appendPairs(pairs []string, path string, value any) []string {
	switch value := value.(type) {
	case map[string]any:
		return appendObject(pairs, path, value)
	case []any:
		return appendList(pairs, path, value)
	case nil:
		return pairs
	default:
		return append(pairs, path+"="+pairValue(value))
	}
}

func appendObject(pairs []string, path string, object map[string]any) []string {
	keys := make([]string, 0, len(object))
	for key := range object {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	for _, key := range keys {
		pairs = appendPairs(pairs, joinPath(path, key), object[key])
	}
	return pairs
}

// appendList appends a list of objects as their count and the pairs of each, any other list as its values with commas
// between them.
func appendList(pairs []string, path string, list []any) []string {
	if len(list) > 0 {
		if _, objects := list[0].(map[string]any); objects {
			pairs = append(pairs, joinPath(path, "count")+"="+strconv.Itoa(len(list)))
			for i, entry := range list {
				pairs = appendPairs(pairs, joinPath(path, strconv.Itoa(i)), entry)
			}
			return pairs
		}
	}
	values := make([]string, len(list))
	for i, entry := range list {
		values[i] = pairValue(entry)
	}
	return append(pairs, path+"="+strings.Join(values, ","))
}

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// pairReplacer takes out of a text what separates fields and list entries in pairs.
var pairReplacer = strings.NewReplacer(" ", "_", ",", "_")

// pairValue is a value as pairs hold it.
func pairValue(value any) string {
	switch value := value.(type) {
	case bool:
		return strconv.FormatBool(value)
	case json.Number:
		return value.String()
	case string:
		return pairReplacer.Replace(value)
	}
	return fmt.Sprint(value)
}
