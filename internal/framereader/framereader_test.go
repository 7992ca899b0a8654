package framereader

import (
	"errors"
	"fmt"
	"testing"

	"flaxshelf.example/flaxshelf/internal/codec/nodeframe"
	"flaxshelf.example/flaxshelf/internal/codec/nodeframe/nodepb"
)

// ping returns an encoded frame with a Ping message that carries token.
func ping(t *testing.T, token uint64) []byte {
	t.Helper()
	encoded, err := nodeframe.Append(nil, &nodepb.Frame{Body: &nodepb.Frame_Ping{Ping: &nodepb.Ping{Token: token}}})
	if err != nil {
		t.Fatal(err)
	}
	return encoded
}

func TestEachHandlesCompleteFrames(t *testing.T) {
	first, second := ping(t, 1), ping(t, 2)
	both := append(append([]byte(nil), first...), second...)
	errHandler := errors.New("handler failed")
	tests := []struct {
		name       string
		received   []byte
		failAt     uint64 // token of the frame for which the handler returns an error; zero if none
		wantTokens string
		wantUsed   int
		wantErr    error
	}{
		{"nothing received", nil, 0, "[]", 0, nil},
		{"part of a length", first[:2], 0, "[]", 0, nil},
		{"part of a frame", first[:len(first)-1], 0, "[]", 0, nil},
		{"one frame", first, 0, "[1]", len(first), nil},
		{"one frame and part of the next", both[:len(both)-1], 0, "[1]", len(first), nil},
		{"two frames", both, 0, "[1 2]", len(both), nil},
		{"handler error on the first frame", both, 1, "[1]", len(first), errHandler},
		{"handler error on the second frame", both, 2, "[1 2]", len(both), errHandler},
		{"empty frame after a valid one", append(append([]byte(nil), first...), 0, 0, 0, 0), 0, "[1]", len(first),
			nodeframe.ErrEmpty},
		{"length over the limit", []byte{0xff, 0, 0, 0}, 0, "[]", 0, nodeframe.ErrTooLong},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			tokens := []uint64{}
			used, err := Each(test.received, func(frame *nodepb.Frame) error {
				tokens = append(tokens, frame.GetPing().GetToken())
				if test.failAt == frame.GetPing().GetToken() {
					return errHandler
				}
				return nil
			})
			if !errors.Is(err, test.wantErr) {
				t.Errorf("got error %v, want %v", err, test.wantErr)
			}
			if got := fmt.Sprint(tokens); got != test.wantTokens || used != test.wantUsed {
				t.Errorf("got tokens %s in %d bytes, want %s in %d", got, used, test.wantTokens, test.wantUsed)
			}
		})
	}
}
