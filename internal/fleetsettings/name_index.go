package fleetsettings

import "flaxshelf.example/flaxshelf"

// unknown is the index of a name that the settings don't have.
const unknownIndex = -1

// Names are the indices in a flaxshelf.Config of the names that its settings have. The zero value has no names. It does not
// change once it is decoded and is then safe for concurrent use.
type NameIndex struct{ classes, kinds, tenants map[string]int }

// Class returns the index of a class, and reports whether the settings have it.
func (n *NameIndex) Class(name string) (index int, ok bool) {
	index, ok = n.classes[name]
	return index, ok
}

// Kind returns the index of a kind of machine, or -1 if the settings don't have it.
func (n *NameIndex) Kind(name string) int { return indexOrUnknown(n.kinds, name) }

// Tenant returns the index of a tenant, or -1 if the settings don't have it.
func (n *NameIndex) Tenant(name string) int { return indexOrUnknown(n.tenants, name) }

func indexOrUnknown(indices map[string]int, name string) int {
	if index, ok := indices[name]; ok {
		return index
	}
	return unknownIndex
}

// namesOf returns the names in a configuration, with the last index of those that are equal.
func newNameIndex(config *flaxshelf.Config) *NameIndex {
	names := &NameIndex{classes: map[string]int{}, kinds: map[string]int{}, tenants: map[string]int{}}
	for i := range config.Kinds {
		names.kinds[config.Kinds[i].Name] = i
	}
	for i := range config.Classes {
		names.classes[config.Classes[i].Name] = i
	}
	for i := range config.Tenants {
		names.tenants[config.Tenants[i].Name] = i
	}
	return names
}
