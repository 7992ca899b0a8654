package httpcodec

import (
	"errors"
	"fmt"
	"iter"
	"slices"
	"testing"

	"flaxshelf.example/flaxshelf/internal/codec/codectest"
)

// Responses are read as they were written, whatever the size of the pieces in which they arrive.
func TestResponsesArriveInPieces(t *testing.T) {
	written := AppendResponse(append([]byte{}, ContinueResponse...), 201, "application/json", []byte(`{"a":1}`), false, "Retry-After", "2")
	written = AppendStreamHead(written, 200, "text/event-stream")
	written = AppendChunk(written, []byte("one"))
	written = AppendChunk(written, []byte("two"))
	written = AppendChunk(written, nil)
	written = AppendResponse(written, 404, "", nil, true)
	want := []string{`201 2 {"a":1}`, "200  onetwo", "404  "}
	codectest.RunWithPieceSizes(t, len(written), func(t *testing.T, size int) {
		var got []string
		read(t, codectest.Pieces(written, size), func(response *Response) {
			if response.Done {
				got = append(got, fmt.Sprintf("%d %s %s", response.Status, response.Get("retry-after"), response.Body))
			}
		})
		if !slices.Equal(got, want) {
			t.Errorf("got %q, want %q", got, want)
		}
	})
}

// read passes the pieces to a ResponseReader, which calls each.
func read(t *testing.T, pieces iter.Seq[[]byte], each func(*Response)) {
	t.Helper()
	var r ResponseReader
	for piece := range pieces {
		if err := r.Feed(piece, each); err != nil {
			t.Fatal(err)
		}
	}
}

// A chunked response is passed on whenever a chunk is complete, one without a length whenever bytes of its body arrive.
func TestResponsesGrow(t *testing.T) {
	for name, c := range map[string]struct{ pieces, want []string }{
		"chunks": {
			[]string{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "3\r\nab", "c\r\n2\r\n", "de\r\n0\r\n\r\n"},
			[]string{"abc false", "abcde true"},
		},
		"until the connection closes": {
			[]string{"HTTP/1.0 200 OK\r\n\r\n", "ab", "c"},
			[]string{"ab false", "abc false"},
		},
		"no content": {
			[]string{"HTTP/1.1 204 No Content\r\nContent-Length: 9\r\n\r\n"},
			[]string{" true"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			var got []string
			pieces := func(yield func([]byte) bool) {
				for _, piece := range c.pieces {
					if !yield([]byte(piece)) {
						return
					}
				}
			}
			read(t, pieces, func(response *Response) {
				got = append(got, fmt.Sprintf("%s %v", response.Body, response.Done))
			})
			if !slices.Equal(got, c.want) {
				t.Errorf("got %q, want %q", got, c.want)
			}
		})
	}
}

func TestMalformedResponses(t *testing.T) {
	for input, value := range map[string]string{
		"nonsense\r\n\r\n":                                            "nonsense",
		"HTTP/1.1 xyz\r\n\r\n":                                        "xyz",
		"HTTP/1.1 200 OK\r\nA b\r\n\r\n":                              "A b",
		"HTTP/1.1 200 OK\r\nContent-Length: -3\r\n\r\n":               "-3",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n": "zz",
	} {
		err := new(ResponseReader).Feed([]byte(input), func(*Response) {})
		var malformed *ResponseError
		if !errors.As(err, &malformed) || malformed.Value != value {
			t.Errorf("%q: got %v, want an error with value %q", input, err, value)
		}
	}
}

// ResponseReader never panics.
func FuzzResponse(f *testing.F) {
	f.Add(AppendChunk(AppendStreamHead(nil, 200, "text/event-stream"), []byte("x")))
	f.Add(AppendResponse(nil, 200, "a", []byte("b"), true))
	f.Fuzz(func(_ *testing.T, input []byte) {
		var r ResponseReader
		_ = r.Feed(input, func(*Response) {}) // only a panic fails the test
	})
}
