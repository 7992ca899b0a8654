package sse

import (
	"errors"
	"fmt"
	"strings"
	"testing"
)

// decodeInPieces writes input to d, step bytes at a time, and returns the events as ID=Data.
func decodeInPieces(t *testing.T, d *Decoder, input string, step int) (events []string, err error) {
	t.Helper()
	for i := 0; i < len(input) && err == nil; i += step {
		err = d.Write([]byte(input[i:min(i+step, len(input))]), func(e Event) error {
			events = append(events, fmt.Sprintf("%s=%s", e.ID, e.Data))
			return nil
		})
	}
	return events, err
}

// Complete events are emitted once, however their bytes arrive; comments and an event without its end are not.
func TestEvents(t *testing.T) {
	input := ": hello\n\nid: 2\ndata: {\"n\":2}\n\n:\r\nid:3\r\nevent: x\r\ndata:a\r\ndata: b\r\n\r\n\n\nid: 4\ndata: half"
	for _, step := range []int{1, 3, len(input)} {
		t.Run(fmt.Sprintf("%d bytes at a time", step), func(t *testing.T) {
			var d Decoder
			got, err := decodeInPieces(t, &d, input, step)
			if want := `[2={"n":2} 3=a` + "\n" + `b]`; err != nil || fmt.Sprint(got) != want {
				t.Errorf("%v, %v, want %s", got, err, want)
			}
		})
	}
}

// An event without an end is an error before it has taken much memory.
func TestEventOverTheLimit(t *testing.T) {
	for name, input := range map[string]string{
		"one line":   strings.Repeat("x", MaxEvent+1),
		"many lines": "id: 7\n" + strings.Repeat("data: "+strings.Repeat("x", 1000)+"\n", MaxEvent/1000+1),
	} {
		t.Run(name, func(t *testing.T) {
			var d Decoder
			_, err := decodeInPieces(t, &d, input, 4096)
			if !errors.Is(err, ErrTooLong) {
				t.Fatal(err)
			}
			var size *SizeError
			if !errors.As(err, &size) || size.Bytes <= MaxEvent || size.Bytes > MaxEvent+4096 || size.Limit != MaxEvent {
				t.Errorf("%+v", err)
			}
		})
	}
}

// The error of emit ends the reading.
func TestEmitError(t *testing.T) {
	stop := errors.New("stop")
	var d Decoder
	emitted := 0
	err := d.Write([]byte("data: a\n\ndata: b\n\n"), func(Event) error { emitted++; return stop })
	if !errors.Is(err, stop) || emitted != 1 {
		t.Errorf("%v after %d events", err, emitted)
	}
}

// Bytes in pieces mean the same as all at once.
func FuzzWrite(f *testing.F) {
	f.Add("id: 2\ndata: x\n\n: c\n", 3)
	f.Fuzz(func(t *testing.T, input string, step int) {
		var atOnce, inPieces Decoder
		want, _ := decodeInPieces(t, &atOnce, input, len(input)+1)
		got, _ := decodeInPieces(t, &inPieces, input, max(step, 1))
		if fmt.Sprint(want) != fmt.Sprint(got) {
			t.Errorf("%q, in pieces %q", want, got)
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
