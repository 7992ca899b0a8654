package load

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Reading a written trace returns the same trace. Reading it with a changed byte or truncated returns an error.
func TestTraceRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		original := &Trace{Source: "daemon", Start: time.Unix(0, rapid.Int64Range(0, 1<<60).Draw(t, "start"))}
		at := time.Duration(0)
		for range rapid.IntRange(0, 20).Draw(t, "jobs") {
			at += time.Duration(rapid.Int64Range(0, 1e12).Draw(t, "gap"))
			original.Jobs = append(original.Jobs, Job{At: at, Class: rapid.StringN(0, 9, 20).Draw(t, "class"),
				Service: rapid.StringN(0, 9, 20).Draw(t, "service"), Cores: rapid.Float64Range(0, 1e6).Draw(t, "cores"),
				Runtime: time.Duration(rapid.Int64Range(0, 1e15).Draw(t, "runtime")), Censored: rapid.Bool().Draw(t, "censored")})
		}
		original.Gaps = append(original.Gaps, Gap{1, 2})
		var encoded bytes.Buffer
		if err := original.Write(&encoded); err != nil {
			t.Fatal(err)
		}
		decoded, err := ReadTrace(bytes.NewReader(encoded.Bytes()))
		if err != nil {
			t.Fatal(err)
		}
		if fmt.Sprint(original.Jobs, original.Gaps, original.Start.UnixNano()) !=
			fmt.Sprint(decoded.Jobs, decoded.Gaps, decoded.Start.UnixNano()) {
			t.Fatalf("got\n%v\nwant the trace as written\n%v", decoded, original)
		}
		position := rapid.IntRange(0, encoded.Len()-1).Draw(t, "byte")
		corrupted := bytes.Clone(encoded.Bytes())
		corrupted[position] ^= byte(rapid.IntRange(1, 255).Draw(t, "bits"))
		if _, err := ReadTrace(bytes.NewReader(corrupted)); err == nil {
			t.Fatalf("got no error with byte %d of %d changed, want one", position, encoded.Len())
		}
		if _, err := ReadTrace(bytes.NewReader(encoded.Bytes()[:position])); err == nil {
			t.Fatalf("got no error with the trace truncated at byte %d of %d, want one", position, encoded.Len())
		}
	})
}

func TestAnonymiseReplacesNamesByKeyedHashes(t *testing.T) {
	anonymised := func(key string) *Trace {
		t.Helper()
		trace := &Trace{Jobs: []Job{{Class: "c", Service: "billing", Tenant: "north"}, {Class: "c", Service: "billing"},
			{Service: "x"}}}
		if err := trace.Anonymise(key); err != nil {
			t.Fatal(err)
		}
		return trace
	}
	one, two := anonymised("one"), anonymised("two")
	first, second, third := one.Jobs[0], one.Jobs[1], one.Jobs[2]
	for _, c := range []struct {
		name string
		ok   bool
	}{
		{"equal names have equal hashes", first.Service == second.Service},
		{"different names have different hashes", first.Service != third.Service},
		{"different keys give different hashes", first.Service != two.Jobs[0].Service},
		{"a hash does not contain the name", !strings.Contains(first.Service, "billing")},
		{"class names are kept", first.Class == "c"},
		{"an empty tenant stays empty", second.Tenant == ""},
		{"the trace is marked anonymous", one.Anonymous},
	} {
		t.Run(c.name, func(t *testing.T) {
			if !c.ok {
				t.Errorf("got jobs %+v under one key and %+v under another", one.Jobs, two.Jobs)
			}
		})
	}
}

// ReadTrace distinguishes a truncated or corrupt trace from data that is not a trace.
func TestReadReportsInvalidTraces(t *testing.T) {
	var buffer bytes.Buffer
	if err := (&Trace{Jobs: []Job{{Class: "c", At: 5}}}).Write(&buffer); err != nil {
		t.Fatal(err)
	}
	valid := buffer.Bytes()
	headLength := int(valid[0]) + 1 // a record begins with its length
	for _, c := range []struct {
		name      string
		text      []byte
		truncated bool
		corrupt   bool
		offset    int // of a TraceFormatError
	}{
		{name: "empty", truncated: true},
		{name: "no tail", text: valid[:len(valid)-1], truncated: true},
		{name: "bytes after the tail", text: append(bytes.Clone(valid), 0), corrupt: true},
		{name: "not a record", text: []byte{1, 0xff}},
		{name: "no head", text: valid[headLength:]},
		{name: "two heads", text: append(bytes.Clone(valid[:headLength]), valid...), offset: headLength},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := ReadTrace(bytes.NewReader(c.text))
			if errors.Is(err, ErrTraceTruncated) != c.truncated || errors.Is(err, ErrTraceCorrupt) != c.corrupt {
				t.Fatalf("got error %v, want ErrTraceTruncated: %v, ErrTraceCorrupt: %v", err, c.truncated, c.corrupt)
			}
			var formatError *TraceFormatError
			if errors.As(err, &formatError) == (c.truncated || c.corrupt) {
				t.Fatalf("got error %v, want a TraceFormatError: %v", err, !c.truncated && !c.corrupt)
			}
			if formatError != nil && formatError.Offset != c.offset {
				t.Errorf("got an error at byte %d, want %d", formatError.Offset, c.offset)
			}
		})
	}
}

// ReadSWF and ReadTrace do not panic on any input, and the jobs that they return are sorted and have valid numbers.
func FuzzReaders(f *testing.F) {
	f.Add([]byte(swfLog))
	var buffer bytes.Buffer
	_ = (&Trace{Jobs: []Job{{Class: "c", At: 5}}}).Write(&buffer)
	f.Add(buffer.Bytes())
	f.Fuzz(func(t *testing.T, in []byte) {
		imported, _, _ := ReadSWF(bytes.NewReader(in), "c")
		decoded, _ := ReadTrace(bytes.NewReader(in))
		for _, trace := range []*Trace{imported, decoded} {
			if trace == nil {
				continue
			}
			last := time.Duration(0)
			for _, job := range trace.Jobs {
				if job.At < last || job.Runtime < 0 || !(job.Cores >= 0) || !(job.Memory >= 0) {
					t.Errorf("got job %+v after one at %v, want it later and with numbers of at least zero", job, last)
				}
				last = job.At
			}
		}
	})
}
