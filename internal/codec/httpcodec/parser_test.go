package httpcodec

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"flaxshelf.example/flaxshelf/internal/codec/codectest"
)

// parse parses input, which arrives in pieces of size bytes, and describes the requests, the calls for 100 Continue, the status
// of a rejection and the number of unused bytes.
func parse(input string, size int) string {
	var p Parser
	var seen []string
	buffer := []byte{}
	for piece := range codectest.Pieces([]byte(input), size) {
		buffer = append(buffer, piece...)
		for {
			req, used, sendContinue, err := p.Parse(buffer)
			if sendContinue {
				seen = append(seen, "continue")
			}
			if err != nil {
				return strings.Join(append(seen, describeRejection(err)), "; ")
			}
			if req == nil {
				break
			}
			seen = append(seen, fmt.Sprintf("%s %s?%s %q close=%v", req.Method, req.Path, req.Query, req.Body, req.Close))
			buffer = buffer[used:]
		}
	}
	if len(buffer) > 0 {
		seen = append(seen, fmt.Sprintf("%d bytes left", len(buffer)))
	}
	return strings.Join(seen, "; ")
}

// describeRejection returns the status code of a RequestError.
func describeRejection(err error) string {
	var rejected *RequestError
	if !errors.As(err, &rejected) {
		return "not a RequestError: " + err.Error()
	}
	return fmt.Sprint(rejected.Status)
}

// Requests are parsed or rejected in the same way whatever the size of the pieces in which they arrive.
func TestRequestsArriveInPieces(t *testing.T) {
	const host = "Host: x\r\n"
	for _, c := range []struct{ name, input, want string }{
		{"no body", "GET /a?b=c HTTP/1.1\r\n" + host + "\r\n", `GET /a?b=c "" close=false`},
		{"body", "POST /a HTTP/1.1\r\n" + host + "Content-Length: 3\r\n\r\nabc", `POST /a? "abc" close=false`},
		{"pipelined", "GET /1 HTTP/1.1\r\n" + host + "\r\nGET /2 HTTP/1.1\r\n" + host + "\r\n",
			`GET /1? "" close=false; GET /2? "" close=false`},
		{"close", "GET / HTTP/1.1\r\n" + host + "Connection: keep-alive, Close\r\n\r\n", `GET /? "" close=true`},
		{"HTTP/1.0 closes", "GET / HTTP/1.0\r\n\r\n", `GET /? "" close=true`},
		{"absolute form", "GET http://h:1/a?b HTTP/1.1\r\n" + host + "\r\n", `GET /a?b "" close=false`},
		{"absolute form without a path", "GET http://h HTTP/1.1\r\n" + host + "\r\n", `GET /? "" close=false`},
		{"empty lines before", "\r\n\r\nGET / HTTP/1.1\r\n" + host + "\r\n", `GET /? "" close=false`},
		{"chunked", "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nT: v\r\n\r\n",
			`POST /? "abcde" close=false`},
		{"chunked, then another", "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n" +
			"GET /b HTTP/1.1\r\n" + host + "\r\n", `POST /? "a" close=false; GET /b? "" close=false`},
		{"truncated body", "POST / HTTP/1.1\r\n" + host + "Content-Length: 9\r\n\r\nabc", "50 bytes left"},

		{"no host", "GET / HTTP/1.1\r\n\r\n", "400"},
		{"two hosts", "GET / HTTP/1.1\r\n" + host + host + "\r\n", "400"},
		{"later version", "GET / HTTP/2.0\r\n" + host + "\r\n", "505"},
		{"no text", "\x16\x03\x01 zzz\r\n\r\n", "400"},
		{"no version", "GET /\r\n\r\n", "400"},
		{"asterisk form", "OPTIONS * HTTP/1.1\r\n" + host + "\r\n", "400"},
		{"space before the colon", "GET / HTTP/1.1\r\n" + host + "A : b\r\n\r\n", "400"},
		{"folded line", "GET / HTTP/1.1\r\n" + host + "A: b\r\n c\r\n\r\n", "400"},
		{"NUL in a value", "GET / HTTP/1.1\r\n" + host + "A: b\x00c\r\n\r\n", "400"},
		{"two lengths", "POST / HTTP/1.1\r\n" + host + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab", "400"},
		{"Content-Length and chunks", "POST / HTTP/1.1\r\n" + host + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "400"},
		{"chunks in HTTP/1.0", "POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n", "400"},
		{"length with a sign", "POST / HTTP/1.1\r\n" + host + "Content-Length: +1\r\n\r\na", "400"},
		{"negative length", "POST / HTTP/1.1\r\n" + host + "Content-Length: -1\r\n\r\na", "400"},
		{"huge length", "POST / HTTP/1.1\r\n" + host + "Content-Length: 99999999999\r\n\r\n", "400"},
		{"another transfer encoding", "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: gzip\r\n\r\n", "501"},
		{"another expectation", "POST / HTTP/1.1\r\n" + host + "Expect: miracles\r\n\r\n", "417"},
		{"chunk size", "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\nxyz\r\n", "400"},
		{"negative chunk", "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n-1\r\n", "400"},
		{"chunk longer than it says", "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n", "400"},
		{"body over the limit", "POST / HTTP/1.1\r\n" + host + "Content-Length: 1048577\r\n\r\n", "413"},
		{"chunk over the limit", "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\nffffff\r\n", "413"},
		{"line over the limit", "GET /" + strings.Repeat("a", 9000) + " HTTP/1.1\r\n" + host + "\r\n", "414"},
		{"head over the limit", "GET / HTTP/1.1\r\n" + strings.Repeat("A: "+strings.Repeat("b", 1000)+"\r\n", 40), "431"},
		{"too many fields", "GET / HTTP/1.1\r\n" + host + strings.Repeat("A: b\r\n", 101) + "\r\n", "431"},
	} {
		t.Run(c.name, func(t *testing.T) {
			codectest.RunWithPieceSizes(t, len(c.input), func(t *testing.T, size int) {
				if got := parse(c.input, size); got != c.want {
					t.Errorf("got %s, want %s", got, c.want)
				}
			})
		})
	}
}

// The message of a RequestError is sent in the response's body, so its wording must not change.
func TestErrorMessages(t *testing.T) {
	const (
		host    = "Host: x\r\n"
		chunked = "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n"
	)
	for input, want := range map[string]string{
		strings.Repeat("\r\n", 5): "400 empty lines where a request should begin",
		"GET / HTTP/1.1\r\n" + strings.Repeat("A: "+strings.Repeat("b", 1000)+"\r\n", 40): "431 the head is over 32768 bytes",
		strings.Repeat("a", 9000):                                              "414 the request line is over 8192 bytes",
		"GET /" + strings.Repeat("a", 9000) + " HTTP/1.1\r\n\r\n":              "414 the request line is over 8192 bytes",
		"GET / HTTP/1.1\r\n" + host + strings.Repeat("A: b\r\n", 101) + "\r\n": "431 102 header fields, 100 at most",
		"POST / HTTP/1.1\r\n" + host + "Content-Length: 1048577\r\n\r\n":       "413 a body of 1048577 bytes, 1048576 at most",
		"GET /\r\n\r\n":                                                     "400 not a request line",
		"GET / HTPP/1.1\r\n\r\n":                                            "400 not a request line",
		"GET / HTTP/2.0\r\n\r\n":                                            "505 HTTP/1.1 is spoken here",
		"OPTIONS * HTTP/1.1\r\n\r\n":                                        "400 the target must be a path",
		"GET / HTTP/1.1\r\nA : b\r\n\r\n":                                   "400 not a header field",
		"GET / HTTP/1.1\r\nA: b\x00\r\n\r\n":                                "400 a control character in header field A",
		"POST / HTTP/1.1\r\nContent-Length: x\r\n\r\n":                      "400 Content-Length is not a number",
		"POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n": "400 two Content-Lengths",
		"POST / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n":                "501 of the transfer encodings only chunked is taken",
		"POST / HTTP/1.1\r\nExpect: x\r\n\r\n":                              "417 of the expectations only 100-continue is met",
		"GET / HTTP/1.1\r\n\r\n":                                            "400 one Host field is needed",
		"POST / HTTP/1.1\r\n" + host + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n": "400 Transfer-Encoding where it may not be",
		chunked + strings.Repeat("1", 1100): "400 a chunk's line is too long",
		chunked + "0\r\nA b\r\n":            "400 not a trailer field",
		chunked + "x\r\n":                   "400 not the size of a chunk",
		chunked + "ffffff\r\n":              "413 a body over 1048576 bytes",
		chunked + "1\r\nabc":                "400 a chunk is not as long as it says",
		chunked + strings.Repeat("1;"+strings.Repeat("x", 900)+"\r\na\r\n", (8<<20+1024)/907+1): "413 the chunks are too small",
	} {
		_, _, _, err := new(Parser).Parse([]byte(input))
		var rejected *RequestError
		if !errors.As(err, &rejected) || fmt.Sprintf("%d %s", rejected.Status, rejected.Message) != want {
			t.Errorf("%.60q: got %v, want %s", input, err, want)
		}
	}
}

// sendContinue is returned once for a request that expects 100 Continue, and not at all for one that is rejected.
func TestContinueIsSentOnce(t *testing.T) {
	head := "POST / HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n"
	var p Parser
	for i, want := range []bool{true, false} {
		if _, _, sendContinue, err := p.Parse([]byte(head)); sendContinue != want || err != nil {
			t.Errorf("call %d: got continue %v, %v, want %v", i, sendContinue, err, want)
		}
	}
	if req, _, sendContinue, err := p.Parse([]byte(head + "ab")); req == nil || sendContinue || err != nil {
		t.Errorf("with the body: got %v, continue %v, %v, want a request without continue", req, sendContinue, err)
	}
	overLimit := strings.Replace(head, "Length: 2", "Length: 2000000", 1)
	if _, _, sendContinue, err := new(Parser).Parse([]byte(overLimit)); sendContinue || err == nil {
		t.Errorf("for a body over the limit: got continue %v, %v, want an error without continue", sendContinue, err)
	}
}

func TestBodyOfKnownLengthIsNotCopied(t *testing.T) {
	input := []byte("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\na")
	req, _, _, err := new(Parser).Parse(input)
	if err != nil {
		t.Fatal(err)
	}
	input[len(input)-1] = 'b'
	if string(req.Body) != "b" {
		t.Errorf("body after the input has changed: got %q, want b", req.Body)
	}
}

// The parser never panics, and its results don't depend on the pieces in which the input arrives.
func FuzzRequest(f *testing.F) {
	f.Add([]byte("GET /a HTTP/1.1\r\nHost: x\r\n\r\n"), uint8(3))
	f.Add([]byte("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"), uint8(1))
	f.Add([]byte("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\nExpect: 100-continue\r\n\r\nabcdGET"), uint8(2))
	f.Fuzz(func(t *testing.T, input []byte, step uint8) {
		// Whether sendContinue is returned depends on whether the body has arrived with the head.
		withoutContinue := func(s string) string { return strings.ReplaceAll(s, "continue; ", "") }
		atOnce := withoutContinue(parse(string(input), len(input)))
		if inPieces := withoutContinue(parse(string(input), int(step))); inPieces != atOnce {
			t.Errorf("%d bytes at a time: %s\nat once: %s", step, inPieces, atOnce)
		}
	})
}

func benchmarkParse(b *testing.B, input string) {
	in := []byte(input)
	var p Parser
	b.ReportAllocs()
	for b.Loop() {
		if req, _, _, err := p.Parse(in); req == nil || err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkParse(b *testing.B) {
	benchmarkParse(b, "POST /drmaa2/v1/sessions/x/jobs HTTP/1.1\r\nHost: 127.0.0.1:7171\r\nUser-Agent: Go-http-client/1.1\r\n"+
		"Content-Length: 10\r\nContent-Type: application/json\r\nAccept-Encoding: gzip\r\n\r\n0123456789")
}

func BenchmarkParseChunks(b *testing.B) {
	benchmarkParse(b, "POST / HTTP/1.1\r\nHost: x\r\nConnection: keep-alive\r\nTransfer-Encoding: chunked\r\n\r\n"+
		strings.Repeat("a\r\n0123456789\r\n", 10)+"0\r\n\r\n")
}
