package ownerjson

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"flaxshelf.example/flaxshelf/internal/codec/codectest"
)

const (
	taskID    = "9b1f03aa5c7e2d41"
	setUpLine = `{"type":"setup","id":"9b1f03aa5c7e2d41","fields":{"class":"batch","left":1500},"sdp":"9d41\r\nc=IN\r\n"}` + "\n"
)

// Lines are decoded one by one, whatever the size of the pieces in which they arrive. Fields may be strings or numbers.
func TestLinesArriveInPieces(t *testing.T) {
	input := setUpLine + `{"type":"release","id":"9b1f03aa5c7e2d41","fields":{},"cause":34,"later":[1]}` + "\n"
	codectest.RunWithPieceSizes(t, len(input), func(t *testing.T, size int) {
		got := codectest.DecodeAll(t, []byte(input), size, Next)
		if len(got) != 2 {
			t.Fatalf("got %d messages, want 2", len(got))
		}
		if m := got[0]; m.Fields["left"] != "1500" || m.Description != "9d41\r\nc=IN\r\n" || m.Cause != NoCause {
			t.Errorf("first message: got %+v, want %s", m, setUpLine)
		}
		if m := got[1]; m.Type != Release || m.Cause != 34 || m.HasDescription {
			t.Errorf("second message: got %+v, want a release with cause 34 and no description", m)
		}
	})
}

func TestNextRejectsMalformedLines(t *testing.T) {
	for name, line := range map[string]string{
		"empty":              "",
		"array":              "[1]",
		"word":               "hello",
		"truncated object":   `{"type":"setup"`,
		"no id":              `{"type":"ping"}`,
		"short id":           `{"type":"ping","id":"12"}`,
		"upper-case id":      `{"type":"ping","id":"9B1F03AA5C7E2D41"}`,
		"id not hex":         `{"type":"ping","id":"9b1f03aa5c7e2dzz"}`,
		"unknown type":       `{"type":"sing","id":"9b1f03aa5c7e2d41"}`,
		"cause out of range": `{"type":"release","id":"9b1f03aa5c7e2d41","cause":256}`,
		"object as field":    `{"type":"setup","id":"9b1f03aa5c7e2d41","fields":{"class":{}}}`,
		"duplicate key":      `{"type":"ping","id":"9b1f03aa5c7e2d41","id":"9b1f03aa5c7e2d42"}`,
		"duplicate field":    `{"type":"setup","id":"9b1f03aa5c7e2d41","fields":{"key":"a","\u006bey":"b"}}`,
		"not UTF-8":          "\xff\xfe",
	} {
		t.Run(name, func(t *testing.T) {
			m, _, err := Next([]byte(line + "\n"))
			var protocol *ProtocolError
			if !errors.As(err, &protocol) {
				t.Errorf("got %+v, %v, want a ProtocolError", m, err)
			}
		})
	}
}

// An error names the invalid field, or the offset at which the line is not valid JSON.
func TestProtocolErrorNamesItsPlace(t *testing.T) {
	for _, c := range []struct {
		line string
		want ProtocolError
	}{
		{`{"type":"ping","id":"12"}`, ProtocolError{Field: "/id", Value: "12"}},
		{`{"type":"ping","id":"` + strings.Repeat("a", 99) + `"}`, ProtocolError{Field: "/id", Value: strings.Repeat("a", 40)}},
		{`{"type":"release","id":"` + taskID + `","cause":256}`, ProtocolError{Field: "/cause", Value: "256"}},
		{`{"type":"sing","id":"` + taskID + `"}`, ProtocolError{Field: "/type", Value: "sing"}},
		{`{"type":"p"]`, ProtocolError{Offset: 11, Value: `{"type":"p"]`}},
		{`{"type":1}`, ProtocolError{Field: "/type", Offset: 8, Value: `{"type":1}`}},
	} {
		_, _, err := Next([]byte(c.line + "\n"))
		var got *ProtocolError
		if !errors.As(err, &got) || got.Field != c.want.Field || got.Offset != c.want.Offset || got.Value != c.want.Value {
			t.Errorf("%s: got %+v, want %+v", c.line, err, c.want)
		}
		if err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: got %v, want one line", c.line, err)
		}
	}
}

// A line over the limit is rejected, also before its line feed has arrived.
func TestNextRejectsLongLines(t *testing.T) {
	for name, input := range map[string]string{
		"without a line feed": strings.Repeat("x", MaxLineBytes),
		"with a line feed":    strings.Repeat(" ", MaxLineBytes) + setUpLine,
	} {
		if _, _, err := Next([]byte(input)); !errors.Is(err, ErrTooLong) {
			t.Errorf("%s: got %v, want %v", name, err, ErrTooLong)
		}
	}
}

func TestAppendKeepsDescription(t *testing.T) {
	for _, text := range []string{"", "a\r\nb\"\\\t\u00e9/", "<&>"} {
		line, err := Append(nil, &Message{Type: Answer, ID: taskID, Cause: NoCause, Description: text, HasDescription: true})
		if err != nil {
			t.Fatal(err)
		}
		m, used, err := Next(line)
		if err != nil || used != len(line) || m.Description != text || m.Cause != NoCause {
			t.Errorf("got %+v, %v, want description %q", m, err, text)
		}
	}
}

// If the description can't be encoded, Append returns the buffer unchanged.
func TestAppendRejectsDescription(t *testing.T) {
	for name, text := range map[string]string{"not UTF-8": "\xff", "over the limit": strings.Repeat("x", MaxLineBytes)} {
		buf, err := Append([]byte("kept"), &Message{Type: Answer, ID: taskID, Description: text, HasDescription: true})
		if err == nil || string(buf) != "kept" {
			t.Errorf("%s: got %q, %v, want the buffer unchanged and an error", name, buf, err)
		}
		if tooLong := len(text) == MaxLineBytes; errors.Is(err, ErrTooLong) != tooLong {
			t.Errorf("%s: got %v, want ErrTooLong: %v", name, err, tooLong)
		}
	}
}

// CheckDescription accepts exactly the descriptions that Append can encode, also at the greatest length of a line.
func TestCheckDescriptionAgreesWithAppend(t *testing.T) {
	line, err := Append(nil, &Message{Type: Answer, ID: taskID, Cause: NoCause, HasDescription: true})
	if err != nil {
		t.Fatal(err)
	}
	longest := MaxLineBytes - len(line)
	for name, c := range map[string]struct {
		description string
		want        bool
	}{
		"empty":                            {"", true},
		"text":                             {"v=0\r\nc=IN IP4 127.0.0.1\r\n", true},
		"not UTF-8":                        {"\x9d\xff\x00 noise", false},
		"long and not UTF-8":               {strings.Repeat("x", longest-1) + "\xff", false},
		"as long as a line allows":         {strings.Repeat("x", longest), true},
		"one byte longer":                  {strings.Repeat("x", longest+1), false},
		"escaped, as long as allowed":      {strings.Repeat("\x01", longest/maxEscapedBytes), true},
		"escaped, one character longer":    {strings.Repeat("\x01", longest/maxEscapedBytes+1), false},
		"short enough before its escaping": {strings.Repeat("\x01", MaxLineBytes/2), false},
	} {
		t.Run(name, func(t *testing.T) {
			_, appendErr := Append(nil, &Message{Type: Answer, ID: taskID, Cause: NoCause, Description: c.description,
				HasDescription: true})
			checkErr := CheckDescription(Answer, taskID, c.description)
			if (checkErr == nil) != c.want || (appendErr == nil) != c.want {
				t.Errorf("got %v from CheckDescription and %v from Append, want success %v", checkErr, appendErr, c.want)
			}
		})
	}
}

// A message that Next has decoded is the same after it was encoded by Append and decoded again, except for its fields, which
// are not encoded.
func FuzzNext(f *testing.F) {
	f.Add([]byte(setUpLine))
	f.Add([]byte(`{"type":"ping","id":"9b1f03aa5c7e2d41","fields":{"a":1e9},"cause":0}` + "\n"))
	f.Fuzz(func(t *testing.T, input []byte) {
		m, used, err := Next(input)
		if err != nil || used == 0 {
			return
		}
		line, err := Append(nil, m)
		if err != nil {
			return // with escape sequences, the line may exceed the limit
		}
		again, _, err := Next(line)
		if err != nil || again.ID != m.ID || again.Description != m.Description || again.Cause != m.Cause {
			t.Errorf("%q: decoded again: got %+v, %v, want %+v", input, again, err, m)
		}
	})
}

func BenchmarkNext(b *testing.B) {
	input := []byte(setUpLine)
	b.ReportAllocs()
	for b.Loop() {
		if _, _, err := Next(input); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkAppend(b *testing.B) {
	m := &Message{Type: Answer, ID: taskID, Cause: NoCause, Description: "9d41\r\nc=IN\r\n", HasDescription: true}
	var buf []byte
	b.ReportAllocs()
	for b.Loop() {
		var err error
		if buf, err = Append(buf[:0], m); err != nil {
			b.Fatal(err)
		}
	}
}

// Guards against answers that come late: a message with thousands of short fields, which nobody reads, took most of the time of the
// event loop. Known names are recognized however they are written.
func TestUnknownFieldsAreReadOver(t *testing.T) {
	const maxAllocations = 40
	var line strings.Builder
	line.WriteString(`{"type":"setup","id":"9b1f03aa5c7e2d41","fields":{"\u0063lass":"batch"`)
	for i := range 1400 {
		fmt.Fprintf(&line, `,"%x":"1"`, i)
	}
	line.WriteString("},\"sdp\":\"x\"}\n")
	text := []byte(line.String())
	m, _, err := Next(text)
	if err != nil || len(m.Fields) != 1 || m.Fields[FieldClass] != "batch" {
		t.Fatalf("got %+v and error %v, want the field class only", m, err)
	}
	if got := testing.AllocsPerRun(100, func() { _, _, _ = Next(text) }); got > maxAllocations {
		t.Errorf("got %v allocations for a message with unknown fields, want at most %d", got, maxAllocations)
	}
}
