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

// jsonNames are the settings that hold names of kinds, classes and tenants.
type jsonNames struct {
	Kinds      []string     `json:"kinds"`
	Categories []namedEntry `json:"categories"`
	Customers  []namedEntry `json:"customers"`
}

// namedEntry is a class or tenant, of which only the name is read.
type namedEntry struct {
	Name string `json:"name"`
}

// DecodeJSON decodes settings from a JSON object. The index finds a name as the object spells it, and also as path=value pairs
// spell it, with spaces and commas replaced by underscores. The error is a *textfields.ValueError if a setting has an invalid
// value.
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

// decodeNameIndex decodes the names with the spelling of the JSON object. The index that Decode returns can't be used for it,
// because in pairs, spaces and commas are replaced.
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

// entryNames returns the names of the entries, in their order.
func entryNames(entries []namedEntry) []string {
	names := make([]string, len(entries))
	for i, entry := range entries {
		names[i] = entry.Name
	}
	return names
}

// indexNames maps each name to its position in names. It also maps the spelling of a name in pairs, unless that is taken by
// another name. listPath is the path of the setting that lists the names, and nameField the path of the name within an entry of
// that list; both are for errors.
func indexNames(listPath, nameField string, names []string) (map[string]int, error) {
	index := make(map[string]int, len(names))
	for i, name := range names {
		if _, duplicate := index[name]; duplicate || name == "" {
			return nil, &textfields.ValueError{Field: fmt.Sprintf("%s[%d]%s", listPath, i, nameField), Value: name,
				Reason: "must be a non-empty and unique name"}
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

// flattenObject returns the path=value pairs of a JSON object. The keys of each object are in alphabetical order.
func flattenObject(settings json.RawMessage) ([]string, error) {
	decoder := json.NewDecoder(strings.NewReader(string(settings)))
	decoder.UseNumber()
	var value any
	if err := decoder.Decode(&value); err != nil {
		return nil, err
	}
	object, ok := value.(map[string]any)
	if !ok {
		return nil, fmt.Errorf("got %T, expected an object", value)
	}
	return appendObject(nil, "", object), nil
}

// appendPairs appends the pairs of a value. A null has none.
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

// appendObject appends the pairs of an object's members, in the order of their keys.
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

// appendList appends a list. A list of objects becomes a pair with their number, under the key "count", and the pairs of each
// object. Any other list becomes one pair with its values, separated by commas.
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

// joinPath returns the path of a member of the object or list at path. An empty path is that of the whole settings.
func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// separatorReplacer replaces the characters that separate pairs on a line and entries in a list.
var separatorReplacer = strings.NewReplacer(" ", "_", ",", "_")

// formatPairValue returns the text of a value in a pair.
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
