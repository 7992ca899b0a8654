package fleetsettings

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/goccy/go-json"

	"flaxshelf.example/flaxshelf"
	"flaxshelf.example/flaxshelf/internal/textfields"
)

// wireNames are the names in the settings.
type jsonNames struct {
	Kinds      []string     `json:"kinds"`
	Categories []namedEntry `json:"categories"`
	Customers  []namedEntry `json:"customers"`
}

type namedEntry struct {
	Name string `json:"name"`
}

// DecodeJSON decodes settings that are a JSON object. Names are found as the object has them, and as path=value pairs hold
// them. The error is a *textfields.ValueError where a setting has an invalid value.
func DecodeJSON(settings json.RawMessage) (flaxshelf.Config, *NameIndex, error) {
	pairs, err := flattenObject(settings)
	if err != nil {
		return flaxshelf.Config{}, nil, fmt.Errorf("must be a JSON object: %w", err)
	}
	f := textfields.New(pairs)
	config, _ := Decode(&f)
	if invalid := f.FirstError(); invalid != nil {
		return flaxshelf.Config{}, nil, invalid
	}
	names, err := decodeNameIndex(settings)
	return config, names, err
}

// decodeNames decodes the names as the JSON object has them. Those that Decode returns have no spaces and commas, which pairs
// can't hold.
func decodeNameIndex(settings json.RawMessage) (*NameIndex, error) {
	var decoded jsonNames
	if err := json.Unmarshal(settings, &decoded); err != nil {
		return nil, fmt.Errorf("names must be strings: %w", err)
	}
	names := &NameIndex{}
	var err error
	if names.kinds, err = indexNames("kinds", "", decoded.Kinds); err != nil {
		return nil, err
	}
	if names.classes, err = indexNames("categories", ".name", entryNames(decoded.Categories)); err != nil {
		return nil, err
	}
	if names.tenants, err = indexNames("customers", ".name", entryNames(decoded.Customers)); err != nil {
		return nil, err
	}
	return names, nil
}

func entryNames(entries []namedEntry) []string {
	names := make([]string, len(entries))
	for i, entry := range entries {
		names[i] = entry.Name
	}
	return names
}

// indexNames returns the position of each name, and of each name as pairs hold it where no other name is written so. list is
// the setting that the names are from, member the path of the name within an entry.
func indexNames(listPath, nameField string, names []string) (map[string]int, error) {
	index := make(map[string]int, len(names))
	for i, name := range names {
		if _, duplicate := index[name]; duplicate || name == "" {
			return nil, &textfields.ValueError{Field: fmt.Sprintf("%s[%d]%s", listPath, i, nameField), Value: name,
				Reason: "must be a name, each once"}
		}
		index[name] = i
	}
	for i, name := range names {
		pairName := separatorReplacer.Replace(name)
		if _, taken := index[pairName]; !taken {
			index[pairName] = i
		}
	}
	return index, nil
}

// flatten returns the path=value pairs of a JSON object, in the order of their paths.
func flattenObject(settings json.RawMessage) ([]string, error) {
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
		return append(pairs, path+"="+formatPairValue(value))
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
		values[i] = formatPairValue(entry)
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
var separatorReplacer = strings.NewReplacer(" ", "_", ",", "_")

// pairValue is a value as pairs hold it.
func formatPairValue(value any) string {
	switch value := value.(type) {
	case bool:
		return strconv.FormatBool(value)
	case json.Number:
		return value.String()
	case string:
		return separatorReplacer.Replace(value)
	}
	return fmt.Sprint(value)
}
