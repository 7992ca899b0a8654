package benchadapter

import (
	"bytes"
	"errors"
	"io"
	"reflect"
	"strings"
	"testing"
	"time"

	"flaxshelf.example/flaxshelf"
)

const up = "UP who=3 init_seed=9 balancers=2 kinds=k1,k2 specifics.kind_cores=30,48 specifics.mem_of_kind=86.0,155.0 " +
	"categories.count=2 categories.0.name=c0 categories.0.effect=read_like categories.1.name=c1 " +
	"categories.1.effect=idempotency_key categories.1.key_scope=zone categories.1.key_ttl_ns=5000000000 " +
	"specifics.spread_over=zone,off specifics.together_max=4,2 customers= discovery=on_request " +
	"round_ns=2000000 future.thing=yes specifics.kind_by_class=-1,1\n"

func read(t *testing.T, text string) []*Batch {
	t.Helper()
	r := NewReader(strings.NewReader(text))
	var out []*Batch
	for {
		b, err := r.Next()
		if err == io.EOF {
			return out
		}
		if err != nil {
			t.Fatal(err)
		}
		out = append(out, b)
	}
}

func TestSettings(t *testing.T) {
	c := read(t, "FRAME clock_ns=5 serial=1\n"+up+"END\n")[0].Items[0].Start.Config
	if c.Schedulers != 2 || !c.DiscoveryOnRequest || c.Tick != 2*time.Millisecond || len(c.Tenants) != 0 {
		t.Errorf("%+v", c)
	}
	if !reflect.DeepEqual(c.Kinds, []flaxshelf.Kind{{Name: "k1", Cores: 30, Memory: 86}, {Name: "k2", Cores: 48, Memory: 155}}) {
		t.Errorf("%+v", c.Kinds)
	}
	k := c.Classes[1]
	if k.Idempotency != flaxshelf.IdempotentByKey || k.KeyDomain != flaxshelf.ZoneDomain || k.KeyTTL != 5*time.Second || k.Kind != 1 {
		t.Errorf("%+v", k)
	}
	if c.Classes[0].SpreadDomain != flaxshelf.ZoneDomain || c.Classes[0].MaxPerDomain != 4 || c.Classes[0].Kind != -1 {
		t.Errorf("%+v", c.Classes[0])
	}
}

// A list takes over the number of an older one in the middle of a batch; unknown messages are skipped.
func TestEventsInOrderWithReusedLists(t *testing.T) {
	text := "FRAME clock_ns=5 serial=1\n" + up +
		"REGISTER page=0 records=1\nM node=n1 shape=k2 readiness=IN az=a pod=2 last_start_ns=4\nVIEW who=3 form=Complete page=0\n" +
		"REGISTER page=0 records=1\nM node=n1 readiness=LAME\nVIEW who=3 form=Partial page=0\n" +
		"LATER who=3 x=1\nVIEW who=3 form=Error\nINBOX who=3 neighbour=2 blob=aGkgNw==\n" +
		"ATTEMPT_END who=3 tid=c:1 leg=1 node=n1 verdict=254 remark=2 lag_ns=7 load=x0:3.5,x9:1\n" +
		"STATUS_NOTE who=3 tid=c:1 leg=0 node=n1 kind=4 amount=0.5\nRETIRE who=3\nEND\n"
	items := read(t, text)[0].Items
	want := []flaxshelf.Event{nil,
		flaxshelf.MachinesUpdated{Complete: true, Machines: []flaxshelf.Machine{{ID: "n1", Kind: 1, Zone: "a", Cell: 2, Started: 4}}},
		flaxshelf.MachinesUpdated{Machines: []flaxshelf.Machine{{ID: "n1", Kind: -1, State: flaxshelf.Draining}}},
		flaxshelf.DiscoveryFailed{}, flaxshelf.GossipReceived{From: 2, Data: []byte("hi 7")},
		flaxshelf.AttemptEnded{Task: "c:1", Machine: "n1", Attempt: 1, Outcome: flaxshelf.Rejected, Reason: flaxshelf.InsufficientMemory,
			Latency: 7, Load: flaxshelf.LoadReport{Present: true, HasCores: true, FreeCores: 3.5}},
		flaxshelf.UsageReport{Task: "c:1", Machine: "n1", Kind: flaxshelf.ServiceLevel, Amount: 0.5}, nil}
	if len(items) != len(want) {
		t.Fatalf("%d items", len(items))
	}
	for i, w := range want {
		if w != nil && !reflect.DeepEqual(items[i].Event, w) {
			t.Errorf("item %d: %+v, want %+v", i, items[i].Event, w)
		}
	}
	if !items[len(items)-1].Stop {
		t.Error("no stop")
	}
}

func TestMalformed(t *testing.T) {
	head := "FRAME clock_ns=5 serial=4\n"
	for line, want := range map[string]ProtocolError{
		"WAKEUP who=x":                              {4, "who", "x"},
		"ATTEMPT_END who=1 tid=t verdict=7":         {4, "verdict", "7"},
		"TO_PLACE who=1 tid=t priority=no":          {4, "valid_until_ns", ""},
		"STATUS_NOTE who=1 tid=t kind=1 amount=nan": {4, "amount", "nan"},
		"VIEW who=1 form=Odd page=0":                {4, "form", "Odd"},
		"VIEW who=1 form=Partial page=3":            {4, "page", "3"},
		"INBOX who=1 neighbour=1 blob=***":          {4, "blob", "***"},
		"REGISTER page=0 records=1\nX y=1":          {4, "records", "X y=1"},
	} {
		_, err := NewReader(strings.NewReader(head + line + "\nEND\n")).Next()
		var e *ProtocolError
		if !errors.As(err, &e) || *e != want {
			t.Errorf("%s: got %v, want %v", line, err, &want)
		}
	}
	if _, err := NewReader(strings.NewReader(head + "WAKEUP who=1\n")).Next(); err != io.ErrUnexpectedEOF {
		t.Errorf("input that breaks off: %v", err)
	}
}

func TestActions(t *testing.T) {
	var out bytes.Buffer
	w := NewWriter(&out)
	for _, a := range []flaxshelf.Action{
		flaxshelf.Offer{Task: "t", Machine: "m", Timeout: time.Millisecond}, flaxshelf.Cancel{Task: "t", Attempt: 2},
		flaxshelf.Reject{Task: "t"}, flaxshelf.Fail{Task: "t"}, flaxshelf.Migrate{Task: "t"}, flaxshelf.HealthCheck{Machine: "m"},
		flaxshelf.SendGossip{Data: []byte("hi 7")}, flaxshelf.SendGossip{}, flaxshelf.Subscribe{}, flaxshelf.SetTimer{After: 7},
	} {
		w.Action(3, a)
	}
	w.Bug(3, "a\nb")
	if err := w.End(8); err != nil {
		t.Fatal(err)
	}
	want := "BIND who=3 tid=t cap_ns=1000000 node=m\nRECALL who=3 tid=t leg=2\nREJECT who=3 tid=t\n" +
		"END_FAILED who=3 tid=t\nMOVE who=3 tid=t\nPING who=3 node=m\nNOTIFY who=3 addressee=all blob=aGkgNw==\n" +
		"NOTIFY who=3 addressee=all blob=-\nOBSERVE who=3 want=1\nNOTIFY_ME who=3 span_ns=7 handle=w\n" +
		"BUG who=3 msg=a b\nREADY serial=8\n"
	if out.String() != want {
		t.Errorf("got\n%s", out.String())
	}
}

// The parser never panics, and what it takes it takes the same way twice.
func FuzzReader(f *testing.F) {
	f.Add("FRAME clock_ns=5 serial=1\n" + up + "REGISTER page=0 records=1\nM node=n1\nVIEW who=3 form=Complete page=0\nEND\n")
	f.Add("FRAME clock_ns=5 serial=1\nATTEMPT_END who=1 tid=t verdict=0 load=x0:1\nEND\n")
	f.Fuzz(func(t *testing.T, text string) {
		a, errA := NewReader(strings.NewReader(text)).Next()
		b, errB := NewReader(strings.NewReader(text)).Next()
		if (errA == nil) != (errB == nil) || errA == nil && len(a.Items) != len(b.Items) {
			t.Errorf("read twice: %v, %v", errA, errB)
		}
	})
}
