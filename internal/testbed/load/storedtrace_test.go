package load

import (
	"bytes"
	"os"
	"reflect"
	"testing"
	"time"
)

// storedTrace is the trace of traceOfEveryField as written by the build of commit ad3e0ee. It guards the stored format.
const storedTrace = "testdata/trace"

// traceOfEveryField returns a trace in which every field is set in at least one record.
func traceOfEveryField() *Trace {
	return &Trace{Source: "daemon", Start: time.Unix(1_700_000_000, 123), Anonymous: true,
		Jobs: []Job{
			{At: time.Second, Class: "sensor", Service: "v-0123456789abcdef", Tenant: "t-fedcba9876543210", Cores: 0.5,
				Memory: 1.5, Runtime: 3 * time.Second, Censored: true, Outcome: "placed"},
			{At: 2 * time.Second},
		},
		Gaps: []Gap{{From: 4 * time.Second, To: 40 * time.Second}}}
}

func TestStoredTraceIsReadAndWrittenAsSameBytes(t *testing.T) {
	stored, err := os.ReadFile(storedTrace)
	if err != nil {
		t.Fatal(err)
	}
	trace, err := ReadTrace(bytes.NewReader(stored))
	if err != nil {
		t.Fatal(err)
	}
	if want := traceOfEveryField(); !reflect.DeepEqual(trace, want) {
		t.Errorf("got %+v, want %+v", trace, want)
	}
	var written bytes.Buffer
	if err := trace.Write(&written); err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(written.Bytes(), stored) {
		t.Errorf("got bytes %x, want the stored %x", written.Bytes(), stored)
	}
}
