package benchadapter

import (
	"errors"
	"fmt"
	"io"
	"reflect"
	"strings"
	"testing"
	"time"

	"flaxshelf.example/flaxshelf"
	"flaxshelf.example/flaxshelf/internal/machinetest"
)

// upLine starts instance 3 with two kinds of machines and two classes. It has an unknown field, which is ignored.
const upLine = "UP who=3 init_seed=9 balancers=2 kinds=k1,k2 specifics.kind_cores=30,48 specifics.mem_of_kind=86.0,155.0 " +
	"categories.count=2 categories.0.name=c0 categories.0.effect=read_like categories.1.name=c1 " +
	"categories.1.effect=idempotency_key categories.1.key_scope=zone categories.1.key_ttl_ns=5000000000 " +
	"specifics.spread_over=zone,off specifics.together_max=4,2 customers= discovery=on_request " +
	"round_ns=2000000 future.thing=yes specifics.kind_by_class=-1,1\n"

// readAll returns all batches of text, which must be valid.
func readAll(t *testing.T, text string) []*Batch {
	t.Helper()
	r := NewReader(strings.NewReader(text))
	var batches []*Batch
	for {
		batch, err := r.Next()
		if errors.Is(err, io.EOF) {
			return batches
		}
		if err != nil {
			t.Fatal(err)
		}
		batches = append(batches, batch)
	}
}

func TestStartHasTheConfiguration(t *testing.T) {
	config := readAll(t, "FRAME clock_ns=5 serial=1\n"+upLine+"END\n")[0].Messages[0].Start.Config
	if config.Schedulers != 2 || !config.DiscoveryOnRequest || config.Tick != 2*time.Millisecond || len(config.Tenants) != 0 {
		t.Errorf("got %+v, want 2 schedulers, discovery on request, a tick of 2 ms and no tenants", config)
	}
	want := []flaxshelf.MachineKind{{Name: "k1", Cores: 30, Memory: 86}, {Name: "k2", Cores: 48, Memory: 155}}
	if !reflect.DeepEqual(config.Kinds, want) {
		t.Errorf("kinds: got %+v, want %+v", config.Kinds, want)
	}
	if c := config.Classes[1]; c.Idempotency != flaxshelf.IdempotentByKey || c.KeyDomain != flaxshelf.ZoneDomain ||
		c.KeyTTL != 5*time.Second || c.Kind != 1 {
		t.Errorf("class 1: got %+v, want it idempotent by key in its zone for 5 s, on kind 1", c)
	}
	if c := config.Classes[0]; c.SpreadDomain != flaxshelf.ZoneDomain || c.MaxPerDomain != 4 || c.Kind != -1 {
		t.Errorf("class 0: got %+v, want 4 tasks a zone, on any kind", c)
	}
}

// A machine list replaces the earlier one with the same page number from the REGISTER line on, in the middle of a batch: views
// before and after it have different lists. Unknown messages are skipped, also without a valid instance.
func TestEventsInOrderWithReusedLists(t *testing.T) {
	text := "FRAME clock_ns=5 serial=1\n" + upLine +
		"REGISTER page=0 records=1\nM node=n1 shape=k2 readiness=IN az=a pod=2 last_start_ns=4\nVIEW who=3 form=Complete page=0\n" +
		"REGISTER page=0 records=1\nM node=n1 readiness=LAME\nVIEW who=3 form=Partial page=0\n" +
		"LATER who=3 x=1\nLATER who=x\nVIEW who=3 form=Error\nINBOX who=3 neighbour=2 blob=aGkgNw==\n" +
		"ATTEMPT_END who=3 tid=c:1 leg=1 node=n1 verdict=254 remark=2 lag_ns=7 load=x0:3.5,x9:1\n" +
		"STATUS_NOTE who=3 tid=c:1 leg=0 node=n1 kind=4 amount=0.5\nRETIRE who=3\nEND\n"
	messages := readAll(t, text)[0].Messages
	want := []flaxshelf.Event{nil,
		flaxshelf.MachinesUpdated{Complete: true, Machines: []flaxshelf.Machine{{ID: "n1", Kind: 1, Zone: "a", Cell: 2, Started: 4}}},
		flaxshelf.MachinesUpdated{Machines: []flaxshelf.Machine{{ID: "n1", Kind: -1, State: flaxshelf.Draining}}},
		flaxshelf.DiscoveryFailed{}, flaxshelf.GossipReceived{From: 2, Data: []byte("hi 7")},
		flaxshelf.AttemptEnded{Task: "c:1", Machine: "n1", Attempt: 1, Outcome: flaxshelf.Rejected, Reason: flaxshelf.InsufficientMemory,
			Latency: 7, Load: flaxshelf.LoadReport{Present: true, HasCores: true, FreeCores: 3.5}},
		flaxshelf.UsageReport{Task: "c:1", Machine: "n1", Kind: flaxshelf.ServiceLevel, Amount: 0.5}, nil}
	if len(messages) != len(want) {
		t.Fatalf("got %d messages, want %d", len(messages), len(want))
	}
	for i, event := range want {
		if event != nil && !reflect.DeepEqual(messages[i].Event, event) {
			t.Errorf("message %d: got %+v, want %+v", i, messages[i].Event, event)
		}
	}
	if !messages[len(messages)-1].Stop {
		t.Errorf("last message: got %+v, want a stop", messages[len(messages)-1])
	}
}

func TestEventsHaveAllFields(t *testing.T) {
	task := flaxshelf.Task{ID: "t", Key: "k", Service: "s", Class: 1, Cores: 2, Memory: 3, ExpectedRuntime: 4, Deadline: 5, Retry: true, Tenant: -1}
	taskFields := "tid=t uid=k owner_set=s cores=2 ram_units=3 time_to_run_ns=4 valid_until_ns=5 again=1 priority=c1 client_group=x"
	for line, want := range map[string]flaxshelf.Event{
		"TO_PLACE who=3 " + taskFields:                           flaxshelf.TaskSubmitted{Task: task},
		"RUNNING who=3 node=n " + taskFields:                     flaxshelf.TaskAdopted{Task: task, Machine: "n"},
		"SEATED who=3 tid=t node=n leg=2 lag_ns=7":               flaxshelf.AttemptPlaced{Task: "t", Machine: "n", Attempt: 2, Latency: 7},
		"ATTEMPT_END who=3 tid=t":                                flaxshelf.AttemptEnded{Task: "t", Outcome: flaxshelf.Lost},
		"ATTEMPT_END who=3 tid=t finished=true verdict=0 load=-": flaxshelf.AttemptEnded{Task: "t", Outcome: flaxshelf.Completed, Final: true},
		"HEALTH_RESULT who=3 node=n verdict=253 load=x1:2": flaxshelf.HealthChecked{Machine: "n", Outcome: flaxshelf.TimedOut,
			Load: flaxshelf.LoadReport{Present: true, HasMemory: true, FreeMemory: 2}},
		"INBOX who=3 neighbour=2 blob=-": flaxshelf.GossipReceived{From: 2, Data: []byte{}},
		"WAKEUP who=3":                   flaxshelf.TimerFired{},
		"ABORTED who=3 tid=t":            flaxshelf.TaskCanceled{Task: "t"},
	} {
		messages := readAll(t, "FRAME clock_ns=5 serial=1\n"+upLine+line+"\nEND\n")[0].Messages
		if len(messages) != 2 || messages[1].Instance != 3 || !reflect.DeepEqual(messages[1].Event, want) {
			t.Errorf("%s: got %+v, want %+v", line, messages, want)
		}
	}
}

func TestMalformedInputIsAProtocolError(t *testing.T) {
	const frame = "FRAME clock_ns=5 serial=4\n"
	for line, want := range map[string]ProtocolError{
		"WAKEUP who=x":                              {4, "who", "x"},
		"ATTEMPT_END who=1 tid=t verdict=7":         {4, "verdict", "7"},
		"TO_PLACE who=1 tid=t priority=no":          {4, "valid_until_ns", ""},
		"STATUS_NOTE who=1 tid=t kind=1 amount=nan": {4, "amount", "nan"},
		"VIEW who=1 form=Odd page=0":                {4, "form", "Odd"},
		"VIEW who=1 form=Partial page=3":            {4, "page", "3"},
		"INBOX who=1 neighbour=1 blob=***":          {4, "blob", "***"},
		"REGISTER page=0 records=1\nX y=1":          {4, "records", "X y=1"},
		"UP who=1 round_ns=x":                       {4, "round_ns", "x"},
	} {
		t.Run(line, func(t *testing.T) {
			_, err := NewReader(strings.NewReader(frame + line + "\nEND\n")).Next()
			var got *ProtocolError
			if !errors.As(err, &got) || *got != want {
				t.Errorf("got %v, want %v", err, &want)
			}
		})
	}
	t.Run("input that ends within a batch", func(t *testing.T) {
		if _, err := NewReader(strings.NewReader(frame + "WAKEUP who=1\n")).Next(); !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Errorf("got %v, want %v", err, io.ErrUnexpectedEOF)
		}
	})
	t.Run("input that ends between the entries of a machine list", func(t *testing.T) {
		text := frame + "REGISTER page=0 records=2\nM node=n1\n"
		if _, err := NewReader(strings.NewReader(text)).Next(); !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Errorf("got %v, want %v", err, io.ErrUnexpectedEOF)
		}
	})
	t.Run("no frame", func(t *testing.T) {
		_, err := NewReader(strings.NewReader("WAKEUP who=1\n")).Next()
		var got *ProtocolError
		if want := (ProtocolError{0, "FRAME", "WAKEUP who=1"}); !errors.As(err, &got) || *got != want {
			t.Errorf("got %v, want %v", err, &want)
		}
	})
}

// The reader must not panic, and must give the same result for the same input: the same acceptance and number of messages.
func FuzzReader(f *testing.F) {
	f.Add("FRAME clock_ns=5 serial=1\n" + upLine + "REGISTER page=0 records=1\nM node=n1\nVIEW who=3 form=Complete page=0\nEND\n")
	f.Add("FRAME clock_ns=5 serial=1\nATTEMPT_END who=1 tid=t verdict=0 load=x0:1\nEND\n")
	f.Fuzz(func(t *testing.T, text string) {
		first, errFirst := NewReader(strings.NewReader(text)).Next()
		second, errSecond := NewReader(strings.NewReader(text)).Next()
		if (errFirst == nil) != (errSecond == nil) || errFirst == nil && len(first.Messages) != len(second.Messages) {
			t.Errorf("second read: got %v, want the same as the first: %v", errSecond, errFirst)
		}
	})
}

func BenchmarkReader(b *testing.B) {
	text := "FRAME clock_ns=5 serial=1\n" + upLine +
		"TO_PLACE who=3 tid=t valid_until_ns=5000000000 priority=c0 cores=1 ram_units=1\n" +
		"ATTEMPT_END who=3 tid=c:1 leg=1 node=n1 verdict=254 remark=2 lag_ns=7 load=x0:3.5,x9:1\n" +
		"STATUS_NOTE who=3 tid=c:1 leg=0 node=n1 kind=4 amount=0.5\nEND\n"
	b.ReportAllocs()
	for b.Loop() {
		if _, err := NewReader(strings.NewReader(text)).Next(); err != nil {
			b.Fatal(err)
		}
	}
}

// machineLine returns the entry of a machine list for a machine whose kind is an index of kinds. A field of Machine that is
// missing here makes TestListKeepsEveryFieldOfMachine fail.
func machineLine(m flaxshelf.Machine, kinds ...string) string {
	readiness := ""
	for name, state := range machineStates {
		if state == m.State {
			readiness = name
		}
	}
	return fmt.Sprintf("M node=%s shape=%s readiness=%s az=%s pod=%d last_start_ns=%d open_cores=%g spare_mem=%g", m.ID,
		kinds[m.Kind], readiness, m.Zone, m.Cell, int64(m.Started), m.FreeCores, m.FreeMemory)
}

// Guards against a field of Machine that the protocol's entries lose, also one added later.
func TestListKeepsEveryFieldOfMachine(t *testing.T) {
	want := machinetest.Filled(t)
	messages := readAll(t, "FRAME clock_ns=5 serial=1\n"+upLine+"REGISTER page=0 records=1\n"+machineLine(want, "k1", "k2")+
		"\nVIEW who=3 form=Complete page=0\nEND\n")[0].Messages
	update, ok := messages[len(messages)-1].Event.(flaxshelf.MachinesUpdated)
	if !ok || len(update.Machines) != 1 {
		t.Fatalf("got %+v, want an update with one machine", messages)
	}
	machinetest.Expect(t, update.Machines[0], want)
}
