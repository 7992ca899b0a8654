package ownerline

import (
	"errors"
	"strings"
	"testing"
)

const setup = `{"type":"setup","id":"9b1f03aa5c7e2d41","fields":{"class":"batch","left":1500},"sdp":"9d41\r\nc=IN\r\n"}`

// Lines come out one by one, however the bytes come; fields are texts or numbers.
func TestNext(t *testing.T) {
	in := setup + "\n" + `{"type":"release","id":"9b1f03aa5c7e2d41","fields":{},"cause":34,"later":[1]}` + "\n"
	for _, step := range []int{1, 7, len(in)} {
		var buf []byte
		var seen []*Message
		for i := 0; i < len(in); i += step {
			buf = append(buf, in[i:min(i+step, len(in))]...)
			for {
				m, n, err := Next(buf)
				if err != nil {
					t.Fatal(err)
				}
				if n == 0 {
					break
				}
				seen, buf = append(seen, m), buf[n:]
			}
		}
		if len(seen) != 2 || seen[0].Fields["left"] != "1500" || seen[0].Description != "9d41\r\nc=IN\r\n" ||
			seen[0].Cause != -1 || seen[1].Cause != 34 || seen[1].Type != Release || seen[1].Described {
			t.Errorf("in pieces of %d: %+v", step, seen)
		}
	}
}

// What is no message of the protocol is an error, and endless lines are one before they end.
func TestBadLines(t *testing.T) {
	for name, line := range map[string]string{
		"nothing": "", "no object": "[1]", "a word": "hello", "half": `{"type":"setup"`, "no id": `{"type":"ping"}`,
		"short id": `{"type":"ping","id":"12"}`, "capitals": `{"type":"ping","id":"9B1F03AA5C7E2D41"}`,
		"no hex": `{"type":"ping","id":"9b1f03aa5c7e2dzz"}`, "type": `{"type":"sing","id":"9b1f03aa5c7e2d41"}`,
		"cause": `{"type":"release","id":"9b1f03aa5c7e2d41","cause":256}`,
		"field": `{"type":"setup","id":"9b1f03aa5c7e2d41","fields":{"class":{}}}`,
		"twice": `{"type":"ping","id":"9b1f03aa5c7e2d41","id":"9b1f03aa5c7e2d42"}`, "no text": "\xff\xfe",
	} {
		if m, _, err := Next([]byte(line + "\n")); err == nil {
			t.Errorf("%s: read as %+v", name, m)
		}
	}
	for _, endless := range []string{strings.Repeat("x", MaxLine), strings.Repeat(" ", MaxLine) + setup + "\n"} {
		if _, _, err := Next([]byte(endless)); !errors.Is(err, ErrTooLong) {
			t.Errorf("%v", err)
		}
	}
}

// A description is passed on unchanged, or not at all.
func TestAppend(t *testing.T) {
	for _, text := range []string{"", "a\r\nb\"\\\t\u00e9/", "<&>"} {
		b, err := Append(nil, &Message{Type: Answer, ID: "9b1f03aa5c7e2d41", Cause: -1, Description: text, Described: true})
		if err != nil {
			t.Fatal(err)
		}
		m, n, err := Next(b)
		if err != nil || n != len(b) || m.Description != text || m.Cause != -1 {
			t.Errorf("%q came out as %+v, %v", text, m, err)
		}
	}
	for _, text := range []string{"\xff", strings.Repeat("x", MaxLine)} {
		if b, err := Append([]byte("kept"), &Message{Type: Answer, ID: "9b1f03aa5c7e2d41", Description: text, Described: true}); err == nil ||
			string(b) != "kept" {
			t.Errorf("%.10q: %q, %v", text, b, err)
		}
	}
}

func FuzzNext(f *testing.F) {
	f.Add([]byte(setup + "\n"))
	f.Add([]byte(`{"type":"ping","id":"9b1f03aa5c7e2d41","fields":{"a":1e9},"cause":0}` + "\n"))
	f.Fuzz(func(t *testing.T, in []byte) {
		m, n, err := Next(in)
		if err != nil || n == 0 {
			return
		}
		b, err := Append(nil, m)
		if err != nil {
			return // escaped it is longer
		}
		again, _, err := Next(b)
		if err != nil || again.ID != m.ID || again.Description != m.Description || again.Cause != m.Cause {
			t.Errorf("%q: %+v, then %+v, %v", in, m, again, err)
		}
	})
}
