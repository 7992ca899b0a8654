package nodeparam

import (
	"errors"
	"slices"
	"strings"
	"testing"
)

var whole = Message{Type: SetUp, Task: 0x9b1f03aa5c7e2d41, Cause: -1, Class: "batch", TimeLeft: "1500", Key: "7f3a",
	IdempotencyKey: "5c0f", Description: "9d41\r\nc=IN\r\n", Described: true}

// Messages come out as they went in, however the bytes come.
func TestMessages(t *testing.T) {
	want := []Message{whole, {Type: Release, Task: 1, Cause: 34, Token: "cpu_full"}, {Type: Note, Task: 2, Cause: -1,
		Token: "share", Value: "0.5"}}
	var in []byte
	for i := range want {
		var err error
		if in, err = Append(in, &want[i]); err != nil {
			t.Fatal(err)
		}
	}
	for _, step := range []int{1, 5, len(in)} {
		var buf []byte
		var got []Message
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
				got, buf = append(got, m), buf[n:]
			}
		}
		if !slices.Equal(got, want) {
			t.Errorf("in pieces of %d: %+v", step, got)
		}
	}
}

// The bytes of a message by hand: the length counts all that follows it.
func TestBytes(t *testing.T) {
	got, err := Append(nil, &Message{Type: Release, Task: 0x0102030405060708, Cause: 16})
	want := "\x00\x0d\x0c\x01\x02\x03\x04\x05\x06\x07\x08\xc2\x00\x01\x10"
	if err != nil || string(got) != want {
		t.Errorf("%q, %v", got, err)
	}
}

// Spoilt bytes are told as soon as they can be, before what they announce comes.
func TestSpoilt(t *testing.T) {
	head := "\x00\x10\x0c\x01\x02\x03\x04\x05\x06\x07\x08"
	for name, in := range map[string]string{
		"text": "HTTP/1.1", "no room for a task": "\x00\x05\x0c\x01\x02\x03\x04", "too long": "\x40\x00",
		"unknown type": "\x10\x00\x07", "half a parameter": "\x00\x0b\x0c\x01\x02\x03\x04\x05\x06\x07\x08\xc2\x00",
		"longer than the message": head + "\xc3\x01\x00\x00\x00\x00\x00",
		"a cause of two bytes":    "\x00\x0e\x0c\x01\x02\x03\x04\x05\x06\x07\x08\xc2\x00\x02\x10\x10",
	} {
		if m, n, err := Next([]byte(in)); !errors.Is(err, ErrMalformed) {
			t.Errorf("%s: %+v, %d, %v", name, m, n, err)
		}
	}
	if _, err := Append(nil, &Message{Type: SetUp, Description: strings.Repeat("x", MaxMessage), Described: true}); err == nil {
		t.Error("a message over the limit was written")
	}
}

func FuzzNext(f *testing.F) {
	b, _ := Append(nil, &whole)
	f.Add(b)
	f.Add([]byte("\x00\x0d\x0c\x01\x02\x03\x04\x05\x06\x07\x08\xc2\x00\x01\x10"))
	f.Fuzz(func(t *testing.T, in []byte) {
		m, n, err := Next(in)
		if err != nil || n == 0 {
			return
		}
		if n > len(in) || n > MaxMessage {
			t.Fatalf("%d bytes used of %d", n, len(in))
		}
		b, err := Append(nil, &m)
		if err != nil {
			t.Fatal(err)
		}
		if again, _, err := Next(b); err != nil || again != m {
			t.Errorf("%+v, then %+v, %v", m, again, err)
		}
	})
}
