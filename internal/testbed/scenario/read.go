package scenario

import (
	"embed"
	"fmt"
	"os"
	"path"
	"path/filepath"
	"sort"
	"strings"

	"flaxshelf.example/flaxshelf/internal/settings"
)

//go:embed schema.cue
var schema string

//go:embed days/*.cue
var dayFiles embed.FS

// allClasses as the class of a fault means all classes.
const allClasses = "*"

// UnknownDayError is returned by Read for a name that is neither that of an embedded day nor that of a readable file.
type UnknownDayError struct {
	Name string
	Err  error // the error of reading the file
}

// Error returns a message with the names of the embedded days and the error of reading the file, which has the name.
func (e *UnknownDayError) Error() string {
	return fmt.Sprintf("no day of that name (there are %s), and no readable file: %v", strings.Join(Names(), ", "), e.Err)
}

// Unwrap returns the error of reading the file.
func (e *UnknownDayError) Unwrap() error { return e.Err }

// Names returns the sorted names of the embedded days.
func Names() []string {
	entries, _ := dayFiles.ReadDir("days") // the directory is embedded, so reading it does not fail
	var names []string
	for _, e := range entries {
		names = append(names, strings.TrimSuffix(e.Name(), ".cue"))
	}
	sort.Strings(names)
	return names
}

// Read reads the embedded day with the given name or, if there is none, the file with that name. The error is an
// *UnknownDayError if the file cannot be read either, and settings.ConfigErrors if the day is invalid.
func Read(name string) (*Day, error) {
	if text, err := dayFiles.ReadFile(path.Join("days", name+".cue")); err == nil {
		return Parse(name, text)
	}
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, &UnknownDayError{Name: name, Err: err}
	}
	return Parse(name, text)
}

// Parse reads a day from the text of a CUE file. If the day is invalid, the error is settings.ConfigErrors, with name as the name
// of the file.
func Parse(name string, text []byte) (*Day, error) {
	file, err := settings.Parse(name, text, "#Trial", schema)
	if err != nil {
		return nil, err
	}
	d := &Day{Name: strings.TrimSuffix(filepath.Base(name), ".cue")}
	if err := file.Decode(d); err != nil {
		return nil, err
	}
	for i := range d.Loads {
		if d.Loads[i].To == 0 {
			d.Loads[i].To = d.LoadSeconds
		}
	}
	d.checkFleet(file)
	d.checkLoad(file)
	d.checkFaults(file)
	return d, file.Err()
}

func (d *Day) checkFleet(file *settings.File) {
	kinds := map[string]bool{}
	for _, k := range d.MachineKinds {
		kinds[k.Name] = true
	}
	for i, g := range d.Fleet {
		if !kinds[g.MachineKind] {
			file.AddErrorf(fmt.Sprintf("fleet[%d].kind", i),
				"no kind %q is defined, expected a name in the list \"kinds\"", g.MachineKind)
		}
	}
}

func (d *Day) checkLoad(file *settings.File) {
	for i, l := range d.Loads {
		if d.Class(l.Class) == nil {
			file.AddErrorf(fmt.Sprintf("load[%d].class", i),
				"no class %q is defined, expected a name in the list \"classes\"", l.Class)
		}
		if l.RuntimeBounds[1] < l.RuntimeBounds[0] {
			file.AddErrorf(fmt.Sprintf("load[%d].life", i), "is %v, expected durations in ascending order", l.RuntimeBounds)
		}
	}
}

func (d *Day) checkFaults(file *settings.File) {
	for i, t := range d.Faults {
		if t.Class != "" && t.Class != allClasses && d.Class(t.Class) == nil {
			file.AddErrorf(fmt.Sprintf("troubles[%d].class", i),
				"no class %q is defined, expected a name in the list \"classes\" or %q", t.Class, allClasses)
		}
		for j, s := range t.Schedulers {
			if s >= d.Schedulers {
				file.AddErrorf(fmt.Sprintf("troubles[%d].schedulers[%d]", i, j), "no scheduler %d, there are %d", s,
					d.Schedulers)
			}
		}
	}
}
