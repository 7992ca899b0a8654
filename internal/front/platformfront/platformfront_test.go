package platformfront

import (
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"

	"flaxshelf.example/flaxshelf"
	"flaxshelf.example/flaxshelf/internal/codec/nodeparam"
	"flaxshelf.example/flaxshelf/internal/codec/ownerline"
	"flaxshelf.example/flaxshelf/internal/requests"
)

const file = `{"name":"n3","listen":"127.0.0.1:0","seed":"8c1f30d27a5be964","limits":{"cores":0.25,"memory_mb":64,"sockets":256},
"feed":"127.0.0.1:1","known":{"n":2,"events":[
{"n":1,"members":{"version":1,"full":true,"servers":[{"id":"s-1","addr":"127.0.0.1:5","zone":"east","kind":"std","cell":2,"state":"active","weight":4,"started_ms":0}]}},
{"n":2,"members":{"version":2,"full":false,"servers":[{"id":"s-1","addr":"127.0.0.1:5","zone":"east","kind":"std","cell":2,"state":"leaving","weight":4,"started_ms":1500}]}}]},
"settings":{"index":1,"balancers":3,"zone":"east","kinds":["std"],"discovery":"pushed","round_ns":2000000,"customers":[],
"caps":{"cancel":true,"most_tries":3,"connect_timeout_ns":250000000,"conn_idle_ns":30000000000},"obligations":{"stop_sending_within_ns":2000000000},
"categories":[{"name":"batch one","effect":"read_like","objective_ns":600000000,"worth":3.0},
{"name":"keyed","effect":"idempotency_key","key_scope":"zone","key_ttl_ns":5000000000,"worth":9.0}],
"specifics":{"kind_cores":[32],"mem_of_kind":[64.5],"admit_cores":1.5,"memory_multiple":1.5,"kind_by_class":[-1,-1],
"spread_over":["zone","off"],"together_max":[4,2],"tells_use":true}}}`

func config(t *testing.T) *Config {
	t.Helper()
	c, err := ParseConfig([]byte(file))
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// The settings mean the same as in the bench's first message, and the events of the start the same as the feed's.
func TestConfig(t *testing.T) {
	c := config(t)
	m := c.Module
	if c.Seed != 0x8c1f30d27a5be964 || c.NodeIdleTimeout != 30*time.Second || c.LastSequence != 2 || c.Limits != (Limits{0.25, 64, 256}) || m.Index != 1 ||
		m.Schedulers != 3 || m.DiscoveryOnRequest || !m.CanCancel || m.MaxAttempts != 3 || m.Tick != 2*time.Millisecond {
		t.Errorf("%+v", c)
	}
	if len(m.Classes) != 2 || m.Classes[0].Name != "batch_one" || m.Classes[0].SpreadDomain != flaxshelf.ZoneDomain ||
		m.Classes[1].Idempotency != flaxshelf.IdempotentByKey || m.Classes[1].Kind != -1 || m.Kinds[0].Memory != 64.5 {
		t.Errorf("%+v", m.Classes)
	}
	if len(c.InitialEvents) != 2 || !c.InitialEvents[0].Update.Complete || c.InitialEvents[1].Update.Machines[0] !=
		(flaxshelf.Machine{ID: "s-1", Zone: "east", Cell: 2, State: flaxshelf.Draining, Started: 1500 * time.Millisecond}) {
		t.Errorf("%+v", c.InitialEvents)
	}
}

// A configuration that makes no sense is told in one line that names the field.
func TestBadConfig(t *testing.T) {
	for _, c := range []struct{ was, is, want string }{
		{`{"name"`, `{{"name"`, "platform configuration"},
		{`"listen":"127.0.0.1:0"`, `"listen":""`, "field listen"},
		{`"feed":"127.0.0.1:1"`, `"feed":""`, "field feed"},
		{`"cores":0.25`, `"cores":0`, "field limits.cores"},
		{`"memory_mb":64`, `"memory_mb":-1`, "field limits.memory_mb"},
		{`"sockets":256`, `"sockets":3`, "field limits.sockets"},
		{`"seed":"8c1f30d27a5be964"`, `"seed":"soon"`, "field seed"},
		{`"index":1`, `"index":"x"`, "field settings"},
		{`"conn_idle_ns":30000000000`, `"conn_idle_ns":"x"`, "conn_idle_ns"},
		{`"state":"leaving"`, `"state":"odd"`, "known.events[1]"},
		{`"settings":{`, `"settings":[],"x":{`, "field settings"},
	} {
		if !strings.Contains(file, c.was) {
			t.Fatalf("no %s", c.was)
		}
		_, err := ParseConfig([]byte(strings.Replace(file, c.was, c.is, 1)))
		if err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v, want %s", c.is, err, c.want)
		}
	}
}

func line(class, left, key, idem, extras string) string {
	return fmt.Sprintf(`{"type":"setup","id":"9b1f03aa5c7e2d41","fields":{"class":%q,"left":%q,"key":%q,"idem":%q,"extras":%q},"sdp":"d"}`,
		class, left, key, idem, extras) + "\n"
}

func input(t *testing.T, c *Config, text string) (requests.Input, error) {
	t.Helper()
	m, _, err := ownerline.Next([]byte(text))
	if err != nil || m == nil {
		t.Fatalf("%s: %v", text, err)
	}
	return c.DecodeOwnerMessage(3, 10*time.Second, m)
}

func TestSetUps(t *testing.T) {
	c := config(t)
	in, err := input(t, c, line("keyed", "1500", "7f3a", "5c0f", "cores:1;memory:2.5;service:00b4"))
	want := requests.Submit{Conn: 3, Class: "keyed", IdempotencyKey: "5c0f", Description: "d", Task: flaxshelf.Task{ID: "9b1f03aa5c7e2d41",
		Key: "7f3a", Service: "00b4", Class: 1, Tenant: -1, Cores: 1, Memory: 2.5, Deadline: 11500 * time.Millisecond}}
	if err != nil || in != requests.Input(want) {
		t.Errorf("%+v, %v", in, err)
	}
	in, err = input(t, c, line("batch_one", "", "7f3a", "", "cores:1;memory:2;service:00b4;at:s-1"))
	if h, ok := in.(requests.Adopt); err != nil || !ok || h.Node != "s-1" || h.Conn != 3 {
		t.Errorf("%+v, %v", in, err)
	}
}

// What a node could not use is turned away before it comes to one.
func TestBadSetUps(t *testing.T) {
	c := config(t)
	good := "cores:1;memory:2;service:00b4"
	for _, text := range []string{
		line("odd", "1500", "k", "i", good), line("", "1500", "k", "i", good), line("batch_one", "-5", "k", "", good),
		line("batch_one", "soon", "k", "", good), line("batch_one", "", "k", "", good), line("batch_one", "nan", "k", "", good),
		line("batch_one", "1e30", "k", "", good), line("batch_one", "1500", "", "", good),
		line("batch_one", "1500", "a b", "", good), line("batch_one", "1500", strings.Repeat("k", 300), "", good),
		line("keyed", "1500", "k", "", good), line("batch_one", "1500", "k", "i\u00e9", good),
		line("batch_one", "1500", "k", "", ""), line("batch_one", "1500", "k", "", "cores:-1;memory:1;service:s"),
		line("batch_one", "1500", "k", "", "cores:nan;memory:1;service:s"),
		line("batch_one", "1500", "k", "", "cores:1;memory:1e12;service:s"),
		line("batch_one", "1500", "k", "", "cores:0;memory:1;service:s"),
		line("batch_one", "1500", "k", "", "cores:1;memory:inf;service:s"),
		line("batch_one", "1500", "k", "", "cores:1;memory:1"), line("batch_one", "1500", "k", "", good+";at:"),
		strings.Replace(line("batch_one", "1500", "k", "", good), `,"sdp":"d"`, "", 1),
		`{"type":"answer","id":"9b1f03aa5c7e2d41"}` + "\n",
	} {
		if in, err := input(t, c, text); err == nil {
			t.Errorf("%s was taken as %+v", text, in)
		}
	}
}

func TestOtherLines(t *testing.T) {
	c := config(t)
	for kind, want := range map[string]requests.Input{
		"release": requests.Release{Conn: 3, Task: "9b1f03aa5c7e2d41"}, "move": requests.Migrated{Conn: 3, Task: "9b1f03aa5c7e2d41"},
		"ping": requests.Ping{Conn: 3, Task: "9b1f03aa5c7e2d41"}, "progress": nil, "released": nil,
	} {
		if in, err := input(t, c, `{"type":"`+kind+`","id":"9b1f03aa5c7e2d41"}`+"\n"); err != nil || in != want {
			t.Errorf("%s: %+v, %v", kind, in, err)
		}
	}
}

func TestNodesWords(t *testing.T) {
	const id = "00000000000000ff"
	for _, c := range []struct {
		m    nodeparam.Message
		want requests.Input
	}{
		{nodeparam.Message{Type: nodeparam.Answer, Cause: -1, Description: "d", Described: true},
			requests.NodeMessage{Link: 4, Task: id, Kind: requests.NodeAccepted, Cause: -1, Description: "d"}},
		{nodeparam.Message{Type: nodeparam.Release, Cause: 34, Token: "busy"},
			requests.NodeMessage{Link: 4, Task: id, Kind: requests.NodeReleased, Cause: 34, Reason: flaxshelf.QueueFull}},
		{nodeparam.Message{Type: nodeparam.Released, Cause: -1}, requests.NodeMessage{Link: 4, Task: id, Kind: requests.NodeConfirmedRelease, Cause: -1}},
		{nodeparam.Message{Type: nodeparam.Note, Cause: -1, Token: "share", Value: "0.5"},
			requests.NodeMessage{Link: 4, Task: id, Kind: requests.NodeUsage, Cause: -1, UsageKind: flaxshelf.ServiceLevel, Amount: 0.5}},
		{nodeparam.Message{Type: nodeparam.Note, Cause: -1, Token: "share", Value: "nan"}, nil},
		{nodeparam.Message{Type: nodeparam.Note, Cause: -1, Token: "mood"}, nil},
		{nodeparam.Message{Type: nodeparam.Progress, Cause: -1}, nil},
	} {
		c.m.Task = 0xff
		if in, err := DecodeNodeMessage(4, &c.m); err != nil || in != c.want {
			t.Errorf("%+v: %+v, %v", c.m, in, err)
		}
	}
	for _, m := range []nodeparam.Message{{Type: nodeparam.Answer, Cause: -1}, {Type: nodeparam.Release, Cause: -1}} {
		if in, err := DecodeNodeMessage(4, &m); err == nil {
			t.Errorf("%+v was taken as %+v", m, in)
		}
	}
}

// A set-up goes to a node as the owner sent it, with nothing that the platform does not name.
func TestOffer(t *testing.T) {
	b, err := EncodeOffer(nil, &requests.Offer{Link: 4, Task: "00000000000000ff", Class: "batch", Key: "k", IdempotencyKey: "i", Description: "d\r\n",
		TimeLeft: 1500*time.Millisecond + 1})
	if err != nil {
		t.Fatal(err)
	}
	m, n, err := nodeparam.Next(b)
	want := nodeparam.Message{Type: nodeparam.SetUp, Task: 0xff, Cause: -1, Class: "batch", TimeLeft: "1500", Key: "k", IdempotencyKey: "i",
		Description: "d\r\n", Described: true}
	if err != nil || n != len(b) || m != want {
		t.Errorf("%+v, %v", m, err)
	}
}

// A standing task's end is a release with its cause, but for one that is moved.
func TestOver(t *testing.T) {
	for want, e := range map[string]requests.Terminated{
		`{"type":"release","id":"0000000000000007","fields":{},"cause":31}`: {Task: "0000000000000007", Cause: 31},
		`{"type":"move","id":"0000000000000007","fields":{}}`:               {Task: "0000000000000007", Migrate: true},
	} {
		if got, err := EncodeTerminated(nil, &e); err != nil || string(got) != want+"\n" {
			t.Errorf("%s, %v, want %s", got, err, want)
		}
	}
}

// Changes that follow each other make one list: the last word on each node, nothing from before a whole list.
func TestFold(t *testing.T) {
	m := func(id string, state flaxshelf.MachineState) flaxshelf.Machine {
		return flaxshelf.Machine{ID: id, State: state}
	}
	change := func(whole bool, addr string, all ...flaxshelf.Machine) WatchEvent {
		c := WatchEvent{Update: requests.NodesUpdated{Complete: whole, Machines: all}}
		for range all {
			c.Update.Addrs = append(c.Update.Addrs, addr)
		}
		return c
	}
	if _, any := MergeUpdates([]WatchEvent{{Sequence: 1}}); any {
		t.Error("a change that says nothing of nodes became a list")
	}
	got, any := MergeUpdates([]WatchEvent{change(false, "w", m("z", flaxshelf.Active)), change(true, "x", m("a", flaxshelf.Active), m("b", flaxshelf.Active)),
		change(false, "y", m("c", flaxshelf.Active), m("a", flaxshelf.Draining)), change(false, "z", m("a", flaxshelf.Removed))})
	want := requests.NodesUpdated{Complete: true, Machines: []flaxshelf.Machine{m("a", flaxshelf.Removed), m("b", flaxshelf.Active), m("c", flaxshelf.Active)},
		Addrs: []string{"z", "x", "y"}}
	if !any || !reflect.DeepEqual(got, want) {
		t.Errorf("%+v, want %+v", got, want)
	}
	if got, _ := MergeUpdates([]WatchEvent{change(false, "w", m("z", flaxshelf.Active))}); got.Complete {
		t.Error("a change became a whole list")
	}
}
