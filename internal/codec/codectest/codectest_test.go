package codectest

import (
	"bytes"
	"slices"
	"testing"
)

func TestPiecesAreTheInput(t *testing.T) {
	input := []byte("seven b")
	RunWithPieceSizes(t, len(input), func(t *testing.T, size int) {
		var joined []byte
		for piece := range Pieces(input, size) {
			if len(piece) == 0 || len(piece) > size {
				t.Errorf("got a piece of %d bytes, want 1 to %d", len(piece), size)
			}
			joined = append(joined, piece...)
		}
		if !bytes.Equal(joined, input) {
			t.Errorf("got %q, want %q", joined, input)
		}
	})
}

func TestDecodeCallsNextUntilMoreBytesAreNeeded(t *testing.T) {
	nextLine := func(buffer []byte) (string, int, error) {
		end := bytes.IndexByte(buffer, '\n')
		return string(buffer[:max(end, 0)]), end + 1, nil
	}
	input := []byte("one\ntwo\n\n")
	RunWithPieceSizes(t, len(input), func(t *testing.T, size int) {
		if got, want := DecodeAll(t, input, size, nextLine), []string{"one", "two", ""}; !slices.Equal(got, want) {
			t.Errorf("got %q, want %q", got, want)
		}
	})
}
