package nodeframe

import (
	"errors"
	"slices"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	"flaxshelf.example/flaxshelf/internal/codec/codectest"
	"flaxshelf.example/flaxshelf/internal/codec/nodeframe/nodepb"
)

func offerFrame(taskName string) *nodepb.Frame {
	return &nodepb.Frame{Body: &nodepb.Frame_Offer{Offer: &nodepb.Offer{Attempt: "a/1/0", ValidForNs: 5,
		Task: &nodepb.Task{Job: "a", Cores: 0.5, Name: taskName}}}}
}

// Frames are decoded as they were encoded, whatever the size of the pieces in which they arrive.
func TestFramesArriveInPieces(t *testing.T) {
	names := []string{"one", "two", ""}
	var input []byte
	for _, name := range names {
		var err error
		if input, err = Append(input, offerFrame(name)); err != nil {
			t.Fatal(err)
		}
	}
	codectest.RunWithPieceSizes(t, len(input), func(t *testing.T, size int) {
		var got []string
		for _, frame := range codectest.DecodeAll(t, input, size, Next) {
			got = append(got, frame.GetOffer().Task.Name)
		}
		if !slices.Equal(got, names) {
			t.Errorf("got %q, want %q", got, names)
		}
	})
}

// A length that is zero or over the limit is rejected before the announced bytes have arrived, and so are invalid messages once
// they are complete.
func TestNextRejectsMalformedFrames(t *testing.T) {
	for _, c := range []struct {
		name  string
		input []byte
		cause error // what the FrameError must wrap; nil accepts any cause, such as an error of the protobuf decoder
		bytes int64
	}{
		{"4 GiB announced", []byte{0xff, 0xff, 0xff, 0xff}, ErrTooLong, 1<<32 - 1},
		{"one byte over the limit", []byte{0, 0x10, 0, 1}, ErrTooLong, MaxMessageBytes + 1},
		{"empty", []byte{0, 0, 0, 0}, ErrEmpty, 0},
		{"body type of a later version", []byte{0, 0, 0, 3, 0xfa, 0x07, 0}, ErrEmpty, 3},
		{"not protobuf", []byte{0, 0, 0, 2, 0xff, 0xff}, nil, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, _, err := Next(c.input)
			var malformed *FrameError
			if !errors.As(err, &malformed) || malformed.Bytes != c.bytes || c.cause != nil && !errors.Is(err, c.cause) {
				t.Errorf("got %v, want a FrameError of %d bytes with cause %v", err, c.bytes, c.cause)
			}
		})
	}
}

func TestNextWaitsForTheRest(t *testing.T) {
	for _, input := range [][]byte{{}, {0, 0, 0}, {0, 0, 0, 9, 1, 2}} {
		if frame, used, err := Next(input); frame != nil || used != 0 || err != nil {
			t.Errorf("%v: got %v, %d, %v, want no frame and no error", input, frame, used, err)
		}
	}
}

// If the frame can't be encoded, Append returns the buffer unchanged.
func TestAppendRejectsInvalidFrames(t *testing.T) {
	for name, c := range map[string]struct {
		text    string
		tooLong bool
	}{
		"over the limit": {strings.Repeat("x", MaxMessageBytes), true},
		"not UTF-8":      {"\xff", false},
	} {
		buf, err := Append([]byte("kept"), offerFrame(c.text))
		if err == nil || errors.Is(err, ErrTooLong) != c.tooLong || string(buf) != "kept" {
			t.Errorf("%s: got %d bytes, %v, want the buffer unchanged and an error", name, len(buf), err)
		}
	}
}

func TestNegotiateVersionRequiresVersionOfThisBuild(t *testing.T) {
	for _, c := range []struct {
		peerMin, peerMax uint32
		ok               bool
	}{{1, 1, true}, {1, 9, true}, {0, 1, true}, {2, 3, false}, {0, 0, false}} {
		version, err := NegotiateVersion(c.peerMin, c.peerMax)
		var unsupported *VersionError
		if c.ok && (err != nil || version != Version) || !c.ok && !errors.As(err, &unsupported) {
			t.Errorf("%d to %d: got %d, %v, want success: %v", c.peerMin, c.peerMax, version, err, c.ok)
		}
	}
}

// For any input, Next does not panic and uses no more bytes than the input has. A frame that it decodes is the same after it was
// encoded and decoded again.
func FuzzNext(f *testing.F) {
	seed, err := Append(nil, offerFrame("x"))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(seed)
	f.Add([]byte{0, 0, 0, 1, 0})
	f.Fuzz(func(t *testing.T, input []byte) {
		frame, used, err := Next(input)
		if used > len(input) || err != nil && frame != nil {
			t.Fatalf("got frame %v and error %v, used %d of %d bytes", frame, err, used, len(input))
		}
		if frame == nil {
			return
		}
		encoded, err := Append(nil, frame)
		if err != nil {
			return // the new encoding may be longer than the limit
		}
		again, _, err := Next(encoded)
		if err != nil || !proto.Equal(frame, again) {
			t.Errorf("decoded again: got %v, %v, want %v", again, err, frame)
		}
	})
}

func BenchmarkOffer(b *testing.B) {
	frame := offerFrame("name")
	var buf []byte
	b.ReportAllocs()
	for b.Loop() {
		var err error
		if buf, err = Append(buf[:0], frame); err != nil {
			b.Fatal(err)
		}
		if _, _, err := Next(buf); err != nil {
			b.Fatal(err)
		}
	}
}
