package benchadapter

import (
	"strings"

	"flaxshelf.example/flaxshelf"
)

// listedMachine is an entry of a list of machines. Its kind is a name, since lists belong to no instance.
type listedMachine struct {
	machine flaxshelf.Machine
	kind    string
}

// machineStates are the states of machines by their names in the protocol.
var machineStates = map[string]flaxshelf.MachineState{
	"IN": flaxshelf.Active, "LAME": flaxshelf.Draining, "OUT": flaxshelf.Removed,
}

// register reads the list of machines that a REGISTER line announces. It replaces an older one of the same number. The error
// is io.EOF, not io.ErrUnexpectedEOF, where the input ends between two entries.
func (r *Reader) register(f *fields) error {
	page, count := int(f.integer("page", required)), f.integer("records", optional)
	var list []listedMachine
	for range count {
		line, err := r.line()
		if err != nil {
			return err
		}
		message, rest, _ := strings.Cut(line, " ")
		if message != "M" {
			return &ProtocolError{r.serial, "records", line}
		}
		entry, err := decodeMachine(r.fields(rest))
		if err != nil {
			return err
		}
		list = append(list, entry)
	}
	if f.err == nil {
		r.pages[page] = list
	}
	return f.err
}

func decodeMachine(f *fields) (listedMachine, error) {
	machine := flaxshelf.Machine{
		ID: f.text("node", required), Zone: f.text("az", optional), Cell: int(f.integer("pod", optional)),
		Started:   f.duration("last_start_ns", optional),
		FreeCores: f.number("open_cores"), FreeMemory: f.number("spare_mem"),
	}
	machine.State = lookup(f, "readiness", machineStates, flaxshelf.Active)
	return listedMachine{machine, f.text("shape", optional)}, f.err
}

// decodeView decodes a VIEW line: a list of machines that was registered before, or the failure to get one.
func (r *Reader) decodeView(f *fields) flaxshelf.Event {
	form := f.text("form", required)
	switch form {
	case "Error":
		return flaxshelf.DiscoveryFailed{}
	case "Partial", "Complete", "Persisted":
	default:
		f.fail("form", form)
		return nil
	}
	list, ok := r.pages[int(f.integer("page", required))]
	if !ok {
		f.fail("page", f.text("page", optional))
		return nil
	}
	event := flaxshelf.MachinesUpdated{Complete: form != "Partial", Stale: form == "Persisted"}
	for _, entry := range list {
		entry.machine.Kind = -1
		if kind, ok := f.names.Kind[entry.kind]; ok {
			entry.machine.Kind = kind
		}
		event.Machines = append(event.Machines, entry.machine)
	}
	return event
}
