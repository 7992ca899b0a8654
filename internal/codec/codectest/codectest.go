// Package codectest helps tests to pass input to decoders in pieces, as bytes arrive on a connection.
package codectest

import (
	"fmt"
	"iter"
	"slices"
	"testing"
)

// RunWithPieceSizes runs test as a subtest for each of several sizes of the pieces in which input of the given length arrives:
// one byte, a few bytes and the whole input.
func RunWithPieceSizes(t *testing.T, inputLength int, test func(t *testing.T, pieceSize int)) {
	t.Helper()
	for _, pieceSize := range []int{1, 3, 5, 7, inputLength} {
		t.Run(fmt.Sprintf("%d bytes at a time", pieceSize), func(t *testing.T) { test(t, pieceSize) })
	}
}

// Pieces yields input in pieces of pieceSize bytes, of which the last may be shorter. A pieceSize below 1 counts as 1. Each
// piece is a copy, which the decoder may retain or change.
func Pieces(input []byte, pieceSize int) iter.Seq[[]byte] {
	return func(yield func([]byte) bool) {
		for piece := range slices.Chunk(input, max(pieceSize, 1)) {
			if !yield(slices.Clone(piece)) {
				return
			}
		}
	}
}

// DecodeAll decodes all messages of input, which arrives in pieces of pieceSize bytes. next decodes the first message of buffer
// and returns the number of bytes that it used, 0 when more bytes are needed. An error of next fails the test, and so do bytes
// that are left at the end.
func DecodeAll[M any](t testing.TB, input []byte, pieceSize int, next func(buffer []byte) (M, int, error)) []M {
	t.Helper()
	var buffer []byte
	var messages []M
	for piece := range Pieces(input, pieceSize) {
		buffer = append(buffer, piece...)
		for {
			message, used, err := next(buffer)
			if err != nil {
				t.Fatal(err)
			}
			if used == 0 {
				break
			}
			messages, buffer = append(messages, message), buffer[used:]
		}
	}
	if len(buffer) > 0 {
		t.Errorf("%d bytes of the input are left", len(buffer))
	}
	return messages
}
