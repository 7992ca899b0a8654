package httpcodec

import (
	"errors"
	"fmt"
	"strings"
	"testing"
)

// read parses requests out of in, which comes in pieces of step bytes, and tells what it has seen.
func read(in string, step int) string {
	var p Parser
	var out []string
	buf := []byte{}
	for len(in) > 0 {
		n := min(step, len(in))
		buf = append(buf, in[:n]...)
		in = in[n:]
		for {
			req, used, cont, err := p.Parse(buf)
			if cont {
				out = append(out, "continue")
			}
			if err != nil {
				var e *Error
				if !errors.As(err, &e) {
					return "not an Error: " + err.Error()
				}
				return strings.Join(append(out, fmt.Sprint(e.Status)), "; ")
			}
			if req == nil {
				break
			}
			out = append(out, fmt.Sprintf("%s %s?%s %q close=%v", req.Method, req.Path, req.Query, req.Body, req.Close))
			buf = buf[used:]
		}
	}
	if len(buf) > 0 {
		out = append(out, fmt.Sprintf("%d bytes wait", len(buf)))
	}
	return strings.Join(out, "; ")
}

// The same whether bytes come one at a time or all at once.
func TestRequests(t *testing.T) {
	const host = "Host: x\r\n"
	for _, c := range []struct{ name, in, want string }{
		{"plain", "GET /a?b=c HTTP/1.1\r\n" + host + "\r\n", `GET /a?b=c "" close=false`},
		{"body", "POST /a HTTP/1.1\r\n" + host + "Content-Length: 3\r\n\r\nabc", `POST /a? "abc" close=false`},
		{"pipelined", "GET /1 HTTP/1.1\r\n" + host + "\r\nGET /2 HTTP/1.1\r\n" + host + "\r\n",
			`GET /1? "" close=false; GET /2? "" close=false`},
		{"close", "GET / HTTP/1.1\r\n" + host + "Connection: keep-alive, Close\r\n\r\n", `GET /? "" close=true`},
		{"old version closes", "GET / HTTP/1.0\r\n\r\n", `GET /? "" close=true`},
		{"absolute form", "GET http://h:1/a?b HTTP/1.1\r\n" + host + "\r\n", `GET /a?b "" close=false`},
		{"absolute form without a path", "GET http://h HTTP/1.1\r\n" + host + "\r\n", `GET /? "" close=false`},
		{"empty lines before", "\r\n\r\nGET / HTTP/1.1\r\n" + host + "\r\n", `GET /? "" close=false`},
		{"chunked", "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nT: v\r\n\r\n",
			`POST /? "abcde" close=false`},
		{"chunked, then another", "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n" +
			"GET /b HTTP/1.1\r\n" + host + "\r\n", `POST /? "a" close=false; GET /b? "" close=false`},
		{"cut off", "POST / HTTP/1.1\r\n" + host + "Content-Length: 9\r\n\r\nabc", "50 bytes wait"},

		{"no host", "GET / HTTP/1.1\r\n\r\n", "400"},
		{"two hosts", "GET / HTTP/1.1\r\n" + host + host + "\r\n", "400"},
		{"later version", "GET / HTTP/2.0\r\n" + host + "\r\n", "505"},
		{"rubbish", "\x16\x03\x01 zzz\r\n\r\n", "400"},
		{"no version", "GET /\r\n\r\n", "400"},
		{"star", "OPTIONS * HTTP/1.1\r\n" + host + "\r\n", "400"},
		{"space before the colon", "GET / HTTP/1.1\r\n" + host + "A : b\r\n\r\n", "400"},
		{"folded line", "GET / HTTP/1.1\r\n" + host + "A: b\r\n c\r\n\r\n", "400"},
		{"NUL in a value", "GET / HTTP/1.1\r\n" + host + "A: b\x00c\r\n\r\n", "400"},
		{"two lengths", "POST / HTTP/1.1\r\n" + host + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab", "400"},
		{"length and chunks", "POST / HTTP/1.1\r\n" + host + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "400"},
		{"chunks in 1.0", "POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n", "400"},
		{"length with a sign", "POST / HTTP/1.1\r\n" + host + "Content-Length: +1\r\n\r\na", "400"},
		{"negative length", "POST / HTTP/1.1\r\n" + host + "Content-Length: -1\r\n\r\na", "400"},
		{"huge length", "POST / HTTP/1.1\r\n" + host + "Content-Length: 99999999999\r\n\r\n", "400"},
		{"gzip", "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: gzip\r\n\r\n", "501"},
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
			for _, step := range []int{len(c.in), 7, 1} {
				if got := read(c.in, step); got != c.want {
					t.Errorf("in pieces of %d: got %s, want %s", step, got, c.want)
				}
			}
		})
	}
}

// A client that expects 100 Continue is told to go on once, and only for a request that can be taken.
func TestExpect(t *testing.T) {
	head := "POST / HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n"
	var p Parser
	for i, want := range []bool{true, false} {
		if _, _, cont, err := p.Parse([]byte(head)); cont != want || err != nil {
			t.Errorf("call %d: continue is %v, %v", i, cont, err)
		}
	}
	if req, _, cont, err := p.Parse([]byte(head + "ab")); req == nil || cont || err != nil {
		t.Errorf("with the body: %v, %v, %v", req, cont, err)
	}
	big := strings.Replace(head, "Length: 2", "Length: 2000000", 1)
	if _, _, cont, err := new(Parser).Parse([]byte(big)); cont || err == nil {
		t.Errorf("for a body over the limit: continue is %v, %v", cont, err)
	}
}

// A body that came whole is not copied.
func TestBodyAliases(t *testing.T) {
	in := []byte("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\na")
	req, _, _, err := new(Parser).Parse(in)
	if err != nil {
		t.Fatal(err)
	}
	in[len(in)-1] = 'b'
	if string(req.Body) != "b" {
		t.Error("the body was copied")
	}
}

// Responses come out of a reader as they were written, in any pieces, streams as they grow.
func TestResponses(t *testing.T) {
	b := AppendResponse(append([]byte{}, Continue...), 201, "application/json", []byte(`{"a":1}`), false, "Retry-After", "2")
	b = AppendStreamHead(b, 200, "text/event-stream")
	b = AppendChunk(b, []byte("one"))
	b = AppendChunk(b, []byte("two"))
	b = AppendChunk(b, nil)
	b = AppendResponse(b, 404, "", nil, true)
	for _, step := range []int{1, 5, len(b)} {
		var r ResponseReader
		var seen []string
		for i := 0; i < len(b); i += step {
			err := r.Feed(b[i:min(i+step, len(b))], func(x *Response) {
				if x.Done {
					seen = append(seen, fmt.Sprintf("%d %s %s", x.Status, x.Get("retry-after"), x.Body))
				}
			})
			if err != nil {
				t.Fatal(err)
			}
		}
		if got := strings.Join(seen, "; "); got != `201 2 {"a":1}; 200  onetwo; 404  ` {
			t.Errorf("in pieces of %d: %s", step, got)
		}
	}
	for _, bad := range []string{"nonsense\r\n\r\n", "HTTP/1.1 xyz\r\n\r\n", "HTTP/1.1 200 OK\r\nA b\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: -3\r\n\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"} {
		if new(ResponseReader).Feed([]byte(bad), func(*Response) {}) == nil {
			t.Errorf("%q was read", bad)
		}
	}
}

// Whatever comes, the parser neither panics nor keeps more than its limits, and pieces make no difference.
func FuzzRequest(f *testing.F) {
	f.Add([]byte("GET /a HTTP/1.1\r\nHost: x\r\n\r\n"), uint8(3))
	f.Add([]byte("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"), uint8(1))
	f.Add([]byte("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\nExpect: 100-continue\r\n\r\nabcdGET"), uint8(2))
	f.Fuzz(func(t *testing.T, in []byte, step uint8) {
		asked := func(s string) string { return strings.ReplaceAll(s, "continue; ", "") } // moot when all is there
		whole := asked(read(string(in), max(len(in), 1)))
		if parts := asked(read(string(in), max(int(step), 1))); parts != whole {
			t.Errorf("in pieces of %d: %s\nwhole: %s", step, parts, whole)
		}
	})
}

// Whatever comes, the reader of responses does not panic.
func FuzzResponse(f *testing.F) {
	f.Add(AppendChunk(AppendStreamHead(nil, 200, "text/event-stream"), []byte("x")))
	f.Add(AppendResponse(nil, 200, "a", []byte("b"), true))
	f.Fuzz(func(_ *testing.T, in []byte) {
		var r ResponseReader
		_ = r.Feed(in, func(*Response) {})
	})
}

func BenchmarkParse(b *testing.B) {
	in := []byte("POST /drmaa2/v1/sessions/x/jobs HTTP/1.1\r\nHost: 127.0.0.1:7171\r\nUser-Agent: Go-http-client/1.1\r\n" +
		"Content-Length: 10\r\nContent-Type: application/json\r\nAccept-Encoding: gzip\r\n\r\n0123456789")
	var p Parser
	b.ReportAllocs()
	for b.Loop() {
		if req, _, _, err := p.Parse(in); req == nil || err != nil {
			b.Fatal(err)
		}
	}
}
