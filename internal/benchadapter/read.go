// Package benchadapter turns the text protocol of the bench into the module's events and its actions into text. It
// converts names and units and decides nothing.
package benchadapter

import (
	"bufio"
	"encoding/base64"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"flaxshelf.example/flaxshelf"
)

// Start is a new instance: its seed and settings.
type Start struct {
	Seed   uint64
	Config flaxshelf.Config
	names  *Names
}

// Item is one thing that happened to an instance: exactly one of Start, Stop and Event is set.
type Item struct {
	Instance int
	Start    *Start
	Stop     bool
	Event    flaxshelf.Event
}

// Batch is what one FRAME brings.
type Batch struct {
	Clock  flaxshelf.Time
	Serial int64
	Items  []Item
}

// Reader reads batches.
type Reader struct {
	in        *bufio.Reader
	instances map[int]*Names
	pages     map[int][]entry
	serial    int64
}

// entry is a list entry with its kind still as a word, since lists belong to no instance.
type entry struct {
	machine flaxshelf.Machine
	kind    string
}

// NewReader makes a Reader.
func NewReader(in io.Reader) *Reader {
	return &Reader{in: bufio.NewReaderSize(in, 1<<20), instances: map[int]*Names{}, pages: map[int][]entry{}}
}

// ProtocolError is malformed input: the batch, the field and its value.
type ProtocolError struct {
	Batch        int64
	Field, Value string
}

func (e *ProtocolError) Error() string {
	return fmt.Sprintf("malformed input: batch %d, field %s, value %q", e.Batch, e.Field, e.Value)
}

func (r *Reader) line() (string, error) {
	s, err := r.in.ReadString('\n')
	if err == io.EOF && s != "" {
		err = io.ErrUnexpectedEOF
	}
	return strings.TrimRight(s, "\r\n"), err
}

// Next reads one batch; io.EOF when input has ended between batches.
func (r *Reader) Next() (*Batch, error) {
	s, err := r.line()
	for err == nil && s == "" {
		s, err = r.line()
	}
	if err != nil {
		return nil, err
	}
	word, rest, _ := strings.Cut(s, " ")
	if word != "FRAME" {
		return nil, &ProtocolError{r.serial, "FRAME", s}
	}
	f := r.fields(rest)
	b := &Batch{Clock: f.dur("clock_ns", true), Serial: f.int("serial", true)}
	if f.err != nil {
		return nil, f.err
	}
	r.serial = b.Serial
	for {
		s, err := r.line()
		if err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return nil, err
		}
		if s == "END" {
			return b, nil
		}
		if s == "" {
			continue
		}
		item, ok, err := r.item(s)
		if err != nil {
			return nil, err
		}
		if ok {
			b.Items = append(b.Items, item)
		}
	}
}

func (r *Reader) item(s string) (item Item, ok bool, err error) {
	word, rest, _ := strings.Cut(s, " ")
	f := r.fields(rest)
	if word == "REGISTER" {
		return item, false, r.register(f)
	}
	parse, known := parsers[word]
	if !known {
		return item, false, nil // a message of a later version
	}
	item.Instance = int(f.int("who", true))
	f.names = r.instances[item.Instance]
	if f.names == nil {
		f.names = &Names{}
	}
	parse(r, f, &item)
	if f.err != nil {
		return item, false, f.err
	}
	if item.Start != nil {
		r.instances[item.Instance] = item.Start.names
	}
	return item, true, nil
}

func (r *Reader) register(f *fields) error {
	page, n := int(f.int("page", true)), f.int("records", false)
	var list []entry
	for range n {
		s, err := r.line()
		if err != nil {
			return err
		}
		word, rest, _ := strings.Cut(s, " ")
		if word != "M" {
			return &ProtocolError{r.serial, "records", s}
		}
		e := r.fields(rest)
		m := flaxshelf.Machine{
			ID: e.text("node", true), Zone: e.text("az", false), Cell: int(e.int("pod", false)),
			Started:   e.dur("last_start_ns", false),
			FreeCores: e.num("open_cores", false), FreeMemory: e.num("spare_mem", false),
		}
		m.State = lookup(e, "readiness", states, flaxshelf.Active)
		if e.err != nil {
			return e.err
		}
		list = append(list, entry{m, e.text("shape", false)})
	}
	if f.err == nil {
		r.pages[page] = list
	}
	return f.err
}

var states = map[string]flaxshelf.MachineState{"IN": flaxshelf.Active, "LAME": flaxshelf.Draining, "OUT": flaxshelf.Removed}

var verdicts = map[string]flaxshelf.Outcome{
	"0": flaxshelf.Completed, "255": flaxshelf.Failed, "254": flaxshelf.Rejected, "253": flaxshelf.TimedOut,
	"252": flaxshelf.Unreachable, "251": flaxshelf.Lost, "250": flaxshelf.Canceled, "249": flaxshelf.NotSent,
}

var parsers = map[string]func(r *Reader, f *fields, item *Item){
	"UP": func(r *Reader, f *fields, item *Item) {
		item.Start = &Start{Seed: uint64(f.int("init_seed", false))}
		item.Start.Config, item.Start.names = settings(f)
	},
	"RETIRE": func(r *Reader, f *fields, item *Item) { item.Stop = true },
	"VIEW": func(r *Reader, f *fields, item *Item) {
		form := f.text("form", true)
		if form == "Error" {
			item.Event = flaxshelf.DiscoveryFailed{}
			return
		}
		if form != "Partial" && form != "Complete" && form != "Persisted" {
			f.fail("form", form)
			return
		}
		list, ok := r.pages[int(f.int("page", true))]
		if !ok {
			f.fail("page", f.text("page", false))
			return
		}
		e := flaxshelf.MachinesUpdated{Complete: form != "Partial", Stale: form == "Persisted"}
		for _, x := range list {
			x.machine.Kind = -1
			if k, ok := f.names.Kind[x.kind]; ok {
				x.machine.Kind = k
			}
			e.Machines = append(e.Machines, x.machine)
		}
		item.Event = e
	},
	"TO_PLACE": func(r *Reader, f *fields, item *Item) { item.Event = flaxshelf.TaskSubmitted{Task: f.task()} },
	"RUNNING": func(r *Reader, f *fields, item *Item) {
		item.Event = flaxshelf.TaskAdopted{Task: f.task(), Machine: f.text("node", true)}
	},
	"SEATED": func(r *Reader, f *fields, item *Item) {
		item.Event = flaxshelf.AttemptPlaced{Task: f.text("tid", true), Machine: f.text("node", false),
			Attempt: int(f.int("leg", false)), Latency: f.dur("lag_ns", false)}
	},
	"ATTEMPT_END": func(r *Reader, f *fields, item *Item) {
		item.Event = flaxshelf.AttemptEnded{Task: f.text("tid", true), Machine: f.text("node", false),
			Attempt: int(f.int("leg", false)), Outcome: lookup(f, "verdict", verdicts, flaxshelf.Lost),
			Reason: flaxshelf.Reason(f.int("remark", false)), Final: f.flag("finished"),
			Latency: f.dur("lag_ns", false), Load: f.load()}
	},
	"STATUS_NOTE": func(r *Reader, f *fields, item *Item) {
		item.Event = flaxshelf.UsageReport{Task: f.text("tid", true), Machine: f.text("node", false),
			Attempt: int(f.int("leg", false)), Kind: flaxshelf.UsageKind(f.int("kind", true)),
			Amount: f.num("amount", false)}
	},
	"HEALTH_RESULT": func(r *Reader, f *fields, item *Item) {
		item.Event = flaxshelf.HealthChecked{Machine: f.text("node", true),
			Outcome: lookup(f, "verdict", verdicts, flaxshelf.Lost), Load: f.load()}
	},
	"INBOX": func(r *Reader, f *fields, item *Item) {
		data := f.text("blob", false)
		b, err := base64.StdEncoding.DecodeString(strings.TrimPrefix(data, "-"))
		if err != nil {
			f.fail("blob", data)
		}
		item.Event = flaxshelf.GossipReceived{From: int(f.int("neighbour", true)), Data: b}
	},
	"WAKEUP": func(r *Reader, f *fields, item *Item) { item.Event = flaxshelf.TimerFired{} },
	"ABORTED": func(r *Reader, f *fields, item *Item) {
		item.Event = flaxshelf.TaskCanceled{Task: f.text("tid", true)}
	},
}

// fields are the name=value pairs of a line; the first fault is kept in err.
type fields struct {
	serial int64
	pairs  []string
	names  *Names
	err    error
}

func (r *Reader) fields(rest string) *fields {
	return &fields{serial: r.serial, pairs: strings.Split(rest, " ")}
}

func (f *fields) fail(field, value string) {
	if f.err == nil {
		f.err = &ProtocolError{f.serial, field, value}
	}
}

func (f *fields) get(name string) (string, bool) {
	for _, p := range f.pairs {
		if len(p) > len(name) && p[len(name)] == '=' && p[:len(name)] == name {
			return p[len(name)+1:], true
		}
	}
	return "", false
}

func (f *fields) text(name string, needed bool) string {
	s, ok := f.get(name)
	if needed && (!ok || s == "") {
		f.fail(name, s)
	}
	return s
}

func (f *fields) int(name string, needed bool) int64 {
	s := f.text(name, needed)
	if s == "" {
		return 0
	}
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		f.fail(name, s)
	}
	return n
}

func (f *fields) dur(name string, needed bool) time.Duration {
	return time.Duration(f.int(name, needed))
}

func (f *fields) num(name string, needed bool) float64 {
	s := f.text(name, needed)
	if s == "" {
		return 0
	}
	x, err := strconv.ParseFloat(s, 64)
	if err != nil || x != x || x-x != 0 {
		f.fail(name, s)
		return 0
	}
	return x
}

func (f *fields) flag(name string) bool {
	switch s := f.text(name, false); s {
	case "1", "true":
		return true
	case "", "0", "false":
	default:
		f.fail(name, s)
	}
	return false
}

func lookup[T any](f *fields, name string, of map[string]T, absent T) T {
	s := f.text(name, false)
	if s == "" {
		return absent
	}
	v, ok := of[s]
	if !ok {
		f.fail(name, s)
	}
	return v
}

func (f *fields) task() flaxshelf.Task {
	t := flaxshelf.Task{
		ID: f.text("tid", true), Key: f.text("uid", false), Service: f.text("owner_set", false),
		Cores: f.num("cores", false), Memory: f.num("ram_units", false),
		ExpectedRuntime: f.dur("time_to_run_ns", false), Deadline: f.dur("valid_until_ns", true),
		Retry: f.flag("again"), Tenant: -1,
	}
	word := f.text("priority", true)
	class, ok := f.names.Class[word]
	if !ok {
		f.fail("priority", word)
	}
	t.Class = class
	if i, ok := f.names.Tenant[f.text("client_group", false)]; ok {
		t.Tenant = i
	}
	return t
}

// load reads name:value pairs; what x0 and x1 stand for is the settings' to say.
func (f *fields) load() (l flaxshelf.LoadReport) {
	s := f.text("load", false)
	if s == "" || s == "-" {
		return l
	}
	l.Present = true
	for pair := range strings.SplitSeq(s, ",") {
		name, value, _ := strings.Cut(pair, ":")
		x, err := strconv.ParseFloat(value, 64)
		if err != nil {
			f.fail("load", s)
			return l
		}
		switch name {
		case "x0":
			l.FreeCores, l.HasCores = x, true
		case "x1":
			l.FreeMemory, l.HasMemory = x, true
		}
	}
	return l
}
