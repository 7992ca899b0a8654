package benchadapter

import (
	"errors"
	"io"
	"strings"

	"flaxshelf.example/flaxshelf"
	"flaxshelf.example/flaxshelf/internal/fleetsettings"
	"flaxshelf.example/flaxshelf/internal/textfields"
)

// listedMachine is an entry of a machine list. It has the kind's name instead of its number, because instances share the list
// but number the kinds each by its own settings.
type listedMachine struct {
	machine  flaxshelf.Machine // without its kind
	kindName string
}

// machineStates maps the names of the protocol to machine states.
var machineStates = map[string]flaxshelf.MachineState{
	"IN": flaxshelf.Active, "LAME": flaxshelf.Draining, "OUT": flaxshelf.Removed,
}

// readMachineList reads the entries that follow a REGISTER line, and stores them as the machine list of that page number. They
// replace an earlier list with the same number. The error is io.EOF, not io.ErrUnexpectedEOF, when the input ends between two
// entries.
func (r *Reader) readMachineList(f *fields) error {
	page, count := int(f.RequiredInteger("page")), f.Integer("records")
	var list []listedMachine
	for range count {
		line, err := r.readLine()
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return err
		}
		name, rest, _ := strings.Cut(line, " ")
		if name != "M" {
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

// decodeMachine decodes an entry of a machine list. No other code maps the protocol's fields to a Machine, except that
// machineWithKind sets the kind.
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
	return listedMachine{machine: machine, kindName: f.Text("shape")}
}

// machineWithKind returns the machine with the number of its kind in an instance's settings, or -1 if they lack the kind.
func (l listedMachine) machineWithKind(names *fleetsettings.NameIndex) flaxshelf.Machine {
	machine := l.machine
	machine.Kind = names.Kind(l.kindName)
	return machine
}

// decodeView decodes a VIEW line: an update with the machine list of a page number, or, with the form Error, a failure of
// discovery.
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
	list, ok := r.machineLists[int(f.RequiredInteger("page"))]
	if !ok {
		f.RecordError("page", f.Text("page"), "must be the number of a machine list that was registered before")
		return nil
	}
	event := flaxshelf.MachinesUpdated{Complete: form != "Partial", Stale: form == "Persisted"}
	for _, entry := range list {
		event.Machines = append(event.Machines, entry.machineWithKind(f.names))
	}
	return event
}
