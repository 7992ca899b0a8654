package benchadapter

import (
	"strings"

	"flaxshelf.example/flaxshelf"
	"flaxshelf.example/flaxshelf/internal/fleetsettings"
	"flaxshelf.example/flaxshelf/internal/textfields"
)

// listedMachine is an entry of a list of machines. It has the name of its kind, since a list is shared by instances, each of
// which numbers kinds by its own settings.
type listedMachine struct {
	machine flaxshelf.Machine
	kind    string
}

// machineStates are the states of machines by their names in the protocol.
var machineStates = map[string]flaxshelf.MachineState{
	"IN": flaxshelf.Active, "LAME": flaxshelf.Draining, "OUT": flaxshelf.Removed,
}

// register reads the list of machines that follows a REGISTER line. It replaces an older list of the same number. The error is
// io.EOF, not io.ErrUnexpectedEOF, when the input ends between two entries.
func (r *Reader) register(f *fields) error {
	page, count := int(f.RequiredInteger("page")), f.Integer("records")
	var list []listedMachine
	for range count {
		line, err := r.line()
		if err != nil {
			return err
		}
		message, rest, _ := strings.Cut(line, " ")
		if message != "M" {
			return &ProtocolError{Batch: r.serial, Field: "records", Value: line}
		}
		entryFields := parseFields(rest)
		list = append(list, decodeMachine(entryFields))
		if err := r.check(entryFields); err != nil {
			return err
		}
	}
	if err := r.check(f); err != nil {
		return err
	}
	r.pages[page] = list
	return nil
}

// decodeMachine decodes an entry; it is the only mapping of this wire to a Machine, but for its kind.
func decodeMachine(f *fields) listedMachine {
	machine := flaxshelf.Machine{
		ID:         f.RequiredText("node"),
		Zone:       f.Text("az"),
		Cell:       int(f.Integer("pod")),
		Started:    f.Duration("last_start_ns"),
		FreeCores:  f.Number("open_cores"),
		FreeMemory: f.Number("spare_mem"),
		State:      textfields.Enum(&f.Fields, "readiness", machineStates, flaxshelf.Active),
	}
	return listedMachine{machine: machine, kind: f.Text("shape")}
}

// forInstance returns the machine with the kind that it has in the settings of an instance.
func (l listedMachine) forInstance(names *fleetsettings.NameIndex) flaxshelf.Machine {
	machine := l.machine
	machine.Kind = names.Kind(l.kind)
	return machine
}

// decodeView decodes a VIEW line: a registered list of machines, or a failure of discovery.
func (r *Reader) decodeView(f *fields) flaxshelf.Event {
	form := f.RequiredText("form")
	switch form {
	case "Error":
		return flaxshelf.DiscoveryFailed{}
	case "Partial", "Complete", "Persisted":
	default:
		f.RecordError("form", form, "must be Complete, Partial, Persisted or Error")
		return nil
	}
	list, ok := r.pages[int(f.RequiredInteger("page"))]
	if !ok {
		f.RecordError("page", f.Text("page"), "must be the number of a list that was registered before")
		return nil
	}
	event := flaxshelf.MachinesUpdated{Complete: form != "Partial", Stale: form == "Persisted"}
	for _, entry := range list {
		event.Machines = append(event.Machines, entry.forInstance(f.names))
	}
	return event
}
