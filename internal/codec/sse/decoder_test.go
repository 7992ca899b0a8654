package sse

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"

	"flaxshelf.example/flaxshelf/internal/codec/codectest"
)

// decode writes input to a Decoder in pieces of size bytes and returns the events, each formatted as ID=Data.
func decode(t *testing.T, input string, size int) (events []string, err error) {
	t.Helper()
	var decoder Decoder
	for piece := range codectest.Pieces([]byte(input), size) {
		err = decoder.Write(piece, func(e Event) error {
			events = append(events, fmt.Sprintf("%s=%s", e.ID, e.Data))
			return nil
		})
		if err != nil {
			break
		}
	}
	return events, err
}

// Each complete event is emitted once, whatever the size of the pieces in which it arrives. Comments and an incomplete event are
// not emitted.
func TestEventsArriveInPieces(t *testing.T) {
	input := ": hello\n\nid: 2\ndata: {\"n\":2}\n\n:\r\nid:3\r\nevent: x\r\ndata:a\r\ndata: b\r\n\r\n\n\nid: 4\ndata: half"
	want := []string{`2={"n":2}`, "3=a\nb"}
	codectest.RunWithPieceSizes(t, len(input), func(t *testing.T, size int) {
		if got, err := decode(t, input, size); err != nil || !slices.Equal(got, want) {
			t.Errorf("got %q, %v, want %q", got, err, want)
		}
	})
}

// An incomplete event is rejected once it exceeds the limit, which bounds the memory of a Decoder.
func TestEventOverTheLimit(t *testing.T) {
	for name, input := range map[string]string{
		"one line":   strings.Repeat("x", MaxEventBytes+1),
		"many lines": "id: 7\n" + strings.Repeat("data: "+strings.Repeat("x", 1000)+"\n", MaxEventBytes/1000+1),
	} {
		t.Run(name, func(t *testing.T) {
			_, err := decode(t, input, 4096)
			if !errors.Is(err, ErrTooLong) {
				t.Fatalf("got %v, want %v", err, ErrTooLong)
			}
			var size *SizeError
			if !errors.As(err, &size) || size.Bytes <= MaxEventBytes || size.Bytes > MaxEventBytes+4096 || size.Limit != MaxEventBytes {
				t.Errorf("got %+v, want a SizeError of up to 4096 bytes over %d", err, MaxEventBytes)
			}
		})
	}
}

func TestErrorOfEmitEndsTheReading(t *testing.T) {
	stop := errors.New("stop")
	var d Decoder
	emitted := 0
	err := d.Write([]byte("data: a\n\ndata: b\n\n"), func(Event) error { emitted++; return stop })
	if !errors.Is(err, stop) || emitted != 1 {
		t.Errorf("got %v after %d events, want %v after 1", err, emitted, stop)
	}
}

// The events don't depend on the pieces in which the stream arrives.
func FuzzWrite(f *testing.F) {
	f.Add("id: 2\ndata: x\n\n: c\n", 3)
	f.Fuzz(func(t *testing.T, input string, step int) {
		want, _ := decode(t, input, len(input)+1)
		if got, _ := decode(t, input, step); !slices.Equal(got, want) {
			t.Errorf("%d bytes at a time: got %q, want %q", step, got, want)
		}
	})
}

func BenchmarkWrite(b *testing.B) {
	input := []byte("id: 2\ndata: {\"n\":2}\n\n: c\n")
	var d Decoder
	b.ReportAllocs()
	for b.Loop() {
		if err := d.Write(input, func(Event) error { return nil }); err != nil {
			b.Fatal(err)
		}
	}
}
