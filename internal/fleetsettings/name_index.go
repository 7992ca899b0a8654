package fleetsettings

import "flaxshelf.example/flaxshelf"

// unknownIndex is returned as the index of a name that the settings do not contain.
const unknownIndex = -1

// NameIndex finds the classes, kinds and tenants of a flaxshelf.Config by name. The zero value finds none. A NameIndex does not
// change after it is decoded and is then safe for concurrent use.
type NameIndex struct{ classes, kinds, tenants map[string]int }

// Class returns the index in Config.Classes of a class, and whether the settings contain it.
func (n *NameIndex) Class(name string) (index int, ok bool) {
	index, ok = n.classes[name]
	return index, ok
}

// Kind returns the index in Config.Kinds of a kind of machine, or -1 if the settings do not contain it.
func (n *NameIndex) Kind(name string) int { return indexOrUnknown(n.kinds, name) }

// Tenant returns the index in Config.Tenants of a tenant, or -1 if the settings do not contain it.
func (n *NameIndex) Tenant(name string) int { return indexOrUnknown(n.tenants, name) }

func indexOrUnknown(indices map[string]int, name string) int {
	if index, ok := indices[name]; ok {
		return index
	}
	return unknownIndex
}

// newNameIndex returns the index of the names in a configuration. Of entries with the
// same name, it has the last.
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
