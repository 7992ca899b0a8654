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
	machine  flaxshelf.Machine
	kindName string
}

// machineStates are the states of machines by their names in the protocol.
var machineStates = map[string]flaxshelf.MachineState{
	"IN": flaxshelf.Active, "LAME": flaxshelf.Draining, "OUT": flaxshelf.Removed,
}

// readMachineList reads the list of machines that follows a REGISTER line. It replaces an older list of the same number. The error is
// io.EOF, not io.ErrUnexpectedEOF, when the input ends between two entries.
func (r *Reader) readMachineList(f *fields) error {
	page, count := int(f.RequiredInteger("page")), f.Integer("records")
	var list []listedMachine
	for range count {
		line, err := r.readLine()
		if err != nil {
			return err
		}
		message, rest, _ := strings.Cut(line, " ")
		if message != "M" {
			return &ProtocolError{Batch: r.batchSerial, Field: "records", Value: line}
		}
		entryFields := parseFields(rest)
		list = append(list, decodeMachine(entryFields))
		if err := r.protocolError(entryFields); err != nil {
			return err
		}
	}
	if err := r.protocolError(f); err != nil {
		return err
	}
	r.machineLists[page] = list
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
		State:      textfields.Lookup(&f.Fields, "readiness", machineStates, flaxshelf.Active),
	}
	return listedMachine{machine: machine, kindName: f.Text("shape")}
}

// machineWithKind returns the machine with the kind that it has in the settings of an instance.
func (l listedMachine) machineWithKind(names *fleetsettings.Names) flaxshelf.Machine {
	machine := l.machine
	machine.Kind = names.Kind(l.kindName)
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
		f.Fail("form", form, "must be Complete, Partial, Persisted or Error")
		return nil
	}
	list, ok := r.machineLists[int(f.RequiredInteger("page"))]
	if !ok {
		f.Fail("page", f.Text("page"), "must be the number of a list that was registered before")
		return nil
	}
	event := flaxshelf.MachinesUpdated{Complete: form != "Partial", Stale: form == "Persisted"}
	for _, entry := range list {
		event.Machines = append(event.Machines, entry.machineWithKind(f.names))
	}
	return event
}
