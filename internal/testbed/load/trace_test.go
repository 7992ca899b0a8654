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

// A trace is read as it was written; a changed byte and a missing end are errors.
func TestTraceRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x := &Trace{Source: "daemon", Start: time.Unix(0, rapid.Int64Range(0, 1<<60).Draw(t, "start"))}
		at := time.Duration(0)
		for range rapid.IntRange(0, 20).Draw(t, "jobs") {
			at += time.Duration(rapid.Int64Range(0, 1e12).Draw(t, "gap"))
			x.Jobs = append(x.Jobs, Job{At: at, Class: rapid.StringN(0, 9, 20).Draw(t, "class"),
				Service: rapid.StringN(0, 9, 20).Draw(t, "service"), Cores: rapid.Float64Range(0, 1e6).Draw(t, "cores"),
				Runtime: time.Duration(rapid.Int64Range(0, 1e15).Draw(t, "runtime")), Censored: rapid.Bool().Draw(t, "censored")})
		}
		x.Gaps = append(x.Gaps, Gap{1, 2})
		var b bytes.Buffer
		if err := x.Write(&b); err != nil {
			t.Fatal(err)
		}
		y, err := ReadTrace(bytes.NewReader(b.Bytes()))
		if err != nil {
			t.Fatal(err)
		}
		if fmt.Sprint(x.Jobs, x.Gaps, x.Start.UnixNano()) != fmt.Sprint(y.Jobs, y.Gaps, y.Start.UnixNano()) {
			t.Fatalf("got\n%v\nwant the trace as written\n%v", y, x)
		}
		i := rapid.IntRange(0, b.Len()-1).Draw(t, "byte")
		bad := bytes.Clone(b.Bytes())
		bad[i] ^= byte(rapid.IntRange(1, 255).Draw(t, "bits"))
		if _, err := ReadTrace(bytes.NewReader(bad)); err == nil {
			t.Fatalf("got no error with byte %d of %d changed, want one", i, b.Len())
		}
		if _, err := ReadTrace(bytes.NewReader(b.Bytes()[:i])); err == nil {
			t.Fatalf("got no error with the trace truncated at byte %d of %d, want one", i, b.Len())
		}
	})
}

func TestAnonymiseReplacesNamesByKeyedHashes(t *testing.T) {
	anonymised := func(key string) *Trace {
		t.Helper()
		x := &Trace{Jobs: []Job{{Class: "c", Service: "billing", Tenant: "north"}, {Class: "c", Service: "billing"}, {Service: "x"}}}
		if err := x.Anonymise(key); err != nil {
			t.Fatal(err)
		}
		return x
	}
	one, two := anonymised("one"), anonymised("two")
	first, second, third := one.Jobs[0], one.Jobs[1], one.Jobs[2]
	for _, c := range []struct {
		name string
		ok   bool
	}{
		{"equal names have equal hashes", first.Service == second.Service},
		{"other names have other hashes", first.Service != third.Service},
		{"another key has other hashes", first.Service != two.Jobs[0].Service},
		{"a hash does not contain the name", !strings.Contains(first.Service, "billing")},
		{"classes stay", first.Class == "c"},
		{"no tenant stays no tenant", second.Tenant == ""},
		{"the trace is anonymous", one.Anonymous},
	} {
		t.Run(c.name, func(t *testing.T) {
			if !c.ok {
				t.Errorf("got jobs %+v under one key and %+v under another", one.Jobs, two.Jobs)
			}
		})
	}
}

// Read distinguishes a truncated or damaged trace from data that is not a trace.
func TestReadReportsInvalidTraces(t *testing.T) {
	var b bytes.Buffer
	if err := (&Trace{Jobs: []Job{{Class: "c", At: 5}}}).Write(&b); err != nil {
		t.Fatal(err)
	}
	valid := b.Bytes()
	headLength := int(valid[0]) + 1 // a record begins with its length
	for _, c := range []struct {
		name      string
		text      []byte
		truncated bool
		checksum  bool
		offset    int // of a FormatError
	}{
		{name: "nothing", truncated: true},
		{name: "no tail", text: valid[:len(valid)-1], truncated: true},
		{name: "bytes after the tail", text: append(bytes.Clone(valid), 0), checksum: true},
		{name: "not a record", text: []byte{1, 0xff}},
		{name: "no head", text: valid[headLength:]},
		{name: "two heads", text: append(bytes.Clone(valid[:headLength]), valid...), offset: headLength},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := ReadTrace(bytes.NewReader(c.text))
			if errors.Is(err, ErrTraceTruncated) != c.truncated || errors.Is(err, ErrTraceCorrupt) != c.checksum {
				t.Fatalf("got error %v, want ErrTruncated: %v, ErrChecksum: %v", err, c.truncated, c.checksum)
			}
			var format *TraceFormatError
			if errors.As(err, &format) == (c.truncated || c.checksum) {
				t.Fatalf("got error %v, want a FormatError: %v", err, !c.truncated && !c.checksum)
			}
			if format != nil && format.Offset != c.offset {
				t.Errorf("got an error at byte %d, want %d", format.Offset, c.offset)
			}
		})
	}
}

// The readers don't panic, and the jobs that they return are in order and have valid numbers.
func FuzzReaders(f *testing.F) {
	f.Add([]byte(swf))
	var b bytes.Buffer
	_ = (&Trace{Jobs: []Job{{Class: "c", At: 5}}}).Write(&b)
	f.Add(b.Bytes())
	f.Fuzz(func(t *testing.T, in []byte) {
		a, _, _ := ReadSWF(bytes.NewReader(in), "c")
		b, _ := ReadTrace(bytes.NewReader(in))
		for _, x := range []*Trace{a, b} {
			if x == nil {
				continue
			}
			last := time.Duration(0)
			for _, j := range x.Jobs {
				if j.At < last || j.Runtime < 0 || !(j.Cores >= 0) || !(j.Memory >= 0) {
					t.Errorf("got job %+v after one at %v, want it later and with numbers of at least zero", j, last)
				}
				last = j.At
			}
		}
	})
}
