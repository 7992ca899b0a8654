package httpcodec

import (
	"errors"
	"fmt"
	"strings"
	"testing"
)

// Responses are read as they were written, however their bytes come, streams as they grow.
func TestResponses(t *testing.T) {
	written := AppendResponse(append([]byte{}, Continue...), 201, "application/json", []byte(`{"a":1}`), false, "Retry-After", "2")
	written = AppendStreamHead(written, 200, "text/event-stream")
	written = AppendChunk(written, []byte("one"))
	written = AppendChunk(written, []byte("two"))
	written = AppendChunk(written, nil)
	written = AppendResponse(written, 404, "", nil, true)
	for _, step := range []int{1, 5, len(written)} {
		t.Run(fmt.Sprintf("%d bytes at a time", step), func(t *testing.T) {
			var r ResponseReader
			var seen []string
			for i := 0; i < len(written); i += step {
				err := r.Feed(written[i:min(i+step, len(written))], func(response *Response) {
					if response.Done {
						seen = append(seen, fmt.Sprintf("%d %s %s", response.Status, response.Get("retry-after"), response.Body))
					}
				})
				if err != nil {
					t.Fatal(err)
				}
			}
			if got := strings.Join(seen, "; "); got != `201 2 {"a":1}; 200  onetwo; 404  ` {
				t.Error(got)
			}
		})
	}
}

// A stream is passed on whenever a chunk of it is complete, and a body without a length whenever anything comes.
func TestResponsesGrow(t *testing.T) {
	for name, c := range map[string]struct {
		pieces []string
		want   string
	}{
		"chunks": {[]string{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "3\r\nab", "c\r\n2\r\n", "de\r\n0\r\n\r\n"},
			"abc false; abcde true"},
		"until the connection closes": {[]string{"HTTP/1.0 200 OK\r\n\r\n", "ab", "c"}, "ab false; abc false"},
		"no content":                  {[]string{"HTTP/1.1 204 No Content\r\nContent-Length: 9\r\n\r\n"}, " true"},
	} {
		t.Run(name, func(t *testing.T) {
			var r ResponseReader
			var seen []string
			for _, piece := range c.pieces {
				err := r.Feed([]byte(piece), func(response *Response) {
					seen = append(seen, fmt.Sprintf("%s %v", response.Body, response.Done))
				})
				if err != nil {
					t.Fatal(err)
				}
			}
			if got := strings.Join(seen, "; "); got != c.want {
				t.Errorf("got %s, want %s", got, c.want)
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
			t.Errorf("%q: %v, want an error with value %q", input, err, value)
		}
	}
}

// Whatever comes, the reader of responses does not panic.
func FuzzResponse(f *testing.F) {
	f.Add(AppendChunk(AppendStreamHead(nil, 200, "text/event-stream"), []byte("x")))
	f.Add(AppendResponse(nil, 200, "a", []byte("b"), true))
	f.Fuzz(func(_ *testing.T, input []byte) {
		var r ResponseReader
		_ = r.Feed(input, func(*Response) {}) // an error is as good as none here
	})
}
