package sse

import (
	"errors"
	"fmt"
	"strings"
	"testing"
)

func read(t *testing.T, d *Decoder, in string, step int) (out []string, err error) {
	t.Helper()
	for i := 0; i < len(in) && err == nil; i += step {
		err = d.Write([]byte(in[i:min(i+step, len(in))]), func(e Event) error {
			out = append(out, fmt.Sprintf("%s=%s", e.ID, e.Data))
			return nil
		})
	}
	return out, err
}

// Whole events come out once, however the bytes come; comments and half an event at the end do not.
func TestEvents(t *testing.T) {
	in := ": hello\n\nid: 2\ndata: {\"n\":2}\n\n:\r\nid:3\r\nevent: x\r\ndata:a\r\ndata: b\r\n\r\n\n\nid: 4\ndata: half"
	for _, step := range []int{1, 3, len(in)} {
		var d Decoder
		got, err := read(t, &d, in, step)
		if want := `[2={"n":2} 3=a` + "\n" + `b]`; err != nil || fmt.Sprint(got) != want {
			t.Errorf("in pieces of %d: %v, %v", step, got, err)
		}
	}
}

// An event without end is an error before it has taken much.
func TestEndless(t *testing.T) {
	for _, in := range []string{strings.Repeat("x", MaxEvent+1), strings.Repeat("data: "+strings.Repeat("x", 1000)+"\n", MaxEvent/1000+1)} {
		var d Decoder
		if _, err := read(t, &d, in, 4096); !errors.Is(err, ErrTooLong) {
			t.Errorf("%v", err)
		}
	}
}

// Bytes in pieces mean the same as at once.
func FuzzWrite(f *testing.F) {
	f.Add("id: 2\ndata: x\n\n: c\n", 3)
	f.Fuzz(func(t *testing.T, in string, step int) {
		var a, b Decoder
		whole, _ := read(t, &a, in, len(in)+1)
		pieces, _ := read(t, &b, in, max(step, 1))
		if fmt.Sprint(whole) != fmt.Sprint(pieces) {
			t.Errorf("%q, in pieces %q", whole, pieces)
		}
	})
}
