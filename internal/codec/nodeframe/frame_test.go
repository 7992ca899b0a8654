package nodeframe

import (
	"errors"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	"flaxshelf.example/flaxshelf/internal/codec/nodeframe/nodepb"
)

func offer(text string) *nodepb.Frame {
	return &nodepb.Frame{Body: &nodepb.Frame_Offer{Offer: &nodepb.Offer{Attempt: "a/1/0", ValidForNs: 5,
		Task: &nodepb.Task{Job: "a", Cores: 0.5, Name: text}}}}
}

// Frames come out as they went in, however the bytes come.
func TestFrames(t *testing.T) {
	var b []byte
	var err error
	for _, s := range []string{"one", "two", ""} {
		if b, err = Append(b, offer(s)); err != nil {
			t.Fatal(err)
		}
	}
	for _, step := range []int{1, 3, len(b)} {
		var buf []byte
		var seen []string
		for i := 0; i < len(b); i += step {
			buf = append(buf, b[i:min(i+step, len(b))]...)
			for {
				f, n, err := Next(buf)
				if err != nil {
					t.Fatal(err)
				}
				if f == nil {
					break
				}
				seen = append(seen, f.GetOffer().Task.Name)
				buf = buf[n:]
			}
		}
		if got := strings.Join(seen, ","); got != "one,two," {
			t.Errorf("in pieces of %d: %q", step, got)
		}
	}
}

// What can't be a frame ends the stream with the reason, before anything is waited for.
func TestBadFrames(t *testing.T) {
	for _, c := range []struct {
		name string
		in   []byte
		want error
	}{
		{"gigabytes announced", []byte{0xff, 0xff, 0xff, 0xff}, ErrTooLong},
		{"one byte over", []byte{0, 0x10, 0, 1}, ErrTooLong},
		{"empty", []byte{0, 0, 0, 0}, ErrEmpty},
		{"a message of a later version", []byte{0, 0, 0, 3, 0xfa, 0x07, 0}, ErrEmpty},
	} {
		if _, _, err := Next(c.in); !errors.Is(err, c.want) {
			t.Errorf("%s: %v", c.name, err)
		}
	}
	if _, _, err := Next([]byte{0, 0, 0, 2, 0xff, 0xff}); err == nil {
		t.Error("a payload that is no message was read")
	}
	if f, n, err := Next([]byte{0, 0, 0, 9, 1, 2}); f != nil || n != 0 || err != nil {
		t.Errorf("half a frame: %v, %d, %v", f, n, err)
	}
	if _, err := Append(nil, offer(strings.Repeat("x", MaxFrame))); !errors.Is(err, ErrTooLong) {
		t.Errorf("a frame over the limit was written: %v", err)
	}
}

func TestAgree(t *testing.T) {
	for _, c := range []struct {
		lo, hi uint32
		ok     bool
	}{{1, 1, true}, {1, 9, true}, {0, 1, true}, {2, 3, false}, {0, 0, false}} {
		if _, err := Agree(c.lo, c.hi); (err == nil) != c.ok {
			t.Errorf("%d to %d: %v", c.lo, c.hi, err)
		}
	}
}

// Whatever comes, Next neither panics nor takes more than there is, and what it reads can be written again.
func FuzzNext(f *testing.F) {
	b, _ := Append(nil, offer("x"))
	f.Add(b)
	f.Add([]byte{0, 0, 0, 1, 0})
	f.Fuzz(func(t *testing.T, in []byte) {
		fr, n, err := Next(in)
		if n > len(in) || err != nil && fr != nil {
			t.Fatalf("used %d of %d, %v", n, len(in), err)
		}
		if fr == nil {
			return
		}
		out, err := Append(nil, fr)
		if err != nil {
			return // its text grows when it is written in our way
		}
		again, _, err := Next(out)
		if err != nil || !proto.Equal(fr, again) {
			t.Errorf("written again it differs: %v", err)
		}
	})
}

func BenchmarkOffer(b *testing.B) {
	f := offer("name")
	var buf []byte
	b.ReportAllocs()
	for b.Loop() {
		buf, _ = Append(buf[:0], f)
		if _, _, err := Next(buf); err != nil {
			b.Fatal(err)
		}
	}
}
