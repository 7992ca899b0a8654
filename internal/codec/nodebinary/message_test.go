package nodebinary

import (
	"errors"
	"slices"
	"strings"
	"testing"

	"flaxshelf.example/flaxshelf/internal/codec/codectest"
)

var setUp = Message{Type: SetUp, Task: 0x9b1f03aa5c7e2d41, Cause: NoCause, Class: "batch", TimeLeft: "1500", Key: "7f3a",
	IdempotencyKey: "5c0f", Description: "9d41\r\nc=IN\r\n", HasDescription: true}

// Messages are decoded as they were encoded, whatever the size of the pieces in which they arrive.
func TestMessagesArriveInPieces(t *testing.T) {
	want := []Message{setUp, {Type: Release, Task: 1, Cause: 34, Token: "cpu_full"}, {Type: Note, Task: 2, Cause: NoCause,
		Token: "share", Value: "0.5"}}
	var input []byte
	for i := range want {
		var err error
		if input, err = Append(input, &want[i]); err != nil {
			t.Fatal(err)
		}
	}
	codectest.RunWithPieceSizes(t, len(input), func(t *testing.T, size int) {
		if got := codectest.DecodeAll(t, input, size, Next); !slices.Equal(got, want) {
			t.Errorf("got %+v, want %+v", got, want)
		}
	})
}

// The expected bytes are written out, so that Append is checked against the wire format and not against Next. The length
// counts all bytes that follow it.
func TestAppendWritesTheWireFormat(t *testing.T) {
	got, err := Append(nil, &Message{Type: Release, Task: 0x0102030405060708, Cause: 16})
	want := "\x00\x0d\x0c\x01\x02\x03\x04\x05\x06\x07\x08\xc2\x00\x01\x10"
	if err != nil || string(got) != want {
		t.Errorf("got %q, %v, want %q", got, err, want)
	}
}

// A malformed message is rejected as soon as its invalid part has arrived, without waiting for its announced length.
func TestNextRejectsMalformedMessages(t *testing.T) {
	const releaseHeader = "\x00\x10\x0c\x01\x02\x03\x04\x05\x06\x07\x08"
	for name, c := range map[string]struct {
		input  string
		offset int
		field  string
		value  string
	}{
		"text":                            {"HTTP/1.1", 0, "length", "18516"},
		"no room for a task":              {"\x00\x05\x0c\x01\x02\x03\x04", 0, "length", "5"},
		"over the limit":                  {"\x40\x00", 0, "length", "16384"},
		"unknown type":                    {"\x10\x00\x07", 2, "type", "7"},
		"truncated parameter":             {"\x00\x0b\x0c\x01\x02\x03\x04\x05\x06\x07\x08\xc2\x00", 11, "parameter", "2 bytes"},
		"parameter longer than a message": {releaseHeader + "\xc3\x01\x00\x00\x00\x00\x00", 11, "parameter 195", "256 bytes"},
		"cause of two bytes":              {"\x00\x0e\x0c\x01\x02\x03\x04\x05\x06\x07\x08\xc2\x00\x02\x10\x10", 11, "parameter 194", "2 bytes"},
	} {
		t.Run(name, func(t *testing.T) {
			m, used, err := Next([]byte(c.input))
			if !errors.Is(err, ErrMalformed) {
				t.Fatalf("got %+v, %d, %v, want %v", m, used, err, ErrMalformed)
			}
			var protocol *ProtocolError
			if !errors.As(err, &protocol) || protocol.Offset != c.offset || protocol.Field != c.field || protocol.Value != c.value {
				t.Errorf("got %v, want field %s with value %s at byte %d", err, c.field, c.value, c.offset)
			}
		})
	}
}

func TestAppendRejectsLongMessages(t *testing.T) {
	buf, err := Append([]byte("kept"), &Message{Type: SetUp, Description: strings.Repeat("x", MaxMessageBytes), HasDescription: true})
	if !errors.Is(err, ErrTooLong) || string(buf) != "kept" {
		t.Errorf("got %d bytes, %v, want the buffer unchanged and %v", len(buf), err, ErrTooLong)
	}
}

func TestTypeString(t *testing.T) {
	for value, want := range map[Type]string{SetUp: "setup", Pong: "pong", 0: "type 0", 7: "type 7", 255: "type 255"} {
		if got := value.String(); got != want {
			t.Errorf("type %d: got %q, want %q", byte(value), got, want)
		}
	}
}

// A message that Next has decoded is the same after it was encoded by Append and decoded again.
func FuzzNext(f *testing.F) {
	seed, err := Append(nil, &setUp)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(seed)
	f.Add([]byte("\x00\x0d\x0c\x01\x02\x03\x04\x05\x06\x07\x08\xc2\x00\x01\x10"))
	f.Fuzz(func(t *testing.T, input []byte) {
		m, used, err := Next(input)
		if err != nil || used == 0 {
			return
		}
		if used > len(input) || used > MaxMessageBytes {
			t.Fatalf("%d bytes used of %d", used, len(input))
		}
		encoded, err := Append(nil, &m)
		if err != nil {
			t.Fatal(err)
		}
		if again, _, err := Next(encoded); err != nil || again != m {
			t.Errorf("decoded again: got %+v, %v, want %+v", again, err, m)
		}
	})
}

func BenchmarkNext(b *testing.B) {
	input, err := Append(nil, &setUp)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, _, err := Next(input); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkAppend(b *testing.B) {
	var buf []byte
	b.ReportAllocs()
	for b.Loop() {
		var err error
		if buf, err = Append(buf[:0], &setUp); err != nil {
			b.Fatal(err)
		}
	}
}
