package platformfront

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"flaxshelf.example/flaxshelf"
	"flaxshelf.example/flaxshelf/internal/codec/ownerjson"
	"flaxshelf.example/flaxshelf/internal/requests"
)

const validExtras = "cores:1;memory:2;service:00b4"

func setUpLine(class, timeLeft, key, idempotencyKey, extras string) string {
	return fmt.Sprintf(`{"type":"setup","id":"9b1f03aa5c7e2d41","fields":{"class":%q,"left":%q,"key":%q,"idem":%q,"extras":%q},"sdp":"d"}`,
		class, timeLeft, key, idempotencyKey, extras) + "\n"
}

func decodeOwnerLine(t testing.TB, c *Config, line string) (requests.Input, error) {
	t.Helper()
	m, _, err := ownerjson.Next([]byte(line))
	if err != nil || m == nil {
		t.Fatalf("%s: got message %v and error %v, want a message", line, m, err)
	}
	return c.DecodeOwnerMessage(3, 10*time.Second, m)
}

func TestDecodeSubmission(t *testing.T) {
	got, err := decodeOwnerLine(t, parseConfig(t), setUpLine("keyed", "1500", "7f3a", "5c0f", "cores:1;memory:2.5;service:00b4"))
	want := requests.Submit{Conn: 3, Class: "keyed", IdempotencyKey: "5c0f", Description: "d", Task: flaxshelf.Task{ID: "9b1f03aa5c7e2d41",
		Key: "7f3a", Service: "00b4", Class: 1, Tenant: -1, Cores: 1, Memory: 2.5, Deadline: 11500 * time.Millisecond}}
	if err != nil || got != requests.Input(want) {
		t.Errorf("got %+v and error %v, want %+v", got, err, want)
	}
}

// Guards against requests that were refused as malformed, which closed their connection: little time left is no error.
func TestDecodeLittleTimeLeft(t *testing.T) {
	for text, want := range map[string]time.Duration{"0": 0, "0.0001": 100, "0.6": 600 * time.Microsecond} {
		got, err := decodeOwnerLine(t, parseConfig(t), setUpLine("keyed", text, "7f3a", "5c0f", validExtras))
		submit, ok := got.(requests.Submit)
		if err != nil || !ok || submit.Task.Deadline != 10*time.Second+want {
			t.Errorf("time left %s: got %+v and error %v, want a submission with %v left", text, got, err, want)
		}
	}
}

func TestDecodeAdoption(t *testing.T) {
	got, err := decodeOwnerLine(t, parseConfig(t), setUpLine("batch_one", "", "7f3a", "", validExtras+";at:s-1"))
	if adopt, ok := got.(requests.Adopt); err != nil || !ok || adopt.Node != "s-1" || adopt.Conn != 3 {
		t.Errorf("got %+v and error %v, want the adoption of a task on node s-1, requested on connection 3", got, err)
	}
}

// An adoption is not rejected for its time left, but an invalid one must not become a deadline of any kind.
func TestAdoptionLimitsTimeLeft(t *testing.T) {
	for text, want := range map[string]time.Duration{
		"": 0, "1500": 1500 * time.Millisecond, "-5": 0, "nan": 0, "soon": 0, "-inf": 0, "3600000": time.Hour, "3600001": time.Hour,
		"1e300": time.Hour, "1e999": time.Hour, "inf": time.Hour,
	} {
		got, err := decodeOwnerLine(t, parseConfig(t), setUpLine("batch_one", text, "7f3a", "", validExtras+";at:s-1"))
		adopt, ok := got.(requests.Adopt)
		if err != nil || !ok || adopt.Task.Deadline != 10*time.Second+want {
			t.Errorf("time left %q: got %+v and error %v, want an adoption with %v left", text, got, err, want)
		}
	}
}

func TestInvalidRuntimeHintIsIgnored(t *testing.T) {
	for text, want := range map[string]time.Duration{
		"": 0, "1.5": 1500 * time.Microsecond, "0": 0, "-1": 0, "nan": 0, "soon": 0, "inf": 0, "86400000": 0,
	} {
		if got := decodeRuntimeHint(text); got != want {
			t.Errorf("%q: got %v, want %v", text, got, want)
		}
	}
}

// An invalid set-up is rejected with an error that names the field, so that it is never offered to a node.
func TestInvalidSetUpsAreRejected(t *testing.T) {
	c := parseConfig(t)
	for name, test := range map[string]struct{ line, field string }{
		"unknown class":             {setUpLine("odd", "1500", "k", "i", validExtras), "class"},
		"no class":                  {setUpLine("", "1500", "k", "i", validExtras), "class"},
		"deadline in the past":      {setUpLine("batch_one", "-5", "k", "", validExtras), "left"},
		"deadline is a word":        {setUpLine("batch_one", "soon", "k", "", validExtras), "left"},
		"no deadline":               {setUpLine("batch_one", "", "k", "", validExtras), "left"},
		"deadline is no number":     {setUpLine("batch_one", "nan", "k", "", validExtras), "left"},
		"deadline too far":          {setUpLine("batch_one", "1e30", "k", "", validExtras), "left"},
		"no key":                    {setUpLine("batch_one", "1500", "", "", validExtras), "key"},
		"key with a space":          {setUpLine("batch_one", "1500", "a b", "", validExtras), "key"},
		"long key":                  {setUpLine("batch_one", "1500", strings.Repeat("k", 300), "", validExtras), "key"},
		"no idempotency key":        {setUpLine("keyed", "1500", "k", "", validExtras), "idem"},
		"idempotency key not ASCII": {setUpLine("batch_one", "1500", "k", "i\u00e9", validExtras), "idem"},
		"no extras":                 {setUpLine("batch_one", "1500", "k", "", ""), "extras"},
		"negative cores":            {setUpLine("batch_one", "1500", "k", "", "cores:-1;memory:1;service:s"), "extras"},
		"cores are no number":       {setUpLine("batch_one", "1500", "k", "", "cores:nan;memory:1;service:s"), "extras"},
		"more memory than any node": {setUpLine("batch_one", "1500", "k", "", "cores:1;memory:1e12;service:s"), "extras"},
		"no cores":                  {setUpLine("batch_one", "1500", "k", "", "cores:0;memory:1;service:s"), "extras"},
		"infinite memory":           {setUpLine("batch_one", "1500", "k", "", "cores:1;memory:inf;service:s"), "extras"},
		"no service":                {setUpLine("batch_one", "1500", "k", "", "cores:1;memory:1"), "extras"},
		"adopted without a node":    {setUpLine("batch_one", "1500", "k", "", validExtras+";at:"), "extras"},
		"no description":            {strings.Replace(setUpLine("batch_one", "1500", "k", "", validExtras), `,"sdp":"d"`, "", 1), "sdp"},
		"message of a node":         {`{"type":"answer","id":"9b1f03aa5c7e2d41"}` + "\n", "type"},
	} {
		t.Run(name, func(t *testing.T) {
			input, err := decodeOwnerLine(t, c, test.line)
			var invalid *OwnerMessageError
			if !errors.As(err, &invalid) || invalid.Field != test.field || invalid.Task != "9b1f03aa5c7e2d41" {
				t.Errorf("%s: got %+v and error %v, want an OwnerMessageError for field %s", test.line, input, err, test.field)
			}
		})
	}
}

func TestDecodeOtherOwnerMessages(t *testing.T) {
	c := parseConfig(t)
	for kind, want := range map[string]requests.Input{
		"release": requests.Release{Conn: 3, Task: "9b1f03aa5c7e2d41"}, "move": requests.Migrated{Conn: 3, Task: "9b1f03aa5c7e2d41"},
		"ping": requests.Ping{Conn: 3, Task: "9b1f03aa5c7e2d41"}, "progress": nil, "released": nil,
	} {
		if got, err := decodeOwnerLine(t, c, `{"type":"`+kind+`","id":"9b1f03aa5c7e2d41"}`+"\n"); err != nil || got != want {
			t.Errorf("%s: got %+v and error %v, want %+v", kind, got, err, want)
		}
	}
}

// The owner of a task that has ended gets a release with the cause, the owner of a task to be migrated gets a move.
func TestEncodeTerminated(t *testing.T) {
	for want, e := range map[string]requests.Terminated{
		`{"type":"release","id":"0000000000000007","fields":{},"cause":31}`: {Task: "0000000000000007", Cause: 31},
		`{"type":"move","id":"0000000000000007","fields":{}}`:               {Task: "0000000000000007", Migrate: true},
	} {
		if got, err := EncodeTerminated(nil, &e); err != nil || string(got) != want+"\n" {
			t.Errorf("got %s and error %v, want %s", got, err, want)
		}
	}
}

func BenchmarkDecodeOwnerMessage(b *testing.B) {
	c := parseConfig(b)
	m, _, err := ownerjson.Next([]byte(setUpLine("keyed", "1500", "7f3a", "5c0f", "cores:1;memory:2.5;service:00b4")))
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := c.DecodeOwnerMessage(3, 0, m); err != nil {
			b.Fatal(err)
		}
	}
}
